// Package shard schedules batch tasks on one partition of the worker pool: the workers of some
// racks of a region. A shard has one leader at a time. Core makes the decisions and uses no I/O and
// no clock. Leader stores a Core's state in the journal and exchanges commands and reports with its
// workers. Keeper decides which shards an instance leads, claims them and releases them. Router
// sends calls about a job to the leaders of its shards.
//
// A job belongs to a job family, which a release note declares. Tasks that wait too long in one
// shard are handed over to another one, which runs them and reports back. In the shard that
// received them they are called foreign. A job family is stranded in a shard if its tasks could not
// run there even if nothing else ran: no worker that accepts tasks is large enough for one, or the
// shard's allocation of the share's quota is too small.
//
// # Usage
//
//	k := &shard.Keeper{
//		ID: "entry-1", Store: client, Workers: workers, TTL: ttl, Interval: interval,
//		Members: members, Config: config, List: list, Log: log,
//	}
//	go k.Run(ctx)
//	status, err := k.Calls().Submit(ctx, "bajio.2", part)
package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// Timing holds the intervals and timeouts of a Core.
type Timing struct {
	// Lease is how long the tasks of a worker may run after an exchange that renews their leases.
	Lease time.Duration
	// Drift is the greatest relative difference between the rates of two clocks.
	Drift float64
	// Grace is how long a leader that can't reach the store still renews the leases of its tasks.
	Grace time.Duration
	// FullEvery is how often a worker is asked to report on all incarnations.
	FullEvery time.Duration
	// UsageEvery is how often the usage of a running task is committed.
	UsageEvery time.Duration
	// RemovedAfter is how long a worker is missing from the platform's list before it counts as
	// removed.
	RemovedAfter time.Duration
	// IdleInterval is the longest time between two exchanges with a worker for which there are no
	// commands.
	IdleInterval time.Duration
	// UnresponsiveAfter is how long a worker may leave an exchange unanswered before it gets no new
	// tasks.
	UnresponsiveAfter time.Duration
	// Retention is how long the status of a job is kept after its end.
	Retention time.Duration
	// RetryAfter is the delay before a task is retried after its first failure. It doubles with
	// each further failure, up to maxRetryWait.
	RetryAfter time.Duration
	// MoveAfter is how long a task is queued in its shard before another shard may take it over.
	MoveAfter time.Duration
	// StrandedAfter is how long a job family must be stranded in a shard before its tasks go to
	// another shard.
	StrandedAfter time.Duration
}

// DefaultTiming returns the Timing of a Keeper for which none is set.
func DefaultTiming() Timing {
	return Timing{
		Lease:             15 * time.Second,
		Drift:             0.01,
		Grace:             5 * time.Minute,
		FullEvery:         5 * time.Second,
		UsageEvery:        time.Minute,
		RemovedAfter:      30 * time.Second,
		IdleInterval:      3 * time.Second,
		UnresponsiveAfter: 1500 * time.Millisecond,
		Retention:         24 * time.Hour,
		RetryAfter:        time.Second,
		MoveAfter:         5 * time.Second,
		StrandedAfter:     30 * time.Second,
	}
}

// leaseExpiry returns how long after its renewal, on the leader's clock, a lease is guaranteed to
// have expired.
func (t Timing) leaseExpiry() time.Duration { return t.maxWithDrift(t.Lease) }

// maxWithDrift returns the longest time that can pass on the leader's clock while d passes on a
// worker's.
func (t Timing) maxWithDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*t.Drift)
}

// minWithDrift returns the shortest time that can pass on a worker's clock while d passes on the
// leader's.
func (t Timing) minWithDrift(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*t.Drift)
}

