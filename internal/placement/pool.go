package placement

import (
	"math/rand/v2"
	"slices"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Pool holds a set of workers, the tasks that are assigned to them and the
// quotas of shares. It is not safe for concurrent use.
type Pool struct {
	// Model predicts interference; if it is nil, placement ignores interference.
	Model *interference.Model
	// Health tracks which workers are in quarantine; if it is nil, none are.
	Health *Health
	// MaxCandidates bounds the workers that one decision compares.
	MaxCandidates int

	index map[string]int
	// workers and free have the same order. free is a slice of its own so that
	// a search for free capacity reads little memory.
	workers []*workerState
	free    []share.Resources
	// strides holds the step widths with which workers may be visited.
	strides []int
	random  *rand.Rand

	// quotas and used are indexed by share, rules by its two shares, and groups by name.
	quotas map[string]quota
	used   map[string]share.Resources
	rules  map[rulePair]share.YieldRule
	groups map[string]*groupCounts
	// coLocated counts the tasks of a job family that run alongside a service.
	coLocated map[servicePair]int
	// eligible is the result of findEligible, as indexes of workers.
	eligible []int
	// reserved holds the reserved workers, by the task that they are reserved for.
	reserved map[string]*workerState

	// largest is the largest amount of each resource that any worker has for tasks.
	largest share.Resources
}

// workerState is one worker and its residents.
type workerState struct {
	Worker
	// victims holds the services of Worker.Runners, in the same order.
	victims []interference.Victim
	// idle reports for each of the victims whether it serves no requests currently.
	idle      []bool
	residents map[string]Resident
	used      share.Resources
	loads     []familyLoad

	reservation reservation
}

// familyLoad is the load of one job family on a worker.
type familyLoad struct {
	interference.Load
	victim interference.Victim
	count  int
}

// quota is a share's allocation in this pool and its total over all pools.
type quota struct {
	allocation, total share.Resources
}

// rulePair identifies a yield rule by its two shares.
type rulePair struct {
	yields, to string
}

// servicePair identifies a service and a job family that run on the same workers.
type servicePair struct {
	victim    interference.Victim
	aggressor interference.Aggressor
}

// NewPool returns an empty pool.
func NewPool() *Pool {
	return &Pool{
		MaxCandidates: defaultMaxCandidates,

		index:     map[string]int{},
		random:    rand.New(rand.NewPCG(1, 1)),
		quotas:    map[string]quota{},
		used:      map[string]share.Resources{},
		rules:     map[rulePair]share.YieldRule{},
		groups:    map[string]*groupCounts{},
		coLocated: map[servicePair]int{},

		reserved: map[string]*workerState{},
	}
}

// Seed sets the seed of the pseudo-random order in which workers are visited.
func (p *Pool) Seed(seed uint64) {
	p.random = rand.New(rand.NewPCG(seed, 1))
}

// SetWorker adds a worker or updates its description.
func (p *Pool) SetWorker(w Worker) {
	i, ok := p.index[w.ID]
	if !ok {
		i = len(p.workers)
		p.index[w.ID] = i
		p.workers = append(p.workers, &workerState{residents: map[string]Resident{}})
		p.free = append(p.free, share.Resources{})
		p.strides = strides(len(p.workers))
	}
	s := p.workers[i]
	sameCapacity := s.Capacity == w.Capacity && s.Reserved == w.Reserved
	if ok && (s.Rack != w.Rack || s.DataCentre != w.DataCentre) {
		p.moveGroupCounts(s, w)
	}
	s.Worker = w
	p.setVictims(s)
	p.refresh(i)
	if !sameCapacity {
		p.updateLargest()
	}
}

// updateLargest recomputes the largest amount of each resource that any worker
// has for tasks.
func (p *Pool) updateLargest() {
	p.largest = share.Resources{}
	for _, s := range p.workers {
		p.largest = maxEach(p.largest, s.Capacity.Minus(s.Reserved))
	}
}

// setVictims updates the services that the tasks of a worker may slow down.
func (p *Pool) setVictims(s *workerState) {
	if p.Model == nil {
		return
	}
	p.countCoLocated(s, -1)
	s.victims = s.victims[:0]
	if len(s.idle) != len(s.Runners) {
		s.idle = make([]bool, len(s.Runners))
	}
	for _, r := range s.Runners {
		s.victims = append(s.victims, p.Model.Service(r.Service))
	}
	p.countCoLocated(s, 1)
}

// countCoLocated adds the tasks of a worker to coLocated, or subtracts them if sign is -1.
func (p *Pool) countCoLocated(s *workerState, sign int) {
	for _, v := range s.victims {
		for _, l := range s.loads {
			p.coLocated[servicePair{v, l.Aggressor}] += sign * l.count
		}
	}
}

// Remove removes a worker and all of its residents.
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
	p.updateLargest()
}

// Worker returns a worker, and whether it is in the pool.
func (p *Pool) Worker(id string) (Worker, bool) {
	i, ok := p.index[id]
	if !ok {
		return Worker{}, false
	}
	return p.workers[i].Worker, true
}

// Free returns the free capacity of a worker. An amount is negative if its tasks
// use more than it has.
func (p *Pool) Free(id string) share.Resources {
	i, ok := p.index[id]
	if !ok {
		return share.Resources{}
	}
	return p.workers[i].freeCapacity()
}

