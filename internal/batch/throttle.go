package batch

import (
	"math"
	"slices"
	"time"
)

const (
	// unthrottled is the throttle ratio of a run that works at full speed. A throttle ratio is the
	// percentage of full speed at which a worker lets a filler run work.
	unthrottled = 100
	// throttleStep is the step between throttle ratios.
	throttleStep = 25
	// A run whose throttle ratio would fall below moveBelowRatio moves to another worker instead,
	// if its missFreeProbability on its present worker is at most maxMissFreeToMove, its
	// missFreeProbability and its net progress on the other one are at least minValueToMove, and
	// its progress is at most maxProgressToMove percent. A move costs the stop, a commit and the
	// start: about a second.
	moveBelowRatio    = 50
	maxMissFreeToMove = 0.5
	minValueToMove    = 0.8
	maxProgressToMove = 70
	// maxProgressToLose is the progress in percent that a run without checkpoints may lose in a
	// move.
	maxProgressToLose = 30
	// highTailRatio is the tail ratio above which a worker is polled more often.
	highTailRatio = 0.7
	// raiseRatioAfter is how long throttle ratios are not raised after a change, so that
	// measurements can show its effect.
	raiseRatioAfter = 600 * time.Millisecond
	// minStayBeforeMove is how long a run stays on a worker before it may be moved.
	minStayBeforeMove = time.Second
	// urgentMissAfter is how long a target may be missed before the miss cost becomes
	// urgentMissCost, which outweighs any progress. After suspendAfter, all filler runs on the
	// worker are suspended. The platform tolerates 4 s of misses in a row, one of which may pass
	// before a late poll.
	urgentMissAfter = 600 * time.Millisecond
	urgentMissCost  = 30
	suspendAfter    = 1800 * time.Millisecond
)

// updateThrottling throttles the filler runs on a worker according to the headroom of the serving
// tasks there, and moves runs that would be faster on another worker.
func (c *Core) updateThrottling(w *worker, now time.Time) {
	c.learnInterference(w, now)
	switch {
	case w.worstTailRatio < 1:
		w.targetMissedSince = time.Time{}
	case w.targetMissedSince.IsZero():
		w.targetMissedSince = now
	}
	c.adjustThrottling(w, now)
}

// adjustThrottling sets the throttle ratios of the filler runs on a worker, or moves them away.
func (c *Core) adjustThrottling(w *worker, now time.Time) {
	if w.fillerSize.Processors == 0 {
		return
	}
	runs := c.runningFillers(w)
	if len(c.servingGroups(w)) == 0 {
		for _, r := range runs {
			c.setThrottleRatio(w, r, unthrottled, "no serving task is left", now)
		}
		return
	}
	missCost, missedFor := throttleMissCost, time.Duration(0)
	if !w.targetMissedSince.IsZero() {
		missedFor = now.Sub(w.targetMissedSince)
	}
	switch {
	case missedFor >= suspendAfter:
		for _, r := range runs {
			c.setThrottleRatio(w, r, 0, "tail target missed for too long", now)
		}
		return
	case missedFor >= urgentMissAfter:
		missCost = urgentMissCost
	}
	mayRaise := now.Sub(w.throttleChangedAt) >= raiseRatioAfter
	for i, ratio := range c.bestThrottleRatios(w, runs, missCost) {
		r := runs[i]
		switch {
		case ratio < moveBelowRatio && c.mayMove(r, now):
			r.task.avoidWorker = w
			c.stopRun(r, "interferes with a serving task", now)
		case ratio < r.throttleRatio:
			c.setThrottleRatio(w, r, ratio, "not enough headroom", now)
		case ratio > r.throttleRatio && mayRaise:
			c.setThrottleRatio(w, r, ratio, "headroom is available", now)
		case r.mayRepeatThrottle(now):
			c.setThrottleRatio(w, r, r.throttleRatio, "ratio in force is not known", now)
		}
	}
}

// mayMove reports whether a run may be moved and would run faster on another worker.
func (c *Core) mayMove(r *run, now time.Time) bool {
	s := r.task.stage
	if now.Sub(r.stateSince) < minStayBeforeMove || r.progress > maxProgressToMove || !s.step.Checkpoints && r.progress > maxProgressToLose ||
		c.missFreeProbability(s.image, s.step.cpuShare(r.worker), r.worker) > maxMissFreeToMove {
		return false
	}
	for _, w := range c.workersByID() {
		if w == r.worker || !c.acceptsRuns(w, now) || !c.fits(r.task, w, now) {
			continue
		}
		if p := c.estimatePlacement(s.image, s.step.cpuShare(w), w); p.missFreeProbability >= minValueToMove && p.netProgress(initialMissCost) >= minValueToMove {
			return true
		}
	}
	return false
}

