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

// Inputs are the external inputs of a leader's planning, besides the shard's own state.
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
	// Interval is the time between two exchanges with a worker that needs attention, for example
	// because a task is starting there. For other workers it is longer, up to Timing.IdleInterval.
	Interval time.Duration
	// Inputs returns the current configuration, workers and quotas.
	Inputs func() Inputs
	// MayStart reports whether this instance is guaranteed to still lead the shard, so that it may
	// start tasks. MayRenew reports whether it may renew the leases of running tasks.
	MayStart func(now time.Time) bool
	MayRenew func(now time.Time) bool
	Log      *eventlog.Log

	mu   sync.Mutex
	core *Core
	// inputsVersion is the version of the inputs that were last passed to the core.
	inputsVersion uint64
	// durable is the number of the last committed batch. changed is closed and replaced when
	// durable increases.
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
func (l *Leader) Open(ctx context.Context, handedOver bool) error {
	now := time.Now()
	batches, err := l.Journal.Load(ctx)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core = NewCore(l.Timing, now, handedOver)
	l.changed = make(chan struct{})
	l.planSignal = make(chan struct{}, 1)
	l.wakeExchange = map[string]chan struct{}{}
	l.stopExchange = map[string]context.CancelFunc{}
	l.refreshInputs(now)
	l.core.Restore(batches, now)
	return nil
}

// Run leads the shard until the context ends or the shard is lost. When the context ends, Run
// completes the commit in progress, commits the remaining changes and returns nil.
func (l *Leader) Run(ctx context.Context) error {
	running, stopLeading := context.WithCancel(ctx)
	defer stopLeading()
	l.stopLeading = stopLeading
	commits, stopCommits := outlasting(running, finalCommitTimeout)
	defer stopCommits()
	if l.OtherShards != nil {
		l.loops.Go(func() { l.moveLoop(running) })
	}
	err := l.commitLoop(running, commits)
	stopLeading()
	l.mu.Lock()
	for _, stop := range l.stopExchange {
		stop()
	}
	l.mu.Unlock()
	l.loops.Wait()
	if err == nil && ctx.Err() != nil {
		err = l.commitOnce(commits)
	}
	l.mu.Lock()
	l.ended = true
	close(l.changed)
	l.mu.Unlock()
	if ctx.Err() == nil && (err == nil || commits.Err() != nil) {
		err = &NotLeaderError{Shard: l.Shard}
	}
	return err
}

// finalCommitTimeout bounds the last commits of a planned stop.
const finalCommitTimeout = 2 * time.Second

// outlasting returns a context that ends a time after another one, or when it is cancelled.
func outlasting(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	longer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	context.AfterFunc(ctx, func() { time.AfterFunc(d, cancel) })
	return longer, cancel
}

// commitLoop plans and commits until the context ends. A commit that was begun ends with the context commits only: the
// batch after it must not be committed without it.
func (l *Leader) commitLoop(ctx, commits context.Context) error {
	for {
		l.mu.Lock()
		now := time.Now()
		l.refreshInputs(now)
		l.core.Plan(now)
		l.logNotices()
		l.reconcile(ctx)
		l.mu.Unlock()
		if err := l.commitOnce(commits); err != nil {
			return err
		}
		if !l.waitForWork(ctx, now) {
			return nil
		}
		if err := l.compact(commits); err != nil {
			return err
		}
	}
}

// waitForWork waits until the shard, which was last planned at the given time, is due to be planned
// again. It returns false if the context has ended. An idle shard waits for a signal or for
// idlePlanInterval.
func (l *Leader) waitForWork(ctx context.Context, planned time.Time) bool {
	timer := time.NewTimer(commitInterval - time.Since(planned))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	}
	l.mu.Lock()
	idle := l.core.IsIdle()
	l.mu.Unlock()
	if !idle {
		return true
	}
	timer.Reset(idlePlanInterval - commitInterval)
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
	case <-l.planSignal:
	}
	return true
}