// Core holds the state of one shard. It is not safe for concurrent use.
type Core struct {
	timing Timing
	// takenAt is when this leader took over the shard. handedOver is set if the previous leader is
	// known to have stopped before that.
	takenAt    time.Time
	handedOver bool
	config     release.Config
	families   map[string]release.Job
	quotas     Quotas

	jobs     map[string]*jobEntry
	tasks    map[string]*taskEntry
	workers  map[string]*workerEntry
	accounts map[string]journal.Account
	// lost are the incarnations that have stopped without a report, but whose worker may still
	// report their end.
	lost map[worker.Ack]journal.Lost
	// links are the transfer states with other shards, by the other shard's name.
	links map[string]*link
	// strandedSince is since when each stranded job family with waiting tasks has been stranded.
	strandedSince map[string]time.Time
	// offeredTo are the shards to which HandOver has tried to move tasks since the last call of
	// Surplus.
	offeredTo map[string]bool
	// capacityOffers are the offers of free capacity to other shards, by share.
	capacityOffers map[string]capacityOffer

	planner *placement.Planner
	// pool and health are the planner's own: the workers with the tasks assigned to them and the
	// quotas, and the record of failures that puts workers into quarantine. order holds the queued
	// tasks in the order in which they are to be placed.
	pool   *placement.Pool
	order  *placement.Order
	health *placement.Health
	// delayed are the queued tasks that wait for a retry, and unschedulable those that no worker
	// can run.
	delayed       map[*taskEntry]bool
	unschedulable map[*taskEntry]bool
	nextRecheck   time.Time
	nextSweep     time.Time

	// learnedSavedAt is when a record of the learned sizes and effects was last scheduled.
	// restoredLearned is the last such record of the journal while Restore runs.
	learnedSavedAt  time.Time
	restoredLearned journal.Learned
	// slowed are the runners whose latency batch tasks increase, as of the last check.
	slowed          map[Slowed]bool
	nextSlowedCheck time.Time

	changes changes
	notices []Notice
	// runTimes are the mean run times of job families, from which ExchangeInterval follows.
	runTimes runTimes
	// reportedReasons are the reasons, by job family, that were last reported for unschedulable
	// tasks.
	reportedReasons map[string]string
}

// jobEntry is a job with the tasks that are kept in memory.
type jobEntry struct {
	task.Job
	tasks []*taskEntry
	// originShard is the shard that keeps the job's record, if this shard only has tasks that were
	// handed over to it. foreign are these tasks.
	originShard string
	foreign     map[*taskEntry]bool
}

// taskEntry is a task, with state that need not survive a change of leader.
type taskEntry struct {
	task.Task
	id  string
	job *jobEntry
	// changed is the number of the batch that holds the last change of the task.
	changed  uint64
	queuedAt time.Time
	placedAt time.Time
	// notBefore is the earliest time of the retry of a failed or refused task, which is not placed
	// on avoidWorkers if there are others.
	notBefore    time.Time
	avoidWorkers []string
	// usageSavedAt is when the usage of the running task was last added to a batch.
	usageSavedAt time.Time
	// throttleRatio is the fraction of its processors that the task keeps, as last reported.
	throttleRatio float64
	// queuedFor is how long the task was queued before it was moved, and remoteState what the other
	// shard last reported about it.
	queuedFor   time.Duration
	remoteState MovedState
}

// NewCore returns a Core without state, for a leader that took over the shard at the given time.
// handedOver is set if the previous leader is known to have stopped by then. Call Configure and
// Restore before anything else.
func NewCore(timing Timing, now time.Time, handedOver bool) *Core {
	planner := placement.NewPlanner()
	c := &Core{
		timing:          timing,
		takenAt:         now,
		handedOver:      handedOver,
		jobs:            map[string]*jobEntry{},
		tasks:           map[string]*taskEntry{},
		workers:         map[string]*workerEntry{},
		accounts:        map[string]journal.Account{},
		lost:            map[worker.Ack]journal.Lost{},
		links:           map[string]*link{},
		offeredTo:       map[string]bool{},
		capacityOffers:  map[string]capacityOffer{},
		planner:         planner,
		pool:            planner.Pool,
		order:           placement.NewOrder(),
		health:          planner.Health,
		delayed:         map[*taskEntry]bool{},
		unschedulable:   map[*taskEntry]bool{},
		changes:         newChanges(),
		runTimes:        runTimes{},
		reportedReasons: map[string]string{},

		strandedSince: map[string]time.Time{},
	}
	return c
}

