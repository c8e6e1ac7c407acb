package batch

import (
	"cmp"
	"slices"
	"time"
)

// Plan lets time pass and gives waiting tasks to workers.
func (c *Core) Plan(now time.Time) {
	c.lapse(now)
	c.expire(now)
	for _, j := range c.active {
		if j.begun < j.occurrences() {
			c.advance(j, now)
		}
	}
	c.leaveDraining(now)
	c.place(now)
	c.relieveStarved(now)
	c.noteSilences(now)
}

// rank orders the stages that wait: what can still meet its objective before
// what is late already, then by priority, then by the time left. Work that fills
// is taken to be due the later the more of it is left, since it holds up the others
// the longer.
type rank struct {
	stage *stage
	late  int
	// priority is the queue's; due is when the job's objective ends.
	priority int
	due      time.Time
}

func (c *Core) rankOf(s *stage, now time.Time) rank {
	j := s.job
	q := c.table.Queues[j.Queue]
	begun := j.accepted
	if j.Repeat.Count > 0 {
		begun = j.Repeat.First.Add(time.Duration(s.occurrence) * j.Repeat.Every).Add(-c.wall)
	}
	objective := time.Duration(q.Slack*float64(j.chain)) + q.Target
	r := rank{stage: s, priority: q.Priority, due: begun.Add(objective)}
	if s.step.LongRunning {
		r.due = s.openedAt.Add(q.Target)
		return r
	}
	if s.step.Filler {
		r.due = r.due.Add(time.Duration(j.undone()) * perTask)
	}
	switch waited := now.Sub(begun); {
	case waited > lateTimes*objective:
		// Nothing is earned any more; the job still has to end.
		r.late = 2
	case waited > objective:
		r.late = 1
	}
	return r
}

// perTask is how much later a job is taken to be due for each of its tasks that fills
// and has not ended: tasks run for a second or two, some of them side by side.
const perTask = 250 * time.Millisecond

// lateTimes is how many times its objective a job may take until it counts as not served.
const lateTimes = 3

// waiting returns the stages with queued tasks, in the order in which they are placed.
func (c *Core) waiting(now time.Time) []rank {
	all := c.ranks[:0]
	for _, j := range c.active {
		for _, s := range j.stages {
			if s.queued > 0 {
				all = append(all, c.rankOf(s, now))
			}
		}
	}
	c.ranks = all
	slices.SortStableFunc(all, func(a, b rank) int {
		return cmp.Or(cmp.Compare(a.late, b.late), cmp.Compare(a.priority, b.priority), a.due.Compare(b.due))
	})
	return all
}

// place gives queued tasks to workers. A stage without room is passed by, so
// that a job which can never run holds up no other.
func (c *Core) place(now time.Time) {
	waiting := c.waiting(now)
	if len(waiting) == 0 && len(c.reserved) == 0 {
		return
	}
	c.findOpen(now)
	c.release(now)
	c.appraise(now)
	clear(c.short)
	for _, r := range waiting {
		s := r.stage
		switch {
		case c.isShort(s, now) || !c.isAdmitted(s, now):
		case s.step.Gang:
			c.placeGang(s, now)
		default:
			c.placeTasks(s, now)
		}
		if s.queued > 0 {
			c.tellWait(s, now)
		}
	}
	c.reserve(waiting, now)
}

func (c *Core) placeTasks(s *stage, now time.Time) {
	for _, t := range s.tasks {
		if t.state != taskQueued || now.Before(t.notBefore) {
			continue
		}
		w := c.choose(t, nil, now)
		if w == nil {
			c.noteShort(s, now)
			return
		}
		c.assign(t, w, t.lastRun+1, now)
	}
}