// signalPlan wakes the commit loop of an idle shard if there is something to plan. l.mu must be
// held.
func (l *Leader) signalPlan() {
	if l.core.IsIdle() {
		return
	}
	select {
	case l.planSignal <- struct{}{}:
	default:
	}
}

// commitOnce commits the changes made so far, if there are any.
func (l *Leader) commitOnce(ctx context.Context) error {
	l.mu.Lock()
	if !l.core.HasChanges() {
		l.mu.Unlock()
		return nil
	}
	batch, number := l.core.TakeBatch()
	l.mu.Unlock()
	if err := l.Journal.Append(ctx, batch); err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range l.core.Committed(number) {
		l.wake(id)
	}
	l.durable = number
	close(l.changed)
	l.changed = make(chan struct{})
	return nil
}

// compact replaces the journal's log by a snapshot if the log has grown large.
func (l *Leader) compact(ctx context.Context) error {
	if !l.Journal.NeedsCompaction() {
		return nil
	}
	l.mu.Lock()
	state := l.core.Snapshot()
	l.mu.Unlock()
	err := l.Journal.Compact(ctx, state)
	if err != nil && ctx.Err() != nil {
		return nil
	}
	l.Log.Emit(eventlog.JournalCompacted, zap.String("shard", l.Shard), zap.Int("records", state.Len()))
	return err
}

// refreshInputs passes the inputs to the core if they have changed. l.mu must be held.
func (l *Leader) refreshInputs(now time.Time) {
	inputs := l.Inputs()
	if inputs.Version == l.inputsVersion {
		return
	}
	l.inputsVersion = inputs.Version
	l.core.Configure(inputs.Config, inputs.Quotas)
	l.core.SetListing(inputs.Listing, now)
}

// change applies a change to the core and returns once the change is committed.
func (l *Leader) change(ctx context.Context, f func(c *Core, now time.Time) error) error {
	l.mu.Lock()
	if l.ended || !l.MayStart(time.Now()) {
		l.mu.Unlock()
		return &NotLeaderError{Shard: l.Shard}
	}
	err := f(l.core, time.Now())
	number := l.core.PendingBatch()
	l.signalPlan()
	l.mu.Unlock()
	if err != nil {
		return err
	}
	return l.awaitBatch(ctx, number)
}

// changeJob is like change, for changes that return the status of a job.
func (l *Leader) changeJob(ctx context.Context, f func(c *Core, now time.Time) (task.Status, error)) (task.Status, error) {
	var status task.Status
	err := l.change(ctx, func(c *Core, now time.Time) error {
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
func (l *Leader) awaitBatch(ctx context.Context, number uint64) error {
	for {
		l.mu.Lock()
		done, ended, changed := l.durable >= number, l.ended, l.changed
		l.mu.Unlock()
		switch {
		case done:
			return nil
		case ended:
			return &NotLeaderError{Shard: l.Shard}
		case ctx.Err() != nil:
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Submit accepts a range of a job's tasks. It returns once the tasks are committed.
func (l *Leader) Submit(ctx context.Context, p task.Part) (task.Status, error) {
	return l.changeJob(ctx, func(c *Core, now time.Time) (task.Status, error) { return c.Submit(p, now) })
}

// Cancel cancels the tasks of a job that have not ended. It returns once the cancellation is
// committed.
func (l *Leader) Cancel(ctx context.Context, neighbour, id string) (task.Status, error) {
	return l.changeJob(ctx, func(c *Core, now time.Time) (task.Status, error) { return c.Cancel(neighbour, id, now) })
}

// Describe returns the status of the tasks of a job that this shard is responsible for, as far as it
// is durable.
func (l *Leader) Describe(neighbour, id string) (task.Status, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return task.Status{}, &NotLeaderError{Shard: l.Shard}
	}
	return l.core.DescribeStored(neighbour, id)
}

// Accounts returns the usage of all shares in this shard.
func (l *Leader) Accounts() ([]Account, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil, &NotLeaderError{Shard: l.Shard}
	}
	return l.core.Accounts(time.Now()), nil
}

// IsExclusive reports whether no previous leader can still renew tasks of the shard.
func (l *Leader) IsExclusive(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.IsExclusive(now)
}
