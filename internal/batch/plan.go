package batch

import (
	"slices"
	"time"
)

// Plan assigns queued tasks to workers. Before, it gives up runs whose leases have expired, removes
// jobs whose retention is over, starts occurrences that are due, and stops runs on draining
// workers. Afterwards, it hands over or delegates what has waited too long.
func (c *Core) Plan(now time.Time) {
	c.work.Plans++
	c.expireLeases(now)
	c.endIsolations()
	c.expireJobs(now)
	c.reportEvacuations()
	c.resumeFitting(now)
	for _, j := range c.active {
		if j.startedOccurrences < j.occurrences() && !j.isSetAside {
			c.startDue(j, now)
		}
	}
	c.stopRunsOnDraining(now)
	c.place(now)
	c.relieveStarved(now)
	c.scheduleUnresponsiveRecord(now)
}

// place assigns queued tasks to workers. It skips stages that do not fit, so that a job which can
// never run delays no other.
func (c *Core) place(now time.Time) {
	waiting := c.waiting(now)
	if len(waiting) == 0 && len(c.reserved) == 0 {
		return
	}
	if !c.AreEvacuationsCurrent(now) {
		for _, r := range waiting {
			c.logWait(r.stage, now)
		}
		return
	}
	c.updateAccepting(now)
	c.updateServiceUse()
	c.endReservations(now)
	c.updateDemandPressure(now)
	c.updateTransientDemand(now)
	c.updateChanged()
	for _, r := range waiting {
		s := r.stage
		queued := s.queued
		switch {
		case c.isHeldBack(s, now):
		case !c.isAdmitted(s, now):
		case s.step.Gang:
			c.placeGang(s, now)
		default:
			c.placeTasks(s, now)
		}
		c.recordTaken(s, queued-s.queued)
		if s.queued > 0 {
			c.logWait(s, now)
		}
	}
	c.preemptFor(waiting, now)
	c.makeReservations(waiting, now)
	c.placeInQuarantine(waiting, now)
}

// placeTasks assigns the queued tasks of a stage to workers until no worker suits the next one. Of
// the tasks that follow, it assigns those that have a worker reserved.
func (c *Core) placeTasks(s *stage, now time.Time) {
	var found *shortlist
	failed := false
	for _, t := range s.tasks {
		if t.state != taskQueued || now.Before(t.notBefore) || failed && !c.hasReserved(t) {
			continue
		}
		var w *worker
		if t.crashes.isolation() > 0 {
			found = nil // The search for an isolated worker replaces the shortlist.
			var waits bool
			if w, waits = c.findIsolated(t, nil, now); waits {
				continue
			}
		}
		if w == nil {
			if found == nil || !c.isShared(found, t, now) {
				found = c.searchStage(t, now)
			}
			w = c.take(found, t, now)
			if w == nil && !found.complete {
				// The workers on the shortlist are full, but others may suit.
				found = c.searchStage(t, now)
				w = c.take(found, t, now)
			}
		}
		if w != nil {
			c.assign(t, w, t.lastRun+1, now)
			continue
		}
		failed, s.failedSearch = true, failedSearch{at: c.searchedAt, missCostLevel: found.missCostLevel}
		if !c.hasReservedFor(s) {
			return
		}
	}
}

// gangSearchInterval is how often workers are searched for a gang that did not fit. Such a search
// looks at the whole pool for each task, and for each rack if the gang needs one.
const gangSearchInterval = 200 * time.Millisecond

// placeGang assigns all tasks of a gang to workers, or none.
func (c *Core) placeGang(s *stage, now time.Time) {
	if s.queued < s.unfinished {
		return
	}
	number := s.lastGangRun + 1
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
	if c.onlyChangedSuit(s, 0) && len(c.searchChanged(s.tasks[0], now).choices) == 0 {
		s.failedSearch.at = c.searchedAt
		return
	}
	if now.Sub(s.gangSearchedAt) < gangSearchInterval {
		return
	}
	chosen := c.chooseGang(s, now)
	if chosen == nil {
		s.failedSearch, s.gangSearchedAt = failedSearch{at: c.searchedAt}, now
		return
	}
	s.lastGangRun = number
	for i, t := range s.tasks {
		t.checkpoint = checkpoint
		c.assign(t, chosen[i], number, now)
	}
}

// chooseGang returns a worker for each task of a gang, or nil if they do not all fit.
func (c *Core) chooseGang(s *stage, now time.Time) []*worker {
	racks := []string{""}
	if s.step.SameRack {
		racks = c.racks()
	}
	for _, rack := range racks {
		if chosen := c.chooseGangIn(s, rack, now); chosen != nil {
			return chosen
		}
	}
	return nil
}