// placeGang places all tasks of a gang, or none.
func (c *Core) placeGang(s *stage, now time.Time) {
	if s.queued < s.undone {
		return
	}
	number := s.gangRun + 1
	checkpoint := ""
	for _, t := range s.tasks {
		if now.Before(t.notBefore) {
			return
		}
		if t.checkpoint > checkpoint {
			checkpoint = t.checkpoint
		}
		number = max(number, t.lastRun+1)
	}
	chosen := c.chooseGang(s, now)
	if chosen == nil {
		return
	}
	s.gangRun = number
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.assign(t, chosen[i], number, now)
	}
}

// chooseGang returns a worker for each task of a gang, or nil.
func (c *Core) chooseGang(s *stage, now time.Time) []*worker {
	racks := []string{""}
	if s.step.SameRack {
		racks = c.racks()
	}
	for _, rack := range racks {
		if chosen := c.tryGang(s, rack, now); chosen != nil {
			return chosen
		}
	}
	return nil
}

// racks returns all racks, and last "" for any.
func (c *Core) racks() []string {
	named := map[string]bool{}
	var all []string
	for _, w := range c.workers {
		if !named[w.Rack] && w.Rack != "" {
			named[w.Rack] = true
			all = append(all, w.Rack)
		}
	}
	slices.Sort(all)
	return append(all, "")
}

// tryGang reserves room for each task in turn and gives it back in the end.
func (c *Core) tryGang(s *stage, rack string, now time.Time) []*worker {
	var chosen []*worker
	var held []*run
	defer func() {
		for _, r := range held {
			r.worker.remove(r)
		}
	}()
	in := func(w *worker) bool { return rack == "" || w.Rack == rack }
	for _, t := range s.tasks {
		w := c.choose(t, in, now)
		if w == nil {
			return nil
		}
		chosen = append(chosen, w)
		r := &run{task: t, number: -1, worker: w}
		w.add(r)
		held = append(held, r)
	}
	return chosen
}

// assign gives a task to a worker; the start is ordered once that is durable.
func (c *Core) assign(t *task, w *worker, number int64, now time.Time) {
	t.lastRun = number
	t.state = taskPlaced
	t.stage.queued--
	r := &run{task: t, number: number, worker: w, born: w.Incarnation, state: runIntended, since: now, pace: fullPace}
	t.runs = append(t.runs, r)
	w.add(r)
	j := t.stage.job
	j.starts = append(j.starts, r)
	c.mark(j)
	c.note(Note{Kind: NotePlaced, Task: t.name(), Run: number, Worker: w.ID, Age: now.Sub(t.queuedAt)})
}

// leaveDraining stops the runs on leaving workers that will not end in time there.
func (c *Core) leaveDraining(now time.Time) {
	for _, w := range c.workers {
		if !w.Draining {
			continue
		}
		left := w.Remaining - now.Sub(w.drainAt)
		for _, r := range sortedRuns(w.runs) {
			if r.state != runRunning || c.endsWithin(r, left, now) {
				continue
			}
			c.stopRun(r, "worker is leaving", now)
		}
	}
}

// endsWithin reports whether a run is likely to end in the time that is left.
func (c *Core) endsWithin(r *run, left time.Duration, now time.Time) bool {
	s := r.task.stage.step
	if s.LongRunning {
		return false
	}
	if !s.Checkpoints {
		// Stopping it saves nothing.
		return true
	}
	ran := now.Sub(r.ordered)
	if r.percent <= 0 {
		return s.Estimate < left
	}
	whole := time.Duration(float64(ran) * 100 / float64(r.percent))
	return whole-ran < left
}

// expireEvery is how often jobs are looked for that need not be kept any more.
const expireEvery = 5 * time.Second

// expire forgets jobs that ended long ago.
func (c *Core) expire(now time.Time) {
	if now.Before(c.expireAt) {
		return
	}
	c.expireAt = now.Add(expireEvery)
	for _, j := range c.jobs {
		if j.state.Final() && j.finalStored && !j.removed && now.Sub(j.endedAt) > c.timing.Retention {
			j.removed = true
			c.mark(j)
		}
	}
}
