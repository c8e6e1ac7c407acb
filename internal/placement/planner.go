package placement

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Family is the declaration of a job family.
type Family struct {
	Name string
	// Declared is the size that the declaration gives for each task.
	Declared share.Resources
	// Checkpoints reports whether the tasks can resume from a checkpoint.
	Checkpoints bool
}

// Planner learns from measurements, chooses workers and decides which tasks
// yield. It is not safe for concurrent use.
type Planner struct {
	Pool    *Pool
	Sizes   *Sizes
	Health  *Health
	Learner *interference.Learner
	Yielder *Yielder

	families map[string]Family
	// running counts the tasks of each job family that are assigned to workers.
	running map[string]int
	workers map[string]*workerMeasurements
	// claims holds the capacity claimed for urgent tasks, by task.
	claims map[string]claim
	// viewBuffer is the slice that residents returns; each call reuses it.
	viewBuffer []ResidentView
}

// workerMeasurements holds what was last measured on a worker.
type workerMeasurements struct {
	// tails holds the last measured tail latency of each service, by its name.
	tails map[string]ServiceView
	tasks map[string]*taskState
	// pendingYield reports whether there is a measurement that Yield has not acted on.
	pendingYield bool
	// firstMeasuredAt is the end of the first measured window.
	firstMeasuredAt time.Time
	// lastLearnedAt is the end of the last window that was learned from.
	lastLearnedAt time.Time
}

// taskState holds the state of one task on a worker.
type taskState struct {
	// peak is the most that the task was seen to use.
	peak share.Resources
	// leaving reports whether the task was told to checkpoint or stop.
	leaving bool
	// startedAt is when the planner was first told that the task runs on the worker.
	startedAt time.Time
}

// NewPlanner returns a planner without workers and job families.
func NewPlanner() *Planner {
	p := &Planner{
		Pool:     NewPool(),
		Sizes:    NewSizes(),
		Health:   NewHealth(),
		Learner:  interference.NewLearner(),
		Yielder:  NewYielder(),
		families: map[string]Family{},
		running:  map[string]int{},
		workers:  map[string]*workerMeasurements{},
		claims:   map[string]claim{},
	}
	p.Pool.Model = p.Learner.Model
	p.Pool.Health = p.Health
	p.Yielder.Model = p.Learner.Model
	return p
}

// SetFamily adds a job family or replaces its declaration.
func (p *Planner) SetFamily(f Family) {
	p.families[f.Name] = f
}

// SetRules replaces the yield rules.
func (p *Planner) SetRules(rules []share.YieldRule) {
	p.Pool.SetRules(rules)
	p.Yielder.SetRules(rules)
}

// SetWorker adds a worker or updates its description.
func (p *Planner) SetWorker(w Worker, now time.Time) {
	p.Pool.SetWorker(w)
	if _, ok := p.workers[w.ID]; !ok {
		p.workers[w.ID] = &workerMeasurements{tails: map[string]ServiceView{}, tasks: map[string]*taskState{}}
		p.Learner.History.Set(w.ID, now, nil)
	}
}

// RemoveWorker removes a worker and all of its tasks.
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

// Place chooses a worker for a task and estimates the size to assign to it
// there; the candidate's own size is ignored. It returns the errors of
// Pool.Choose, and a *FullError with reason SizeUnknown.
func (p *Planner) Place(c Candidate, now time.Time) (string, share.Resources, error) {
	size, limit := p.Sizes.Estimate(c.Job, p.families[c.Job].Declared, p.Pool.largestFor(c.Share))
	if limit > 0 && !c.Urgent && p.running[c.Job] >= limit {
		return "", size, &FullError{Task: c.Task, Reason: SizeUnknown}
	}
	c.Size = size
	id, err := p.Pool.Choose(c, now)
	return id, size, err
}

// Start records that a task was assigned to a worker. Since is zero if it is
// not known how long the task has been running.
func (p *Planner) Start(worker string, r Resident, now time.Time) {
	m, ok := p.workers[worker]
	if !ok {
		return
	}
	delete(p.claims, r.Task)
	if _, known := m.tasks[r.Task]; !known {
		p.running[r.Job]++
		m.tasks[r.Task] = &taskState{startedAt: now}
	}
	p.Pool.Assign(worker, r)
	p.Health.Started(worker, now)
	p.recordLoads(worker, now)
}

// Outcome is how a task left its worker.
type Outcome string

// The outcomes of a task on a worker.
const (
	OutcomeFinished Outcome = "finished"
	OutcomeFailed   Outcome = "failed"
	// OutcomeMoved means that the task left for another reason. It changes neither Health nor Sizes.
	OutcomeMoved Outcome = "moved"
)

// End records that a task has left its worker, and how.
func (p *Planner) End(worker, task string, outcome Outcome, now time.Time) {
	m, ok := p.workers[worker]
	r, assigned := p.Pool.Resident(worker, task)
	if !ok || !assigned {
		return
	}
	p.running[r.Job]--
	switch outcome {
	case OutcomeFinished:
		p.RecordFinished(worker, r.Job, m.tasks[task].peak)
	case OutcomeFailed:
		p.Health.Failed(worker, r.Job, m.tasks[task].startedAt, now)
	}
	delete(m.tasks, task)
	p.Pool.Release(worker, task)
	p.recordLoads(worker, now)
}

// RecordFinished records that a task of a job family finished on a worker, and
// the most that it was seen to use, if that was measured. It is for callers that
// pass OutcomeMoved to End for all tasks: they call it for each that finished.
func (p *Planner) RecordFinished(worker, family string, peak share.Resources) {
	p.Health.Succeeded(worker, family)
	if peak != (share.Resources{}) {
		p.Sizes.Observe(family, peak)
	}
}

// Throttle records the throttle ratio of a task.
func (p *Planner) Throttle(worker, task string, ratio float64, now time.Time) {
	r, ok := p.Pool.Resident(worker, task)
	if !ok {
		return
	}
	r.ThrottleRatio = ratio
	p.Pool.Assign(worker, r)
	p.recordLoads(worker, now)
}

// MarkLeaving records that a task was told to checkpoint or stop. The task keeps
// its capacity until End.
func (p *Planner) MarkLeaving(worker, task string) {
	if m, ok := p.workers[worker]; ok && m.tasks[task] != nil {
		m.tasks[task].leaving = true
	}
}

// recordLoads records the current loads of a worker in the history.
func (p *Planner) recordLoads(worker string, now time.Time) {
	p.Learner.History.Set(worker, now, p.Pool.Loads(worker))
}
