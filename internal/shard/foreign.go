package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// capacityOfferTTL is how long free capacity that was offered to one shard is not offered to
// another.
const capacityOfferTTL = 2 * time.Second

// capacityOffer is an offer of a share's free capacity to another shard.
type capacityOffer struct {
	to    string
	until time.Time
}

// FreeCapacity returns this shard's free capacity for job families with waiting tasks in another
// shard, from. The families are sorted by urgency. All families of a share would use the same
// capacity, so it is offered only to the first one whose tasks could start, and Startable is 0 for
// the others.
func (c *Core) FreeCapacity(from string, families []string, now time.Time) []FreeCapacity {
	var offers []FreeCapacity
	offered := map[string]bool{}
	for _, name := range families {
		f, ok := c.families[name]
		if !ok {
			continue
		}
		free := FreeCapacity{Family: name, Fits: c.pool.CouldFit(f.Share, f.Size)}
		if free.Fits && !offered[f.Share] && c.isFree(f.Share, from, now) {
			free.Startable = c.planner.CountPlaceable(placement.Candidate{Job: name, Share: f.Share, Urgent: f.Urgent}, maxMovedTasks, now)
		}
		if free.Startable > 0 {
			offered[f.Share] = true
			c.capacityOffers[f.Share] = capacityOffer{to: from, until: now.Add(capacityOfferTTL)}
		}
		offers = append(offers, free)
	}
	return offers
}

// isFree reports whether the free capacity of the share called name may be offered to the shard
// from: no task of the share is queued here, and no offer to a third shard is still valid.
func (c *Core) isFree(name, from string, now time.Time) bool {
	offer, ok := c.capacityOffers[name]
	return c.order.CountQueued(name) == 0 && (!ok || offer.to == from || !now.Before(offer.until))
}

// Accept applies a transfer from another shard. The transfer is accepted once the open batch is
// durable. A repeat has no effect. It returns a *NotLeaderError if the transfer before this one is
// missing, which shows that this leader was replaced.
func (c *Core) Accept(t Transfer, now time.Time) error {
	l := c.link(t.From)
	next := t.Number == l.Received+1 && len(t.Jobs) > 0
	if t.Number > l.Received && !next {
		return &NotLeaderError{Shard: c.quotas.shard}
	}
	if next {
		l.Received = t.Number
		c.markLink(l)
		for _, j := range t.Jobs {
			c.acceptJob(l, j, now)
		}
	}
	if t.Epoch > l.peerEpoch {
		l.peerEpoch = t.Epoch
		l.markAllUnreported()
	}
	for _, id := range t.Cancelled {
		c.cancelForeign(l, id, now)
	}
	return nil
}

// acceptJob adds and queues the tasks of one job of an accepted transfer.
func (c *Core) acceptJob(l *link, j MovedJob, now time.Time) {
	origin := task.Origin{Shard: l.Shard, Neighbour: j.Neighbour, Share: j.Share, Name: j.Name}
	for _, m := range j.Tasks {
		t := task.Task{
			Job:         j.ID,
			Number:      m.Number,
			State:       task.Queued,
			Incarnation: m.Incarnation,
			Checkpoint:  m.Checkpoint,
			Failures:    m.Failures,
			Reason:      m.Reason,
			Origin:      origin,
			Transfer:    l.Received,
		}
		if before, ok := c.tasks[t.ID()]; ok {
			// The task was handed back before, and the other shard has received that.
			c.dropForeign(before)
		}
		e := c.addForeign(t)
		e.queuedAt = now.Add(-m.Waited)
		l.unreported[e] = true
		c.markTask(e)
		c.enqueue(e, now)
	}
}

// addForeign adds a task that was handed over by another shard.
func (c *Core) addForeign(t task.Task) *taskEntry {
	l := c.link(t.Origin.Shard)
	j, ok := l.foreignJobs[t.Job]
	if !ok {
		j = &jobEntry{
			Job: task.Job{Part: task.Part{
				ID: t.Job, Neighbour: t.Origin.Neighbour, Share: t.Origin.Share, Name: t.Origin.Name,
			}},
			originShard: t.Origin.Shard,
			foreign:     map[*taskEntry]bool{},
		}
		l.foreignJobs[t.Job] = j
	}
	e := &taskEntry{Task: t, id: t.ID(), job: j}
	j.foreign[e] = true
	c.tasks[e.id] = e
	return e
}

