// Package shard holds the tasks of one part of the pool: the workers of some
// racks of a region. Core decides and is free of I/O and clocks. Holder keeps
// a Core's state in the store and speaks to its workers. Keeper takes and
// hands over the shards of an instance. Router finds the shards of a job.
//
// # Usage
//
//	k := &shard.Keeper{ID: "entry-1", Region: "bajio", Store: client, Workers: workers, Log: log}
//	go k.Run(ctx)
//	status, err := k.Submit(ctx, "bajio.2", part)
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

// Timing holds the times by which a Core decides.
type Timing struct {
	// Lease is how long a task runs after the last stamp that its holder had from the worker.
	Lease time.Duration
	// Drift is the greatest rate by which two clocks may differ.
	Drift float64
	// Grace is how long a holder that lost the store still renews tasks.
	Grace time.Duration
	// FullEvery is how often a worker reports on all incarnations.
	FullEvery time.Duration
	// UsageEvery is how often the usage of a running task is committed.
	UsageEvery time.Duration
	// GoneAfter is how long a worker is missing from the platform's list before it counts as gone.
	GoneAfter time.Duration
	// Quiet is the longest time between two exchanges with a worker that has nothing to change.
	Quiet time.Duration
	// SilentAfter is how long a worker may leave an exchange unanswered before it gets no new tasks.
	SilentAfter time.Duration
	// Retention is how long a job is described after its end.
	Retention time.Duration
	// RetryAfter is the first wait of a task after a failure; it doubles with each.
	RetryAfter time.Duration
	// MoveAfter is how long a task waits in its shard before another one may take it.
	MoveAfter time.Duration
	// StrandedAfter is how long no worker of a shard can hold a task before it goes to one that can.
	StrandedAfter time.Duration
}

// DefaultTiming returns the times that instances use.
func DefaultTiming() Timing {
	return Timing{
		Lease:         15 * time.Second,
		Drift:         0.01,
		Grace:         5 * time.Minute,
		FullEvery:     5 * time.Second,
		UsageEvery:    time.Minute,
		GoneAfter:     30 * time.Second,
		Quiet:         3 * time.Second,
		SilentAfter:   1500 * time.Millisecond,
		Retention:     24 * time.Hour,
		RetryAfter:    time.Second,
		MoveAfter:     5 * time.Second,
		StrandedAfter: 30 * time.Second,
	}
}

// lapse returns how long after a stamp came in all that it granted has surely run out.
func (t Timing) lapse() time.Duration { return t.longest(t.Lease) }

// longest returns how long a time on a worker's clock may take on the holder's.
func (t Timing) longest(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*t.Drift)
}

// shortest returns how long a time on the holder's clock takes at least on a worker's.
func (t Timing) shortest(d time.Duration) time.Duration {
	return d - time.Duration(float64(d)*t.Drift)
}

// Core holds the state of one shard. It is not safe for concurrent use.
type Core struct {
	timing Timing
	// began is when this holder took the shard; handedOver says that the one before stopped first.
	began      time.Time
	handedOver bool
	config     release.Config
	families   map[string]release.Job
	quotas     Quotas

	jobs     map[string]*jobEntry
	tasks    map[string]*entry
	workers  map[string]*workerEntry
	accounts map[string]journal.Account
	// lost are the incarnations whose worker may still report their end.
	lost map[worker.Ack]journal.Lost
	// links are by the name of the other shard.
	links map[string]*link
	// strandedSince is since when no worker could hold a task of a family that waits.
	strandedSince map[string]time.Time
	// asked are the shards that Give was called for since Surplus.
	asked map[string]bool
	// promises are by share.
	promises map[string]promise

	planner *placement.Planner
	// pool and health are the planner's.
	pool    *placement.Pool
	order   *placement.Order
	health  *placement.Health
	delayed map[*entry]bool
	unfit   map[*entry]bool
	refitAt time.Time
	sweepAt time.Time

	// learnedAt is when a batch last held what was learned; known is what the journal held of it.
	learnedAt time.Time
	known     journal.Learned
	// slowed are the runners that batch tasks slow down, as last found.
	slowed   map[Slowed]bool
	slowedAt time.Time

	changes changes
	notices []Notice
	// runTimes are those of families, by which the pace of exchanges is set.
	runTimes runTimes
	// told are the reasons for which families cannot run, as they were last noted.
	told map[string]string
}

