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
		score := c.score(t, w, now)
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
	if !c.mayTake(w, now) || c.isAdvised(t.stage) && !t.stage.hasTicket(w, now) {
		return false
	}
	return !s.Fills || c.mayFill(s, w, now)
}

// mayFill reports whether a task that fills would get processors on a worker
// without harm to those that serve there.
func (c *Core) mayFill(s *Step, w *worker, now time.Time) bool {
	if c.idle(w, now) < leastIdle*float64(s.Size.Processors) {
		return false
	}
	if len(w.serving) == 0 {
		return true
	}
	return w.strain < tailHigh && c.harm(w, s.Image) <= mostRisk
}

// leastIdle is the part of its processors that a task which fills has to expect.
const leastIdle = 0.6

// The weights of a score, against a part of the worker's processors.
const (
	// weightRack lets data be nearer than any balance of load.
	weightRack = 10.0
	// weightAvoid keeps a task from where it failed last while there is another place.
	weightAvoid = 5.0
	// weightImage lets serving tasks of one image share workers, so that what disturbs them has room elsewhere.
	weightImage = 3.0
	// weightHarm weighs the probability of harm to serving tasks, and strainPart their present strain against it.
	weightHarm = 2.0
	strainPart = 0.5
)

// score says how well a task does on a worker; the greater the better.
func (c *Core) score(t *task, w *worker, now time.Time) float64 {
	s := t.stage.step
	whole := float64(max(1, w.Capacity.Processors))
	score := (c.idle(w, now) - float64(s.Size.Processors)) / whole
	if s.PreferredRack != "" && w.Rack == s.PreferredRack {
		score += weightRack
	}
	if t.avoid == w {
		score -= weightAvoid
	}
	switch {
	case s.TailTarget > 0:
		score += c.servingScore(s, w)
	case s.Fills && len(w.serving) > 0:
		score -= weightHarm * (w.strain*strainPart + c.harm(w, s.Image))
	}
	return score
}

// servingScore lets serving tasks of one image fill a worker before the next
// one, away from what is known to disturb them.
func (c *Core) servingScore(s *Step, w *worker) float64 {
	score := 0.0
	for image := range w.serving {
		if image == s.Image {
			score += weightImage
		} else {
			score -= weightImage
		}
	}
	if len(w.serving) > 0 {
		score += float64(w.used.Processors) / float64(max(1, w.Capacity.Processors))
	}
	for _, r := range w.runs {
		if o := r.task.stage.step; o.Fills {
			score -= weightHarm * c.risk.Of(s.Image, o.Image)
		}
	}
	return score
}