// Resident returns a task that is assigned to a worker. It returns false if the
// task is not assigned to it.
func (p *Pool) Resident(id, task string) (Resident, bool) {
	i, ok := p.index[id]
	if !ok {
		return Resident{}, false
	}
	r, ok := p.workers[i].residents[task]
	return r, ok
}

// largestFor returns the largest amount of each resource that a task of a share can get.
func (p *Pool) largestFor(shareName string) share.Resources {
	q, bounded := p.quotas[shareName]
	if !bounded {
		return p.largest
	}
	return share.Resources{
		Processors:   min(p.largest.Processors, q.allocation.Processors),
		Memory:       min(p.largest.Memory, q.allocation.Memory),
		Accelerators: min(p.largest.Accelerators, q.allocation.Accelerators),
	}
}

// Residents returns the tasks that are assigned to a worker, sorted by Task.
func (p *Pool) Residents(id string) []Resident {
	i, ok := p.index[id]
	if !ok {
		return nil
	}
	residents := make([]Resident, 0, len(p.workers[i].residents))
	for _, r := range p.workers[i].residents {
		residents = append(residents, r)
	}
	slices.SortFunc(residents, func(a, b Resident) int { return compare(a.Task, b.Task) })
	return residents
}

// SetQuota bounds the resources that the tasks of a share use at once in this pool.
func (p *Pool) SetQuota(shareName string, amount share.Resources) {
	p.SetQuotaAllocation(shareName, amount, amount)
}

// SetQuotaAllocation is SetQuota for a pool that is one of several: allocation
// is this pool's allocation of the share's total quota.
func (p *Pool) SetQuotaAllocation(shareName string, allocation, total share.Resources) {
	p.quotas[shareName] = quota{allocation: allocation, total: total}
}

// Quota returns the resources that the tasks of a share may use at once in this
// pool, and whether they are bounded.
func (p *Pool) Quota(shareName string) (share.Resources, bool) {
	q, ok := p.quotas[shareName]
	return q.allocation, ok
}

// Used returns the resources that are assigned to the tasks of a share in this pool.
func (p *Pool) Used(shareName string) share.Resources {
	return p.used[shareName]
}

// SetRules replaces the yield rules, whose tail weights balance tail latency against evictions.
func (p *Pool) SetRules(rules []share.YieldRule) {
	clear(p.rules)
	for _, r := range rules {
		p.rules[rulePair{yields: r.Yields, to: r.To}] = r
	}
}

// Assign assigns a task to a worker and subtracts the task's size from the
// worker's free capacity. A second call for the same task replaces its size and
// throttle ratio.
func (p *Pool) Assign(id string, r Resident) {
	i, ok := p.index[id]
	if !ok {
		return
	}
	p.Release(id, r.Task)
	p.unreserve(r.Task)
	s := p.workers[i]
	s.residents[r.Task] = r
	s.used = s.used.Plus(r.Size)
	p.used[r.Share] = p.used[r.Share].Plus(r.Size)
	p.group(r.Group).add(s.Worker, 1)
	p.addLoad(s, r, 1)
	p.refresh(i)
}

// Release removes a task from a worker and frees its capacity.
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
	s.used = s.used.Minus(r.Size)
	p.used[r.Share] = p.used[r.Share].Minus(r.Size)
	if p.group(r.Group).add(s.Worker, -1) {
		delete(p.groups, r.Group)
	}
	p.addLoad(s, r, -1)
	p.refresh(i)
}

// Loads returns the loads of all job families on a worker, for an interference.History.
func (p *Pool) Loads(id string) []interference.Load {
	i, ok := p.index[id]
	if !ok {
		return nil
	}
	var loads []interference.Load
	for _, l := range p.workers[i].loads {
		loads = append(loads, l.Load)
	}
	return loads
}

// refresh recomputes the free capacity of a worker for the search. It is negative
// for a worker that does not accept tasks, so that no task fits there.
func (p *Pool) refresh(i int) {
	s := p.workers[i]
	p.free[i] = s.freeCapacity()
	if !s.Accepting {
		p.free[i] = share.Resources{Processors: -1, Memory: -1, Accelerators: -1}
	}
}

// freeCapacity returns what neither runners nor tasks use of the worker.
func (s *workerState) freeCapacity() share.Resources {
	return s.Capacity.Minus(s.Reserved).Minus(s.used)
}

// addLoad adds the load of one task, or subtracts it if sign is -1.
func (p *Pool) addLoad(s *workerState, r Resident, sign int) {
	if p.Model == nil {
		return
	}
	a := p.Model.Aggressor(r.Job)
	for _, v := range s.victims {
		p.coLocated[servicePair{v, a}] += sign
	}
	i := slices.IndexFunc(s.loads, func(l familyLoad) bool { return l.Aggressor == a })
	if i < 0 {
		i = len(s.loads)
		s.loads = append(s.loads, familyLoad{Load: interference.Load{Aggressor: a}, victim: p.Model.Family(r.Job)})
	}
	l := &s.loads[i]
	l.count += sign
	l.Amount += float64(sign) * r.processorFraction()
	if l.count == 0 {
		s.loads = slices.Delete(s.loads, i, i+1)
	}
}

// processorFraction returns the fraction of its processors that a task keeps: its
// throttle ratio, or 1 if it is not throttled.
func (r Resident) processorFraction() float64 {
	if r.ThrottleRatio > 0 {
		return r.ThrottleRatio
	}
	return 1
}
