package batch

import (
	"time"
)

// mayTake reports whether a worker may be given new runs at all.
func (c *Core) mayTake(w *worker, now time.Time) bool {
	return w.listed && !w.Draining && w.adopted && w.silentSince.IsZero() &&
		!now.Before(w.shunUntil) && len(w.strays) == 0 && c.health.Permits(w.ID, now)
}

// choose returns the best worker for a task, or nil. In restricts the choice, unless it is nil.
func (c *Core) choose(t *task, in func(*worker) bool, now time.Time) *worker {
	var best *worker
	var bestScore float64
	for _, w := range c.workers {
		if !c.fits(t, w, now) || in != nil && !in(w) {
			continue
		}
		score := c.score(t, w)
		if best == nil || score > bestScore || score == bestScore && w.ID < best.ID {
			best, bestScore = w, score
		}
	}
	return best
}

// fits reports whether a worker has room for a task and may run it.
func (c *Core) fits(t *task, w *worker, now time.Time) bool {
	s := t.stage.step
	if w.Service != t.stage.job.service {
		return false
	}
	free := w.free()
	if s.Size.Memory > free.Memory || s.Size.Accelerators > free.Accelerators {
		return false
	}
	if !s.Fills && s.Size.Processors > free.Processors {
		return false
	}
	if s.MaxPerWorker > 0 && t.stage.onWorkers[w] >= s.MaxPerWorker {
		return false
	}
	if s.RequiredLabel != "" && !w.hasLabel(s.RequiredLabel) {
		return false
	}
	if !c.mayTake(w, now) {
		return false
	}
	return !c.isAdvised(t.stage) || t.stage.hasTicket(w, now)
}

// The weights of a score, against a part of the worker's processors.
const (
	// weightRack lets data be nearer than any balance of load.
	weightRack = 10.0
	// weightAvoid keeps a task from where it failed last while there is another place.
	weightAvoid = 5.0
	// weightServing keeps tasks that fill apart from those that serve users.
	weightServing = 3.0
	// weightDrained prefers workers whose idle processors the task can use in full.
	weightIdle = 2.0
)

// score says how well a task does on a worker; the greater the better.
func (c *Core) score(t *task, w *worker) float64 {
	s := t.stage.step
	whole := float64(max(1, w.Capacity.Processors))
	idle := float64(w.Capacity.Processors-w.used.Processors-w.soft.Processors) / whole
	need := float64(s.Size.Processors) / whole
	score := idle - need
	if s.PreferredRack != "" && w.Rack == s.PreferredRack {
		score += weightRack
	}
	if t.avoid == w {
		score -= weightAvoid
	}
	switch {
	case s.TailTarget > 0:
		score -= weightServing * float64(w.soft.Processors) / whole
		if w.serving > 0 {
			score += weightIdle
		}
	case s.Fills:
		if idle < need {
			score -= weightIdle * (need - idle) / max(need, 0.01)
		}
		if w.serving > 0 {
			score -= weightServing
		}
	}
	return score
}
