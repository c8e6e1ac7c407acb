package batch

import "time"

const (
	// fullPace is the percentage at which a run works undisturbed.
	fullPace = 100
	// slowPace is the first step down for what disturbs a serving task.
	slowPace = 30
	// tailHigh and tailLow are the parts of a tail target at which others are paced down and up again.
	tailHigh = 0.85
	tailLow  = 0.5
	// paceDownAfter lets a change show in the measurement, which covers half a second, before the next one.
	paceDownAfter = 700 * time.Millisecond
	// paceUpAfter is longer, since a relapse costs more than idle processors.
	paceUpAfter = 2 * time.Second
)

// balance paces the tasks that fill a worker by the tails of those that serve there.
func (c *Core) balance(w *worker, now time.Time) {
	if w.serving == 0 && w.soft.Processors == 0 {
		return
	}
	worst := 0.0
	for _, r := range w.runs {
		if target := r.task.stage.step.TailTarget; target > 0 && r.state == runRunning {
			worst = max(worst, float64(r.tail)/float64(target))
		}
	}
	switch {
	case worst > tailHigh && now.Sub(w.pacedAt) >= paceDownAfter:
		c.paceAll(w, func(pace int) int {
			if pace > slowPace {
				return slowPace
			}
			return 0
		}, now)
	case worst < tailLow && now.Sub(w.pacedAt) >= paceUpAfter:
		c.paceAll(w, func(pace int) int {
			if pace < slowPace {
				return slowPace
			}
			return fullPace
		}, now)
	}
}

// paceAll changes the pace of all runs that fill a worker.
func (c *Core) paceAll(w *worker, next func(int) int, now time.Time) {
	for _, r := range sortedRuns(w.runs) {
		if !r.task.stage.step.Fills || r.state != runRunning {
			continue
		}
		pace := next(r.pace)
		if pace == r.pace {
			continue
		}
		w.pacedAt = now
		c.stops = append(c.stops, Order{Kind: OrderPace, run: r, worker: w, pace: pace})
		c.note(Note{Kind: NotePaced, Task: r.task.name(), Run: r.number, Worker: w.ID})
	}
}
