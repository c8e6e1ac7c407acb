package shard

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// renewalsPerTTL is how often the lease is renewed within its time to live.
	renewalsPerTTL = 5
	// renewalSlack is how early the lease may be renewed. Without it, a step shortly before the due
	// time would leave the renewal to the next step.
	renewalSlack = 50 * time.Millisecond
	// stableSteps is how many steps in a row must assign a shard to another member before this
	// instance gives it up.
	stableSteps = 3
	// storeDrift is the greatest rate by which the store's clock may run faster than this
	// instance's.
	storeDrift = 0.01
	// maxStepInterval bounds the time between two reads of the shard map.
	maxStepInterval = 500 * time.Millisecond
)

// Keeper leads the shards that are assigned to one instance. Its fields must be set before Run.
type Keeper struct {
	ID      string
	Store   *store.Client
	Workers *worker.Client
	// TTL is the time to live of the store lease under which the instance leads its shards.
	TTL time.Duration
	// Interval is the time between two exchanges with a worker that needs attention.
	Interval time.Duration
	// IdleInterval is the longest time between two exchanges with a worker. If it is zero, Timing
	// decides.
	IdleInterval time.Duration
	// ListLag is how far the platform's list may lag. No worker counts as removed sooner.
	ListLag time.Duration
	// Timing is DefaultTiming if it is zero.
	Timing Timing
	// Members, Config and List return the current members, configuration and list of instances.
	Members func() []Member
	Config  func() release.Config
	List    func() roster.List
	// Peer returns the calls of another instance. If it is nil, no task moves between shards.
	Peer func(instance string) (*Calls, error)
	Log  *eventlog.Log

	// writers counts the store writers that were made, to name them uniquely.
	writers atomic.Int64

	mu sync.Mutex
	// lease is the store lease. It was last renewed at renewedAt and is guaranteed to be valid
	// until validUntil.
	lease      store.LeaseID
	renewedAt  time.Time
	validUntil time.Time
	// leaders are the leaders of all shards as last read from the store. The read was sent at
	// confirmedAt, so they were current at that time or later.
	leaders     map[string]string
	confirmedAt time.Time
	leaderships map[string]*leadership
	// elsewhereSteps is, for each shard, in how many consecutive steps up to now it was assigned to
	// another member.
	elsewhereSteps map[string]int
	division       divisionCache
	running        sync.WaitGroup
}

// Run claims and releases shards until the context ends. Then it releases all of them.
func (k *Keeper) Run(ctx context.Context) error {
	leadCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ticker := time.NewTicker(min(maxStepInterval, k.TTL/renewalsPerTTL))
	defer ticker.Stop()
	for {
		if err := k.step(ctx, leadCtx); err != nil && ctx.Err() == nil {
			k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			stop()
			k.running.Wait()
			k.revokeLease()
			return nil
		case <-ticker.C:
		}
	}
}

