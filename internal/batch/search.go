package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Each plan searches workers for all waiting steps. If every search looked at the whole pool, the cost
// of a plan would grow with the backlog times the pool. After a search without success, the next ones
// therefore look only at the workers that have changed since then in a way that may suit more tasks.

// failedSearch is the last search without success for a stage.
type failedSearch struct {
	// at is the value of Core.searchedAt in the plan of the search; zero means that there was none.
	at uint64
	// missCostLevel is that of the task, see Core.missCostLevel.
	missCostLevel int
}

// markChanged records that a worker may suit tasks that it did not suit before.
func (c *Core) markChanged(w *worker) {
	c.changes++
	w.changedAt, w.changedForFillersAt = c.changes, c.changes
}

// markChangedForFillers records that a worker may suit filler tasks that it did not suit before.
func (c *Core) markChangedForFillers(w *worker) {
	c.changes++
	w.changedForFillersAt = c.changes
}

// workersByID returns all workers, sorted by ID.
func (c *Core) workersByID() []*worker {
	if c.sortedWorkers == nil {
		c.sortedWorkers = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	return c.sortedWorkers
}

// updateAccepting sets c.accepting to the workers that accept runs, sorted by ID, and c.quarantined to those
// that would but for their quarantine.
func (c *Core) updateAccepting(now time.Time) {
	c.accepting, c.quarantined = c.accepting[:0], c.quarantined[:0]
	for _, w := range c.workersByID() {
		w.probeTaken = false
		accepts, starved := c.acceptsRuns(w, now), w.hasStarved(now)
		switch {
		case accepts && !w.accepts:
			c.markChanged(w)
		case w.starved && !starved:
			c.markChangedForFillers(w)
		}
		w.accepts, w.starved = accepts, starved
		switch {
		case accepts:
			c.accepting = append(c.accepting, w)
		case c.health.Quarantined(w.ID) && c.isAvailable(w, now):
			c.quarantined = append(c.quarantined, w)
		}
	}
}

// updateChanged sets c.changed and c.changedForFillers to the workers that accept runs and have changed
// since its last call.
func (c *Core) updateChanged() {
	c.changed, c.changedForFillers = c.changed[:0], c.changedForFillers[:0]
	for _, w := range c.accepting {
		if w.changedAt > c.searchedAt {
			c.changed = append(c.changed, w)
		}
		if w.changedForFillersAt > c.searchedAt {
			c.changedForFillers = append(c.changedForFillers, w)
		}
	}
	c.previousSearchedAt, c.searchedAt = c.searchedAt, c.changes
}

const (
	// maxCandidates limits how many workers are compared for one task, so that the cost of a
	// placement does not grow with the pool. For the tasks of a wide stage, which share a shortlist,
	// it is candidatesPerTask for each of them.
	maxCandidates     = 96
	candidatesPerTask = 16
)

// shortlist holds the workers that were found for the tasks of a stage, from the same search.
type shortlist struct {
	choices []choice
	// complete means that no other worker suits the tasks.
	complete bool
	// task is the task that was searched for, missCostLevel its level then.
	task          *task
	missCostLevel int
}

// choice is a worker that suits a task; a higher score is better.
type choice struct {
	worker *worker
	score  float64
	// outdated means that the worker was given a task after it was rated.
	outdated bool
}

// consider adds a worker to the shortlist if it suits the task.
func (c *Core) consider(l *shortlist, w *worker, now time.Time) {
	c.work.Examined++
	if c.fits(l.task, w, now) {
		l.choices = append(l.choices, choice{worker: w, score: c.score(l.task, w, now)})
	}
}

// search returns a shortlist for a task, which is valid until the next search. If permits is not nil,
// it restricts the search. At most limit workers are compared, beginning where the last search ended.
func (c *Core) search(t *task, permits func(*worker) bool, limit int, now time.Time) *shortlist {
	l := c.newShortlist(t, now)
	n := len(c.accepting)
	for i := range n {
		w := c.accepting[(c.searchStart+i)%n]
		if permits != nil && !permits(w) {
			continue
		}
		if c.consider(l, w, now); len(l.choices) == limit {
			c.searchStart = (c.searchStart + i + 1) % n
			l.complete = i == n-1
			break
		}
	}
	return l
}

// searchChanged returns a shortlist for a task of the workers that have changed. It also considers a
// worker that is reserved for the task, which no other task of the stage could use.
func (c *Core) searchChanged(t *task, now time.Time) *shortlist {
	l := c.newShortlist(t, now)
	changed := c.changed
	if t.stage.step.Filler {
		changed = c.changedForFillers
	}
	for _, w := range changed {
		c.consider(l, w, now)
	}
	if t.stage.wantsReservation() {
		for _, w := range c.reserved {
			if w.reservedFor == t && w.accepts && w.changedAt <= c.previousSearchedAt {
				c.consider(l, w, now)
			}
		}
	}
	return l
}

func (c *Core) newShortlist(t *task, now time.Time) *shortlist {
	c.work.Searches++
	c.shortlist = shortlist{choices: c.shortlist.choices[:0], complete: true, task: t, missCostLevel: c.missCostLevel(t, now)}
	return &c.shortlist
}

// searchStage returns a shortlist for a task and those of its stage that follow. If the search for the
// stage has failed in the previous plan, it considers only the workers that have changed since.
func (c *Core) searchStage(t *task, now time.Time) *shortlist {
	if s := t.stage; !c.onlyChangedSuit(s, c.missCostLevel(t, now)) {
		return c.search(t, nil, max(maxCandidates, candidatesPerTask*s.queued), now)
	}
	return c.searchChanged(t, now)
}

// onlyChangedSuit reports whether only workers that have changed since the previous plan can suit a task
// of the stage: the search for it has failed in that plan or in this one, and c.changed holds what has
// changed since then.
func (c *Core) onlyChangedSuit(s *stage, missCostLevel int) bool {
	return s.failedSearch.at > 0 && s.failedSearch.at >= c.previousSearchedAt && missCostLevel <= s.failedSearch.missCostLevel
}

// isShared reports whether a shortlist is also valid for another task of its stage.
func (c *Core) isShared(l *shortlist, t *task, now time.Time) bool {
	return t == l.task || t.avoidWorker == l.task.avoidWorker && c.missCostLevel(t, now) == l.missCostLevel && !c.hasReservedFor(t.stage)
}

// hasReservedFor reports whether a worker is reserved for any task of a stage.
func (c *Core) hasReservedFor(s *stage) bool {
	return slices.ContainsFunc(c.reserved, func(w *worker) bool { return w.reservedFor.stage == s })
}

// take returns the best worker on a shortlist for a task, or nil. The caller gives the task to that worker.
func (c *Core) take(l *shortlist, t *task, now time.Time) *worker {
	for len(l.choices) > 0 {
		best := 0
		for i := range l.choices {
			if l.choices[i].score > l.choices[best].score {
				best = i
			}
		}
		chosen := &l.choices[best]
		if !chosen.outdated {
			chosen.outdated = true
			return chosen.worker
		}
		if !c.fits(t, chosen.worker, now) {
			l.choices = slices.Delete(l.choices, best, best+1)
			continue
		}
		chosen.score, chosen.outdated = c.score(t, chosen.worker, now), false
	}
	return nil
}

// fewestRuns returns the worker on a new shortlist that has the fewest runs, the best one of these, or nil.
func (l *shortlist) fewestRuns() *worker {
	if len(l.choices) == 0 {
		return nil
	}
	return slices.MinFunc(l.choices, func(a, b choice) int {
		return cmp.Or(cmp.Compare(len(a.worker.runs), len(b.worker.runs)), cmp.Compare(b.score, a.score))
	}).worker
}

// missCostLevels is the number of steps in which the miss cost of a waiting filler task falls.
const missCostLevels = 8

// missCostLevel returns how far the miss cost of a filler task has fallen, from 0 to missCostLevels. On
// a higher level, a worker may suit the task that did not suit it before. An overdue task has a level
// of its own, and another one once it may exceed the limit of overdue runs.
func (c *Core) missCostLevel(t *task, now time.Time) int {
	if !t.stage.step.Filler {
		return 0
	}
	switch {
	case c.mayExceedLimit(t, now):
		return missCostLevels + 2
	case c.isOverdue(t, now):
		return missCostLevels + 1
	}
	return int(missCostLevels * min(longWait, max(0, now.Sub(t.queuedAt))) / longWait)
}
