package scheduler

import (
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/actor"
	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Leader is one term of a node as leader of a cell. It keeps the cell's jobs and
// workers in a batch.Core, commits its changes to the store and calls the workers.
type Leader struct {
	Cell batch.Cell
	// Token is the fencing token of the term: workers and the store reject commands
	// and commits under lower tokens.
	Token   int64
	ID      string
	Store   *store.Client
	Workers Workers
	Timing  batch.Timing
	// MaxStoreValue is that of the Scheduler.
	MaxStoreValue int
	WorkerPrefix  string
	DecodeWorker  func(key string, value []byte) (batch.WorkerInfo, error)
	// Evacuations are those of the Scheduler.
	Evacuations *EvacuationKeys
	Log         *eventlog.Log
	Metrics     *Metrics
	// Now returns the monotonic time.
	Now func() time.Time

	keys keys
	// terms is the record of the cell's terms.
	terms *terms
	stop  context.CancelFunc

	// leaseMu guards leaseUntil. The lease is renewed while mu is locked, so that a long plan does
	// not end the term.
	leaseMu sync.Mutex
	// leaseUntil is the earliest time at which the lease on the leader's key may expire.
	leaseUntil time.Time

	// renewalsSuspended means that leases are not renewed, for want of witnesses.
	renewalsSuspended atomic.Bool

	mu        sync.Mutex
	core      *batch.Core
	pollers   map[string]*poller
	endReason string
	// corePanicked means that a panic has cut off a change of the core, so that nothing of it is stored any more.
	corePanicked bool
	// uncommittedSince is when the first commit was sent that the store has not carried out since, zero
	// if it has carried out the last one. unansweredCommit is the stamp of the commit in progress if one
	// of its tries has no answer, so that it may take effect later.
	uncommittedSince time.Time
	unansweredCommit string
	// commitStartedAt is when the commit in progress was first sent, zero if there is none.
	commitStartedAt time.Time
	// lastCommit is the stamp of the last commit that the store has carried out, by an earlier leader at first.
	lastCommit string
	// ended is closed once the term has ended and none of its commits is in progress.
	ended chan struct{}
	// fenced is true once a worker has rejected a poll because it has seen a newer leader.
	fenced bool
	// inbox has, by job ID, the keys of the inbox entries that were read and are to be removed with the job's record.
	inbox map[string][]inboxKey

	// unreadableKeys are the revisions of the evacuation keys that were logged as unreadable.
	unreadableKeys map[string]int64

	// spent is what the leader spent its time on since that was last logged.
	spent timeSpent

	// headRevision is the revision of the head, the key that names the cell's latest commit.
	headRevision     int64
	commitSequence   int64
	learnedWrittenAt time.Time
	planNeeded       chan struct{}
	commitNeeded     chan struct{}
	goroutines       sync.WaitGroup
	// startSlots limits the number of concurrent start commands.
	startSlots chan struct{}
	timeouts   answerTimeouts
	// startPoller starts a poller that runs until the term ends.
	startPoller func(id string, p *poller)
}

// TermEndedError means that a term has ended, and why.
type TermEndedError struct {
	Reason string
}

// Error returns the reason.
func (e *TermEndedError) Error() string { return "term ended: " + e.Reason }

const (
	// maxPlanInterval is how often the core plans when nothing has changed but the time.
	maxPlanInterval = 100 * time.Millisecond
	// minPlanInterval is the minimum time between the beginnings of two plans, so that changes are
	// handled together.
	minPlanInterval = 8 * time.Millisecond
	// The pause after a plan is planPauseFactor times as long as the plan, so that plans take at most
	// a quarter of the time: polls, commits and callers wait while the core plans. It is at most
	// maxPlanPause, since a plan also seems long if the process was suspended meanwhile.
	planPauseFactor = 3
	maxPlanPause    = time.Second
	// baseCommitInterval is the minimum time between two commits of a single cell, so that
	// changes share a commit. To limit the load of the store, it is multiplied by the number of
	// cells, up to maxCommitInterval: a small fraction of the run time of the shortest tasks.
	baseCommitInterval = 8 * time.Millisecond
	maxCommitInterval  = 24 * time.Millisecond
	// workerUpdateInterval spaces updates of the worker list, which changes hundreds of times a
	// second in a large pool. It is short, so that a worker that has announced its departure
	// gets no start commands seconds later.
	workerUpdateInterval = 100 * time.Millisecond
	// commitTimeout bounds one try of a commit.
	commitTimeout = 700 * time.Millisecond
	// maxCommitEntries is the maximum number of conditions and writes that the store accepts in one commit.
	maxCommitEntries = 32
	// maxCommitRecords is the maximum number of job records in one commit. It leaves space for
	// the conditions, the head and some inbox keys.
	maxCommitRecords = 20
	// maxConcurrentStarts bounds the start commands under way: 330 starts a second if
	// each answer takes two thirds of a second.
	maxConcurrentStarts = 256
)

// leaseRenewed extends the lease by a renewal that was sent at the given time.
func (l *Leader) leaseRenewed(sent time.Time) {
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()
	if until := sent.Add(lease.Shorter(leaderTTL)); until.After(l.leaseUntil) {
		l.leaseUntil = until
	}
}

// renewalsEnd returns until when leases at workers are renewed at the latest although the store does not
// answer. See mayRenew.
func (l *Leader) renewalsEnd() time.Time {
	return l.leaseEnd().Add(lease.Shorter(l.Timing.RenewGrace))
}

// isLeaseValid reports whether the lease is still valid, so that there can be no other leader.
func (l *Leader) isLeaseValid(now time.Time) bool { return now.Before(l.leaseEnd()) }

// leaseEnd returns the earliest time at which the lease on the leader's key may expire.
func (l *Leader) leaseEnd() time.Time {
	l.leaseMu.Lock()
	defer l.leaseMu.Unlock()
	return l.leaseUntil
}

// endTerm ends the term; the first reason is reported.
func (l *Leader) endTerm(reason string) {
	l.mu.Lock()
	if l.endReason == "" {
		l.endReason = reason
	}
	l.mu.Unlock()
	l.stop()
}

// supersede ends the term because another leader was elected.
func (l *Leader) supersede() { go l.endTerm("another leader was elected") }

func (l *Leader) jobCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.JobCount()
}