// Restore replays the batches of the journal and restores the state of the shard from them.
func (c *Core) Restore(batches []journal.Batch, now time.Time) {
	for _, b := range batches {
		c.replay(b)
		c.replayLearned(b)
	}
	c.restoreLearned()
	for _, l := range c.links {
		l.confirmed = l.Sent
	}
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		c.restoreTask(c.tasks[id], now)
	}
}

// replay applies the records of a batch.
func (c *Core) replay(b journal.Batch) {
	for _, a := range b.Accounts {
		c.accounts[a.Share] = a
	}
	for _, l := range b.Lost {
		c.lost[l.Ack] = l
	}
	for _, resolved := range b.Resolved {
		delete(c.lost, resolved)
	}
	for _, j := range b.Jobs {
		e, known := c.jobs[j.ID]
		if !known {
			e = c.addJob(j)
		}
		e.Job = j
		if !j.EndedAt.IsZero() {
			c.forgetTasks(e)
		}
	}
	for _, l := range b.Links {
		c.link(l.Shard).Link = l
	}
	for _, t := range b.Tasks {
		c.replayTask(t)
	}
	for _, id := range b.Dropped {
		if j, ok := c.jobs[id]; ok {
			c.forgetTasks(j)
			delete(c.jobs, id)
		}
	}
}

// replayTask applies the record of a task.
func (c *Core) replayTask(t task.Task) {
	e, ok := c.tasks[t.ID()]
	switch {
	case ok && t.State == task.Released:
		c.forgetForeign(c.link(t.Origin.Shard), e)
	case ok:
		e.Task = t
	case t.Origin.Shard != "" && t.State != task.Released:
		c.addForeign(t)
	}
}

// restoreTask adds a restored task to the queue, or to its worker if it was placed.
func (c *Core) restoreTask(e *taskEntry, now time.Time) {
	e.queuedAt = now
	c.relink(e)
	switch {
	case e.State == task.Queued:
		c.enqueue(e, now)
	case e.State.Placed():
		e.placedAt = now
		w := c.worker(e.Worker)
		w.tasks[e.id] = e
		c.restorePlacement(e, now)
		c.planner.Yielder.TakeOver(e.Worker, now)
		if e.State == task.Yielding || e.State == task.Stopping {
			c.planner.MarkLeaving(e.Worker, e.id)
		}
	}
}

// addJob adds a job with all its tasks queued.
func (c *Core) addJob(j task.Job) *jobEntry {
	e := &jobEntry{Job: j}
	c.jobs[j.ID] = e
	for n := range j.Tasks {
		t := &taskEntry{Task: task.Task{Job: j.ID, Number: j.First + n, State: task.Queued}, job: e}
		t.id = t.ID()
		e.tasks = append(e.tasks, t)
		c.tasks[t.id] = t
	}
	return e
}

// forgetTasks removes the tasks of a job from memory.
func (c *Core) forgetTasks(j *jobEntry) {
	for _, t := range j.tasks {
		delete(c.tasks, t.id)
		delete(c.unschedulable, t)
		delete(c.delayed, t)
	}
	j.tasks = nil
}

// Configure applies a configuration and this shard's allocations of the shares' quotas.
func (c *Core) Configure(config release.Config, quotas Quotas) {
	c.quotas = quotas
	for _, s := range config.Shares {
		c.pool.SetQuotaAllocation(s.Name, quotas.Allocation(s), s.Quota)
		c.order.SetShare(s.Name, s.Weight)
	}
	if c.families != nil && config.Revision == c.config.Revision {
		return
	}
	c.config = config
	c.families = map[string]release.Job{}
	for _, j := range config.Jobs {
		c.families[j.Name] = j
	}
	c.configurePlanner(quotas.ProcessorFraction())
	c.nextRecheck = time.Time{}
}
