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
	// DefaultLongest is the longest time in flight that is assumed before a configuration is known.
	DefaultLongest = time.Minute
	// renewalsPerTTL is how often a lease is renewed within its time to live.
	renewalsPerTTL = 5
	// rereadInterval is how often the registry is read anew although the watch works.
	rereadInterval = time.Minute
	// minRetry and maxRetry bound the wait before a failed watch or write is tried again.
	minRetry = 100 * time.Millisecond
	maxRetry = time.Second
	// clingInterval is how often it is checked whether promises are due, and
	// clingAhead how long before the end of the hold they are.
	clingInterval = 200 * time.Millisecond
	clingAhead    = PromiseTime / 2
	// mendInterval is how often the table is checked against the registry.
	mendInterval = 500 * time.Millisecond
	// leaveTimeout bounds the calls of a planned stop.
	leaveTimeout = 2 * time.Second
	// memberSuffix is the length of what makes a member name unique.
	memberSuffix = 8
)

// Run keeps the instance registered until the context ends, then withdraws it
// if it was leaving.
func (k *Keeper) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { k.follow(ctx) })
	group.Go(func() { every(ctx, k.TTL/renewalsPerTTL, k.renew) })
	group.Go(func() { every(ctx, mendInterval, k.mend) })
	group.Go(func() { every(ctx, clingInterval, k.cling) })
	group.Wait()
	if k.leaving.Load() {
		k.withdraw()
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, timer := range []*time.Timer{k.wake, k.cut} {
		if timer != nil {
			timer.Stop()
		}
	}
	return nil
}

// every calls f until the context ends.
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

// follow keeps the registry up to date by a watch, and joins.
func (k *Keeper) follow(ctx context.Context) {
	for ctx.Err() == nil {
		reading, cancel := context.WithTimeout(ctx, rereadInterval+rand.N(rereadInterval/4))
		err := k.watch(reading)
		overdue := reading.Err() != nil
		cancel()
		if overdue || ctx.Err() != nil {
			continue
		}
		k.unreachable(err)
		pause(ctx, minRetry+rand.N(maxRetry-minRetry))
	}
}

// watch reads the registry, joins if need be, and follows the changes.
func (k *Keeper) watch(ctx context.Context) error {
	if err := k.read(ctx); err != nil {
		return err
	}
	k.renew(ctx)
	k.mu.Lock()
	next, absent := k.registry.next, newAbsence(k.registry, time.Now())
	k.mu.Unlock()
	return k.Store.Watch(ctx, Prefix, next, func(u store.Update) {
		gone := absent.apply(u, time.Now())
		k.mu.Lock()
		changed, err := k.registry.apply(u)
		k.stale = k.stale || changed
		k.mu.Unlock()
		if err != nil {
			k.Log.Emit(eventlog.MembershipUnreadable, zap.Error(err))
		}
		if changed || len(gone) > 0 {
			k.observe(gone)
		}
	})
}

// read replaces the registry by what the store holds.
func (k *Keeper) read(ctx context.Context) error {
	snapshot, err := k.Store.List(ctx, Prefix)
	if err != nil {
		return err
	}
	r, err := newRegistry(snapshot)
	if err != nil {
		return err
	}
	k.mu.Lock()
	if k.registry == nil || r.next >= k.registry.next {
		k.registry, k.stale = r, true
	}
	k.mu.Unlock()
	k.observe(nil)
	return nil
}

// observe takes the registry's table, and the members whose registration has
// been absent for good.
func (k *Keeper) observe(gone map[string]time.Time) {
	k.change(false, func(c *Core, now time.Time) {
		c.SetReachable(true)
		if k.reached.IsZero() {
			k.reached = now
		}
		c.Registered(k.registry.names(), k.registry.table)
		for member, since := range gone {
			c.Unregistered(member, since)
		}
		c.Observe(k.registry.table, now)
		c.Tick(now)
	})
}

// unreachable notes that a call to the store failed.
func (k *Keeper) unreachable(err error) {
	news := false
	k.change(false, func(c *Core, _ time.Time) {
		news = c.Reachable()
		c.SetReachable(false)
		k.absent, k.reached = nil, time.Time{}
	})
	if news {
		k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
	}
}

// renew renews the lease, or registers anew if it has lapsed.
func (k *Keeper) renew(ctx context.Context) {
	k.entering.Lock()
	defer k.entering.Unlock()
	id, asked := k.Lease(), time.Now()
	err := error(&store.LeaseExpiredError{})
	if id != 0 {
		err = k.Store.KeepAlive(ctx, id)
	}
	var lapsed *store.LeaseExpiredError
	switch {
	case err == nil:
		k.renewed(asked)
	case !errors.As(err, &lapsed):
		if ctx.Err() == nil {
			k.unreachable(err)
		}
	case !k.leaving.Load():
		if err := k.register(ctx); err != nil && ctx.Err() == nil {
			k.unreachable(err)
		}
	}
}

