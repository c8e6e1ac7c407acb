package laboratory

import (
	"math"
	"time"
)

// Bound is what no policy exceeds on a day.
type Bound struct {
	// Worth bounds the worth of an Outcome.
	Worth float64
	// Kinds bounds the share of each kind, as if the others had no jobs.
	Kinds []float64
}

// UpperBound returns a bound for a planner that knows every arrival, run time and disruption
// beforehand. It is a relaxation: the pool is one worker whose processors tasks use in any portions
// and without interference; each step may be worked on from its job's submission plus the longest
// chain of work before it, until the job's objective less the longest chain after it; and each part
// of a job's work earns that part of the job's worth. Serving tasks earn whenever their baseline
// headroom is sufficient, and need no processors.
//
// The fluid problem is bounded through its dual: any prices of the windows of processor time give a
// bound, so that prices which have not converged cost tightness, but never make the bound wrong.
func UpperBound(d *Day, p Policy) Bound {
	e := d.Experiment
	bound := Bound{}
	fluid := newFluid(d, p)
	weights := 0.0
	services := 0.0
	for i, s := range e.Services {
		share := d.serviceBound(i)
		bound.Kinds = append(bound.Kinds, share)
		services += float64(s.Worth * share)
		weights += s.Worth
	}
	var all []fluidItem
	jobs := 0.0
	for k := range e.Jobs {
		kind := &e.Jobs[k]
		n := d.count(kind)
		if n == 0 {
			bound.Kinds = append(bound.Kinds, 0)
			continue
		}
		weights += kind.Worth
		items, free := fluid.items(d, kind, 1/float64(n))
		bound.Kinds = append(bound.Kinds, min(1, free+fluid.bound(items)))
		for i := range items {
			items[i].value *= kind.Worth
		}
		jobs += float64(free * kind.Worth)
		all = append(all, items...)
	}
	if weights == 0 {
		return bound
	}
	bound.Worth = min(1, (services+jobs+fluid.bound(all))/weights)
	// The kinds one by one bound the worth, too.
	bound.Worth = min(bound.Worth, d.weigh(bound.Kinds))
	return bound
}

// serviceBound returns the share of a service whose tasks are at work from the beginning and lose no
// headroom to others.
func (d *Day) serviceBound(service int) float64 {
	s := d.Experiment.Services[service]
	ticks := int((d.Experiment.Duration + d.Experiment.Settle) / tick)
	good := 0
	for n := 1; n <= ticks; n++ {
		at := time.Duration(n) * tick
		if at >= s.Startup && d.baseline(service, at) >= 1 {
			good++
		}
	}
	return ratio(float64(good), ticks)
}

// fluidWindow is the length of the windows of processor time in the relaxation.
const fluidWindow = tick

// fluid is the processor time of a pool, by window, in core-seconds.
type fluid struct {
	capacity []float64
	end      time.Duration
}

// newFluid returns the processor time that the workers of a day have under a policy.
func newFluid(d *Day, p Policy) *fluid {
	sim := newPool(d, p)
	f := &fluid{end: sim.end.Sub(epoch)}
	f.capacity = make([]float64, int((f.end+fluidWindow-1)/fluidWindow)+1)
	var record func()
	record = func() {
		window := int((sim.now.Sub(epoch) - 1) / fluidWindow)
		for _, w := range sim.workers {
			if !w.down && !w.gone && !sim.now.Before(w.joinsAt) {
				f.capacity[window] += float64(float64(w.info.Capacity.Processors) / 1000 * tick.Seconds())
			}
		}
		sim.after(tick, record)
	}
	sim.after(tick, record)
	for _, disruption := range d.disruptions {
		if disruption.Kind.hitsWorkers() {
			sim.after(disruption.At, func() { sim.disrupt(disruption) })
		}
	}
	sim.run()
	return f
}

// fluidItem is the work of one step of a job. Each core-second of it earns value in the windows from
// first to onTime, and the fraction late of that in those from first to last.
type fluidItem struct {
	// work is in core-seconds.
	work                float64
	value, late         float64
	first, onTime, last int
}

// items returns the work of all jobs of a kind, each of which is worth the given value, and what jobs
// without any work earn.
func (f *fluid) items(d *Day, kind *JobKind, value float64) (items []fluidItem, free float64) {
	for i := range d.jobs {
		if j := &d.jobs[i]; j.kind == kind {
			own, ownFree := f.jobItems(j, value)
			items = append(items, own...)
			free += ownFree
		}
	}
	return items, free
}