// step renews the lease, reads the shard map, and claims and releases shards accordingly. Claimed
// shards are led until leadCtx ends.
func (k *Keeper) step(ctx, leadCtx context.Context) error {
	if err := k.renew(ctx); err != nil {
		return err
	}
	sent := time.Now()
	s, err := k.Store.List(ctx, MapPrefix)
	if err != nil {
		return err
	}
	keys := map[string]store.Entry{}
	handovers := map[string]store.Entry{}
	leaders := map[string]string{}
	for _, e := range s.Entries {
		if id, ok := shardOf(e.Key, leaderKey); ok {
			keys[id] = e
			leaders[id] = string(e.Value)
		}
		if id, ok := shardOf(e.Key, handoverKey); ok {
			handovers[id] = e
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaders = leaders
	k.confirmedAt = sent
	k.stopLost(keys)
	if k.Config().Revision == 0 {
		return nil
	}
	k.claimAndRelease(leadCtx, keys, handovers)
	return nil
}

// shardOf returns the shard of a key below MapPrefix, if the key has the suffix.
func shardOf(key, suffix string) (string, bool) {
	id, ok := strings.CutSuffix(key, suffix)
	return strings.TrimPrefix(id, MapPrefix), ok
}

// renewalDue reports whether the lease is due for renewal, or there is no lease.
func (k *Keeper) renewalDue(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease == 0 || now.Sub(k.renewedAt) >= k.TTL/renewalsPerTTL-renewalSlack
}

// renew renews the lease, or obtains a new one if it has expired.
func (k *Keeper) renew(ctx context.Context) error {
	if !k.renewalDue(time.Now()) {
		return nil
	}
	lease, _ := k.storeLease()
	sent := time.Now()
	if lease != 0 {
		err := k.Store.KeepAlive(ctx, lease)
		if err == nil {
			k.setLease(lease, sent)
			return nil
		}
		var expired *store.LeaseExpiredError
		if !errors.As(err, &expired) {
			return err
		}
		k.setLease(0, time.Time{})
	}
	sent = time.Now()
	lease, err := k.Store.GrantLease(ctx, k.TTL)
	if err != nil {
		return err
	}
	k.setLease(lease, sent)
	return nil
}

func (k *Keeper) setLease(id store.LeaseID, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lease = id
	k.renewedAt = sent
	k.validUntil = sent.Add(k.TTL - time.Duration(float64(k.TTL)*storeDrift))
}

// storeLease returns the lease, and whether it is guaranteed to be valid.
func (k *Keeper) storeLease() (store.LeaseID, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, k.lease != 0 && time.Now().Before(k.validUntil)
}

func (k *Keeper) revokeLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if lease, _ := k.storeLease(); lease != 0 {
		_ = k.Store.RevokeLease(ctx, lease)
	}
}

// stopLost stops the leaderships whose key in the store is no longer this instance's. k.mu must be
// held.
func (k *Keeper) stopLost(keys map[string]store.Entry) {
	for id, l := range k.leaderships {
		l.mu.Lock()
		lost := l.epoch != 0 && l.leader != nil && keys[id].Revision != l.epoch
		l.mu.Unlock()
		if lost && l.transition("lost") {
			l.stop()
		}
	}
}

// claimAndRelease claims the shards without a leader that are assigned to this instance, and
// releases those that stableSteps steps in a row have assigned to another one. It also claims, to lead
// or release them, the shards whose key is left over from a leadership of this instance: without an
// answer of the store, the end of a leadership may leave the key in place, and this instance renews its
// lease. k.mu must be held.
func (k *Keeper) claimAndRelease(leadCtx context.Context, keys, handovers map[string]store.Entry) {
	assigned := Assign(k.shards(handovers), k.Members())
	if k.leaderships == nil {
		k.leaderships = map[string]*leadership{}
		k.elsewhereSteps = map[string]int{}
	}
	for id, member := range assigned {
		l, known := k.leaderships[id]
		key, hasLeader := keys[id]
		leftOver := hasLeader && !known && k.lease != 0 && key.Lease == k.lease
		switch {
		case leftOver:
			k.startClaim(leadCtx, id, key, handovers[id])
		case member == k.ID && !hasLeader && !known:
			k.startClaim(leadCtx, id, key, handovers[id])
		case member == k.ID:
			k.elsewhereSteps[id] = 0
		case known:
			k.elsewhereSteps[id]++
			if k.elsewhereSteps[id] >= stableSteps && l.transition("reassigned") {
				l.stop()
			}
		}
	}
}

// shards returns all shards that have workers or had a leader before.
func (k *Keeper) shards(handovers map[string]store.Entry) []string {
	ids := map[string]bool{}
	for id := range handovers {
		ids[id] = true
	}
	for id := range k.division.divide(k.Config(), k.List()) {
		ids[id] = true
	}
	return slices.Sorted(maps.Keys(ids))
}

// startClaim starts a goroutine that claims a shard and leads it. k.mu must be held.
func (k *Keeper) startClaim(leadCtx context.Context, id string, key, handover store.Entry) {
	ctx, stop := context.WithCancel(leadCtx)
	l := &leadership{keeper: k, shard: id, state: leadershipChart.Initial(), stop: stop}
	l.transition("assigned")
	k.leaderships[id] = l
	k.elsewhereSteps[id] = 0
	k.running.Go(func() {
		defer stop()
		l.run(ctx, key, handover)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.leaderships, id)
	})
}

// mayStart reports whether this instance may start tasks: while its store lease is valid, no other
// instance can take over its shards.
func (k *Keeper) mayStart(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease != 0 && now.Before(k.validUntil)
}

