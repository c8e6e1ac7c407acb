package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// baseline implements policies that use no planner. It records which worker runs which
// task, and places tasks by their declared sizes without regard to interference.
type baseline struct {
	trace Trace
	pool  *placement.Pool
	// workersFor returns the workers in the order in which they are tried.
	workersFor func(c placement.Candidate) []placement.Worker
	// tails holds each worker's reported tail latencies that EvictAtOnce has not acted on yet.
	tails map[string][]placement.ServiceView
	// counts is the number of running tasks by family and worker.
	counts map[familyOn]int
}

// familyOn identifies a job family on a worker.
type familyOn struct {
	family, worker string
}

func newBaseline(t Trace) *baseline {
	b := &baseline{
		trace:  t,
		pool:   placement.NewPool(),
		tails:  map[string][]placement.ServiceView{},
		counts: map[familyOn]int{},
	}
	for _, w := range t.workers() {
		b.pool.SetWorker(w)
	}
	return b
}

func (b *baseline) policy(name string) Policy {
	return Policy{
		Name:    name,
		Place:   b.place,
		Started: b.started,
		Ended:   b.ended,
	}
}

func (b *baseline) started(worker string, r placement.Resident, _ time.Time) {
	b.pool.Assign(worker, r)
	b.counts[familyOn{r.Job, worker}]++
}

func (b *baseline) ended(worker, task string, _ placement.Outcome, _ time.Time) {
	r, _ := b.pool.Resident(worker, task)
	b.pool.Release(worker, task)
	b.counts[familyOn{r.Job, worker}]--
}

func (b *baseline) place(c placement.Candidate, _ time.Time) (string, share.Resources, error) {
	f := b.trace.Families[b.trace.family(c.Job)]
	for _, w := range b.workersFor(c) {
		if f.Declared.Fits(b.pool.Free(w.ID)) {
			return w.ID, f.Declared, nil
		}
	}
	return "", f.Declared, &placement.FullError{Task: c.Task, Reason: placement.NoFreeCapacity}
}

// newFirstFit returns a policy that chooses the first worker with enough free capacity.
func newFirstFit(t Trace, _ User) Policy {
	b := newBaseline(t)
	workers := t.workers()
	b.workersFor = func(placement.Candidate) []placement.Worker { return workers }
	return b.policy(FirstFit)
}

// newLeastLoaded returns a policy that chooses the worker with the most free processors.
func newLeastLoaded(t Trace, _ User) Policy {
	b := newBaseline(t)
	workers := t.workers()
	b.workersFor = func(placement.Candidate) []placement.Worker {
		slices.SortStableFunc(workers, func(x, y placement.Worker) int {
			return cmp.Compare(b.pool.Free(y.ID).Processors, b.pool.Free(x.ID).Processors)
		})
		return workers
	}
	return b.policy(LeastLoaded)
}

// newSpread returns a policy that spreads the tasks of each family evenly over the workers.
func newSpread(t Trace, _ User) Policy {
	return newSpreading(t).policy(Spread)
}

// newSpreading returns a baseline that tries the workers with the fewest tasks of the same family first.
func newSpreading(t Trace) *baseline {
	b := newBaseline(t)
	workers := t.workers()
	b.workersFor = func(c placement.Candidate) []placement.Worker {
		slices.SortStableFunc(workers, func(x, y placement.Worker) int {
			return cmp.Or(
				cmp.Compare(b.counts[familyOn{c.Job, x.ID}], b.counts[familyOn{c.Job, y.ID}]),
				cmp.Compare(b.pool.Free(y.ID).Processors, b.pool.Free(x.ID).Processors))
		})
		return workers
	}
	return b
}

// newEvictAtOnce returns a policy that spreads tasks, and evicts the youngest task of a
// worker whenever a report shows a tail latency beyond the objective.
func newEvictAtOnce(t Trace, user User) Policy {
	b := newSpreading(t)
	p := b.policy(EvictAtOnce)
	p.Measure = func(m placement.Measurement) { b.tails[m.Worker] = m.Tails }
	p.Yield = func(worker string, _ time.Time) []placement.Action {
		tails := b.tails[worker]
		delete(b.tails, worker)
		missed := slices.ContainsFunc(tails, func(s placement.ServiceView) bool { return s.Strain > 1 })
		residents := b.pool.Residents(worker)
		if !missed || len(residents) == 0 {
			return nil
		}
		youngest := slices.MaxFunc(residents, func(x, y placement.Resident) int { return x.Since.Compare(y.Since) })
		f := t.Families[t.family(youngest.Job)]
		kind := share.YieldEvict
		if f.Checkpoints {
			kind = share.YieldCheckpoint
		}
		return []placement.Action{{Kind: kind, Worker: worker, Task: youngest.Task, Rule: user.Rule.Name}}
	}
	return p
}
