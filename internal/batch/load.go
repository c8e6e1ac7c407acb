package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Load is the capacity of a cell for more jobs, in thousandths of a core.
type Load struct {
	Capacity int64
	// Free is what is free for tasks that are allocated processors, Idle what is idle for filler
	// tasks. The size of queued tasks is already deducted from both; queued filler tasks count only
	// for Idle.
	Free int64
	Idle int64
	// LargestFree is the largest amount that is free on a single worker, LargestByLabel the same among
	// the workers that carry a label, without rack names; nil means that it is not known.
	LargestFree    int64
	LargestByLabel map[string]int64
	// FreeForLost is what the workers can give to long-running tasks that have lost their runs, for the
	// workers with the most processors, the largest first.
	FreeForLost []FreeWorker
	// Labels counts the workers that carry each label, without rack names.
	Labels map[string]int
	// Services is the load by service, without FreeForLost in the sum; nil means that only the sum is known.
	Services map[string]Load
}

// FreeWorker is what a worker can give to long-running tasks that have lost their runs: what is not
// allocated to other long-running tasks. Reserved workers give nothing.
type FreeWorker struct {
	Free share.Resources
	// Labels are those of the worker, without its rack.
	Labels []string
}

const (
	// maxFreeForLost limits the number of workers in FreeForLost of all services together, and so the size
	// of a published load. Each service may list minFreeForLost.
	maxFreeForLost = 64
	minFreeForLost = 2 * minFitsForLost
)

// cellLoad is the last known load of a cell, with the estimated need of the jobs that it was given
// since.
type cellLoad struct {
	load Load
	// assumed is the need, by service, of the jobs that all cells together are assumed to have sent to
	// the cell since its load was computed.
	assumed map[string]cpuNeed
}

// newCellLoad returns a load that deductLost may change.
func newCellLoad(l Load) *cellLoad {
	l.FreeForLost = slices.Clone(l.FreeForLost)
	if l.Services != nil {
		services := make(map[string]Load, len(l.Services))
		for name, s := range l.Services {
			s.FreeForLost = slices.Clone(s.FreeForLost)
			services[name] = s
		}
		l.Services = services
	}
	return &cellLoad{load: l, assumed: map[string]cpuNeed{}}
}

// cpuNeed is the number of processors that a job needs, in thousandths of a core.
type cpuNeed struct {
	service string
	// allocated is the need of tasks that are allocated processors, filler that of filler tasks.
	allocated int64
	filler    int64
	// largestTask is what has to be free on one worker for a single task, which has to carry the label
	// if there is one.
	largestTask int64
	label       string
}

// SetPeers replaces the known loads of the other cells, by cell index. The caller leaves out
// outdated loads; a cell whose load is not known gets no jobs.
func (c *Core) SetPeers(loads map[int]Load) {
	peers := make(map[int]*cellLoad, len(loads))
	for i, load := range loads {
		peers[i] = newCellLoad(load)
	}
	c.peers = peers
}

// Load returns the present load of the cell. It has no capacity while the Core may start nothing.
func (c *Core) Load(now time.Time) Load {
	services := map[string]*Load{}
	of := func(service string) *Load {
		if services[service] == nil {
			services[service] = &Load{Labels: map[string]int{}, LargestByLabel: map[string]int64{}}
		}
		return services[service]
	}
	current := c.AreEvacuationsCurrent(now)
	for _, w := range c.workersByID() {
		if current && c.acceptsRuns(w, now) {
			of(w.Service).addWorker(w, c.idleProcessors(w, now))
		}
	}
	for _, j := range c.active {
		for _, s := range j.stages {
			if s.queued > 0 {
				of(j.Policy.Service).deductWaiting(s)
			}
		}
	}
	sum := Load{Labels: map[string]int{}, LargestByLabel: map[string]int64{}, Services: make(map[string]Load, len(services))}
	listed := max(minFreeForLost, maxFreeForLost/max(1, len(services)))
	for name, l := range services {
		slices.SortStableFunc(l.FreeForLost, func(a, b FreeWorker) int { return cmp.Compare(b.Free.Processors, a.Free.Processors) })
		l.FreeForLost = l.FreeForLost[:min(len(l.FreeForLost), listed)]
		sum.add(*l)
		sum.Services[name] = *l
	}
	return sum
}

