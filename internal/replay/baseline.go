package replay

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// baseline places by declared sizes and without regard to interference.
type baseline struct {
	trace Trace
	pool  *placement.Pool
	// order returns the workers in the order in which they are tried.
	order func(c placement.Candidate) []placement.Worker
	tails map[string][]placement.ServiceView
	// counts are the tasks of each family by worker.
	counts map[familyOn]int
}

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
	for _, w := range b.order(c) {
		if f.Declared.Fits(b.pool.Free(w.ID)) {
			return w.ID, f.Declared, nil
		}
	}
	return "", f.Declared, &placement.FullError{Task: c.Task, Reason: placement.NoFreeCapacity}
}

// newFirstFit returns a policy that takes the first worker with room.
func newFirstFit(t Trace, _ User) Policy {
	b := newBaseline(t)
	workers := t.workers()
	b.order = func(placement.Candidate) []placement.Worker { return workers }
	return b.policy(FirstFit)
}

// newLeastLoaded returns a policy that takes the worker with most processors left.
func newLeastLoaded(t Trace, _ User) Policy {
	b := newBaseline(t)
	workers := t.workers()
	b.order = func(placement.Candidate) []placement.Worker {
		slices.SortStableFunc(workers, func(x, y placement.Worker) int {
			return cmp.Compare(b.pool.Free(y.ID).Processors, b.pool.Free(x.ID).Processors)
		})
		return workers
	}
	return b.policy(LeastLoaded)
}

// newSpread returns a policy that spreads the tasks of each family.
func newSpread(t Trace, _ User) Policy {
	return spreading(t).policy(Spread)
}

func spreading(t Trace) *baseline {
	b := newBaseline(t)
	workers := t.workers()
	b.order = func(c placement.Candidate) []placement.Worker {
		slices.SortStableFunc(workers, func(x, y placement.Worker) int {
			return cmp.Or(
				cmp.Compare(b.counts[familyOn{c.Job, x.ID}], b.counts[familyOn{c.Job, y.ID}]),
				cmp.Compare(b.pool.Free(y.ID).Processors, b.pool.Free(x.ID).Processors))
		})
		return workers
	}
	return b
}

// newEvictAtOnce returns a policy that spreads, and takes the youngest task
// off a worker at each report of a tail beyond the objective.
func newEvictAtOnce(t Trace, user User) Policy {
	b := spreading(t)
	p := b.policy(EvictAtOnce)
	p.Measure = func(m placement.Measurement) { b.tails[m.Worker] = m.Tails }
	p.Yield = func(worker string, _ time.Time) []placement.Action {
		tails := b.tails[worker]
		delete(b.tails, worker)
		bad := slices.ContainsFunc(tails, func(s placement.ServiceView) bool { return s.Strain > 1 })
		all := b.pool.Residents(worker)
		if !bad || len(all) == 0 {
			return nil
		}
		youngest := slices.MaxFunc(all, func(x, y placement.Resident) int { return x.Since.Compare(y.Since) })
		f := t.Families[t.family(youngest.Job)]
		kind := share.YieldEvict
		if f.Checkpoints {
			kind = share.YieldCheckpoint
		}
		return []placement.Action{{Kind: kind, Worker: worker, Task: youngest.Task, Rule: user.Rule.Name}}
	}
	return p
}