// racks returns the names of all racks, followed by "" for any rack.
func (c *Core) racks() []string {
	seen := map[string]bool{}
	var names []string
	for _, w := range c.workers {
		if !seen[w.Rack] && w.Rack != "" {
			seen[w.Rack] = true
			names = append(names, w.Rack)
		}
	}
	slices.Sort(names)
	return append(names, "")
}

// chooseGangIn returns a worker of a rack for each task of a gang, or nil if they do not all fit.
// It adds tentative runs to the workers while it searches.
func (c *Core) chooseGangIn(s *stage, rack string, now time.Time) []*worker {
	var chosen []*worker
	var tentative []*run
	defer func() {
		for _, r := range tentative {
			r.worker.removeRun(r)
		}
	}()
	inRack := func(w *worker) bool { return rack == "" || w.Rack == rack }
	var found *shortlist
	for _, t := range s.tasks {
		var w *worker
		if t.crashes.isolation() > 0 {
			found = nil // The search for an isolated worker replaces the shortlist.
			var waits bool
			if w, waits = c.findIsolated(t, inRack, now); waits {
				return nil
			}
		}
		if w == nil {
			if found == nil {
				found = c.search(t, inRack, max(maxCandidates, candidatesPerTask*len(s.tasks)), now)
			}
			w = c.take(found, t, now)
			if w == nil && !found.complete {
				found = c.search(t, inRack, maxCandidates, now)
				w = c.take(found, t, now)
			}
		}
		if w == nil {
			return nil
		}
		chosen = append(chosen, w)
		r := &run{task: t, number: -1, worker: w}
		w.addRun(r)
		tentative = append(tentative, r)
	}
	return chosen
}

// assign assigns a task to a worker. The start command is sent once the job's record is durable.
func (c *Core) assign(t *task, w *worker, number int64, now time.Time) {
	overdue := c.isOverdue(t, now) && c.regularObstacle(t, w, now) != noObstacle
	t.lastRun = number
	t.state = taskPlaced
	t.stage.queued--
	r := &run{
		task: t, number: number, worker: w, incarnation: w.Incarnation, state: runPending, stateSince: now, placedAt: now, throttleRatio: unthrottled,
		overdue: overdue, settled: !c.isYoung(w, now),
	}
	c.isolate(r)
	w.probeTaken = c.health.Started(w.ID, now)
	t.runs = append(t.runs, r)
	w.addRun(r)
	j := t.stage.job
	j.pendingStarts = append(j.pendingStarts, r)
	c.markDirty(j)
	n := Note{Kind: NotePlaced, Task: t.name(), Run: number, Worker: w.ID, Age: now.Sub(t.queuedAt)}
	if overdue {
		n.Reason = "its job has waited too long without a run"
	}
	c.note(n)
}

// stopRunsOnDraining stops the runs on draining workers, except those that mayRunToEnd permits.
func (c *Core) stopRunsOnDraining(now time.Time) {
	for _, w := range c.workersByID() {
		if !w.Draining {
			continue
		}
		remaining := w.Remaining - now.Sub(w.drainingSince)
		for _, r := range sortedRuns(w.runs) {
			if r.state != runRunning || c.mayRunToEnd(r, remaining, now) {
				continue
			}
			c.stopRun(r, "worker is draining", now)
		}
	}
}

// mayRunToEnd reports whether a run on a draining worker need not be stopped: it is expected to end
// in the remaining time, or stopping it would lose all its work.
func (c *Core) mayRunToEnd(r *run, remaining time.Duration, now time.Time) bool {
	s := r.task.stage.step
	if s.LongRunning {
		return false
	}
	if !s.Checkpoints {
		// Stopping it would lose all its work.
		return true
	}
	elapsed := now.Sub(r.sentAt)
	if r.progress <= 0 {
		return s.Estimate < remaining
	}
	total := time.Duration(float64(elapsed) * 100 / float64(r.progress))
	return total-elapsed < remaining
}

// jobExpiryEvery is how often jobs are checked for the end of their retention.
const jobExpiryEvery = 5 * time.Second

// expireJobs removes jobs whose retention is over.
func (c *Core) expireJobs(now time.Time) {
	if now.Before(c.nextJobExpiry) {
		return
	}
	c.nextJobExpiry = now.Add(jobExpiryEvery)
	var expired []string
	for id, j := range c.jobs {
		if j.storedState.Final() && !j.removed && now.Sub(j.endedAt) > c.timing.Retention {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		c.jobs[id].removed = true
		c.markDirty(c.jobs[id])
	}
}
