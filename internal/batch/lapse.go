package batch

import (
	"maps"
	"slices"
	"time"
)

// SetWorkers takes the platform's list of workers as a whole.
func (c *Core) SetWorkers(all []WorkerInfo, now time.Time) {
	named := map[string]bool{}
	for _, info := range all {
		named[info.ID] = true
		c.SetWorker(info, now)
	}
	for id := range c.workers {
		if !named[id] {
			c.RemoveWorker(id, now)
		}
	}
}

// SetWorker takes what a worker says of itself.
func (c *Core) SetWorker(info WorkerInfo, now time.Time) {
	w := c.worker(info.ID)
	if w.listed && w.Incarnation != 0 && info.Incarnation != 0 && info.Incarnation < w.Incarnation {
		// An entry that was read before the worker told of its new lifetime.
		return
	}
	if info.Incarnation != 0 && info.Incarnation != w.Incarnation {
		c.reborn(w, info.Incarnation, now)
	}
	if info.Draining && !w.Draining {
		w.drainAt = now
	}
	w.WorkerInfo = info
	w.listed = true
	if !w.adopted {
		c.look(w)
	}
}

// RemoveWorker takes that the platform's list does not name a worker any more.
func (c *Core) RemoveWorker(id string, now time.Time) {
	w, ok := c.workers[id]
	if !ok {
		return
	}
	w.listed = false
	if w.refused {
		c.forgetRuns(w, "worker has left", now)
	}
	if len(w.runs) == 0 {
		delete(c.workers, id)
		c.order = nil
		c.health.Remove(id)
	}
}

// worker returns a worker, which is made known if it is not.
func (c *Core) worker(id string) *worker {
	w, ok := c.workers[id]
	if !ok {
		w = &worker{
			WorkerInfo: WorkerInfo{ID: id},
			runs:       map[runKey]*run{},
			strays:     map[runKey]time.Time{},
			lapseAt:    c.unheardUntil,
		}
		c.workers[id] = w
		c.order = nil
	}
	return w
}

// reborn takes that a worker has started again and runs nothing of before.
func (c *Core) reborn(w *worker, born int64, now time.Time) {
	w.Incarnation = born
	w.adopted = false
	w.seen, w.acked, w.pending = 0, 0, nil
	w.clock, w.clockAt = 0, time.Time{}
	// Orders with deadlines on the former lifetime's clock may reach this one.
	w.lapseAt = later(w.lapseAt, c.longestLapse(now))
	w.shunUntil, w.shunned = time.Time{}, 0
	clear(w.strays)
	c.health.Remove(w.ID)
	for _, r := range sortedRuns(w.runs) {
		switch {
		case r.state == runIntended:
		case r.born != born && (r.state == runOrdered || r.state == runUnclear):
			// The order may reach the new lifetime yet.
			r.state, r.since = runUnclear, now
		case r.born != born:
			c.lose(r, "worker has started again", now)
		}
	}
	c.look(w)
}

// longestLapse returns when all that was granted up to now has lapsed, whatever its deadline.
func (c *Core) longestLapse(now time.Time) time.Time {
	return now.Add(time.Duration(float64(c.timing.MaxLease)/clockRate) + lapseSlack)
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// forgetRuns takes that nothing runs on a worker any more.
func (c *Core) forgetRuns(w *worker, reason string, now time.Time) {
	for _, r := range sortedRuns(w.runs) {
		c.lose(r, reason, now)
	}
	clear(w.strays)
}

// sortedRuns returns runs in a fixed order.
func sortedRuns(all map[runKey]*run) []*run {
	runs := slices.Collect(maps.Values(all))
	slices.SortFunc(runs, func(a, b *run) int {
		if a.number != b.number {
			return int(a.number - b.number)
		}
		return compareTasks(a.task, b.task)
	})
	return runs
}

// compareTasks orders tasks by their names.
func compareTasks(a, b *task) int {
	switch {
	case a.stage.job != b.stage.job:
		if a.stage.job.ID < b.stage.job.ID {
			return -1
		}
		return 1
	case a.stage.occurrence != b.stage.occurrence:
		return a.stage.occurrence - b.stage.occurrence
	case a.stage.index != b.stage.index:
		return a.stage.index - b.stage.index
	}
	return a.index - b.index
}

// stopAgain is how often a stop is repeated until its worker confirms it.
const stopAgain = 600 * time.Millisecond

// lapse takes that leases at silent workers have run out, and repeats stops.
func (c *Core) lapse(now time.Time) {
	retry := !now.Before(c.retryAt)
	if retry {
		c.retryAt = now.Add(retryEvery)
	}
	for id, w := range c.workers {
		if len(w.runs) > 0 && now.After(w.lapseAt) {
			c.loseLapsed(w, now)
		}
		if !w.listed && len(w.runs) == 0 {
			delete(c.workers, id)
			c.order = nil
			c.health.Remove(id)
			continue
		}
		if retry {
			c.retryStops(w, now)
		}
	}
}

// retryEvery bounds how often stops without an answer are looked for, a fraction
// of the time after which they are sent again.
const retryEvery = stopAgain / 8

// loseLapsed loses the runs that were ordered from a worker whose lease has run out.
func (c *Core) loseLapsed(w *worker, now time.Time) {
	for _, r := range sortedRuns(w.runs) {
		if r.state != runIntended {
			c.lose(r, "lease has lapsed", now)
		}
	}
}

func (c *Core) retryStops(w *worker, now time.Time) {
	for _, r := range w.runs {
		if r.state == runStopping && now.Sub(r.stopSentAt) >= stopAgain && now.Sub(r.since) >= stopAgain {
			r.stopSentAt = now
			c.stops = append(c.stops, Command{Kind: CommandStop, run: r, worker: w})
		}
	}
}
