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
	// lookInterval is the longest time between two looks at the clock of a shard without news.
	lookInterval = 500 * time.Millisecond
)

// Situation is what a holder is told of the world.
type Situation struct {
	Config  release.Config
	Listing Listing
	Quotas  Quotas
	// Version changes whenever another field does.
	Version uint64
}

// Holder holds one shard from its taking until it is given up or lost. The
// mutex guards the Core and is never held across a call.
type Holder struct {
	Shard string
	// ID is the instance, Epoch the revision of the holder's key.
	ID      string
	Epoch   int64
	Journal *journal.Log
	Workers *worker.Client
	// Others are the calls of the other shards; without them no task is handed over.
	Others *Calls
	Timing Timing
	// Interval is how often a worker is spoken to about which something is open; others less often, by Timing.Quiet.
	Interval time.Duration
	// Situation returns what is known now.
	Situation func() Situation
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
	// news takes a signal when there is something to plan or commit.
	news  chan struct{}
	wakes map[string]chan struct{}
	stops map[string]context.CancelFunc
	loops sync.WaitGroup
	lost  context.CancelFunc
	ended bool
}

// Open reads back the journal. HandedOver says that the former holder had
// stopped before this one took the shard.
func (h *Holder) Open(ctx context.Context, handedOver bool) error {
	now := time.Now()
	batches, err := h.Journal.Load(ctx)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.core = NewCore(h.Timing, now, handedOver)
	h.changed = make(chan struct{})
	h.news = make(chan struct{}, 1)
	h.wakes = map[string]chan struct{}{}
	h.stops = map[string]context.CancelFunc{}
	h.refresh(now)
	h.core.Restore(batches, now)
	return nil
}

// Run holds the shard until the context ends or it is lost. At the end of
// the context it commits what is left, and returns nil.
func (h *Holder) Run(ctx context.Context) error {
	running, lost := context.WithCancel(ctx)
	defer lost()
	h.lost = lost
	if h.Others != nil {
		h.loops.Go(func() { h.moveLoop(running) })
	}
	err := h.commitLoop(running)
	lost()
	h.mu.Lock()
	for _, stop := range h.stops {
		stop()
	}
	h.mu.Unlock()
	h.loops.Wait()
	if err == nil && ctx.Err() != nil {
		final, cancel := context.WithTimeout(context.WithoutCancel(ctx), finalCommit)
		defer cancel()
		err = h.commitOnce(final)
	}
	h.mu.Lock()
	h.ended = true
	close(h.changed)
	h.mu.Unlock()
	if err == nil && ctx.Err() == nil {
		err = &NotLeaderError{Shard: h.Shard}
	}
	return err
}

// finalCommit bounds the last commit of a planned stop.
const finalCommit = 2 * time.Second

// commitLoop plans and commits until the context ends.
func (h *Holder) commitLoop(ctx context.Context) error {
	for {
		h.mu.Lock()
		now := time.Now()
		h.refresh(now)
		h.core.Plan(now)
		h.tell()
		h.reconcile(ctx)
		h.mu.Unlock()
		if err := h.commitOnce(ctx); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if !h.rest(ctx, now) {
			return nil
		}
		if err := h.compact(ctx); err != nil {
			return err
		}
	}
}

// rest waits until the shard, last planned at a time, is to be planned again,
// and reports whether the context still holds. A shard without news waits for
// some, or for its next look at the clock.
func (h *Holder) rest(ctx context.Context, planned time.Time) bool {
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
	timer.Reset(lookInterval - commitInterval)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-h.news:
	}
	return true
}

// announce lets a shard that rests be planned; h.mu is held.
func (h *Holder) announce() {
	if h.core.IsIdle() {
		return
	}
	select {
	case h.news <- struct{}{}:
	default:
	}
}

// commitOnce commits the changes made so far, if any.
func (h *Holder) commitOnce(ctx context.Context) error {
	h.mu.Lock()
	if !h.core.HasChanges() {
		h.mu.Unlock()
		return nil
	}
	batch, number := h.core.Batch()
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
func (h *Holder) compact(ctx context.Context) error {
	if !h.Journal.NeedsCompaction() {
		return nil
	}
	h.mu.Lock()
	whole := h.core.Whole()
	h.mu.Unlock()
	err := h.Journal.Compact(ctx, whole)
	if err != nil && ctx.Err() != nil {
		return nil
	}
	h.Log.Emit(eventlog.JournalCompacted, zap.String("shard", h.Shard), zap.Int("records", whole.Len()))
	return err
}

// refresh gives the core what is new; h.mu is held.
func (h *Holder) refresh(now time.Time) {
	s := h.Situation()
	if s.Version == h.version {
		return
	}
	h.version = s.Version
	h.core.Configure(s.Config, s.Quotas)
	h.core.SetListing(s.Listing, now)
}

// change makes a change and returns once it is committed.
func (h *Holder) change(ctx context.Context, f func(c *Core, now time.Time) error) error {
	h.mu.Lock()
	if h.ended || !h.MayStart(time.Now()) {
		h.mu.Unlock()
		return &NotLeaderError{Shard: h.Shard}
	}
	err := f(h.core, time.Now())
	number := h.core.PendingBatch()
	h.announce()
	h.mu.Unlock()
	if err != nil {
		return err
	}
	return h.await(ctx, number)
}

// changeJob is change for one that returns the state of a job.
func (h *Holder) changeJob(ctx context.Context, f func(c *Core, now time.Time) (task.Status, error)) (task.Status, error) {
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

// await returns once a batch is durable.
func (h *Holder) await(ctx context.Context, number uint64) error {
	for {
		h.mu.Lock()
		done, ended, changed := h.durable >= number, h.ended, h.changed
		h.mu.Unlock()
		switch {
		case done:
			return nil
		case ended:
			return &NotLeaderError{Shard: h.Shard}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Submit accepts a part of a job once it is committed.
func (h *Holder) Submit(ctx context.Context, p task.Part) (task.Status, error) {
	return h.changeJob(ctx, func(c *Core, now time.Time) (task.Status, error) { return c.Submit(p, now) })
}

// Cancel withdraws what of a job has not ended, once that is committed.
func (h *Holder) Cancel(ctx context.Context, neighbour, id string) (task.Status, error) {
	return h.changeJob(ctx, func(c *Core, now time.Time) (task.Status, error) { return c.Cancel(neighbour, id, now) })
}

// Describe returns the state of a part of a job.
func (h *Holder) Describe(neighbour, id string) (task.Status, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return task.Status{}, &NotLeaderError{Shard: h.Shard}
	}
	return h.core.Describe(neighbour, id)
}

// Accounts returns the usage of all shares.
func (h *Holder) Accounts() ([]Account, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return nil, &NotLeaderError{Shard: h.Shard}
	}
	return h.core.Accounts(time.Now()), nil
}

// IsSole reports whether no earlier holder can still renew tasks of the shard.
func (h *Holder) IsSole(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.core.IsSole(now)
}
