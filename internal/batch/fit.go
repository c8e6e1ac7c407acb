package batch

import "time"

// acceptsRuns reports whether a worker may be given new runs.
func (c *Core) acceptsRuns(w *worker, now time.Time) bool {
	return c.isAvailable(w, now) && c.health.Permits(w.ID, now)
}

// isAvailable reports whether nothing but a quarantine keeps a worker from being given new runs.
func (c *Core) isAvailable(w *worker, now time.Time) bool {
	return w.isUsable() && !w.Draining && w.contacted && w.unresponsiveSince.IsZero() &&
		!now.Before(w.backoffUntil) && len(w.orphans) == 0 && c.mayGrant(w) && !c.isEvacuated(w)
}

// Obstacle is why a worker that accepts runs cannot run a task; it is empty if the worker can.
type Obstacle string

// The obstacles, in the order in which they are checked.
const (
	NoService              Obstacle = "no worker of the service"
	NoMemoryOrAccelerators Obstacle = "not enough free memory or accelerators"
	NoProcessors           Obstacle = "not enough free processors"
	StepLimitPerWorker     Obstacle = "limit of the step's tasks on one worker reached"
	NoLabel                Obstacle = "no worker with the label"
	NoTicket               Obstacle = "no ticket from the adviser"
	NoIdleProcessors       Obstacle = "not enough idle processors"
	NoHeadroom             Obstacle = "serving tasks have too little headroom for the image"
	IsolatedRun            Obstacle = "a run is isolated on the worker"
	Quarantined            Obstacle = "worker is in quarantine"
	NoAcceptingWorker      Obstacle = "no worker accepts runs"
	EvacuatedDataCentre    Obstacle = "data centre is evacuated"
	EvacuationsUnconfirmed Obstacle = "evacuations are not confirmed"
	HeldBack               Obstacle = "processors are left to short tasks"
	noObstacle             Obstacle = ""
	noCapacityForGang      Obstacle = "not enough free capacity for the whole gang"
)

// fits reports whether a worker that accepts runs can run a task.
func (c *Core) fits(t *task, w *worker, now time.Time) bool {
	return c.obstacle(t, w, now) == noObstacle
}

// obstacle returns why a worker that accepts runs cannot run a task.
func (c *Core) obstacle(t *task, w *worker, now time.Time) Obstacle {
	s := t.stage.step
	if w.Service != t.stage.job.Policy.Service {
		return NoService
	}
	if w.probeTaken {
		return Quarantined
	}
	if w.isolated != nil {
		return IsolatedRun
	}
	free := w.freeFor(t)
	switch {
	case s.Size.Memory > free.Memory || s.Size.Accelerators > free.Accelerators:
		return NoMemoryOrAccelerators
	case !s.Filler && s.Size.Processors > free.Processors:
		return NoProcessors
	case t.stage.isAtLimit(w):
		return StepLimitPerWorker
	case s.RequiredLabel != "" && !w.hasLabel(s.RequiredLabel):
		return NoLabel
	case c.isAdvised(t.stage) && !t.stage.hasTicket(w, now):
		return NoTicket
	case s.Filler:
		return c.fillerObstacle(t, w, now)
	}
	return noObstacle
}

// fillerObstacle returns why a worker has too few idle processors for a filler task, or why the
// task would interfere too much with serving tasks there.
func (c *Core) fillerObstacle(t *task, w *worker, now time.Time) Obstacle {
	o := c.regularObstacle(t, w, now)
	if o != noObstacle && c.mayRunOverdue(t, w, now) {
		return noObstacle
	}
	return o
}

// regularObstacle is fillerObstacle for a task that is not overdue.
func (c *Core) regularObstacle(t *task, w *worker, now time.Time) Obstacle {
	s := t.stage
	if c.idleProcessors(w, now) < minIdleShare*float64(s.step.Size.Processors) {
		return NoIdleProcessors
	}
	if len(w.servingImages) == 0 {
		return noObstacle
	}
	cpuShare := s.step.cpuShare(w)
	if c.missFreeProbability(s.image, cpuShare, w) < minMissFreeProbability ||
		c.estimatePlacement(s.image, cpuShare, w).netProgress(missCostAfter(now.Sub(t.queuedAt))) < minNetProgress {
		return NoHeadroom
	}
	return noObstacle
}

const (
	// minIdleShare is the share of a filler task's processors that has to be idle on its worker.
	minIdleShare = 0.6
	// A filler task waits instead of being placed where its net progress would be less than
	// minNetProgress. A worker suits an image if the probability that the image causes no missed
	// target there is at least minMissFreeProbability.
	minNetProgress         = 0.3
	minMissFreeProbability = 0.6
)

// The weights of a score, relative to the share of the worker's processors that stays idle.
const (
	// weightRack gives data locality precedence over load balancing.
	weightRack = 10.0
	// weightAvoid keeps a task off its avoidWorker if another worker fits.
	weightAvoid = 5.0
	// weightImage gathers serving tasks of the same image on the same workers, which leaves other
	// workers to the images that interfere with them.
	weightImage = 3.0
	// weightNetProgress weighs the net progress that a filler task is expected to lose to missed
	// targets at the present load of the serving tasks.
	weightNetProgress = 2.0
	// weightMissFree weighs the probability of a missed target at their typical load,
	// weightDemandPressure the demand pressure on the worker.
	weightMissFree       = 2.0
	weightDemandPressure = 4.0
	// weightInterference weighs the headroom that a serving task would lose to filler tasks on the
	// worker.
	weightInterference = 1.0
)

// score rates a worker for a task; higher is better.
func (c *Core) score(t *task, w *worker, now time.Time) float64 {
	s := t.stage.step
	if c.isOverdue(t, now) {
		score := c.overdueScore(t, w, now)
		if t.avoidWorker == w {
			score -= weightAvoid
		}
		return score
	}
	capacity := float64(max(1, w.Capacity.Processors))
	score := (c.idleProcessors(w, now) - float64(s.Size.Processors)) / capacity
	if s.PreferredRack != "" && w.Rack == s.PreferredRack {
		score += weightRack
	}
	if t.avoidWorker == w {
		score -= weightAvoid
	}
	switch {
	case s.TailTarget > 0:
		score += c.servingScore(t.stage, w)
	case s.Filler && len(w.servingImages) > 0:
		p := c.estimatePlacement(t.stage.image, s.cpuShare(w), w)
		score -= weightNetProgress*(1-p.netProgress(initialMissCost)) + weightMissFree*(1-p.missFreeProbability) + weightDemandPressure*w.demandPressure
	}
	return score
}

// servingScore rates a worker for a serving task. It prefers workers that serve the same image and
// are nearly full, and avoids filler images that are known to interfere.
func (c *Core) servingScore(s *stage, w *worker) float64 {
	score := 0.0
	for i := range w.servingImages {
		if w.servingImages[i].image == s.image {
			score += weightImage
		} else {
			score -= weightImage
		}
	}
	if len(w.servingImages) > 0 {
		score += float64(w.allocated.Processors) / float64(max(1, w.Capacity.Processors))
	}
	if w.fillerSize.Processors == 0 {
		return score
	}
	loss := 0.0
	for _, r := range w.runs {
		if filler := r.task.stage; filler.step.Filler {
			loss += quantize(weightInterference * c.expectedEffect(s.image, filler.image) * filler.step.cpuShare(w))
		}
	}
	return score - loss
}
