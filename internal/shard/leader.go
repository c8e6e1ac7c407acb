package shard

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// commitInterval is the least time between two commits of a shard.
	commitInterval = 100 * time.Millisecond
	// idlePlanInterval is the longest time between two looks at the clock of a shard without news.
	idlePlanInterval = 500 * time.Millisecond
)

// Inputs is what a holder is told of the world.
type Inputs struct {
	Config  release.Config
	Listing Listing
	Quotas  Quotas
	// Version changes whenever another field does.
	Version uint64
}

// Leader holds one shard from its taking until it is given up or lost. The
// mutex guards the Core and is never held across a call.
type Leader struct {
	Shard string
	// ID is the instance, Epoch the revision of the holder's key.
	ID      string
	Epoch   int64
	Journal *journal.Log
	Workers *worker.Client
	// OtherShards are the calls of the other shards; without them no task is handed over.
	OtherShards *Calls
	Timing      Timing
	// Interval is how often a worker is spoken to about which something is open; others less often, by Timing.IdleInterval.
	Interval time.Duration
	// Inputs returns what is known now.
	Inputs func() Inputs
	// MayStart reports whether the shard is surely still held, MayRenew whether what runs may go on.
	MayStart func(now time.Time) bool
	MayRenew func(now time.Time) bool
	Log      *eventlog.Log

	mu      sync.Mutex
	core    *Core
	version uint64
	// durable is the last committed batch; changed is closed and replaced when it grows.
	durable uint64
	changed chan struct{}
	// planSignal takes a signal when there is something to plan or commit.
	planSignal   chan struct{}
	wakeExchange map[string]chan struct{}
	stopExchange map[string]context.CancelFunc
	loops        sync.WaitGroup
	stopLeading  context.CancelFunc
	ended        bool
}

// Open reads back the journal. HandedOver says that the former holder had
// stopped before this one took the shard.
func (h *Leader) Open(ctx context.Context, handedOver bool) error {
	now := time.Now()
	batches, err := h.Journal.Load(ctx)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core = NewCore(h.Timing, now, handedOver)
	h.changed = make(chan struct{})
	h.planSignal = make(chan struct{}, 1)
	h.wakeExchange = map[string]chan struct{}{}
	h.stopExchange = map[string]context.CancelFunc{}
	h.refreshInputs(now)
	h.core.Restore(batches, now)
	return nil
}

// Run holds the shard until the context ends or it is lost. At the end of
// the context it commits what is left, and returns nil.
func (h *Leader) Run(ctx context.Context) error {
	running, stopLeading := context.WithCancel(ctx)
	defer stopLeading()
	h.stopLeading = stopLeading
	if h.OtherShards != nil {
		h.loops.Go(func() { h.moveLoop(running) })
	}
	err := h.commitLoop(running)
	stopLeading()
	h.mu.Lock()
	for _, stop := range h.stopExchange {
		stop()
	}
	h.mu.Unlock()
	h.loops.Wait()
	if err == nil && ctx.Err() != nil {
		final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalCommitTimeout)
		defer cancel()
		err = h.commitOnce(final)
	}
	h.mu.Lock()
	h.ended = true
	close(h.changed)
	h.mu.Unlock()
	if err == nil && ctx.Err() == nil {
		err = &NotHolderError{Shard: h.Shard}
	}
	return err
}

// finalCommitTimeout bounds the last commit of a planned stop.
const finalCommitTimeout = 2 * time.Second

// commitLoop plans and commits until the context ends.
func (h *Leader) commitLoop(ctx context.Context) error {
	for {
		h.mu.Lock()
		now := time.Now()
		h.refreshInputs(now)
		h.core.Plan(now)
		h.logNotices()
		h.reconcile(ctx)
		h.mu.Unlock()
		if err := h.commitOnce(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if !h.waitForWork(ctx, now) {
			return nil
		}
		if err := h.compact(ctx); err != nil {
			return err
		}
	}
}

// waitForWork waits until the shard, last planned at a time, is to be planned again,
// and reports whether the context still holds. A shard without news waits for
// some, or for its next look at the clock.
func (h *Leader) waitForWork(ctx context.Context, planned time.Time) bool {
	timer := time.NewTimer(commitInterval - time.Since(planned))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	h.mu.Lock()
	idle := h.core.IsIdle()
	h.mu.Unlock()
	if !idle {
		return true
	}
	timer.Reset(idlePlanInterval - commitInterval)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-h.planSignal:
	}
	return true
}

