package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/task"
)

// surplus holds the waiting tasks of one job family that another shard may take over. Foreign tasks
// are not among them.
type surplus struct {
	family string
	urgent bool
	// stranded is set if the family has been stranded here for Timing.StrandedAfter.
	stranded bool
	// since is when the first of tasks was queued.
	since time.Time
	tasks []*taskEntry
}

// Surplus returns the job families whose tasks other shards may take over, the most urgent first,
// and the shards that may. It also hands back foreign tasks that can no longer run here.
func (c *Core) Surplus(now time.Time) (families, shards []string) {
	c.markStranded(now)
	c.returnStranded(now)
	clear(c.offeredTo)
	others := map[string]bool{}
	for _, s := range c.surplus(now) {
		families = append(families, s.family)
		for _, id := range c.otherShards(s.family) {
			others[id] = true
		}
	}
	for id := range others {
		shards = append(shards, id)
	}
	slices.Sort(shards)
	return families, shards
}

// otherShards returns the other shards that have an allocation of the quota of a family's share.
func (c *Core) otherShards(family string) []string {
	s, ok := c.config.Share(c.families[family].Share)
	if !ok {
		return nil
	}
	return slices.DeleteFunc(c.quotas.ShardsFor(s), func(id string) bool { return id == c.quotas.shard })
}

// markStranded updates since when each job family with waiting tasks has been stranded.
func (c *Core) markStranded(now time.Time) {
	waiting := map[string]bool{}
	for e := range c.unschedulable {
		waiting[e.job.Name] = true
	}
	for _, items := range c.order.Waiting(1, func(placement.Item) bool { return true }) {
		waiting[items[0].Job] = true
	}
	for name := range c.strandedSince {
		if !waiting[name] {
			delete(c.strandedSince, name)
		}
	}
	for name := range waiting {
		f, declared := c.families[name]
		if !declared || c.pool.CouldFit(f.Share, f.Size) {
			delete(c.strandedSince, name)
			continue
		}
		if _, known := c.strandedSince[name]; !known {
			c.strandedSince[name] = now
		}
	}
}

// isStranded reports whether a job family has been stranded here for Timing.StrandedAfter.
func (c *Core) isStranded(family string, now time.Time) bool {
	since, ok := c.strandedSince[family]
	return ok && now.Sub(since) >= c.timing.StrandedAfter
}

// surplus returns the tasks that may leave the shard, the most urgent families first. Foreign tasks
// stay, so that no task moves back and forth.
func (c *Core) surplus(now time.Time) []surplus {
	byFamily := map[string]*surplus{}
	add := func(e *taskEntry) {
		s, ok := byFamily[e.job.Name]
		if !ok {
			s = &surplus{
				family:   e.job.Name,
				urgent:   c.families[e.job.Name].Urgent,
				stranded: c.isStranded(e.job.Name, now),
				since:    e.queuedAt,
			}
			byFamily[e.job.Name] = s
		}
		s.tasks = append(s.tasks, e)
	}
	waits := func(i placement.Item) bool {
		e := c.tasks[i.Task]
		_, declared := c.families[i.Job]
		return e != nil && declared && e.State == task.Queued && e.job.originShard == "" && now.Sub(e.queuedAt) >= c.timing.MoveAfter
	}
	for _, items := range c.order.Waiting(maxMovedTasks, waits) {
		for _, i := range items {
			add(c.tasks[i.Task])
		}
	}
	for _, e := range sortedByJob(c.unschedulable) {
		if e.job.originShard == "" && c.isStranded(e.job.Name, now) {
			add(e)
		}
	}
	var surpluses []surplus
	for _, s := range byFamily {
		surpluses = append(surpluses, *s)
	}
	slices.SortFunc(surpluses, func(a, b surplus) int {
		return cmp.Or(compareTrueFirst(a.urgent, b.urgent), compareTrueFirst(a.stranded, b.stranded), a.since.Compare(b.since), cmp.Compare(a.family, b.family))
	})
	return surpluses
}

// compareTrueFirst compares two booleans so that true sorts before false.
func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// HandOver puts tasks into a transfer to a shard, as far as its free capacity allows, and returns
// how many. The transfer may be sent once the open batch is durable. There is at most one transfer
// to a shard at a time: until the receiver has committed the last one, HandOver does nothing.
func (c *Core) HandOver(to string, free []FreeCapacity, now time.Time) int {
	l := c.link(to)
	if l.confirmed < l.Sent || to == c.quotas.shard {
		return 0
	}
	c.offeredTo[to] = true
	handedOver := 0
	for _, s := range c.surplus(now) {
		i := slices.IndexFunc(free, func(r FreeCapacity) bool { return r.Family == s.family })
		if i < 0 {
			continue
		}
		n := free[i].Startable
		if s.stranded && free[i].Fits {
			n = max(n, c.strandedAllotment(to, s))
		}
		n = min(n, len(s.tasks), maxMovedTasks-handedOver)
		for _, e := range s.tasks[:n] {
			c.moveTo(l, e, now)
		}
		handedOver += n
	}
	if handedOver > 0 {
		l.Sent++
		c.markLink(l)
	}
	return handedOver
}

