package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// promiseFor is how long the room that one shard was told of is not told to another.
const promiseFor = 2 * time.Second

// promise is room that a shard was told of.
type promise struct {
	to    string
	until time.Time
}

// Room tells a shard of which job families, the most urgent first, this one
// could take tasks. Only the first family of each share is told of idle room,
// since the others would use the same.
func (c *Core) Room(from string, families []string, now time.Time) []FreeCapacity {
	var all []FreeCapacity
	told := map[string]bool{}
	for _, name := range families {
		f, ok := c.families[name]
		if !ok {
			continue
		}
		r := FreeCapacity{Family: name, Fits: c.pool.CouldFit(f.Share, f.Size)}
		if r.Fits && !told[f.Share] && c.isFree(f.Share, from, now) {
			r.Startable = c.planner.CountPlaceable(placement.Candidate{Job: name, Share: f.Share, Urgent: f.Urgent}, maxMoved, now)
		}
		if r.Startable > 0 {
			told[f.Share] = true
			c.promises[f.Share] = promise{to: from, until: now.Add(promiseFor)}
		}
		all = append(all, r)
	}
	return all
}

// isFree reports whether a share has nothing queued here and its room is promised to no other shard.
func (c *Core) isFree(name, from string, now time.Time) bool {
	p, ok := c.promises[name]
	return c.order.CountQueued(name) == 0 && (!ok || p.to == from || !now.Before(p.until))
}

// Accept takes a transfer of another shard; it is taken once the open batch
// is durable. A repeat changes nothing. A holder that lacks the transfer before
// this one was replaced.
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
	if t.Epoch > l.epoch {
		l.epoch = t.Epoch
		l.tellAll()
	}
	for _, id := range t.Cancelled {
		c.cancelForeign(l, id, now)
	}
	return nil
}

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
			// The other shard has the task back that was handed back to it.
			c.dropForeign(before)
		}
		e := c.addForeign(t)
		e.queuedAt = now.Add(-m.Waited)
		l.untold[e] = true
		c.mark(e)
		c.enqueue(e, now)
	}
}

// addForeign adds a task that came from another shard.
func (c *Core) addForeign(t task.Task) *entry {
	l := c.link(t.Origin.Shard)
	j, ok := l.jobs[t.Job]
	if !ok {
		j = &jobEntry{
			Job: task.Job{Part: task.Part{
				ID: t.Job, Neighbour: t.Origin.Neighbour, Share: t.Origin.Share, Name: t.Origin.Name,
			}},
			from:    t.Origin.Shard,
			foreign: map[*entry]bool{},
		}
		l.jobs[t.Job] = j
	}
	e := &entry{Task: t, id: t.ID(), job: j}
	j.foreign[e] = true
	c.tasks[e.id] = e
	return e
}

// dropForeign forgets a task that came from another shard and is that shard's again.
func (c *Core) dropForeign(e *entry) {
	l := c.link(e.job.from)
	e.State = task.Released
	c.mark(e)
	c.forgetForeign(l, e)
}

func (c *Core) forgetForeign(l *link, e *entry) {
	delete(c.tasks, e.id)
	delete(l.untold, e)
	delete(e.job.foreign, e)
	if len(e.job.foreign) == 0 {
		delete(l.jobs, e.Job)
	}
}

// tellAll lets the next reports hold the states of all tasks.
func (l *link) tellAll() {
	for _, j := range l.jobs {
		for e := range j.foreign {
			l.untold[e] = true
		}
	}
}

func (c *Core) cancelForeign(l *link, id string, now time.Time) {
	j, ok := l.jobs[id]
	if !ok {
		return
	}
	for _, e := range sortedEntries(j.foreign) {
		if !e.State.Final() && e.State != task.Stopping {
			c.apply(e, task.Cancel, now)
		}
	}
}

// handBack lets tasks of other shards return there that no worker here could hold for a while.
func (c *Core) handBack(now time.Time) {
	left := maxMoved
	for _, id := range slices.Sorted(maps.Keys(c.links)) {
		for _, e := range c.links[id].strandedForeign(func(family string) bool { return c.isStranded(family, now) }) {
			if left == 0 {
				return
			}
			left--
			e.Away = id
			c.apply(e, task.Move, now)
		}
	}
}

// strandedForeign returns the waiting tasks of the other shard whose family is stranded here.
func (l *link) strandedForeign(stranded func(family string) bool) []*entry {
	waiting := map[*entry]bool{}
	for _, j := range l.jobs {
		if !stranded(j.Name) {
			continue
		}
		for e := range j.foreign {
			if e.State == task.Queued || e.State == task.Unschedulable {
				waiting[e] = true
			}
		}
	}
	return sortedEntries(waiting)
}

// changedForeign notes that the shard of a task is to be told of a new state.
func (c *Core) changedForeign(e *entry) {
	if e.isAccounted() {
		c.addToAccount(e.job.Neighbour, e.job.Share, e.Usage())
		e.Ended, e.Live = worker.Usage{}, worker.Usage{}
	}
	c.link(e.job.from).untold[e] = true
}

// Report returns what a shard is to be told of its tasks here, if anything.
// Ends are told once they are durable.
func (c *Core) Report(to string) (Report, bool) {
	r := Report{From: c.quotas.shard}
	for _, e := range sortedEntries(c.link(to).untold) {
		if len(r.Rows) == maxMoved {
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

// Reported says that a shard has committed a report; the tasks that have ended are dropped.
func (c *Core) Reported(to string, r Report) {
	l := c.link(to)
	for _, row := range r.Rows {
		e, ok := c.tasks[task.ID(row.Job, row.Number)]
		if !ok || e.job.from != to || e.Transfer != row.Transfer || e.State != row.State {
			continue
		}
		if e.State.Final() || e.State == task.Moved {
			c.dropForeign(e)
			continue
		}
		delete(l.untold, e)
	}
}
