package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Pool holds a set of workers and what their tasks hold. It is not safe for
// concurrent use.
type Pool struct {
	// Model predicts interference; nil means that placement does not regard it.
	Model *interference.Model
	// Health tells which workers are in quarantine; nil means none.
	Health *Health
	// MaxCandidates bounds the workers that one decision compares.
	MaxCandidates int

	index map[string]int
	// workers and free stand in the same order; free is kept apart so that a
	// search for room touches little memory.
	workers []*state
	free    []share.Resources
	strides []int
	random  *rand.Rand

	quotas map[string]quota
	used   map[string]share.Resources
	rules  map[rulePair]share.YieldRule
	groups map[string]*spread
	trials map[trial]int
	found  []int
	// reserved are the workers that are reserved, by task.
	reserved map[string]*state

	greatest share.Resources
}

// state is one worker and its residents.
type state struct {
	Worker
	victims []interference.Victim
	// quiet tells which of the victims serve no requests at present.
	quiet     []bool
	residents map[string]Resident
	held      share.Resources
	loads     []familyLoad

	reservation reservation
}

// familyLoad is the load of one job family on a worker.
type familyLoad struct {
	interference.Load
	victim interference.Victim
	count  int
}

// quota is what a share may hold in this pool and in all pools.
type quota struct {
	part, whole share.Resources
}

type rulePair struct {
	yields, to string
}

// trial is a pair of a service and a job family that share workers.
type trial struct {
	victim    interference.Victim
	aggressor interference.Aggressor
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		MaxCandidates: candidateWorkers,

		index:  map[string]int{},
		random: rand.New(rand.NewPCG(1, 1)),
		quotas: map[string]quota{},
		used:   map[string]share.Resources{},
		rules:  map[rulePair]share.YieldRule{},
		groups: map[string]*spread{},
		trials: map[trial]int{},

		reserved: map[string]*state{},
	}
}

// Seed fixes the order in which workers are looked at.
func (p *Pool) Seed(seed uint64) {
	p.random = rand.New(rand.NewPCG(seed, 1))
}

// SetWorker adds a worker, or changes what is known of it.
func (p *Pool) SetWorker(w Worker) {
	i, ok := p.index[w.ID]
	if !ok {
		i = len(p.workers)
		p.index[w.ID] = i
		p.workers = append(p.workers, &state{residents: map[string]Resident{}})
		p.free = append(p.free, share.Resources{})
		p.strides = strides(len(p.workers))
	}
	s := p.workers[i]
	sameRoom := s.Capacity == w.Capacity && s.Reserved == w.Reserved
	if ok && (s.Rack != w.Rack || s.DataCentre != w.DataCentre) {
		p.move(s, w)
	}
	s.Worker = w
	p.setVictims(s)
	p.refresh(i)
	if !sameRoom {
		p.measureGreatest()
	}
}

func (p *Pool) measureGreatest() {
	p.greatest = share.Resources{}
	for _, s := range p.workers {
		p.greatest = larger(p.greatest, s.Capacity.Minus(s.Reserved))
	}
}

// setVictims brings the services that a worker's tasks may disturb up to date.
func (p *Pool) setVictims(s *state) {
	if p.Model == nil {
		return
	}
	p.countTrials(s, -1)
	s.victims = s.victims[:0]
	if len(s.quiet) != len(s.Runners) {
		s.quiet = make([]bool, len(s.Runners))
	}
	for _, r := range s.Runners {
		s.victims = append(s.victims, p.Model.Service(r.Service))
	}
	p.countTrials(s, 1)
}

// countTrials adds or takes away the pairs of a worker.
func (p *Pool) countTrials(s *state, sign int) {
	for _, v := range s.victims {
		for _, l := range s.loads {
			p.trials[trial{v, l.Aggressor}] += sign * l.count
		}
	}
}

// Remove takes a worker out with all of its residents.
func (p *Pool) Remove(id string) {
	i, ok := p.index[id]
	if !ok {
		return
	}
	for task := range p.workers[i].residents {
		p.Release(id, task)
	}
	p.unreserve(p.workers[i].reservation.task)
	last := len(p.workers) - 1
	p.workers[i] = p.workers[last]
	p.free[i] = p.free[last]
	p.index[p.workers[i].ID] = i
	p.workers = p.workers[:last]
	p.free = p.free[:last]
	delete(p.index, id)
	p.strides = strides(last)
	p.measureGreatest()
}

// Worker returns what is known of a worker, and whether it is in the pool.
func (p *Pool) Worker(id string) (Worker, bool) {
	i, ok := p.index[id]
	if !ok {
		return Worker{}, false
	}
	return p.workers[i].Worker, true
}

// Free returns what of a worker is left; an amount is negative where more is held than it has.
func (p *Pool) Free(id string) share.Resources {
	i, ok := p.index[id]
	if !ok {
		return share.Resources{}
	}
	return p.workers[i].left()
}