// addWorker adds a worker with a number of idle processors.
func (l *Load) addWorker(w *worker, idle float64) {
	// A worker whose capacity has shrunk may be allocated more than it has.
	free := max(0, int64(w.free().Processors))
	l.Capacity += int64(w.Capacity.Processors)
	l.Free += free
	l.LargestFree = max(l.LargestFree, free)
	l.Idle += int64(idle)
	var labels []string
	for _, label := range w.Labels {
		if label != w.Rack {
			labels = append(labels, label)
			l.Labels[label]++
			l.LargestByLabel[label] = max(l.LargestByLabel[label], free)
		}
	}
	if w.reservedFor == nil && w.isolated == nil {
		l.FreeForLost = append(l.FreeForLost, FreeWorker{Free: w.free().Plus(w.transientUse()), Labels: labels})
	}
}

// deductWaiting deducts the queued tasks of a stage.
func (l *Load) deductWaiting(s *stage) {
	waiting := int64(s.queued) * int64(s.step.Size.Processors)
	l.Idle -= waiting
	if !s.step.Filler {
		l.Free -= waiting
	}
}

// add adds the load of a service to that of all services.
func (l *Load) add(o Load) {
	l.Capacity += o.Capacity
	l.Free += o.Free
	l.Idle += o.Idle
	l.LargestFree = max(l.LargestFree, o.LargestFree)
	for label, n := range o.Labels {
		l.Labels[label] += n
		l.LargestByLabel[label] = max(l.LargestByLabel[label], o.LargestByLabel[label])
	}
}

// forService returns the load of a service, or that of all services if it is not known by service.
func (l *cellLoad) forService(service string) Load {
	if l.load.Services == nil {
		return l.load
	}
	return l.load.Services[service]
}

// shareLeft returns the share of the service's processors that would remain free after the assumed need
// and a job's need are met.
func (l *cellLoad) shareLeft(job cpuNeed) float64 {
	load, assumed := l.forService(job.service), l.assumed[job.service]
	if load.Capacity <= 0 {
		return -1
	}
	free := load.Free - assumed.allocated - job.allocated
	if job.allocated == 0 {
		free = load.Idle - assumed.filler - assumed.allocated - job.filler
	}
	return float64(free) / float64(load.Capacity)
}

// assume adds a number of times a job's need to what the cell is assumed to have been sent.
func (l *cellLoad) assume(need cpuNeed, times int64) {
	sum := l.assumed[need.service]
	sum.allocated += need.allocated * times
	sum.filler += need.filler * times
	l.assumed[need.service] = sum
}

// hasLabelsFor reports whether there are workers with all labels that a job requires.
func (l Load) hasLabelsFor(j Job) bool {
	for _, s := range j.Steps {
		if s.RequiredLabel != "" && l.Labels[s.RequiredLabel] == 0 {
			return false
		}
	}
	return true
}

// largestFree returns the largest amount that is free on a single worker with the label, if there is one.
func (l Load) largestFree(label string) int64 {
	if label == "" || l.LargestByLabel == nil {
		return l.LargestFree
	}
	return l.LargestByLabel[label]
}

// minFitsForLost is how many tasks of a step have to fit into a cell before a lost one is delegated to
// it, because its load may have changed since. The platform, too, demands a run only while there is
// capacity for two.
const minFitsForLost = 2

// fitsForLost returns on how many workers a lost task of a step fits.
func (l Load) fitsForLost(s *Step) int {
	n := 0
	for _, w := range l.FreeForLost {
		if w.suits(s) {
			n++
		}
	}
	return n
}

// deductLost deducts a lost task of a step from what a worker can give to lost tasks.
func (l Load) deductLost(s *Step) {
	if i := slices.IndexFunc(l.FreeForLost, func(w FreeWorker) bool { return w.suits(s) }); i >= 0 {
		l.FreeForLost[i].Free = l.FreeForLost[i].Free.Minus(s.Size)
	}
}

// suits reports whether a lost task of a step fits on the worker.
func (w FreeWorker) suits(s *Step) bool {
	return s.Size.Fits(w.Free) && (s.RequiredLabel == "" || slices.Contains(w.Labels, s.RequiredLabel))
}
