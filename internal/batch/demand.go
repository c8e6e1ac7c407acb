package batch

import "time"

// demand is the demand of one image for filler tasks.
type demand struct {
	image int
	// processors is what its unfinished tasks use, in thousandths of a core; tasks is their number.
	processors float64
	tasks      int
	// supply is the sum of processors of the workers that suit the image, in thousandths of a core.
	// A worker suits an image if its missFreeProbability is at least minMissFreeProbability.
	supply float64
}

// demandEvery is how often demand pressure is updated. Demand changes within seconds.
const demandEvery = 500 * time.Millisecond

// updateDemandPressure computes the demand pressure on each worker. Each filler image that the
// worker suits adds the image's demand divided by its supply. A worker that suits an image with few
// alternatives thus gets a high pressure, and other images avoid it.
func (c *Core) updateDemandPressure(now time.Time) {
	if now.Sub(c.demandUpdatedAt) < demandEvery {
		return
	}
	c.demandUpdatedAt = now
	all := c.fillerDemands()
	suits := make([]bool, len(c.accepting)*len(all))
	for i, w := range c.accepting {
		for k := range all {
			d := &all[k]
			cpuShare := d.processors / float64(d.tasks) / float64(max(1, w.Capacity.Processors))
			if c.estimatePlacement(d.image, cpuShare, w).missFreeProbability >= minMissFreeProbability {
				suits[i*len(all)+k] = true
				d.supply += float64(w.Capacity.Processors)
			}
		}
	}
	for i, w := range c.accepting {
		w.demandPressure = 0
		for k, d := range all {
			if suits[i*len(all)+k] {
				w.demandPressure += d.processors / d.supply
			}
		}
	}
}

// fillerDemands returns the demand of each image with unfinished filler tasks.
func (c *Core) fillerDemands() []demand {
	var all []demand
	at := map[int]int{}
	for _, j := range c.active {
		for _, s := range j.stages {
			if !s.step.Filler || s.unfinished == 0 {
				continue
			}
			i, known := at[s.image]
			if !known {
				i = len(all)
				at[s.image] = i
				all = append(all, demand{image: s.image})
			}
			all[i].tasks += s.unfinished
			all[i].processors += float64(s.unfinished) * float64(s.step.Size.Processors)
		}
	}
	return all
}