// dropForeign removes a foreign task that was handed back or has ended, once its own shard has
// committed that.
func (c *Core) dropForeign(e *taskEntry) {
	l := c.link(e.job.originShard)
	e.State = task.Released
	c.markTask(e)
	c.forgetForeign(l, e)
}

// forgetForeign removes a foreign task, and its job with the last of its tasks.
func (c *Core) forgetForeign(l *link, e *taskEntry) {
	delete(c.tasks, e.id)
	delete(l.unreported, e)
	delete(e.job.foreign, e)
	if len(e.job.foreign) == 0 {
		delete(l.foreignJobs, e.Job)
	}
}

// markAllUnreported makes the next reports to the other shard include the states of all its tasks.
func (l *link) markAllUnreported() {
	for _, j := range l.foreignJobs {
		for e := range j.foreign {
			l.unreported[e] = true
		}
	}
}

// cancelForeign cancels the tasks of another shard's job.
func (c *Core) cancelForeign(l *link, id string, now time.Time) {
	j, ok := l.foreignJobs[id]
	if !ok {
		return
	}
	for _, e := range sortedByJob(j.foreign) {
		if !e.State.Final() && e.State != task.Stopping {
			c.apply(e, task.Cancel, now)
		}
	}
}

// returnStranded hands waiting foreign tasks back to their own shards if their job family has been
// stranded here for Timing.StrandedAfter.
func (c *Core) returnStranded(now time.Time) {
	remaining := maxMovedTasks
	for _, id := range slices.Sorted(maps.Keys(c.links)) {
		for _, e := range c.links[id].strandedForeign(func(family string) bool { return c.isStranded(family, now) }) {
			if remaining == 0 {
				return
			}
			remaining--
			e.MovedTo = id
			c.apply(e, task.Move, now)
		}
	}
}

// strandedForeign returns the waiting tasks of the other shard whose job family is stranded here.
func (l *link) strandedForeign(stranded func(family string) bool) []*taskEntry {
	waiting := map[*taskEntry]bool{}
	for _, j := range l.foreignJobs {
		if !stranded(j.Name) {
			continue
		}
		for e := range j.foreign {
			if e.State == task.Queued || e.State == task.Unschedulable {
				waiting[e] = true
			}
		}
	}
	return sortedByJob(waiting)
}

// handleForeignChange schedules a report of a foreign task's new state to its own shard. If the
// task has ended or was handed back, its usage is added to the account of its share here.
func (c *Core) handleForeignChange(e *taskEntry) {
	if e.usageBooked() {
		c.addToAccount(e.job.Neighbour, e.job.Share, e.Usage())
		e.EndedUsage, e.LiveUsage = worker.Usage{}, worker.Usage{}
	}
	c.link(e.job.originShard).unreported[e] = true
}

// Report returns the states of another shard's tasks that were not reported to it yet, and whether
// there are any.
// The end of a task is reported only once it is durable.
func (c *Core) Report(to string) (Report, bool) {
	r := Report{From: c.quotas.shard}
	for _, e := range sortedByJob(c.link(to).unreported) {
		if len(r.Rows) == maxMovedTasks {
			break
		}
		ends := e.State.Final() || e.State == task.Moved
		if ends && !c.isDurable(e) {
			continue
		}
		r.Rows = append(r.Rows, MovedState{
			Job:         e.Job,
			Number:      e.Number,
			Transfer:    e.Transfer,
			State:       e.State,
			Incarnation: e.Incarnation,
			Checkpoint:  e.Checkpoint,
			Failures:    e.Failures,
			Reason:      e.Reason,
		})
	}
	return r, len(r.Rows) > 0
}

// ReportCommitted records that the other shard has committed a report. Reported tasks that have
// ended or were handed back are dropped.
func (c *Core) ReportCommitted(to string, r Report) {
	l := c.link(to)
	for _, row := range r.Rows {
		e, ok := c.tasks[task.ID(row.Job, row.Number)]
		if !ok || e.job.originShard != to || e.Transfer != row.Transfer || e.State != row.State {
			continue
		}
		if e.State.Final() || e.State == task.Moved {
			c.dropForeign(e)
			continue
		}
		delete(l.unreported, e)
	}
}