// jobEntry is a job and the tasks of it that are not dropped.
type jobEntry struct {
	task.Job
	tasks []*entry
	// from is the shard that keeps the job if this one only has tasks of it, the foreign ones.
	from    string
	foreign map[*entry]bool
}

// entry is a task with what need not outlast its holder.
type entry struct {
	task.Task
	id  string
	job *jobEntry
	// changed is the number of the batch that holds the last change.
	changed   uint64
	queuedAt  time.Time
	placedAt  time.Time
	notBefore time.Time
	avoid     []string
	usageAt   time.Time
	ratio     float64
	// waited is how long a task was queued before it was moved, remote what the other shard last told of it.
	waited time.Duration
	remote MovedState
}

// NewCore returns an empty shard that was taken over at a time; handed over
// means that the former holder had surely stopped by then. Configure and
// Restore follow.
func NewCore(timing Timing, now time.Time, handedOver bool) *Core {
	planner := placement.NewPlanner()
	c := &Core{
		timing:     timing,
		began:      now,
		handedOver: handedOver,
		jobs:       map[string]*jobEntry{},
		tasks:      map[string]*entry{},
		workers:    map[string]*workerEntry{},
		accounts:   map[string]journal.Account{},
		lost:       map[worker.Ack]journal.Lost{},
		links:      map[string]*link{},
		asked:      map[string]bool{},
		promises:   map[string]promise{},
		planner:    planner,
		pool:       planner.Pool,
		order:      placement.NewOrder(),
		health:     planner.Health,
		delayed:    map[*entry]bool{},
		unfit:      map[*entry]bool{},
		changes:    newChanges(),
		runTimes:   runTimes{},
		told:       map[string]string{},

		strandedSince: map[string]time.Time{},
	}
	return c
}

// Restore takes the state that the journal holds.
func (c *Core) Restore(batches []journal.Batch, now time.Time) {
	for _, b := range batches {
		c.replay(b)
		c.adoptLearned(b)
	}
	c.restoreLearned()
	for _, l := range c.links {
		l.confirmed = l.Sent
	}
	for _, id := range slices.Sorted(maps.Keys(c.tasks)) {
		c.recover(c.tasks[id], now)
	}
}

// replay takes the records of a batch.
func (c *Core) replay(b journal.Batch) {
	for _, a := range b.Accounts {
		c.accounts[a.Share] = a
	}
	for _, l := range b.Lost {
		c.lost[l.Ack] = l
	}
	for _, found := range b.Found {
		delete(c.lost, found)
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

// replayTask takes the record of a task.
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

// recover brings a task that the journal holds back to where it stood.
func (c *Core) recover(e *entry, now time.Time) {
	e.queuedAt = now
	c.relink(e)
	switch {
	case e.State == task.Queued:
		c.enqueue(e, now)
	case e.State.Placed():
		e.placedAt = now
		w := c.worker(e.Worker)
		w.tasks[e.id] = e
		c.hold(e, now)
		c.planner.Yielder.TakeOver(e.Worker, now)
		if e.State == task.Yielding || e.State == task.Stopping {
			c.planner.MarkLeaving(e.Worker, e.id)
		}
	}
}

func (c *Core) addJob(j task.Job) *jobEntry {
	e := &jobEntry{Job: j}
	c.jobs[j.ID] = e
	for n := range j.Tasks {
		t := &entry{Task: task.Task{Job: j.ID, Number: j.First + n, State: task.Queued}, job: e}
		t.id = t.ID()
		e.tasks = append(e.tasks, t)
		c.tasks[t.id] = t
	}
	return e
}

func (c *Core) forgetTasks(j *jobEntry) {
	for _, t := range j.tasks {
		delete(c.tasks, t.id)
		delete(c.unfit, t)
		delete(c.delayed, t)
	}
	j.tasks = nil
}

// Configure takes a configuration, with the part of each share's quota that is this shard's.
func (c *Core) Configure(config release.Config, quotas Quotas) {
	c.quotas = quotas
	for _, s := range config.Shares {
		c.pool.SetQuotaAllocation(s.Name, quotas.Of(s), s.Quota)
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
	c.advise(quotas.Part())
	c.refitAt = time.Time{}
}
