package membership

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

const (
	// DefaultMaxRequestTime is the longest request time that is assumed before a
	// configuration is known.
	DefaultMaxRequestTime = time.Minute
	// renewalsPerTTL is how many times a lease is renewed within its time to live.
	renewalsPerTTL = 5
	// rereadInterval is how often the registry is read in full although the watch works.
	rereadInterval = time.Minute
	// minRetry and maxRetry bound the delay before a failed watch or write is retried.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
	// promiseCheckInterval is how often the instance checks whether it needs promises. It
	// asks for them when its entitlement ends in less than promiseLeadTime.
	promiseCheckInterval = 200 * time.Millisecond
	promiseLeadTime      = PromiseTime / 2
	// reconcileInterval is how often the table is compared with the registry.
	reconcileInterval = 500 * time.Millisecond
	// leaveTimeout bounds the calls of a planned stop.
	leaveTimeout = 2 * time.Second
	// memberSuffixLength is the number of random characters that make a member name
	// unique.
	memberSuffixLength = 8
)

// Run keeps the instance registered until the context ends. If Leave was called, it then
// deletes the registration.
func (k *Keeper) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { k.followRegistry(ctx) })
	group.Go(func() { every(ctx, k.TTL/renewalsPerTTL, k.renew) })
	group.Go(func() { every(ctx, reconcileInterval, k.reconcile) })
	group.Go(func() { every(ctx, promiseCheckInterval, k.collectPromises) })
	group.Wait()
	if k.leaving.Load() {
		k.deregister()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, timer := range []*time.Timer{k.expiryTimer, k.cutTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	return nil
}

// every calls f at an interval until the context ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f(ctx)
		}
	}
}

// followRegistry joins the table, and keeps the copy of the registry up to date by a
// watch.
func (k *Keeper) followRegistry(ctx context.Context) {
	for ctx.Err() == nil {
		watchCtx, cancel := context.WithTimeout(ctx, rereadInterval+rand.N(rereadInterval/4))
		err := k.watchRegistry(watchCtx)
		rereadDue := watchCtx.Err() != nil
		cancel()
		if rereadDue || ctx.Err() != nil {
			continue
		}
		k.markUnreachable(err)
		pause(ctx, minRetry+rand.N(maxRetry-minRetry))
	}
}

// watchRegistry reads the registry, joins the table if necessary, and follows the
// changes.
func (k *Keeper) watchRegistry(ctx context.Context) error {
	if err := k.readRegistry(ctx); err != nil {
		return err
	}
	k.renew(ctx)
	k.mu.Lock()
	next, absences := k.registry.nextRevision, newAbsenceTracker(k.registry, time.Now())
	k.mu.Unlock()
	return k.Store.Watch(ctx, Prefix, next, func(u store.Update) {
		endedSince := absences.apply(u, time.Now())
		k.mu.Lock()
		changed, err := k.registry.apply(u)
		k.viewStale = k.viewStale || changed
		k.mu.Unlock()
		if err != nil {
			k.Log.Emit(eventlog.MembershipUnreadable, zap.Error(err))
		}
		if changed || len(endedSince) > 0 {
			k.applyRegistry(endedSince)
		}
	})
}

// readRegistry replaces the copy of the registry by the contents of the store.
func (k *Keeper) readRegistry(ctx context.Context) error {
	snapshot, err := k.Store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	r, err := newRegistry(snapshot)
	if err != nil {
		return err
	}
	k.mu.Lock()
	if k.registry == nil || r.nextRevision >= k.registry.nextRevision {
		k.registry, k.viewStale = r, true
	}
	k.mu.Unlock()
	k.applyRegistry(nil)
	return nil
}

// applyRegistry applies the registry's table to the core. The map endedSince contains the
// members whose registration has ended for good, and since when it has been absent.
func (k *Keeper) applyRegistry(endedSince map[string]time.Time) {
	k.change(false, func(c *Core, now time.Time) {
		c.SetReachable(true)
		if k.reachableSince.IsZero() {
			k.reachableSince = now
		}
		c.SetRegistered(k.registry.memberNames(), k.registry.table)
		for member, since := range endedSince {
			c.SetAbsentSince(member, since)
		}
		c.Observe(k.registry.table, now)
		c.Tick(now)
	})
}

// markUnreachable records that a call to the store failed.
func (k *Keeper) markUnreachable(err error) {
	wasReachable := false
	k.change(false, func(c *Core, _ time.Time) {
		wasReachable = c.Reachable()
		c.SetReachable(false)
		k.absentSince, k.reachableSince = nil, time.Time{}
	})
	if wasReachable {
		k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
	}
}

// renew renews the lease, or registers again if the lease has expired.
func (k *Keeper) renew(ctx context.Context) {
	k.registerMu.Lock()
	defer k.registerMu.Unlock()
	id, requestedAt := k.Lease(), time.Now()
	err := error(&store.LeaseExpiredError{})
	if id != 0 {
		err = k.Store.KeepAlive(ctx, id)
	}
	var expired *store.LeaseExpiredError
	switch {
	case err == nil:
		k.recordRenewal(requestedAt)
	case !errors.As(err, &expired):
		if ctx.Err() == nil {
			k.markUnreachable(err)
		}
	case !k.leaving.Load():
		if err := k.register(ctx); err != nil && ctx.Err() == nil {
			k.markUnreachable(err)
		}
	}
}