// restore reads the cell's records from the store. It has no timeout of its own, since its duration
// depends on the number of jobs; it stops with the term.
func (l *Leader) restore(ctx context.Context, table batch.QueueConfig, unreachedLimit time.Duration) error {
	now := l.Now()
	r, err := l.readRecords(ctx)
	if err != nil {
		return err
	}
	core := batch.NewCore(l.Timing, now, now.Add(unreachedLimit))
	l.terms.checkHead(string(r.head.Value), r.head.Revision != 0, l.Now())
	switch {
	case l.terms.first && r.head.Revision == 0:
		core.SetFirstTerm()
	case l.terms.inherited != nil && len(l.terms.openAt(l.Now())) == 0:
		core.SetContacts(*l.terms.inherited)
	}
	core.SetCell(l.Cell)
	core.SetWallOffset(l.wallClockOffset())
	core.SetRecordLimit(l.MaxStoreValue)
	core.SetQueueConfig(table)
	l.restoreEvacuations(core, r.evacuated, now)
	for _, e := range r.jobs.Entries {
		if err := l.restoreRecord(core, e.Value, now); err != nil {
			l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.Error(err))
			core.SetUnreadableJob(strings.TrimPrefix(e.Key, l.keys.jobs))
		}
	}
	l.headRevision, l.lastCommit = r.head.Revision, string(r.head.Value)
	core.LimitRenewals(l.terms.renewalsEnd(l.Now()))
	if r.learned.Revision != 0 {
		if err := core.RestoreEffects(r.learned.Value); err != nil {
			l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", l.keys.learned), zap.Error(err))
		}
	}
	if r.unresponsive.Revision != 0 {
		if err := core.RestoreUnresponsive(r.unresponsive.Value, now); err != nil {
			l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", l.keys.unresponsive), zap.Error(err))
		}
	}
	l.core = core
	l.pollers = map[string]*poller{}
	l.inbox = map[string][]inboxKey{}
	l.planNeeded = make(chan struct{}, 1)
	l.commitNeeded = make(chan struct{}, 1)
	l.startSlots = make(chan struct{}, maxConcurrentStarts)
	l.ended = make(chan struct{})
	l.acceptInbox(r.inbox.Entries)
	return nil
}

