package batch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// mayTake reports whether a worker may be given new runs at all.
func (c *Core) mayTake(w *worker, now time.Time) bool {
	return w.listed && !w.Draining && w.adopted && w.silentSince.IsZero() &&
		!now.Before(w.shunUntil) && len(w.strays) == 0 && c.mayGrant(w) && c.health.Permits(w.ID, now)
}

// findOpen collects the workers that may take runs, in a fixed order.
func (c *Core) findOpen(now time.Time) {
	if c.order == nil {
		c.order = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	}
	c.open = c.open[:0]
	for _, w := range c.order {
		if c.mayTake(w, now) {
			c.open = append(c.open, w)
		}
	}
}

// maxCompared bounds the workers among which one decision chooses, so that its
// cost does not grow with the pool.
const maxCompared = 96

// choose returns the best worker for a task, or nil. In restricts the choice,
// unless it is nil. In a large pool it compares the first that fit from where
// the last search ended.
func (c *Core) choose(t *task, in func(*worker) bool, now time.Time) *worker {
	var best *worker
	var bestScore float64
	n := len(c.open)
	compared := 0
	for i := range n {
		w := c.open[(c.turn+i)%n]
		if !c.fits(t, w, now) || in != nil && !in(w) {
			continue
		}
		score := c.score(t, w, now)
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
		if compared++; compared == maxCompared {
			c.turn = (c.turn + i + 1) % n
			break
		}
	}
	return best
}

// shortage names a kind of need that finds no worker.
type shortage struct {
	service string
	fills   bool
	image   int
}

// short is a need that found no worker.
type short struct {
	size share.Resources
	// waited is how long it had waited; what has waited longer may be placed where it was not.
	waited time.Duration
}

// isPlain reports whether nothing but room and harm decides where a step's tasks run.
func (s *Step) isPlain() bool { return s.RequiredLabel == "" && s.MaxPerWorker == 0 }

// isShort reports whether a step with no greater needs has found no worker in the present plan.
func (c *Core) isShort(s *stage, now time.Time) bool {
	found, known := c.short[s.shortage()]
	return known && found.size.Fits(s.step.Size) && (!s.step.Filler || s.waited(now) <= found.waited)
}

// noteShort notes that a step has found no worker.
func (c *Core) noteShort(s *stage, now time.Time) {
	if s.step.isPlain() && !c.isAdvised(s) {
		c.short[s.shortage()] = short{size: s.step.Size, waited: s.waited(now)}
	}
}

// waited returns how long the task of the stage that is placed next has waited.
func (s *stage) waited(now time.Time) time.Duration {
	for _, t := range s.tasks {
		if t.state == taskQueued {
			return now.Sub(t.queuedAt)
		}
	}
	return 0
}

func (s *stage) shortage() shortage {
	key := shortage{service: s.job.service, fills: s.step.Filler}
	if s.step.Filler {
		key.image = s.image
	}
	return key
}

// Obstacle is why a worker that may take runs does not take a task; empty means that it may.
type Obstacle string

// The obstacles, in the order in which they are looked for.
const (
	NoService      Obstacle = "no worker of the service"
	NoMemory       Obstacle = "no memory or accelerators"
	NoProcessors   Obstacle = "no processors"
	TooManyOfStep  Obstacle = "as many of the step on each worker as it permits"
	NoLabel        Obstacle = "no worker with the label"
	NoTicket       Obstacle = "no ticket of the adviser"
	NoIdle         Obstacle = "no idle processors"
	NoHeadroom     Obstacle = "serving tasks have no headroom for the image"
	NoOpenWorker   Obstacle = "no worker takes runs"
	noObstacle     Obstacle = ""
	obstacleOfGang Obstacle = "no room for the whole gang"
)

// fits reports whether a worker that may take runs has room for a task and may run it.
func (c *Core) fits(t *task, w *worker, now time.Time) bool {
	return c.obstacle(t, w, now) == noObstacle
}

// obstacle returns why a worker that may take runs may not be given a task.
func (c *Core) obstacle(t *task, w *worker, now time.Time) Obstacle {
	s := t.stage.step
	if w.Service != t.stage.job.service {
		return NoService
	}
	free := w.freeFor(t)
	switch {
	case s.Size.Memory > free.Memory || s.Size.Accelerators > free.Accelerators:
		return NoMemory
	case !s.Filler && s.Size.Processors > free.Processors:
		return NoProcessors
	case s.MaxPerWorker > 0 && t.stage.onWorkers[w] >= s.MaxPerWorker:
		return TooManyOfStep
	case s.RequiredLabel != "" && !w.hasLabel(s.RequiredLabel):
		return NoLabel
	case c.isAdvised(t.stage) && !t.stage.hasTicket(w, now):
		return NoTicket
	case s.Filler:
		return c.obstacleToFill(t, w, now)
	}
	return noObstacle
}

// obstacleToFill returns why a task that fills would not get processors on a
// worker without harm to those that serve there.
func (c *Core) obstacleToFill(t *task, w *worker, now time.Time) Obstacle {
	s := t.stage
	if c.idle(w, now) < leastIdle*float64(s.step.Size.Processors) {
		return NoIdle
	}
	if len(w.serving) == 0 {
		return noObstacle
	}
	p := c.prospectOf(s.image, s.step.part(w), w)
	if p.outlook < leastOutlook || p.worth(admitCostAfter(now.Sub(t.queuedAt))) < leastWorth {
		return NoHeadroom
	}
	return noObstacle
}

const (
	// leastIdle is the part of its processors that a task which fills has to expect.
	leastIdle = 0.6
	// leastWorth is the worth from which a task is placed rather than left waiting for
	// another worker, and leastOutlook the outlook from which a worker suits an image at all.
	leastWorth   = 0.3
	leastOutlook = 0.6
)

// The weights of a score, against a part of the worker's processors.
const (
	// weightRack lets data be nearer than any balance of load.
	weightRack = 10.0
	// weightAvoid keeps a task from where it failed last while there is another place.
	weightAvoid = 5.0
	// weightImage lets serving tasks of one image share workers, so that what disturbs them has room elsewhere.
	weightImage = 3.0
	// weightWorth weighs what a task that fills a worker costs those that serve there.
	weightWorth = 2.0
	// weightOutlook weighs the same as their load swings, and weightAppeal how much others want the worker.
	weightOutlook = 2.0
	weightAppeal  = 4.0
	// weightHarm weighs the headroom that tasks which fill a worker take of a serving one.
	weightHarm = 1.0
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
		score += c.servingScore(t.stage, w)
	case s.Filler && len(w.serving) > 0:
		p := c.prospectOf(t.stage.image, s.part(w), w)
		score -= weightWorth*(1-p.worth(admitCost)) + weightOutlook*(1-p.outlook) + weightAppeal*w.appeal
	}
	return score
}

// servingScore lets serving tasks of one image fill a worker before the next
// one, away from what is known to disturb them.
func (c *Core) servingScore(s *stage, w *worker) float64 {
	score := 0.0
	for i := range w.serving {
		if w.serving[i].image == s.image {
			score += weightImage
		} else {
			score -= weightImage
		}
	}
	if len(w.serving) > 0 {
		score += float64(w.used.Processors) / float64(max(1, w.Capacity.Processors))
	}
	if w.soft.Processors == 0 {
		return score
	}
	for _, r := range w.runs {
		if o := r.task.stage; o.step.Filler {
			score -= weightHarm * c.effectOf(s.image, o.image) * o.step.part(w)
		}
	}
	return score
}