func (k *Keeper) recordRenewal(requestedAt time.Time) {
	k.change(false, func(c *Core, _ time.Time) {
		c.SetReachable(true)
		c.RecordRenewal(requestedAt, k.TTL)
	})
}

// register writes the registration under a new lease. A member that is still in the table
// keeps its name; otherwise the instance joins under a new name.
func (k *Keeper) register(ctx context.Context) error {
	k.lease.Store(0)
	requestedAt := time.Now()
	id, err := k.registrationLease(ctx)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := k.readRegistry(ctx); err != nil {
			return err
		}
		done, err := k.writeRegistration(ctx, id)
		if err != nil {
			return err
		}
		if done {
			k.unconfirmedLease = 0
			k.lease.Store(int64(id))
			k.recordRenewal(requestedAt)
			return k.readRegistry(ctx)
		}
		pause(ctx, rand.N(minRetry))
	}
	return ctx.Err()
}

// registrationLease returns the lease for a registration. That of an earlier attempt without a known outcome is used again
// while it is valid: its commit may still arrive, and must not attach the key to a lease that is no longer renewed.
func (k *Keeper) registrationLease(ctx context.Context) (store.LeaseID, error) {
	if k.unconfirmedLease != 0 {
		err := k.Store.KeepAlive(ctx, k.unconfirmedLease)
		var expired *store.LeaseExpiredError
		if !errors.As(err, &expired) {
			return k.unconfirmedLease, err
		}
	}
	var err error
	k.unconfirmedLease, err = k.Store.GrantLease(ctx, k.TTL)
	return k.unconfirmedLease, err
}

// writeRegistration writes the member's key, and the table if it does not contain the
// member yet. It returns false if nothing was written because the table had changed in
// the store meanwhile.
func (k *Keeper) writeRegistration(ctx context.Context, id store.LeaseID) (bool, error) {
	plan := k.planJoin()
	if plan.renamed {
		k.cutPreviousStreams()
	}
	self := k.selfPeer()
	value, err := encodePeer(self)
	if err != nil {
		return false, err
	}
	txn := store.Txn{
		If:   []store.Condition{{Key: TableKey, Revision: plan.revision}},
		Then: []store.Op{store.Put(MemberPrefix+self.Member, value).WithLease(id)},
	}
	if plan.tableChanged {
		table, err := grant.Encode(plan.next)
		if err != nil {
			return false, err
		}
		txn.Then = append(txn.Then, store.Put(TableKey, table))
	}
	result, err := k.Store.Commit(ctx, txn)
	return result.Done, err
}

// joinPlan describes how an instance joins the table.
type joinPlan struct {
	// next is the table with the instance in it; revision is the store revision of the
	// table that it replaces.
	next     grant.Table
	revision int64
	// tableChanged is set if next has to be written because the current table does not
	// contain the instance.
	tableChanged bool
	// renamed reports whether the instance joins under another name than before.
	renamed bool
}

// planJoin returns how this instance joins the table.
func (k *Keeper) planJoin() joinPlan {
	k.changeMu.Lock()
	defer k.changeMu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.coreLocked()
	plan := joinPlan{next: k.registry.table, revision: k.registry.revision}
	if plan.next.Has(c.Self().ID) {
		return plan
	}
	if c.Removed() {
		plan.next = plan.next.Forget(c.Self().ID)
		k.core = c.Renamed(k.newMember().ID)
		k.core.Observe(k.registry.table, time.Now())
		k.appliedVersion = -1
		plan.renamed = true
	}
	plan.next, plan.tableChanged = plan.next.With(k.core.Self()), true
	return plan
}

// cutPreviousStreams ends the streams that started under the instance's previous name.
// Others may consider that name terminated without knowing the current one.
func (k *Keeper) cutPreviousStreams() {
	if k.Cut != nil {
		k.Log.Emit(eventlog.StreamsEnded)
		k.Cut()
	}
}

func (k *Keeper) newMember() grant.Member {
	id := k.Self.ID + memberSeparator + uuid.NewString()[:memberSuffixLength]
	return grant.Member{ID: id, Region: k.Self.Region}
}

// selfPeer returns the instance under its current member name.
func (k *Keeper) selfPeer() Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.Self
	p.Member = k.coreLocked().Self().ID
	return p
}

// collectPromises asks the peers of the region for promises if the store is unreachable
// and the entitlement may end soon.
func (k *Keeper) collectPromises(ctx context.Context) {
	k.mu.Lock()
	c := k.coreLocked()
	until, unbounded := c.EntitledUntil()
	due := !c.Reachable() && !unbounded && c.Table().Has(c.Self().ID) && time.Until(until) < promiseLeadTime
	member, names := c.Self().ID, c.Peers()
	k.mu.Unlock()
	if !due || k.AskPromise == nil {
		return
	}
	askCtx, cancel := context.WithTimeout(ctx, promiseLeadTime/2)
	defer cancel()
	var group sync.WaitGroup
	for _, name := range names {
		if p, ok := k.View().Member(name); ok {
			group.Go(func() { k.askPromise(askCtx, p, member) })
		}
	}
	group.Wait()
}

func (k *Keeper) askPromise(ctx context.Context, p Peer, member string) {
	requestedAt := time.Now()
	by, ok := k.AskPromise(ctx, p, member)
	if !ok {
		return
	}
	k.change(false, func(c *Core, _ time.Time) {
		if c.Self().ID == member {
			c.RecordPromise(by, requestedAt)
		}
	})
}

// pause waits for d or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