// records are what a cell has in the store. Entries that do not exist are zero.
type records struct {
	jobs, inbox, evacuated      store.Snapshot
	head, learned, unresponsive store.Entry
}

// readRecords reads the cell's records. The reads run at the same time: since this leader has the
// cell's key, no other one changes the records, and only submissions are added to the inbox.
func (l *Leader) readRecords(ctx context.Context) (records, error) {
	var r records
	list := func(to *store.Snapshot, prefix string) func() error {
		return func() (err error) {
			*to, err = l.Store.List(ctx, prefix)
			return err
		}
	}
	read := func(to *store.Entry, key string) func() error {
		return func() error {
			e, found, err := l.Store.Read(ctx, key)
			if found {
				*to = e
			}
			return err
		}
	}
	reads := []func() error{
		list(&r.jobs, l.keys.jobs), list(&r.inbox, l.keys.inbox),
		read(&r.head, l.keys.head), read(&r.learned, l.keys.learned), read(&r.unresponsive, l.keys.unresponsive),
	}
	if l.Evacuations != nil {
		reads = append(reads, list(&r.evacuated, l.Evacuations.Prefix))
	}
	errs := make([]error, len(reads))
	var done sync.WaitGroup
	for i, read := range reads {
		done.Go(func() { errs[i] = read() })
	}
	done.Wait()
	return r, errors.Join(errs...)
}

// run serves the term until it ends or the context ends.
func (l *Leader) run(ctx context.Context) error {
	var g run.Group
	workers := &store.Follower{
		Client: l.Store, Prefix: l.WorkerPrefix,
		Snapshot: l.workerSnapshot, Update: l.workerUpdate, Spacing: workerUpdateInterval, OnFailure: l.logStoreFailure("workers"), OnRecovery: l.logStoreRecovery("workers"),
	}
	inbox := &store.Follower{
		Client: l.Store, Prefix: l.keys.inbox,
		Snapshot: l.inboxSnapshot, Update: l.inboxUpdate, OnFailure: l.logStoreFailure("inbox"), OnRecovery: l.logStoreRecovery("inbox"),
	}
	l.startPoller = func(id string, p *poller) { l.startPolling(ctx, id, p) }
	actor.Loop(ctx, &g, workers.Run)
	actor.Loop(ctx, &g, inbox.Run)
	actor.Loop(ctx, &g, l.planLoop)
	actor.Loop(ctx, &g, l.commitLoop)
	actor.Loop(ctx, &g, l.logLoad)
	actor.Loop(ctx, &g, l.recordWitnesses)
	if l.Evacuations != nil {
		actor.Loop(ctx, &g, l.followEvacuations)
	}
	if !l.Cell.IsWhole() {
		actor.Loop(ctx, &g, l.exchangeLoads)
		actor.Loop(ctx, &g, l.removeForwardingRecords)
	}
	err := g.Run()
	l.stop()
	l.endSubmissions()
	l.goroutines.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && l.endReason != "" {
		err = &TermEndedError{Reason: l.endReason}
	}
	return err
}

func (l *Leader) logStoreFailure(use string) func(error) {
	return func(err error) { l.Log.Emit(eventlog.StoreUnavailable, zap.String("use", use), zap.Error(err)) }
}

func (l *Leader) logStoreRecovery(use string) func() {
	return func() { l.Log.Emit(eventlog.StoreRecovered, zap.String("use", use)) }
}

func (l *Leader) setTable(t batch.QueueConfig) {
	l.mu.Lock()
	l.core.SetQueueConfig(t)
	l.mu.Unlock()
	l.signal(l.planNeeded)
}

