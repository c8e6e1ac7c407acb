package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/task"
)

// surplus are the own tasks of one job family that wait in vain.
type surplus struct {
	family string
	urgent bool
	// stranded says that no worker here could hold such a task for a while.
	stranded bool
	since    time.Time
	tasks    []*entry
}

// Surplus returns the job families whose tasks another shard may take, the
// most urgent first, and the shards that may. It also hands back the tasks of
// other shards that this one cannot run any more.
func (c *Core) Surplus(now time.Time) (families, shards []string) {
	c.strand(now)
	c.handBack(now)
	clear(c.asked)
	others := map[string]bool{}
	for _, s := range c.surplus(now) {
		families = append(families, s.family)
		for _, id := range c.others(s.family) {
			others[id] = true
		}
	}
	for id := range others {
		shards = append(shards, id)
	}
	slices.Sort(shards)
	return families, shards
}

// others returns the other shards that have a part in the quota of a family's share.
func (c *Core) others(family string) []string {
	s, ok := c.config.Share(c.families[family].Share)
	if !ok {
		return nil
	}
	return slices.DeleteFunc(c.quotas.Among(s), func(id string) bool { return id == c.quotas.shard })
}

// strand notes since when no worker here could hold a task of each family that waits.
func (c *Core) strand(now time.Time) {
	waiting := map[string]bool{}
	for e := range c.unfit {
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

func (c *Core) isStranded(family string, now time.Time) bool {
	since, ok := c.strandedSince[family]
	return ok && now.Sub(since) >= c.timing.StrandedAfter
}

// surplus returns what may leave the shard, the most urgent first. Tasks that
// came from another shard stay, so that none goes to and fro.
func (c *Core) surplus(now time.Time) []surplus {
	byFamily := map[string]*surplus{}
	add := func(e *entry) {
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
		return e != nil && declared && e.State == task.Queued && e.job.from == "" && now.Sub(e.queuedAt) >= c.timing.MoveAfter
	}
	for _, items := range c.order.Waiting(maxMoved, waits) {
		for _, i := range items {
			add(c.tasks[i.Task])
		}
	}
	for _, e := range sortedEntries(c.unfit) {
		if e.job.from == "" && c.isStranded(e.job.Name, now) {
			add(e)
		}
	}
	var all []surplus
	for _, s := range byFamily {
		all = append(all, *s)
	}
	slices.SortFunc(all, func(a, b surplus) int {
		return cmp.Or(first(a.urgent, b.urgent), first(a.stranded, b.stranded), a.since.Compare(b.since), cmp.Compare(a.family, b.family))
	})
	return all
}

// first orders true before false.
func first(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// Give hands tasks to a shard that has told of its room, and returns how many.
// The transfer may be sent once the open batch is durable. Until the receiver
// has the last one there is no next.
func (c *Core) Give(to string, rooms []FreeCapacity, now time.Time) int {
	l := c.link(to)
	if l.confirmed < l.Sent || to == c.quotas.shard {
		return 0
	}
	c.asked[to] = true
	given := 0
	for _, s := range c.surplus(now) {
		i := slices.IndexFunc(rooms, func(r FreeCapacity) bool { return r.Family == s.family })
		if i < 0 {
			continue
		}
		n := rooms[i].Startable
		if s.stranded && rooms[i].Fits {
			n = max(n, c.part(to, s))
		}
		n = min(n, len(s.tasks), maxMoved-given)
		for _, e := range s.tasks[:n] {
			c.moveTo(l, e, now)
		}
		given += n
	}
	if given > 0 {
		l.Sent++
		c.markLink(l)
	}
	return given
}

// part returns how many of the stranded tasks of a family a shard gets, by its
// part of the processors of the shards that were not asked yet since Surplus.
func (c *Core) part(to string, s surplus) int {
	total := c.quotas.weights[to]
	for _, id := range c.others(s.family) {
		if !c.asked[id] {
			total += c.quotas.weights[id]
		}
	}
	if total == 0 {
		return 0
	}
	return int(portion(int64(len(s.tasks))-1, c.quotas.weights[to], total)) + 1
}

// moveTo puts a queued task into the next transfer.
func (c *Core) moveTo(l *link, e *entry, now time.Time) {
	e.Away = l.Shard
	e.Transfer = l.Sent + 1
	e.waited = now.Sub(e.queuedAt)
	e.remote = MovedState{}
	l.out[e] = true
	c.apply(e, task.Move, now)
}

// Outgoing returns what is to be sent to a shard and is durable, if anything.
func (c *Core) Outgoing(to string) (Transfer, bool) {
	l := c.link(to)
	if l.changed > c.changes.durable {
		return Transfer{}, false
	}
	t := Transfer{From: c.quotas.shard, Number: l.Sent}
	for id, batch := range l.cancels {
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

// outstanding returns the tasks of the last transfer.
func (c *Core) outstanding(l *link) []MovedJob {
	var all []MovedJob
	for _, e := range sortedEntries(l.out) {
		if e.Transfer != l.Sent {
			continue
		}
		if n := len(all); n == 0 || all[n-1].ID != e.Job {
			all = append(all, MovedJob{ID: e.Job, Neighbour: e.job.Neighbour, Share: e.job.Share, Name: e.job.Name})
		}
		j := &all[len(all)-1]
		j.Tasks = append(j.Tasks, MovedTask{
			Number:      e.Number,
			Incarnation: e.Incarnation,
			Checkpoint:  e.Checkpoint,
			Failures:    e.Failures,
			Reason:      e.Reason,
			Waited:      e.waited,
		})
	}
	return all
}

// Confirmed says that a shard has committed what was sent to it.
func (c *Core) Confirmed(to string, t Transfer) {
	l := c.link(to)
	l.confirmed = max(l.confirmed, t.Number)
	for _, id := range t.Cancelled {
		delete(l.cancels, id)
	}
}

// Settle takes a report on tasks that were handed to another shard. It is
// taken once the open batch is durable; a repeat changes nothing. A holder that
// does not know a transfer which the report names was replaced.
func (c *Core) Settle(r Report, now time.Time) error {
	l := c.link(r.From)
	for _, row := range r.Rows {
		if row.Transfer > l.Sent {
			return &NotLeaderError{Shard: c.quotas.shard}
		}
	}
	for _, row := range r.Rows {
		e, ok := c.tasks[task.ID(row.Job, row.Number)]
		if ok && l.out[e] && e.Transfer == row.Transfer {
			c.settle(l, e, row, now)
		}
	}
	return nil
}

// settle takes the state of one task that another shard has.
func (c *Core) settle(l *link, e *entry, row MovedState, now time.Time) {
	if !row.State.Final() && row.State != task.Moved {
		e.remote = row
		return
	}
	delete(l.out, e)
	e.Away, e.remote = "", MovedState{}
	e.Incarnation, e.Failures, e.Reason = row.Incarnation, row.Failures, row.Reason
	switch row.State {
	case task.Finished:
		c.apply(e, task.Finish, now)
	case task.Failed:
		c.apply(e, task.Exhausted, now)
	case task.Cancelled:
		c.apply(e, task.Withdraw, now)
	case task.Moved:
		e.Checkpoint = row.Checkpoint
		c.apply(e, task.Return, now)
		if e.job.Cancelled {
			c.apply(e, task.Cancel, now)
		}
	}
}

// shown is the state of a task as its job's status counts it, with the reason.
func (e *entry) shown() (task.State, string) {
	switch {
	case e.State != task.Moved:
		return e.State, e.Reason
	case e.remote.State == "":
		return task.Queued, e.Reason
	}
	return e.remote.State, e.remote.Reason
}
