package batch

import (
	"slices"
	"time"
)

const (
	// fullPace is the percentage at which a run works undisturbed.
	fullPace = 100
	// slowPace is a step between standing still and full pace.
	slowPace = 30
	// tailHigh is the part of a tail target from which what harms it is slowed down.
	tailHigh = 0.8
	// tailLow is the part up to which runs that were slowed down are let go on, and
	// tailIdle the part up to which those are that are known to harm.
	tailLow  = 0.7
	tailIdle = 0.45
	// paceDownAfter lets a change show in the measurement, which covers half a second, before the next one.
	paceDownAfter = 600 * time.Millisecond
	// paceUpAfter is longer, since a relapse costs more than idle processors.
	paceUpAfter = 1200 * time.Millisecond
	// harmfulRisk is the probability of harm from which a run leaves a strained worker.
	harmfulRisk = 0.4
	// overdue is how long a target may be missed until all that fills the worker stands still.
	overdue = 1200 * time.Millisecond
)

// balance paces the tasks that fill a worker by the tails of those that serve
// there, and moves away what is known to harm them.
func (c *Core) balance(w *worker, now time.Time) {
	c.learn(w, now)
	switch {
	case w.strain < 1:
		w.overSince = time.Time{}
	case w.overSince.IsZero():
		w.overSince = now
	}
	if len(w.serving) == 0 || w.soft.Processors == 0 {
		return
	}
	switch {
	case w.strain > tailHigh && now.Sub(w.pacedAt) >= paceDownAfter:
		c.relieve(w, now)
	case w.strain < tailLow && now.Sub(w.pacedAt) >= paceUpAfter:
		c.restorePace(w, now)
	}
}

// restorePace lets runs go on, those that are known to harm later and slower.
func (c *Core) restorePace(w *worker, now time.Time) {
	for _, r := range c.filling(w) {
		switch {
		case c.blame(w, r) < harmfulRisk:
			c.setPace(w, r, fullPace, "the tail is low", now)
		case w.strain < tailIdle:
			c.setPace(w, r, max(r.pace, slowPace), "the tail is low, and it may harm", now)
		}
	}
}

// filling returns the runs that fill a worker, in a fixed order.
func (c *Core) filling(w *worker) []*run {
	return slices.DeleteFunc(sortedRuns(w.runs), func(r *run) bool {
		return !r.task.stage.step.Fills || r.state != runRunning
	})
}

// blame returns the probability that a run harms a strained serving task.
func (c *Core) blame(w *worker, r *run) float64 {
	worst := 0.0
	for _, served := range w.serving {
		if served.strain > tailIdle {
			worst = max(worst, c.risk.Of(served.image, r.task.stage.image))
		}
	}
	return worst
}

// relieve moves away or stops what is likely to harm the serving tasks of a
// worker. If a target is missed for long, all that fills the worker yields.
func (c *Core) relieve(w *worker, now time.Time) {
	late := !w.overSince.IsZero() && now.Sub(w.overSince) >= overdue
	runs := c.filling(w)
	worst := 0.0
	for _, r := range runs {
		worst = max(worst, c.blame(w, r))
	}
	for _, r := range runs {
		blame := c.blame(w, r)
		switch {
		case blame >= harmfulRisk && c.hasBetter(r, now):
			r.task.avoid = w
			c.stopRun(r, "disturbs a serving task", now)
		case blame >= harmfulRisk:
			c.setPace(w, r, 0, "harms", now)
		case late:
			c.setPace(w, r, 0, "target missed for long", now)
		case w.strain >= 1 && blame >= worst:
			c.setPace(w, r, min(r.pace, slowPace), "may harm", now)
		}
	}
}

// hasBetter reports whether another worker could take a run's task without harm.
func (c *Core) hasBetter(r *run, now time.Time) bool {
	for _, w := range c.workers {
		if w != r.worker && c.mayTake(w, now) && c.fits(r.task, w, now) {
			return true
		}
	}
	return false
}

// setPace changes the pace of a run.
func (c *Core) setPace(w *worker, r *run, pace int, reason string, now time.Time) {
	if pace == r.pace {
		return
	}
	w.pacedAt = now
	c.stops = append(c.stops, Order{Kind: OrderPace, run: r, worker: w, pace: pace})
	c.note(Note{
		Kind: NotePaced, Task: r.task.name(), Run: r.number, Worker: w.ID, Percent: pace,
		Reason: reason, Strain: w.strain, Risk: c.blame(w, r),
	})
}
