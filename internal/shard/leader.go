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
	// commitInterval is the shortest time between two commits of a shard.
	commitInterval = 100 * time.Millisecond
	// idlePlanInterval is the longest time between two calls of Core.Plan in a shard that has
	// nothing to plan or commit.
	idlePlanInterval = 500 * time.Millisecond
)

// Inputs are what a leader plans with, apart from the shard's own state.
type Inputs struct {
	Config  release.Config
	Listing Listing
	Quotas  Quotas
	// Version changes whenever another field does.
	Version uint64
}

// Leader leads one shard until it is released or lost. The mutex guards the Core and is never held
// across a call to the store, a worker or a peer.
type Leader struct {
	Shard string
	// ID is the instance. Epoch is the revision of the leader's key, which is the fencing token of
	// this leadership.
	ID      string
	Epoch   int64
	Journal *journal.Log
	Workers *worker.Client
	// OtherShards calls the leaders of other shards. If it is nil, no task is handed over.
	OtherShards *Calls
	Timing      Timing
	// Interval is the time between two exchanges with a worker that needs attention. Other workers
	// are contacted less often, at most after Timing.IdleInterval.
	Interval time.Duration
	// Inputs returns the current configuration, workers and quotas.
	Inputs func() Inputs
	// MayStart reports whether this instance is guaranteed to still lead the shard, so that it may
	// start tasks. MayRenew reports whether it may renew the leases of running tasks.
	MayStart func(now time.Time) bool
	MayRenew func(now time.Time) bool
	Log      *eventlog.Log

	mu      sync.Mutex
	core    *Core
	version uint64
	// durable is the last committed batch. changed is closed and replaced when durable increases.
	durable uint64
	changed chan struct{}
	// planSignal receives a value when there is something to plan or commit.
	planSignal   chan struct{}
	wakeExchange map[string]chan struct{}
	stopExchange map[string]context.CancelFunc
	loops        sync.WaitGroup
	stopLeading  context.CancelFunc
	ended        bool
}

// Open restores the state from the journal. handedOver is set if the previous leader is known to
// have stopped before this one took over the shard.
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

// Run leads the shard until the context ends or the shard is lost. When the context ends, Run
// commits the remaining changes and returns nil.
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

// waitForWork waits until the shard, which was last planned at the given time, is due to be planned
// again. It returns false if the context has ended. An idle shard waits for a signal or for
// idlePlanInterval.
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

// signalPlan wakes the commit loop of an idle shard if there is something to plan. h.mu must be
// held.
func (h *Leader) signalPlan() {
	if h.core.IsIdle() {
		return
	}
	select {
	case h.planSignal <- struct{}{}:
	default:
	}
}

// commitOnce commits the changes made so far, if there are any.
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

// compact replaces the journal's log by a snapshot if the log has grown large.
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

// refreshInputs passes the inputs to the core if they have changed. h.mu must be held.
func (h *Leader) refreshInputs(now time.Time) {
	s := h.Inputs()
	if s.Version == h.version {
		return
	}
	h.version = s.Version
	h.core.Configure(s.Config, s.Quotas)
	h.core.SetListing(s.Listing, now)
}

// change applies a change to the core and returns once the change is committed.
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

// changeJob is like change, for changes that return the status of a job.
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

// Submit accepts a range of a job's tasks. It returns once that is committed.
func (h *Leader) Submit(ctx context.Context, p task.Part) (task.Status, error) {
	return h.changeJob(ctx, func(c *Core, now time.Time) (task.Status, error) { return c.Submit(p, now) })
}

// Cancel cancels the tasks of a job that have not ended. It returns once that is committed.
func (h *Leader) Cancel(ctx context.Context, neighbour, id string) (task.Status, error) {
	return h.changeJob(ctx, func(c *Core, now time.Time) (task.Status, error) { return c.Cancel(neighbour, id, now) })
}

// Describe returns the status of the tasks of a job that this shard is responsible for.
func (h *Leader) Describe(neighbour, id string) (task.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return task.Status{}, &NotHolderError{Shard: h.Shard}
	}
	return h.core.Describe(neighbour, id)
}

// Accounts returns the usage of all shares in this shard.
func (h *Leader) Accounts() ([]Account, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return nil, &NotHolderError{Shard: h.Shard}
	}
	return h.core.Accounts(time.Now()), nil
}

// IsExclusive reports whether no previous leader can still renew tasks of the shard.
func (h *Leader) IsExclusive(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.IsExclusive(now)
}
