package placement

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Family is a job family as it was declared.
type Family struct {
	Name        string
	Declared    share.Resources
	Checkpoints bool
}

// Planner joins the parts of placement: it learns from measurements, chooses
// workers and decides who yields. It is not safe for concurrent use.
type Planner struct {
	Pool    *Pool
	Sizes   *Sizes
	Health  *Health
	Learner *interference.Learner
	Yielder *Yielder

	families map[string]Family
	running  map[string]int
	workers  map[string]*measured
	// claims are the rooms that come up for urgent tasks, by task.
	claims map[string]claim
	// views are the residents that the last decision on yielding looked at.
	views []ResidentView
}

// measured is what was last measured on a worker.
type measured struct {
	tails map[string]ServiceView
	tasks map[string]*measuredTask
	// fresh says that something was measured since the last decision on yielding.
	fresh bool
	// measuredSince is the end of the first window.
	measuredSince time.Time
	// learnedAt is the end of the last window that was learned from.
	learnedAt time.Time
}

// measuredTask is what was measured of one task.
type measuredTask struct {
	peak    share.Resources
	leaving bool
	// startedAt is when the task was first known to run on the worker.
	startedAt time.Time
}

// NewPlanner returns a planner that knows no workers and no families.
func NewPlanner() *Planner {
	p := &Planner{
		Pool:     NewPool(),
		Sizes:    NewSizes(),
		Health:   NewHealth(),
		Learner:  interference.NewLearner(),
		Yielder:  NewYielder(),
		families: map[string]Family{},
		running:  map[string]int{},
		workers:  map[string]*measured{},
		claims:   map[string]claim{},
	}
	p.Pool.Model = p.Learner.Model
	p.Pool.Health = p.Health
	p.Yielder.Model = p.Learner.Model
	return p
}

// SetFamily adds a job family, or changes what is declared of it.
func (p *Planner) SetFamily(f Family) {
	p.families[f.Name] = f
}

// SetRules replaces the yield rules.
func (p *Planner) SetRules(rules []share.YieldRule) {
	p.Pool.SetRules(rules)
	p.Yielder.SetRules(rules)
}

// SetWorker adds a worker, or changes what is known of it.
func (p *Planner) SetWorker(w Worker, now time.Time) {
	p.Pool.SetWorker(w)
	if _, ok := p.workers[w.ID]; !ok {
		p.workers[w.ID] = &measured{tails: map[string]ServiceView{}, tasks: map[string]*measuredTask{}}
		p.Learner.History.Set(w.ID, now, nil)
	}
}

// RemoveWorker takes a worker out with all of its tasks.
func (p *Planner) RemoveWorker(id string) {
	for _, r := range p.Pool.Residents(id) {
		p.running[r.Job]--
	}
	p.Pool.Remove(id)
	p.Health.Remove(id)
	p.Yielder.Remove(id)
	p.Learner.History.Remove(id)
	delete(p.workers, id)
}

// Place chooses a worker for a task and the size that it is to hold there; the
// size of the candidate is not regarded. Errors are those of Pool.Choose.
func (p *Planner) Place(c Candidate, now time.Time) (string, share.Resources, error) {
	size, limit := p.Sizes.Estimate(c.Job, p.families[c.Job].Declared, p.Pool.greatestFor(c.Share))
	if limit > 0 && !c.Urgent && p.running[c.Job] >= limit {
		return "", size, &FullError{Task: c.Task, Reason: SizeUnknown}
	}
	c.Size = size
	id, err := p.Pool.Choose(c, now)
	return id, size, err
}

// Start says that a task now holds a part of a worker. A zero Since stands
// for a task that runs since it is not known when.
func (p *Planner) Start(worker string, r Resident, now time.Time) {
	m, ok := p.workers[worker]
	if !ok {
		return
	}
	delete(p.claims, r.Task)
	if _, known := m.tasks[r.Task]; !known {
		p.running[r.Job]++
		m.tasks[r.Task] = &measuredTask{startedAt: now}
	}
	p.Pool.Assign(worker, r)
	p.Health.Started(worker, now)
	p.recordLoads(worker, now)
}

// Outcome is how a task left its worker.
type Outcome string

// The ends of a task on a worker.
const (
	OutcomeFinished Outcome = "finished"
	OutcomeFailed   Outcome = "failed"
	OutcomeMoved    Outcome = "moved"
)

// End says that a task no longer holds a part of a worker.
func (p *Planner) End(worker, task string, end Outcome, now time.Time) {
	m, ok := p.workers[worker]
	r, held := p.Pool.Resident(worker, task)
	if !ok || !held {
		return
	}
	p.running[r.Job]--
	switch end {
	case OutcomeFinished:
		p.RecordFinished(worker, r.Job, m.tasks[task].peak)
	case OutcomeFailed:
		p.Health.Failed(worker, r.Job, now)
	}
	delete(m.tasks, task)
	p.Pool.Release(worker, task)
	p.recordLoads(worker, now)
}

// RecordFinished says that a task of a family came to its end on a worker, and the
// most that it was seen to hold, if anything. It is for tasks whose End is told
// apart as EndMoved.
func (p *Planner) RecordFinished(worker, family string, peak share.Resources) {
	p.Health.Succeeded(worker, family)
	if peak != (share.Resources{}) {
		p.Sizes.Observe(family, peak)
	}
}

// Throttle says that a task now keeps a part of its processors.
func (p *Planner) Throttle(worker, task string, ratio float64, now time.Time) {
	r, ok := p.Pool.Resident(worker, task)
	if !ok {
		return
	}
	r.Ratio = ratio
	p.Pool.Assign(worker, r)
	p.recordLoads(worker, now)
}

// MarkLeaving says that a task was told to checkpoint or stop; it holds its part until its End.
func (p *Planner) MarkLeaving(worker, task string) {
	if m, ok := p.workers[worker]; ok && m.tasks[task] != nil {
		m.tasks[task].leaving = true
	}
}

func (p *Planner) recordLoads(worker string, now time.Time) {
	p.Learner.History.Set(worker, now, p.Pool.Loads(worker))
}
