package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// logWaitAfter is how long a task waits before the reason is logged. logWaitEvery is the
	// shortest interval between two such log lines for a stage, so that a full pool causes few of
	// them.
	logWaitAfter = time.Second
	logWaitEvery = 5 * time.Second
)

// logWait logs why the tasks of a stage wait, if they have waited long enough.
func (c *Core) logWait(s *stage, now time.Time) {
	if s.nextTaskWait(now) < logWaitAfter || now.Sub(s.waitLoggedAt) < logWaitEvery {
		return
	}
	s.waitLoggedAt = now
	i := slices.IndexFunc(s.tasks, func(t *task) bool { return t.state == taskQueued })
	t := s.tasks[i]
	n := Note{Kind: NoteWaits, Task: t.name(), Run: t.lastRun, Age: now.Sub(t.queuedAt), Reason: string(EvacuationsUnconfirmed)}
	if c.AreEvacuationsCurrent(now) {
		c.describeWait(&n, t, now)
	}
	c.note(n)
}

// describeWait adds to a NoteWaits what keeps the task from the workers.
func (c *Core) describeWait(n *Note, t *task, now time.Time) {
	s := t.stage
	counts, couldRun := map[Obstacle]int{}, false
	for _, w := range c.accepting {
		couldRun = couldRun || s.couldRunOn(w)
		o := c.obstacle(t, w, now)
		if o == NoService {
			continue
		}
		if o != noObstacle {
			counts[o]++
		}
		if s.step.Filler {
			n.DeclaredIdle = max(n.DeclaredIdle, c.idleProcessors(w, now)/1000)
			n.MeasuredIdle = max(n.MeasuredIdle, w.measuredIdle(now)/1000)
		}
	}
	for _, o := range slices.Sorted(maps.Keys(counts)) {
		n.Obstacles = append(n.Obstacles, ObstacleCount{Obstacle: o, Workers: counts[o]})
	}
	n.Reason = string(t.waitReason(n.Obstacles))
	if evacuated := c.countEvacuated(s); evacuated > 0 {
		n.Obstacles = append(n.Obstacles, ObstacleCount{Obstacle: EvacuatedDataCentre, Workers: evacuated})
		if !couldRun {
			n.Reason = string(EvacuatedDataCentre)
		}
	}
	if c.isHeldBack(s, now) {
		n.Reason = string(HeldBack)
	}
}

// waitReason returns the obstacle that keeps a task from most of the workers that accept runs.
func (t *task) waitReason(counts []ObstacleCount) Obstacle {
	switch {
	case len(counts) > 0:
		return slices.MaxFunc(counts, func(a, b ObstacleCount) int { return cmp.Compare(a.Workers, b.Workers) }).Obstacle
	case t.stage.step.Gang:
		return noCapacityForGang
	}
	return NoAcceptingWorker
}

// nextTaskWait returns how long the stage's next queued task has waited.
func (s *stage) nextTaskWait(now time.Time) time.Duration {
	for _, t := range s.tasks {
		if t.state == taskQueued {
			return now.Sub(t.queuedAt)
		}
	}
	return 0
}