// mayRenew reports whether leases of a shard's tasks may be renewed. They may as long as the store
// lease is valid or the grace time after the last successful read of the shard map has not passed.
func (k *Keeper) mayRenew(id string, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	grace := k.timing().Grace
	return now.Before(k.confirmedAt.Add(grace)) || now.Before(k.validUntil)
}

// timing returns Timing with its defaults and the limits of ListLag and TTL applied.
func (k *Keeper) timing() Timing {
	t := k.Timing
	if t == (Timing{}) {
		t = DefaultTiming()
	}
	t.RemovedAfter = max(t.RemovedAfter, k.ListLag)
	t.IdleInterval = min(cmp.Or(k.IdleInterval, t.IdleInterval), t.IdleIntervalLimit(k.TTL))
	return t
}

// LeaderOf returns the instance that leads a shard, as last read from the store.
func (k *Keeper) LeaderOf(id string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leaders[id]
}

// Shards returns all shards that have a leader, as last read from the store.
func (k *Keeper) Shards() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.leaders))
}

// leader returns the leader of a shard if this instance leads it, and otherwise a *NotLeaderError.
func (k *Keeper) leader(id string) (*Leader, error) {
	k.mu.Lock()
	l, known := k.leaderships[id]
	leaderID := k.leaders[id]
	k.mu.Unlock()
	if known {
		if leader, ok := l.current(); ok {
			return leader, nil
		}
	}
	if leaderID == k.ID {
		leaderID = ""
	}
	return nil, &NotLeaderError{Shard: id, Leader: leaderID}
}

// Calls returns the calls that are served for the shards that this instance leads.
func (k *Keeper) Calls() *Calls {
	return &Calls{
		Submit: func(ctx context.Context, id string, p task.Part) (task.Status, error) {
			leader, err := k.leader(id)
			if err != nil {
				return task.Status{}, err
			}
			return leader.Submit(ctx, p)
		},
		Describe: func(_ context.Context, id, neighbour, job string) (task.Status, error) {
			leader, err := k.leader(id)
			if err != nil {
				return task.Status{}, err
			}
			return leader.Describe(neighbour, job)
		},
		Cancel: func(ctx context.Context, id, neighbour, job string) (task.Status, error) {
			leader, err := k.leader(id)
			if err != nil {
				return task.Status{}, err
			}
			return leader.Cancel(ctx, neighbour, job)
		},
		Accounts: func(_ context.Context, id string) ([]Account, error) {
			leader, err := k.leader(id)
			if err != nil {
				return nil, err
			}
			return leader.Accounts()
		},
		Slowed: k.Slowed,
		FreeCapacity: func(_ context.Context, id, from string, families []string) ([]FreeCapacity, error) {
			leader, err := k.leader(id)
			if err != nil {
				return nil, err
			}
			return leader.FreeCapacity(from, families)
		},
		Transfer: func(ctx context.Context, id string, t Transfer) error {
			leader, err := k.leader(id)
			if err != nil {
				return err
			}
			return leader.Transfer(ctx, t)
		},
		Report: func(ctx context.Context, id string, r Report) error {
			leader, err := k.leader(id)
			if err != nil {
				return err
			}
			return leader.Report(ctx, r)
		},
	}
}

// otherShards returns the calls to the leaders of other shards, whichever instances these are.
func (k *Keeper) otherShards() *Calls {
	if k.Peer == nil {
		return nil
	}
	r := &Router{Local: k.Calls(), Peer: k.Peer}
	return &Calls{
		FreeCapacity: func(ctx context.Context, id, from string, families []string) ([]FreeCapacity, error) {
			return callLeaderOnce(r, id, func(c *Calls) ([]FreeCapacity, error) { return c.FreeCapacity(ctx, id, from, families) })
		},
		Transfer: func(ctx context.Context, id string, t Transfer) error {
			_, err := callLeaderOnce(r, id, func(c *Calls) (struct{}, error) { return struct{}{}, c.Transfer(ctx, id, t) })
			return err
		},
		Report: func(ctx context.Context, id string, t Report) error {
			_, err := callLeaderOnce(r, id, func(c *Calls) (struct{}, error) { return struct{}{}, c.Report(ctx, id, t) })
			return err
		},
	}
}