func (f *fluid) jobItems(j *drawnJob, value float64) (items []fluidItem, free float64) {
	late := min(j.at+lateFactor*j.objective, f.end)
	onTime := min(j.at+j.objective, f.end)
	total := 0.0
	for s := range j.times {
		total += j.work(s)
	}
	lateFraction := j.kind.LateWorth
	switch {
	case j.at+j.critical > late:
		return nil, 0
	case total <= 0 && j.at+j.critical > onTime:
		return nil, value * lateFraction
	case total <= 0:
		return nil, value
	}
	before, after := j.chains()
	for s := range j.times {
		item := fluidItem{
			work: j.work(s), value: value / total, late: lateFraction, first: int((j.at + before[s]) / fluidWindow),
			onTime: lastWindow(onTime - after[s]), last: lastWindow(late - after[s]),
		}
		if j.at+j.critical > onTime {
			item.onTime = item.first - 1
		}
		items = append(items, item)
	}
	return items, 0
}

// lastWindow returns the last window that begins before a time.
func lastWindow(at time.Duration) int { return int((at+fluidWindow-1)/fluidWindow) - 1 }

// work returns the processor time that a step needs, in core-seconds.
func (j *drawnJob) work(step int) float64 {
	var sum time.Duration
	for _, t := range j.times[step] {
		sum += t
	}
	return float64(float64(j.job.Steps[step].Size.Processors) / 1000 * sum.Seconds())
}

// chains returns the longest chains of dependent work before and after each step.
func (j *drawnJob) chains() (before, after []time.Duration) {
	before, after = make([]time.Duration, len(j.times)), make([]time.Duration, len(j.times))
	for s, step := range j.job.Steps {
		for _, a := range step.After {
			before[s] = max(before[s], before[a]+j.longest(a))
		}
	}
	for s := len(j.times) - 1; s >= 0; s-- {
		for _, a := range j.job.Steps[s].After {
			after[a] = max(after[a], after[s]+j.longest(s))
		}
	}
	return before, after
}

// longest returns the longest run time of a step's tasks.
func (j *drawnJob) longest(step int) time.Duration {
	var longest time.Duration
	for _, t := range j.times[step] {
		longest = max(longest, t)
	}
	return longest
}

const (
	// priceRounds is the number of times that the prices are improved, firstStep the first step as a
	// multiple of the mean value of work. The steps shrink by half in halfRounds.
	priceRounds = 400
	firstStep   = 0.5
	halfRounds  = 20
)

// bound returns a bound of what the items can earn together, for the best prices that it finds.
func (f *fluid) bound(items []fluidItem) float64 {
	value, work := 0.0, 0.0
	for _, item := range items {
		value += float64(item.value * item.work)
		work += item.work
	}
	if work == 0 {
		return 0
	}
	best := value
	prices, used := make([]float64, len(f.capacity)), make([]float64, len(f.capacity))
	for round := range priceRounds {
		earned := f.respond(items, prices, used)
		for w, price := range prices {
			earned += float64(price * f.capacity[w])
		}
		best = min(best, earned)
		if round == 0 && !exceeds(used, f.capacity) {
			return best // All work fits, so that nothing lowers the bound.
		}
		step := firstStep * value / work / (1 + float64(round)/halfRounds)
		for w := range prices {
			scale := max(f.capacity[w], work/float64(len(prices)))
			prices[w] = max(0, prices[w]+float64(step*(used[w]-f.capacity[w])/scale))
		}
	}
	return best
}

// respond lets each item choose when it is worked on, if at all, and returns what all earn less what
// they pay. It sets used to the processor time that they use in each window.
func (f *fluid) respond(items []fluidItem, prices, used []float64) float64 {
	clear(used)
	earned := 0.0
	for _, item := range items {
		profit, first, last := 0.0, 0, -1
		if cheapest := least(prices, item.first, item.onTime); item.value-cheapest > profit {
			profit, first, last = item.value-cheapest, item.first, item.onTime
		}
		if cheapest := least(prices, item.first, item.last); float64(item.value*item.late)-cheapest > profit {
			profit, first, last = float64(item.value*item.late)-cheapest, item.first, item.last
		}
		if last < first {
			continue
		}
		earned += float64(profit * item.work)
		spread(item, prices, used, first, last)
	}
	return earned
}

// exceeds reports whether more is used than there is in any window.
func exceeds(used, capacity []float64) bool {
	for w := range used {
		if used[w] > capacity[w] {
			return true
		}
	}
	return false
}

// least returns the lowest price of some windows, or infinity if there are none.
func least(prices []float64, first, last int) float64 {
	lowest := math.Inf(1)
	for w := max(0, first); w <= min(last, len(prices)-1); w++ {
		lowest = min(lowest, prices[w])
	}
	return lowest
}

// spread adds an item's work to the windows from first to last, the more the cheaper they are. All of
// it in the cheapest window would let the prices oscillate; any division leaves the bound valid.
func spread(item fluidItem, prices, used []float64, first, last int) {
	first, last = max(0, first), min(last, len(prices)-1)
	lowest := least(prices, first, last)
	scale := item.value / 50
	sum := 0.0
	weight := func(w int) float64 {
		x := 1 + (prices[w]-lowest)/scale
		return 1 / (x * x * x * x)
	}
	for w := first; w <= last; w++ {
		sum += weight(w)
	}
	for w := first; w <= last; w++ {
		used[w] += float64(item.work * weight(w) / sum)
	}
}