// Resident returns a task on a worker, and whether it holds a part of it.
func (p *Pool) Resident(id, task string) (Resident, bool) {
	i, ok := p.index[id]
	if !ok {
		return Resident{}, false
	}
	r, ok := p.workers[i].residents[task]
	return r, ok
}

// greatestFor returns the greatest amount of each resource that a task of a share can get.
func (p *Pool) greatestFor(name string) share.Resources {
	q, bounded := p.quotas[name]
	if !bounded {
		return p.greatest
	}
	return share.Resources{
		Processors:   min(p.greatest.Processors, q.part.Processors),
		Memory:       min(p.greatest.Memory, q.part.Memory),
		Accelerators: min(p.greatest.Accelerators, q.part.Accelerators),
	}
}

// Residents returns the tasks that hold a part of a worker, in the order of their names.
func (p *Pool) Residents(id string) []Resident {
	i, ok := p.index[id]
	if !ok {
		return nil
	}
	all := make([]Resident, 0, len(p.workers[i].residents))
	for _, r := range p.workers[i].residents {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b Resident) int { return compare(a.Task, b.Task) })
	return all
}

// SetQuota bounds what the tasks of a share hold at once in this pool.
func (p *Pool) SetQuota(name string, amount share.Resources) {
	p.SetQuotaAllocation(name, amount, amount)
}

// SetQuotaAllocation is SetQuota for a pool that is one of several: part is this
// pool's part of the share's whole quota.
func (p *Pool) SetQuotaAllocation(name string, part, whole share.Resources) {
	p.quotas[name] = quota{part: part, whole: whole}
}

// Quota returns what the tasks of a share may hold at once in this pool, and whether that is bounded.
func (p *Pool) Quota(name string) (share.Resources, bool) {
	q, ok := p.quotas[name]
	return q.part, ok
}

// Used returns what the tasks of a share hold in this pool.
func (p *Pool) Used(name string) share.Resources {
	return p.used[name]
}

// SetRules replaces the yield rules, whose weights decide between tail latency and evictions.
func (p *Pool) SetRules(rules []share.YieldRule) {
	clear(p.rules)
	for _, r := range rules {
		p.rules[rulePair{yields: r.Yields, to: r.To}] = r
	}
}

// Assign gives a part of a worker to a task. A second call for the same task
// changes its size or ratio.
func (p *Pool) Assign(id string, r Resident) {
	i, ok := p.index[id]
	if !ok {
		return
	}
	p.Release(id, r.Task)
	p.unreserve(r.Task)
	s := p.workers[i]
	s.residents[r.Task] = r
	s.held = s.held.Plus(r.Size)
	p.used[r.Share] = p.used[r.Share].Plus(r.Size)
	p.group(r.Group).add(s.Worker, 1)
	p.addLoad(s, r, 1)
	p.refresh(i)
}

// Release takes back what a task holds of a worker.
func (p *Pool) Release(id, task string) {
	i, ok := p.index[id]
	if !ok {
		return
	}
	s := p.workers[i]
	r, ok := s.residents[task]
	if !ok {
		return
	}
	delete(s.residents, task)
	s.held = s.held.Minus(r.Size)
	p.used[r.Share] = p.used[r.Share].Minus(r.Size)
	if p.group(r.Group).add(s.Worker, -1) {
		delete(p.groups, r.Group)
	}
	p.addLoad(s, r, -1)
	p.refresh(i)
}

// Loads returns the loads of a worker for an interference.History.
func (p *Pool) Loads(id string) []interference.Load {
	i, ok := p.index[id]
	if !ok {
		return nil
	}
	var all []interference.Load
	for _, l := range p.workers[i].loads {
		all = append(all, l.Load)
	}
	return all
}

// refresh brings the free resources of a worker up to date.
func (p *Pool) refresh(i int) {
	s := p.workers[i]
	p.free[i] = s.left()
	if !s.Accepting {
		p.free[i] = share.Resources{Processors: -1, Memory: -1, Accelerators: -1}
	}
}

func (s *state) left() share.Resources {
	return s.Capacity.Minus(s.Reserved).Minus(s.held)
}

// addLoad adds or takes away the load of one task.
func (p *Pool) addLoad(s *state, r Resident, sign int) {
	if p.Model == nil {
		return
	}
	a := p.Model.Aggressor(r.Job)
	for _, v := range s.victims {
		p.trials[trial{v, a}] += sign
	}
	i := slices.IndexFunc(s.loads, func(l familyLoad) bool { return l.Aggressor == a })
	if i < 0 {
		i = len(s.loads)
		s.loads = append(s.loads, familyLoad{Load: interference.Load{Aggressor: a}, victim: p.Model.Family(r.Job)})
	}
	l := &s.loads[i]
	l.count += sign
	l.Amount += float64(sign) * r.load()
	if l.count == 0 {
		s.loads = slices.Delete(s.loads, i, i+1)
	}
}

// load returns the load of a task in tasks at full speed.
func (r Resident) load() float64 {
	if r.Ratio > 0 {
		return r.Ratio
	}
	return 1
}
