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
	// renewalSlack lets a renewal fall on the step that is nearest to it.
	renewalSlack = 50 * time.Millisecond
	// settledSteps is how many steps in a row assign a shard to another member before it is given up.
	settledSteps = 3
	// storeDrift is the greatest rate by which the store's clock may run faster than this one.
	storeDrift = 0.01
	// maxStepInterval bounds the time between two looks at the shard map.
	maxStepInterval = 500 * time.Millisecond
)

// Keeper holds the shards that belong to one instance. Its fields are set
// before Run.
type Keeper struct {
	ID      string
	Store   *store.Client
	Workers *worker.Client
	// TTL is that of the lease under which the shards are held.
	TTL time.Duration
	// Interval is how often a worker is spoken to about which something is open.
	Interval time.Duration
	// IdleInterval is the longest time between two exchanges with a worker; zero takes Timing's.
	IdleInterval time.Duration
	// ListLag is how far the platform's list may lag; no worker counts as gone sooner.
	ListLag time.Duration
	// Timing is by default DefaultTiming.
	Timing Timing
	// Members, Config and List return what is known now.
	Members func() []Member
	Config  func() release.Config
	List    func() roster.List
	// Peer returns the calls of another instance; without it no task goes from shard to shard.
	Peer func(instance string) (*Calls, error)
	Log  *eventlog.Log

	uses atomic.Int64

	mu sync.Mutex
	// lease is the store's lease, renewed at renewedAt, which surely holds until validUntil.
	lease      store.LeaseID
	renewedAt  time.Time
	validUntil time.Time
	// holders are the holders of all shards as last read; each was confirmed to be so no earlier than confirmedAt.
	holders     map[string]string
	confirmedAt time.Time
	holds       map[string]*hold
	strange     map[string]int
	outlook     outlook
	running     sync.WaitGroup
}

// Run takes and gives up shards until the context ends; then it gives up all.
func (k *Keeper) Run(ctx context.Context) error {
	holding, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ticker := time.NewTicker(min(maxStepInterval, k.TTL/renewalsPerTTL))
	defer ticker.Stop()
	for {
		if err := k.step(ctx, holding); err != nil && ctx.Err() == nil {
			k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			stop()
			k.running.Wait()
			k.giveUpLease()
			return nil
		case <-ticker.C:
		}
	}
}