// strandedAllotment returns how many stranded tasks of a family the shard named to is given: at
// least one, and more in proportion to its processors. The proportion is that among the shard and
// the others for which HandOver was not called since the last call of Surplus.
func (c *Core) strandedAllotment(to string, s surplus) int {
	total := c.quotas.weights[to]
	for _, id := range c.otherShards(s.family) {
		if !c.offeredTo[id] {
			total += c.quotas.weights[id]
		}
	}
	if total == 0 {
		return 0
	}
	return int(proportion(int64(len(s.tasks))-1, c.quotas.weights[to], total)) + 1
}

// moveTo adds a queued task to the next transfer.
func (c *Core) moveTo(l *link, e *taskEntry, now time.Time) {
	e.MovedTo = l.Shard
	e.Transfer = l.Sent + 1
	e.queuedFor = now.Sub(e.queuedAt)
	e.remoteState = MovedState{}
	l.movedOut[e] = true
	c.apply(e, task.Move, now)
}

// Outgoing returns the transfer that is to be sent to a shard, as far as it is durable, and whether
// there is any.
func (c *Core) Outgoing(to string) (Transfer, bool) {
	l := c.link(to)
	if l.changed > c.changes.durable {
		return Transfer{}, false
	}
	t := Transfer{From: c.quotas.shard, Number: l.Sent}
	for id, batch := range l.pendingCancels {
		if batch <= c.changes.durable {
			t.Cancelled = append(t.Cancelled, id)
		}
	}
	slices.Sort(t.Cancelled)
	if l.confirmed < l.Sent {
		t.Jobs = c.outstanding(l)
		return t, true
	}
	return t, len(t.Cancelled) > 0
}

// outstanding returns the tasks of the last transfer, grouped by job.
func (c *Core) outstanding(l *link) []MovedJob {
	var jobs []MovedJob
	for _, e := range sortedByJob(l.movedOut) {
		if e.Transfer != l.Sent {
			continue
		}
		if n := len(jobs); n == 0 || jobs[n-1].ID != e.Job {
			jobs = append(jobs, MovedJob{ID: e.Job, Neighbour: e.job.Neighbour, Share: e.job.Share, Name: e.job.Name})
		}
		j := &jobs[len(jobs)-1]
		j.Tasks = append(j.Tasks, MovedTask{
			Number:      e.Number,
			Incarnation: e.Incarnation,
			Checkpoint:  e.Checkpoint,
			Failures:    e.Failures,
			Reason:      e.Reason,
			Waited:      e.queuedFor,
		})
	}
	return jobs
}

// TransferCommitted records that the other shard has committed a transfer.
func (c *Core) TransferCommitted(to string, t Transfer) {
	l := c.link(to)
	l.confirmed = max(l.confirmed, t.Number)
	for _, id := range t.Cancelled {
		delete(l.pendingCancels, id)
	}
}

// ApplyMovedReport applies a report on tasks that were handed over to another shard. It is accepted
// once the open batch is durable, and a repeat has no effect. It returns a *NotLeaderError if the
// report names a transfer that this leader doesn't know, which shows that it was replaced.
func (c *Core) ApplyMovedReport(r Report, now time.Time) error {
	l := c.link(r.From)
	for _, row := range r.Rows {
		if row.Transfer > l.Sent {
			return &NotLeaderError{Shard: c.quotas.shard}
		}
	}
	for _, row := range r.Rows {
		e, ok := c.tasks[task.ID(row.Job, row.Number)]
		if ok && l.movedOut[e] && e.Transfer == row.Transfer {
			c.applyMovedState(l, e, row, now)
		}
	}
	return nil
}

// applyMovedState applies the reported state of one task in another shard.
func (c *Core) applyMovedState(l *link, e *taskEntry, row MovedState, now time.Time) {
	if !row.State.Final() && row.State != task.Moved {
		e.remoteState = row
		return
	}
	delete(l.movedOut, e)
	e.MovedTo, e.remoteState = "", MovedState{}
	e.Incarnation, e.Failures, e.Reason = row.Incarnation, row.Failures, row.Reason
	switch row.State {
	case task.Finished:
		c.apply(e, task.Finish, now)
	case task.Failed:
		c.apply(e, task.Exhausted, now)
	case task.Cancelled:
		c.apply(e, task.CancelledElsewhere, now)
	case task.Moved:
		e.Checkpoint = row.Checkpoint
		c.apply(e, task.Return, now)
		if e.job.Cancelled {
			c.apply(e, task.Cancel, now)
		}
	}
}

// reportedState returns the state and the reason that a task has in its job's status. For a moved
// task these are the last ones that the other shard reported.
func (e *taskEntry) reportedState() (task.State, string) {
	switch {
	case e.State != task.Moved:
		return e.State, e.Reason
	case e.remoteState.State == "":
		return task.Queued, e.Reason
	}
	return e.remoteState.State, e.remoteState.Reason
}
