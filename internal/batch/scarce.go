package batch

import "time"

// demand is what an image that fills has to get done, in thousandths of a core.
type demand struct {
	image int
	// wanted is what its open tasks use, and tasks their number.
	wanted float64
	tasks  int
	// supply is what the workers could give it on which it disturbs nobody much.
	supply float64
}

// scarceEvery is how often workers are appraised: demand changes within seconds.
const scarceEvery = 500 * time.Millisecond

// appraise finds what each worker is worth to the images that fill: one that suits
// an image which few workers suit is left to that image by the others.
func (c *Core) appraise(now time.Time) {
	if now.Sub(c.appraisedAt) < scarceEvery {
		return
	}
	c.appraisedAt = now
	all := c.demands()
	suits := make([]bool, len(c.open)*len(all))
	for i, w := range c.open {
		for k := range all {
			d := &all[k]
			part := d.wanted / float64(d.tasks) / float64(max(1, w.Capacity.Processors))
			if c.prospectOf(d.image, part, w).outlook >= leastOutlook {
				suits[i*len(all)+k] = true
				d.supply += float64(w.Capacity.Processors)
			}
		}
	}
	for i, w := range c.open {
		w.appeal = 0
		for k, d := range all {
			if suits[i*len(all)+k] {
				w.appeal += d.wanted / d.supply
			}
		}
	}
}

// demands returns what the images want whose tasks fill.
func (c *Core) demands() []demand {
	var all []demand
	at := map[int]int{}
	for _, j := range c.active {
		for _, s := range j.stages {
			if !s.step.Filler || s.undone == 0 {
				continue
			}
			i, known := at[s.image]
			if !known {
				i = len(all)
				at[s.image] = i
				all = append(all, demand{image: s.image})
			}
			all[i].tasks += s.undone
			all[i].wanted += float64(s.undone) * float64(s.step.Size.Processors)
		}
	}
	return all
}