func (k *Keeper) step(ctx, holding context.Context) error {
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
	holders := map[string]string{}
	for _, e := range s.Entries {
		if id, ok := shardOf(e.Key, holderKey); ok {
			keys[id] = e
			holders[id] = string(e.Value)
		}
		if id, ok := shardOf(e.Key, handoverKey); ok {
			handovers[id] = e
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.holders = holders
	k.confirmedAt = sent
	k.dropLost(keys)
	if k.Config().Revision == 0 {
		return nil
	}
	k.settle(holding, keys, handovers)
	return nil
}

func shardOf(key, suffix string) (string, bool) {
	id, ok := strings.CutSuffix(key, suffix)
	return strings.TrimPrefix(id, MapPrefix), ok
}

// renewalDue reports whether the lease is to be renewed, or there is none.
func (k *Keeper) renewalDue(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease == 0 || now.Sub(k.renewedAt) >= k.TTL/renewalsPerTTL-renewalSlack
}

// renew keeps the lease, or gets a new one if it has lapsed.
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
		var lapsed *store.LeaseExpiredError
		if !errors.As(err, &lapsed) {
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

// storeLease returns the lease, and whether it surely holds.
func (k *Keeper) storeLease() (store.LeaseID, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease, k.lease != 0 && time.Now().Before(k.validUntil)
}

func (k *Keeper) giveUpLease() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if lease, _ := k.storeLease(); lease != 0 {
		_ = k.Store.RevokeLease(ctx, lease)
	}
}

// dropLost ends the holds whose key is no longer this holder's; k.mu is held.
func (k *Keeper) dropLost(keys map[string]store.Entry) {
	for id, h := range k.holds {
		h.mu.Lock()
		lost := h.epoch != 0 && h.holder != nil && keys[id].Revision != h.epoch
		h.mu.Unlock()
		if lost && h.on("lost") {
			h.stop()
		}
	}
}

// settle takes the free shards that belong here, and gives up those that
// steadily belong elsewhere; k.mu is held.
func (k *Keeper) settle(holding context.Context, keys, handovers map[string]store.Entry) {
	assigned := Assign(k.shards(handovers), k.Members())
	if k.holds == nil {
		k.holds = map[string]*hold{}
		k.strange = map[string]int{}
	}
	for id, member := range assigned {
		h, known := k.holds[id]
		_, held := keys[id]
		switch {
		case member == k.ID && !held && !known:
			k.take(holding, id, keys[id], handovers[id])
		case member == k.ID:
			k.strange[id] = 0
		case known:
			k.strange[id]++
			if k.strange[id] >= settledSteps && h.on("reassigned") {
				h.stop()
			}
		}
	}
}

// shards returns all shards that have workers or a state.
func (k *Keeper) shards(handovers map[string]store.Entry) []string {
	all := map[string]bool{}
	for id := range handovers {
		all[id] = true
	}
	for id := range k.outlook.divide(k.Config(), k.List()) {
		all[id] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// take begins to take a shard; k.mu is held.
func (k *Keeper) take(holding context.Context, id string, key, handover store.Entry) {
	ctx, stop := context.WithCancel(holding)
	h := &hold{keeper: k, shard: id, state: holdChart.Initial(), stop: stop}
	h.on("assigned")
	k.holds[id] = h
	k.strange[id] = 0
	k.running.Go(func() {
		defer stop()
		h.run(ctx, key, handover)
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.holds, id)
	})
}

// mayStart reports whether no other instance can have taken a shard of this one.
func (k *Keeper) mayStart(now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.lease != 0 && now.Before(k.validUntil)
}

// mayRenew reports whether tasks of a shard may go on: for the grace time
// after the store last said that the shard is held here.
func (k *Keeper) mayRenew(id string, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	grace := k.timing().Grace
	return now.Before(k.confirmedAt.Add(grace)) || now.Before(k.validUntil)
}

func (k *Keeper) timing() Timing {
	t := k.Timing
	if t == (Timing{}) {
		t = DefaultTiming()
	}
	t.GoneAfter = max(t.GoneAfter, k.ListLag)
	t.Quiet = min(cmp.Or(k.IdleInterval, t.Quiet), t.QuietLimit(k.TTL))
	return t
}

// LeaderOf returns the instance that holds a shard, as last read.
func (k *Keeper) LeaderOf(id string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holders[id]
}

// Shards returns all shards that have a holder, as last read.
func (k *Keeper) Shards() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Sorted(maps.Keys(k.holders))
}

// holder returns the holder of a shard that is held here.
func (k *Keeper) holder(id string) (*Holder, error) {
	k.mu.Lock()
	h, known := k.holds[id]
	other := k.holders[id]
	k.mu.Unlock()
	if known {
		if holder, ok := h.current(); ok {
			return holder, nil
		}
	}
	if other == k.ID {
		other = ""
	}
	return nil, &NotLeaderError{Shard: id, Leader: other}
}

// Calls returns the calls that the shards held here answer.
func (k *Keeper) Calls() *Calls {
	return &Calls{
		Submit: func(ctx context.Context, id string, p task.Part) (task.Status, error) {
			h, err := k.holder(id)
			if err != nil {
				return task.Status{}, err
			}
			return h.Submit(ctx, p)
		},
		Describe: func(_ context.Context, id, neighbour, job string) (task.Status, error) {
			h, err := k.holder(id)
			if err != nil {
				return task.Status{}, err
			}
			return h.Describe(neighbour, job)
		},
		Cancel: func(ctx context.Context, id, neighbour, job string) (task.Status, error) {
			h, err := k.holder(id)
			if err != nil {
				return task.Status{}, err
			}
			return h.Cancel(ctx, neighbour, job)
		},
		Accounts: func(_ context.Context, id string) ([]Account, error) {
			h, err := k.holder(id)
			if err != nil {
				return nil, err
			}
			return h.Accounts()
		},
		Slowed: k.Slowed,
		FreeCapacity: func(_ context.Context, id, from string, families []string) ([]FreeCapacity, error) {
			h, err := k.holder(id)
			if err != nil {
				return nil, err
			}
			return h.Room(from, families)
		},
		Transfer: func(ctx context.Context, id string, t Transfer) error {
			h, err := k.holder(id)
			if err != nil {
				return err
			}
			return h.Transfer(ctx, t)
		},
		Report: func(ctx context.Context, id string, r Report) error {
			h, err := k.holder(id)
			if err != nil {
				return err
			}
			return h.Report(ctx, r)
		},
	}
}

// others returns the calls of a holder to other shards, whoever holds them.
func (k *Keeper) others() *Calls {
	if k.Peer == nil {
		return nil
	}
	r := &Router{Local: k.Calls(), Peer: k.Peer}
	return &Calls{
		FreeCapacity: func(ctx context.Context, id, from string, families []string) ([]FreeCapacity, error) {
			return atOnce(r, id, func(c *Calls) ([]FreeCapacity, error) { return c.FreeCapacity(ctx, id, from, families) })
		},
		Transfer: func(ctx context.Context, id string, t Transfer) error {
			_, err := atOnce(r, id, func(c *Calls) (struct{}, error) { return struct{}{}, c.Transfer(ctx, id, t) })
			return err
		},
		Report: func(ctx context.Context, id string, t Report) error {
			_, err := atOnce(r, id, func(c *Calls) (struct{}, error) { return struct{}{}, c.Report(ctx, id, t) })
			return err
		},
	}
}
