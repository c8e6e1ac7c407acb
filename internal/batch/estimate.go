package batch

import (
	"math"
	"slices"
	"time"
)

const (
	// A miss cost weighs missed targets against the progress of filler tasks. A cost of 12 means
	// that one serving task that misses its target for some time outweighs what 12 unthrottled
	// filler tasks achieve in that time. When a worker is chosen, the cost is initialMissCost at
	// first, since waiting is cheap then, and falls linearly to longWaitMissCost until the task has
	// waited for longWait. For a run in progress the cost is throttleMissCost: throttling the run
	// delays its whole job, which waits for its last task.
	initialMissCost  = 12.0
	longWaitMissCost = 3.0
	longWait         = 2 * time.Second
	throttleMissCost = 2.0
)

// servingGroup holds the serving tasks of one stage on a worker.
type servingGroup struct {
	stage *stage
	tasks int
	// headroom is the expected headroom beside the filler tasks on the worker at their present
	// throttle ratios, variance the variance of that estimate.
	headroom float64
	variance float64
	// typicalOffset is the typical baseline headroom minus the present one, typicalVariance the
	// variance of the baseline headroom as the load of the serving tasks changes.
	typicalOffset   float64
	typicalVariance float64
	// missProbability is the probability that the target is missed beside the filler tasks on the
	// worker, typicalMissProbability the same at the typical load.
	missProbability        float64
	typicalMissProbability float64
}

// missProbability returns the probability that the group's target is missed if an image uses an
// additional share of the worker's processors.
func (c *Core) missProbability(group *servingGroup, image int, cpuShare float64) float64 {
	headroom, variance := group.headroom, group.variance
	if cpuShare != 0 {
		mean, spread := c.headroom.Effect(group.stage.image, image)
		headroom -= max(0, mean) * cpuShare
		variance += spread * spread * cpuShare * math.Abs(cpuShare)
	}
	return c.headroom.MissProbability(headroom, math.Sqrt(max(0, variance)))
}

// servingGroups returns the groups of serving tasks on a worker.
func (c *Core) servingGroups(w *worker) []servingGroup {
	if !w.groupsStale {
		return w.groups
	}
	w.groupsStale = false
	w.estimates = w.estimates[:0]
	w.groups = w.groups[:0]
	runs := sortedRuns(w.runs)
	for _, r := range runs {
		s := r.task.stage
		if s.step.TailTarget <= 0 {
			continue
		}
		i := slices.IndexFunc(w.groups, func(group servingGroup) bool { return group.stage == s })
		if i < 0 {
			i = len(w.groups)
			baseline := c.headroom.Baseline(&s.baseline, s.image)
			typical, variance := c.headroom.LongTermBaseline(&s.baseline, s.image)
			w.groups = append(w.groups, servingGroup{stage: s, headroom: baseline, typicalOffset: typical - baseline, typicalVariance: variance})
		}
		w.groups[i].tasks++
	}
	for i := range w.groups {
		group := &w.groups[i]
		for _, r := range runs {
			if s := r.task.stage; s.step.Filler {
				cpuShare := s.step.cpuShare(w) * float64(r.throttleRatio) / unthrottled
				mean, spread := c.headroom.Effect(group.stage.image, s.image)
				group.headroom -= max(0, mean) * cpuShare
				group.variance += spread * spread * cpuShare * cpuShare
			}
		}
		group.missProbability = c.missProbability(group, 0, 0)
		typical := group.atTypicalLoad()
		group.typicalMissProbability = c.missProbability(&typical, 0, 0)
	}
	return w.groups
}

// placementEstimate is the expected outcome of running a filler task of an image on a worker.
type placementEstimate struct {
	image int
	// cpuShare is the share of the worker's processors that the task uses when it is not throttled.
	cpuShare float64
	// missFreeProbability is the probability that no target is missed because of the task, at the
	// typical load of the serving tasks and its variance.
	missFreeProbability float64
	// missesUnthrottled and missesAtHalf are how many more serving tasks are expected to miss their
	// targets at their present load, if the filler task runs unthrottled or at half speed. They are
	// computed when they are first needed, and hasMisses is set then.
	hasMisses         bool
	missesUnthrottled float64
	missesAtHalf      float64
}

// netProgress returns the task's progress less the cost of the expected misses, unthrottled or at
// half speed, whichever is better. Unthrottled progress counts as 1.
func (p placementEstimate) netProgress(missCost float64) float64 {
	return max(1-missCost*p.missesUnthrottled, 0.5-missCost*p.missesAtHalf)
}

// missCostAfter returns the miss cost that applies when a worker is chosen for a task that has
// waited for a duration.
func missCostAfter(waited time.Duration) float64 {
	waitedFraction := min(1, max(0, float64(waited)/float64(longWait)))
	return initialMissCost + waitedFraction*(longWaitMissCost-initialMissCost)
}

// maxEstimates limits how many estimates are kept for a worker. They are found by a linear search.
const maxEstimates = 32

// missFreeProbability returns that of the estimate for a filler task of an image on a worker.
func (c *Core) missFreeProbability(image int, cpuShare float64, w *worker) float64 {
	return c.findEstimate(image, cpuShare, w).missFreeProbability
}

// estimatePlacement returns the estimate for a filler task of an image on a worker.
func (c *Core) estimatePlacement(image int, cpuShare float64, w *worker) placementEstimate {
	estimate := c.findEstimate(image, cpuShare, w)
	if !estimate.hasMisses {
		estimate.hasMisses = true
		for i := range w.groups {
			group, tasks := &w.groups[i], float64(w.groups[i].tasks)
			estimate.missesUnthrottled += tasks * (c.missProbability(group, image, cpuShare) - group.missProbability)
			estimate.missesAtHalf += tasks * (c.missProbability(group, image, cpuShare/2) - group.missProbability)
		}
	}
	return *estimate
}

// findEstimate returns the estimate for a filler task of an image on a worker, which may lack the
// expected misses. It is valid until the next call.
func (c *Core) findEstimate(image int, cpuShare float64, w *worker) *placementEstimate {
	groups := c.servingGroups(w)
	for i := range w.estimates {
		if w.estimates[i].image == image && w.estimates[i].cpuShare == cpuShare {
			return &w.estimates[i]
		}
	}
	estimate := placementEstimate{image: image, cpuShare: cpuShare, missFreeProbability: 1}
	for i := range groups {
		typical := groups[i].atTypicalLoad()
		estimate.missFreeProbability *= 1 - max(0, c.missProbability(&typical, image, cpuShare)-typical.typicalMissProbability)
	}
	if len(w.estimates) == maxEstimates {
		w.estimates = w.estimates[:maxEstimates-1]
	}
	w.estimates = append(w.estimates, estimate)
	return &w.estimates[len(w.estimates)-1]
}

// atTypicalLoad returns the group with the headroom that it has at its typical load.
func (group *servingGroup) atTypicalLoad() servingGroup {
	typical := *group
	typical.headroom += group.typicalOffset
	typical.variance += group.typicalVariance
	return typical
}

// expectedEffect returns the headroom that a serving image is expected to lose beside an image that
// uses a whole worker. It is never negative: no image is assumed to help another.
func (c *Core) expectedEffect(serving, beside int) float64 {
	mean, _ := c.headroom.Effect(serving, beside)
	return max(0, mean)
}
