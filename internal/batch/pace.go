package batch

import (
	"math"
	"slices"
	"time"
)

const (
	// fullPace is the percentage at which a run works undisturbed.
	fullPace = 100
	// paceStep is the step in which paces are set.
	paceStep = 25
	// movePace is the pace below which a run with a worse outlook than badOutlook goes to
	// a worker where it is worth goodWorth, unless most of its work is done. A move costs
	// the stop, a commit and the start: about a second.
	movePace   = 50
	badOutlook = 0.5
	goodWorth  = 0.8
	mostDone   = 70
	// littleDone is the percentage of work that a run without checkpoints may lose in a move.
	littleDone = 30
	// tailHigh is the part of a tail target from which a worker is looked at more often.
	tailHigh = 0.7
	// paceUpAfter lets a change show in the measurement before paces rise again.
	paceUpAfter = 600 * time.Millisecond
	// settleFor is how long a run stays before it is moved for its pace.
	settleFor = time.Second
	// overdue is how long a target may be missed until each miss costs overdueCost, which
	// is out of all proportion, and longOverdue until all that fills the worker stands
	// still. The platform bears 4 s on end, of which a late look may take one.
	overdue     = 600 * time.Millisecond
	overdueCost = 30
	longOverdue = 1800 * time.Millisecond
)

// balance paces the tasks that fill a worker by the headroom of those that serve
// there, and moves away those that another worker could carry faster.
func (c *Core) balance(w *worker, now time.Time) {
	c.learn(w, now)
	switch {
	case w.strain < 1:
		w.overSince = time.Time{}
	case w.overSince.IsZero():
		w.overSince = now
	}
	c.adjust(w, now)
}

// adjust sets the paces of the tasks that fill a worker.
func (c *Core) adjust(w *worker, now time.Time) {
	if w.soft.Processors == 0 || len(c.victims(w)) == 0 {
		return
	}
	runs := c.filling(w)
	cost, over := paceCost, time.Duration(0)
	if !w.overSince.IsZero() {
		over = now.Sub(w.overSince)
	}
	switch {
	case over >= longOverdue:
		for _, r := range runs {
			c.setPace(w, r, 0, "target missed for long", now)
		}
		return
	case over >= overdue:
		cost = overdueCost
	}
	rested := now.Sub(w.pacedAt) >= paceUpAfter
	for i, pace := range c.paces(w, runs, cost) {
		r := runs[i]
		switch {
		case pace < movePace && c.mayMove(r, now):
			r.task.avoid = w
			c.stopRun(r, "disturbs a serving task", now)
		case pace < r.pace:
			c.setPace(w, r, pace, "headroom is short", now)
		case pace > r.pace && rested:
			c.setPace(w, r, pace, "headroom is left", now)
		}
	}
}

// mayMove reports whether a run may go to a worker that could carry it faster.
func (c *Core) mayMove(r *run, now time.Time) bool {
	s := r.task.stage
	if now.Sub(r.since) < settleFor || r.percent > mostDone || !s.step.Checkpoints && r.percent > littleDone ||
		c.prospectOf(s.image, s.step.part(r.worker), r.worker).outlook > badOutlook {
		return false
	}
	for _, w := range c.workers {
		if w == r.worker || !c.mayTake(w, now) || !c.fits(r.task, w, now) {
			continue
		}
		if p := c.prospectOf(s.image, s.step.part(w), w); p.outlook >= goodWorth && p.worth(admitCost) >= goodWorth {
			return true
		}
	}
	return false
}

// paces returns the paces of runs that fill a worker at which their progress is
// worth the most against the targets that are expected to be missed. It starts
// with all standing still and speeds up, step by step, the run of which that gains most.
func (c *Core) paces(w *worker, runs []*run, cost float64) []int {
	all := make([]int, len(runs))
	victims := slices.Clone(c.victims(w))
	for _, r := range runs {
		c.shift(victims, r.task.stage, w, -float64(r.pace)/fullPace)
	}
	for {
		best, most := -1, 0.0
		for i, r := range runs {
			if all[i] == fullPace {
				continue
			}
			gain := float64(paceStep) / fullPace
			part := r.task.stage.step.part(w) * gain
			for k := range victims {
				v := &victims[k]
				gain -= cost * float64(v.tasks) * (c.miss(v, r.task.stage.image, part) - c.miss(v, 0, 0))
			}
			if gain > most {
				best, most = i, gain
			}
		}
		if best < 0 {
			return all
		}
		all[best] += paceStep
		c.shift(victims, runs[best].task.stage, w, float64(paceStep)/fullPace)
	}
}

// shift changes what is expected of victims by a part of the full pace of a task.
func (c *Core) shift(victims []victim, s *stage, w *worker, pace float64) {
	part := s.step.part(w) * pace
	for i := range victims {
		mean, spread := c.headroom.Effect(victims[i].stage.image, s.image)
		victims[i].left -= max(0, mean) * part
		victims[i].variance = max(0, victims[i].variance+spread*spread*part*math.Abs(part))
	}
}

// filling returns the runs that fill a worker, in a fixed order.
func (c *Core) filling(w *worker) []*run {
	return slices.DeleteFunc(sortedRuns(w.runs), func(r *run) bool {
		return !r.task.stage.step.Filler || r.state != runRunning
	})
}

// setPace changes the pace of a run.
func (c *Core) setPace(w *worker, r *run, pace int, reason string, now time.Time) {
	if pace == r.pace {
		return
	}
	w.pacedAt = now
	c.stops = append(c.stops, Command{Kind: CommandThrottle, run: r, worker: w, pace: pace})
	least := 0.0
	for i, v := range c.victims(w) {
		if i == 0 || v.left < least {
			least = v.left
		}
	}
	c.note(Note{
		Kind: NoteThrottled, Task: r.task.name(), Run: r.number, Worker: w.ID, Percent: pace,
		Reason: reason, TailRatio: w.strain, Headroom: least,
	})
}