// signal sends to a channel of capacity one, unless a signal is pending already.
func (l *Leader) signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (l *Leader) workerSnapshot(s store.Snapshot) {
	var workers []batch.WorkerInfo
	var unreadable []string
	for _, e := range s.Entries {
		id := strings.TrimPrefix(e.Key, l.WorkerPrefix)
		if !l.Cell.HasWorker(id) {
			continue
		}
		info, err := l.DecodeWorker(id, e.Value)
		if err != nil {
			l.Log.Emit(eventlog.WorkerEntryUnreadable, zap.String("key", e.Key), zap.Int64("revision", e.Revision), zap.Error(err))
			unreadable = append(unreadable, id)
			continue
		}
		workers = append(workers, info)
	}
	l.guarded("list of workers", func() { l.withLock(func() { l.core.SetWorkers(workers, unreadable, l.Now()) }) })
	l.syncPollers()
	l.signal(l.planNeeded)
}

func (l *Leader) workerUpdate(u store.Update) {
	var changes []func()
	for _, c := range u.Changes {
		id := strings.TrimPrefix(c.Entry.Key, l.WorkerPrefix)
		if !l.Cell.HasWorker(id) {
			continue
		}
		if c.Deleted {
			changes = append(changes, func() { l.core.RemoveWorker(id) })
			continue
		}
		info, err := l.DecodeWorker(id, c.Entry.Value)
		if err != nil {
			l.Log.Emit(eventlog.WorkerEntryUnreadable, zap.String("key", c.Entry.Key), zap.Int64("revision", c.Entry.Revision), zap.Error(err))
			changes = append(changes, func() { l.core.SetUnreadable(id) })
			continue
		}
		changes = append(changes, func() { l.core.SetWorker(info, l.Now()) })
	}
	l.guarded("list of workers", func() {
		l.withLock(func() {
			for _, change := range changes {
				change()
			}
		})
	})
	l.syncPollers()
	l.signal(l.planNeeded)
}

// planInterval returns the time between the beginnings of a plan, which took the given time, and of
// the next one.
func planInterval(planned time.Duration) time.Duration {
	return max(minPlanInterval, planned+min(planPauseFactor*planned, maxPlanPause))
}

// planLoop lets the core plan after each change, and at least every maxPlanInterval unless plans take long.
func (l *Leader) planLoop(ctx context.Context) error {
	tick := time.NewTicker(maxPlanInterval)
	defer tick.Stop()
	var last time.Time
	var planned time.Duration
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-l.planNeeded:
		case <-tick.C:
		}
		if wait := planInterval(planned) - l.Now().Sub(last); wait > 0 {
			l.sleep(ctx, wait)
		}
		last = l.Now()
		dirty := false
		l.guarded("plan", func() {
			l.withLock(func() {
				if l.isStoreUnavailable(last) {
					l.core.DropUncommitted(last)
				}
				l.core.SetWallOffset(l.wallClockOffset())
				startedAt := l.Now()
				l.core.Plan(startedAt)
				planned = l.Now().Sub(startedAt)
				l.spent.planning += planned
				l.Metrics.Plan(planned)
				dirty = l.core.HasChanges()
			})
		})
		if ctx.Err() != nil {
			return nil
		}
		l.dispatch(ctx, nil)
		if dirty {
			l.signal(l.commitNeeded)
		}
	}
}

// dispatch sends the commands, polls and adviser queries that are due, and logs the core's decisions.
func (l *Leader) dispatch(ctx context.Context, commands []batch.Command) {
	l.mu.Lock()
	commands = append(commands, l.core.TakeCommands()...)
	polls := l.core.TakePolls()
	acknowledgeable := l.core.TakeAckable()
	queries := l.core.TakeQueries()
	decisions := l.core.TakeNotes()
	l.mu.Unlock()
	for _, id := range acknowledgeable {
		l.wakePoller(id)
	}
	for _, id := range polls {
		l.pollNow(ctx, id)
	}
	for _, command := range commands {
		l.sendCommand(ctx, command)
	}
	for _, q := range queries {
		l.queryAdviser(ctx, q)
	}
	for _, decision := range decisions {
		l.logDecision(decision)
	}
}