func (k *Keeper) renewed(asked time.Time) {
	k.change(false, func(c *Core, _ time.Time) {
		c.SetReachable(true)
		c.Renewed(asked, k.TTL)
	})
}

// register enters the registry under a new lease. A member that is still in
// the table keeps its name; others join under a new one.
func (k *Keeper) register(ctx context.Context) error {
	k.lease.Store(0)
	asked := time.Now()
	id, err := k.Store.GrantLease(ctx, k.TTL)
	if err != nil {
		return err
	}
	for ctx.Err() == nil {
		if err := k.read(ctx); err != nil {
			return err
		}
		done, err := k.enter(ctx, id)
		if err != nil {
			return err
		}
		if done {
			k.lease.Store(int64(id))
			k.renewed(asked)
			return k.read(ctx)
		}
		pause(ctx, rand.N(minRetry))
	}
	return ctx.Err()
}

// enter writes the member's key, and the table if it does not name the member yet.
func (k *Keeper) enter(ctx context.Context, id store.LeaseID) (bool, error) {
	entry := k.joined()
	if entry.renamed {
		k.cutFormer()
	}
	self := k.self()
	value, err := encodePeer(self)
	if err != nil {
		return false, err
	}
	t := store.Txn{
		If:   []store.Condition{{Key: TableKey, Revision: entry.revision}},
		Then: []store.Op{store.Put(MemberPrefix+self.Member, value).WithLease(id)},
	}
	if entry.changed {
		table, err := grant.Encode(entry.next)
		if err != nil {
			return false, err
		}
		t.Then = append(t.Then, store.Put(TableKey, table))
	}
	result, err := k.Store.Commit(ctx, t)
	return result.Done, err
}

// entry is how an instance enters the table.
type entry struct {
	// next is the table with the instance in it, and revision that of the table before.
	next     grant.Table
	revision int64
	// changed says that the table before does not name the instance.
	changed bool
	// renamed says that the instance enters under another name than before.
	renamed bool
}

// joined returns how this instance enters the table.
func (k *Keeper) joined() entry {
	k.turn.Lock()
	defer k.turn.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.coreLocked()
	e := entry{next: k.registry.table, revision: k.registry.revision}
	if e.next.Has(c.Self().ID) {
		return e
	}
	if c.Parted() {
		e.next = e.next.Forget(c.Self().ID)
		k.core = c.Renamed(k.newMember().ID)
		k.core.Observe(k.registry.table, time.Now())
		k.applied = -1
		e.renamed = true
	}
	e.next, e.changed = e.next.With(k.core.Self()), true
	return e
}

// cutFormer ends the streams that were begun under a former name: others may
// judge that name gone without hearing of the present one.
func (k *Keeper) cutFormer() {
	if k.Cut != nil {
		k.Log.Emit(eventlog.StreamsEnded)
		k.Cut()
	}
}

func (k *Keeper) newMember() grant.Member {
	id := k.Self.ID + memberSeparator + uuid.NewString()[:memberSuffix]
	return grant.Member{ID: id, Region: k.Self.Region}
}

// self returns the instance under its present member name.
func (k *Keeper) self() Peer {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.Self
	p.Member = k.coreLocked().Self().ID
	return p
}

// cling asks the peers of the region for promises while the store cannot be
// reached and the lease may soon have lapsed.
func (k *Keeper) cling(ctx context.Context) {
	k.mu.Lock()
	c := k.coreLocked()
	until, unbounded := c.Until()
	due := !c.Reachable() && !unbounded && c.Table().Has(c.Self().ID) && time.Until(until) < clingAhead
	member, names := c.Self().ID, c.Peers()
	k.mu.Unlock()
	if !due || k.AskPromise == nil {
		return
	}
	calling, cancel := context.WithTimeout(ctx, clingAhead/2)
	defer cancel()
	var group sync.WaitGroup
	for _, name := range names {
		if p, ok := k.View().Member(name); ok {
			group.Go(func() { k.ask(calling, p, member) })
		}
	}
	group.Wait()
}

func (k *Keeper) ask(ctx context.Context, p Peer, member string) {
	asked := time.Now()
	by, ok := k.AskPromise(ctx, p, member)
	if !ok {
		return
	}
	k.change(false, func(c *Core, _ time.Time) {
		if c.Self().ID == member {
			c.Promised(by, asked)
		}
	})
}

// pause lets time pass unless the context ends.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
