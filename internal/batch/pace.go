package batch

import (
	"slices"
	"time"
)

const (
	// fullPace is the percentage at which a run works undisturbed.
	fullPace = 100
	// slowPace is the first step down for what disturbs a serving task.
	slowPace = 30
	// tailHigh and tailLow are the parts of a tail target at which others are paced down and up again.
	tailHigh = 0.85
	tailLow  = 0.6
	// paceDownAfter lets a change show in the measurement, which covers half a second, before the next one.
	paceDownAfter = 700 * time.Millisecond
	// paceUpAfter is longer, since a relapse costs more than idle processors.
	paceUpAfter = 1500 * time.Millisecond
	// blamePart is the part of the greatest harm from which others are blamed, too.
	blamePart = 0.3
)

// balance paces the tasks that fill a worker by the tails of those that serve
// there, and moves away what is known to harm them.
func (c *Core) balance(w *worker, now time.Time) {
	c.learn(w, now)
	if len(w.serving) == 0 || w.soft.Processors == 0 {
		return
	}
	switch {
	case w.strain > tailHigh && now.Sub(w.pacedAt) >= paceDownAfter:
		c.relieve(w, now)
	case w.strain < tailLow && now.Sub(w.pacedAt) >= paceUpAfter:
		c.paceAll(w, c.filling(w), func(pace int) int {
			if pace < slowPace {
				return slowPace
			}
			return fullPace
		}, now)
	}
}

// filling returns the runs that fill a worker, in a fixed order.
func (c *Core) filling(w *worker) []*run {
	return slices.DeleteFunc(sortedRuns(w.runs), func(r *run) bool {
		return !r.task.stage.step.Fills || r.state != runRunning
	})
}

// relieve slows down or moves away what disturbs the serving tasks of a worker.
func (c *Core) relieve(w *worker, now time.Time) {
	runs := c.filling(w)
	harms := make([]float64, len(runs))
	worst := 0.0
	for i, r := range runs {
		harms[i] = c.harm(w, r.task.stage.step.Image, r.task.stage.step.cores())
		worst = max(worst, harms[i])
	}
	var blamed []*run
	for i, r := range runs {
		if harms[i] >= blamePart*worst {
			blamed = append(blamed, r)
		}
	}
	w.pacedAt = now
	c.paceAll(w, blamed, func(pace int) int {
		if pace > slowPace {
			return slowPace
		}
		return 0
	}, now)
	for i, r := range runs {
		if harms[i] > harmBound && r.pace < fullPace && c.hasBetter(r, now) {
			r.task.avoid = w
			c.stopRun(r, "disturbs a serving task", now)
		}
	}
}

// hasBetter reports whether another worker could take a run's task without harm.
func (c *Core) hasBetter(r *run, now time.Time) bool {
	for _, w := range c.workers {
		if w != r.worker && c.fits(r.task, w, now) {
			return true
		}
	}
	return false
}

// paceAll changes the pace of runs.
func (c *Core) paceAll(w *worker, runs []*run, next func(int) int, now time.Time) {
	for _, r := range runs {
		pace := next(r.pace)
		if pace == r.pace {
			continue
		}
		w.pacedAt = now
		c.stops = append(c.stops, Order{Kind: OrderPace, run: r, worker: w, pace: pace})
		c.note(Note{Kind: NotePaced, Task: r.task.name(), Run: r.number, Worker: w.ID, Percent: pace})
	}
}