// bestThrottleRatios returns the throttle ratios at which the progress of the filler runs, less the
// cost of expected misses, is highest. It is a greedy search: it starts with all runs suspended and
// raises the ratio of the run that gains most, step by step.
func (c *Core) bestThrottleRatios(w *worker, runs []*run, missCost float64) []int {
	ratios := make([]int, len(runs))
	groups := slices.Clone(c.servingGroups(w))
	for _, r := range runs {
		c.shiftExpectations(groups, r.task.stage, w, -float64(r.throttleRatio)/unthrottled)
	}
	for {
		best, most := -1, 0.0
		for i, r := range runs {
			if ratios[i] == unthrottled {
				continue
			}
			gain := float64(throttleStep) / unthrottled
			cpuShare := r.task.stage.step.cpuShare(w) * gain
			for k := range groups {
				group := &groups[k]
				gain -= missCost * float64(group.tasks) * (c.missProbability(group, r.task.stage.image, cpuShare) - c.missProbability(group, 0, 0))
			}
			if gain > most {
				best, most = i, gain
			}
		}
		if best < 0 {
			return ratios
		}
		ratios[best] += throttleStep
		c.shiftExpectations(groups, runs[best].task.stage, w, float64(throttleStep)/unthrottled)
	}
}

// shiftExpectations updates the expected headroom of groups for a change in the speed of one filler
// task of a stage. The ratio is the change as a fraction of full speed; it is negative if the task
// slows down.
func (c *Core) shiftExpectations(groups []servingGroup, s *stage, w *worker, ratio float64) {
	cpuShare := s.step.cpuShare(w) * ratio
	for i := range groups {
		mean, spread := c.headroom.Effect(groups[i].stage.image, s.image)
		groups[i].headroom -= max(0, mean) * cpuShare
		groups[i].variance = max(0, groups[i].variance+spread*spread*cpuShare*math.Abs(cpuShare))
	}
}

// runningFillers returns the filler runs on a worker that have started, in a fixed order.
func (c *Core) runningFillers(w *worker) []*run {
	return slices.DeleteFunc(sortedRuns(w.runs), func(r *run) bool {
		return !r.task.stage.step.Filler || r.state != runRunning
	})
}

// throttleRetryAfter is the interval at which a throttle command is repeated until it is answered.
const throttleRetryAfter = stopRetryAfter

// doubtThrottle records that another throttle ratio than that of the run may be in force since a command was sent.
func (w *worker) doubtThrottle(r *run, sent time.Time) {
	if w.throttlesInDoubt == nil {
		w.throttlesInDoubt = map[*run]time.Time{}
	}
	w.throttlesInDoubt[r] = sent
}

// isThrottleInDoubt reports whether another throttle ratio than that of the run may be in force.
func (r *run) isThrottleInDoubt() bool {
	_, inDoubt := r.worker.throttlesInDoubt[r]
	return inDoubt
}

// mayRepeatThrottle reports whether the throttle ratio in force is not known and no recent command sets it.
func (r *run) mayRepeatThrottle(now time.Time) bool {
	sent, inDoubt := r.worker.throttlesInDoubt[r]
	return inDoubt && now.Sub(sent) >= throttleRetryAfter
}

// setThrottleRatio sends a command that changes the throttle ratio of a run.
func (c *Core) setThrottleRatio(w *worker, r *run, ratio int, reason string, now time.Time) {
	switch {
	case ratio != r.throttleRatio:
		w.throttleChangedAt = now
	case !r.mayRepeatThrottle(now):
		return
	}
	c.commands = append(c.commands, Command{Kind: CommandThrottle, run: r, worker: w, throttleRatio: ratio})
	leastHeadroom := 0.0
	for i, group := range c.servingGroups(w) {
		if i == 0 || group.headroom < leastHeadroom {
			leastHeadroom = group.headroom
		}
	}
	c.note(Note{
		Kind: NoteThrottled, Task: r.task.name(), Run: r.number, Worker: w.ID, Percent: ratio,
		Reason: reason, TailRatio: w.worstTailRatio, Headroom: leastHeadroom,
	})
}
