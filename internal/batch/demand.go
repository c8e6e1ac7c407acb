package batch

import "time"

// demand is the demand of one image for filler tasks.
type demand struct {
	image int
	// processors is what the image's unfinished tasks use, in thousandths of a core; tasks is their
	// number.
	processors float64
	tasks      int
	// supply is the sum of processors of the workers that suit the image, in thousandths of a core.
	// A worker suits an image if its missFreeProbability is at least minMissFreeProbability.
	supply float64
}

// demandEvery is how often demand pressure is updated. Demand changes within seconds.
const demandEvery = 500 * time.Millisecond

// updateDemandPressure computes the demand pressure on each worker: the sum, over the filler images
// that the worker suits, of the image's demand divided by its supply. A worker that suits an image
// with few alternatives thus gets a high pressure, and tasks of other images avoid it.
func (c *Core) updateDemandPressure(now time.Time) {
	if now.Sub(c.demandUpdatedAt) < demandEvery {
		return
	}
	c.demandUpdatedAt = now
	demands := c.fillerDemands()
	suits := make([]bool, len(c.accepting)*len(demands))
	for i, w := range c.accepting {
		for k := range demands {
			d := &demands[k]
			cpuShare := d.processors / float64(d.tasks) / float64(max(1, w.Capacity.Processors))
			if c.missFreeProbability(d.image, cpuShare, w) >= minMissFreeProbability {
				suits[i*len(demands)+k] = true
				d.supply += float64(w.Capacity.Processors)
			}
		}
	}
	for i, w := range c.accepting {
		w.demandPressure = 0
		for k, d := range demands {
			if suits[i*len(demands)+k] {
				w.demandPressure += d.processors / d.supply
			}
		}
	}
}

// fillerDemands returns the demand of each image with unfinished filler tasks.
func (c *Core) fillerDemands() []demand {
	var demands []demand
	indexes := map[int]int{}
	for _, j := range c.active {
		for _, s := range j.stages {
			if !s.step.Filler || s.unfinished == 0 {
				continue
			}
			i, known := indexes[s.image]
			if !known {
				i = len(demands)
				indexes[s.image] = i
				demands = append(demands, demand{image: s.image})
			}
			demands[i].tasks += s.unfinished
			demands[i].processors += float64(s.unfinished) * float64(s.step.Size.Processors)
		}
	}
	return demands
}
