package batch

import (
	"math"
	"slices"
	"time"
)

const (
	// admitCost is how much progress of a task that fills is outweighed by a missed target
	// of a task that serves, for as long, where a place is chosen: waiting costs little
	// at first. It falls to longCost over waitLong. paceCost is the same for a run that is
	// under way: to slow it down holds up its whole job, which waits for its last task.
	admitCost = 12.0
	longCost  = 3.0
	waitLong  = 2 * time.Second
	paceCost  = 2.0
)

// victim are the tasks of one job that serve on a worker.
type victim struct {
	stage *stage
	tasks int
	// left is the headroom that is expected beside the tasks that fill the worker,
	// at their pace, and variance how sure that is.
	left     float64
	variance float64
	// offset is by how much the usual level is above the present one, and swing the variance around it.
	offset float64
	swing  float64
}

// miss returns the probability that the victim's target is missed if a part of
// the worker's processors is given to an image besides.
func (c *Core) miss(v *victim, image int, part float64) float64 {
	left, variance := v.left, v.variance
	if part != 0 {
		mean, spread := c.headroom.Effect(v.stage.image, image)
		left -= max(0, mean) * part
		variance += spread * spread * part * math.Abs(part)
	}
	return c.headroom.MissProbability(left, math.Sqrt(max(0, variance)))
}

// victims returns what serves on a worker.
func (c *Core) victims(w *worker) []victim {
	if !w.stale {
		return w.victims
	}
	w.stale = false
	w.prospects = w.prospects[:0]
	w.victims = w.victims[:0]
	runs := sortedRuns(w.runs)
	for _, r := range runs {
		s := r.task.stage
		if s.step.TailTarget <= 0 {
			continue
		}
		i := slices.IndexFunc(w.victims, func(v victim) bool { return v.stage == s })
		if i < 0 {
			i = len(w.victims)
			level := c.headroom.Baseline(&s.level, s.image)
			usual, swing := c.headroom.LongTermBaseline(&s.level, s.image)
			w.victims = append(w.victims, victim{stage: s, left: level, offset: usual - level, swing: swing})
		}
		w.victims[i].tasks++
	}
	for i := range w.victims {
		v := &w.victims[i]
		for _, r := range runs {
			if s := r.task.stage; s.step.Filler {
				part := s.step.part(w) * float64(r.pace) / fullPace
				mean, spread := c.headroom.Effect(v.stage.image, s.image)
				v.left -= max(0, mean) * part
				v.variance += spread * spread * part * part
			}
		}
	}
	return w.victims
}

// prospect is how a task of an image would get on beside the victims of a worker.
type prospect struct {
	image int
	// part is what the task uses of the worker's processors at full pace.
	part float64
	// fullMisses and halfMisses are the expected misses of those that serve there, at
	// full and at half pace, as things stand.
	fullMisses float64
	halfMisses float64
	// outlook is the part of the time in which nobody would miss a target for it, as
	// the load of those that serve swings.
	outlook float64
}

// worth returns the progress of the task at the better of two paces, where 1 is full
// pace, less what the expected misses cost.
func (p prospect) worth(cost float64) float64 {
	return max(1-cost*p.fullMisses, 0.5-cost*p.halfMisses)
}

// admitCostAfter returns the cost of a miss to a task that has waited for a time.
func admitCostAfter(waited time.Duration) float64 {
	part := min(1, max(0, float64(waited)/float64(waitLong)))
	return admitCost + part*(longCost-admitCost)
}

// prospectOf returns how a task of an image would get on on a worker.
func (c *Core) prospectOf(image int, part float64, w *worker) prospect {
	victims := c.victims(w)
	for _, p := range w.prospects {
		if p.image == image && p.part == part {
			return p
		}
	}
	p := prospect{image: image, part: part, outlook: 1}
	for i := range victims {
		v := &victims[i]
		now, tasks := c.miss(v, 0, 0), float64(v.tasks)
		p.fullMisses += tasks * (c.miss(v, image, part) - now)
		p.halfMisses += tasks * (c.miss(v, image, part/2) - now)
		u := v.usual()
		p.outlook *= 1 - max(0, c.miss(&u, image, part)-c.miss(&u, 0, 0))
	}
	w.prospects = append(w.prospects, p)
	return p
}

// usual returns the victim as it is over the swings of its load.
func (v *victim) usual() victim {
	u := *v
	u.left += v.offset
	u.variance += v.swing
	return u
}

// effectOf returns what an image that uses a whole worker is expected to take of
// the headroom of another one; images are never taken to help each other.
func (c *Core) effectOf(victim, aggressor int) float64 {
	mean, _ := c.headroom.Effect(victim, aggressor)
	return max(0, mean)
}