// signalPlan lets a shard that rests be planned; h.mu is held.
func (h *Leader) signalPlan() {
	if h.core.IsIdle() {
		return
	}
	select {
	case h.planSignal <- struct{}{}:
	default:
	}
}

// commitOnce commits the changes made so far, if any.
func (h *Leader) commitOnce(ctx context.Context) error {
	h.mu.Lock()
	if !h.core.HasChanges() {
		h.mu.Unlock()
		return nil
	}
	batch, number := h.core.TakeBatch()
	h.mu.Unlock()
	if err := h.Journal.Append(ctx, batch); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, id := range h.core.Committed(number) {
		h.wake(id)
	}
	h.durable = number
	close(h.changed)
	h.changed = make(chan struct{})
	return nil
}

// compact replaces the log by a snapshot when it has grown.
func (h *Leader) compact(ctx context.Context) error {
	if !h.Journal.NeedsCompaction() {
		return nil
	}
	h.mu.Lock()
	whole := h.core.Snapshot()
	h.mu.Unlock()
	err := h.Journal.Compact(ctx, whole)
	if err != nil && ctx.Err() != nil {
		return nil
	}
	h.Log.Emit(eventlog.JournalCompacted, zap.String("shard", h.Shard), zap.Int("records", whole.Len()))
	return err
}

// refreshInputs gives the core what is new; h.mu is held.
func (h *Leader) refreshInputs(now time.Time) {
	s := h.Inputs()
	if s.Version == h.version {
		return
	}
	h.version = s.Version
	h.core.Configure(s.Config, s.Quotas)
	h.core.SetListing(s.Listing, now)
}

// change makes a change and returns once it is committed.
func (h *Leader) change(ctx context.Context, f func(c *Core, now time.Time) error) error {
	h.mu.Lock()
	if h.ended || !h.MayStart(time.Now()) {
		h.mu.Unlock()
		return &NotHolderError{Shard: h.Shard}
	}
	err := f(h.core, time.Now())
	number := h.core.PendingBatch()
	h.signalPlan()
	h.mu.Unlock()
	if err != nil {
		return err
	}
	return h.awaitBatch(ctx, number)
}

// changeJob is change for one that returns the state of a job.
func (h *Leader) changeJob(ctx context.Context, f func(c *Core, now time.Time) (task.Status, error)) (task.Status, error) {
	var status task.Status
	err := h.change(ctx, func(c *Core, now time.Time) error {
		s, err := f(c, now)
		status = s
		return err
	})
	if err != nil {
		return task.Status{}, err
	}
	return status, nil
}

// awaitBatch returns once a batch is durable.
func (h *Leader) awaitBatch(ctx context.Context, number uint64) error {
	for {
		h.mu.Lock()
		done, ended, changed := h.durable >= number, h.ended, h.changed
		h.mu.Unlock()
		switch {
		case done:
			return nil
		case ended:
			return &NotHolderError{Shard: h.Shard}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Submit accepts a part of a job once it is committed.
func (h *Leader) Submit(ctx context.Context, p task.Part) (task.Status, error) {
	return h.changeJob(ctx, func(c *Core, now time.Time) (task.Status, error) { return c.Submit(p, now) })
}

// Cancel withdraws what of a job has not ended, once that is committed.
func (h *Leader) Cancel(ctx context.Context, neighbour, id string) (task.Status, error) {
	return h.changeJob(ctx, func(c *Core, now time.Time) (task.Status, error) { return c.Cancel(neighbour, id, now) })
}

// Describe returns the state of a part of a job.
func (h *Leader) Describe(neighbour, id string) (task.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return task.Status{}, &NotHolderError{Shard: h.Shard}
	}
	return h.core.Describe(neighbour, id)
}

// Accounts returns the usage of all shares.
func (h *Leader) Accounts() ([]Account, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return nil, &NotHolderError{Shard: h.Shard}
	}
	return h.core.Accounts(time.Now()), nil
}

// IsExclusive reports whether no earlier holder can still renew tasks of the shard.
func (h *Leader) IsExclusive(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.IsExclusive(now)
}
