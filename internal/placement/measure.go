package placement

import (
	"math"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// minRunForPeak is how long a task must run before its measured peak counts.
const minRunForPeak = 20 * time.Second

// TaskMeasurement is what a worker measured of one task.
type TaskMeasurement struct {
	Task string
	// Speed is the task's progress as a fraction of its undisturbed progress at
	// the same throttle ratio; 0 means not measured.
	Speed float64
	// Peak is the most that the task was seen to use.
	Peak share.Resources
}

// Measurement is what a worker measured over a window that ended at At.
type Measurement struct {
	Worker string
	At     time.Time
	Window time.Duration
	// Tails holds the services that were measured; their MeasuredAt and Window are ignored.
	Tails []ServiceView
	Tasks []TaskMeasurement
}

// Measure records a measurement for Yield and updates the interference model, the
// task sizes and the idle services from it. Measurements may arrive late, but
// must arrive in order for each worker.
func (p *Planner) Measure(m Measurement) {
	state, ok := p.workers[m.Worker]
	if !ok {
		return
	}
	state.pendingYield = true
	// Learning from overlapping windows would count the overlap twice.
	learn := m.At.Sub(state.lastLearnedAt) >= m.Window
	if learn {
		state.lastLearnedAt = m.At
	}
	for _, tail := range m.Tails {
		tail.MeasuredAt = m.At
		tail.Window = m.Window
		if !m.At.After(state.tails[tail.Service].MeasuredAt) {
			continue
		}
		state.tails[tail.Service] = tail
		if !learn {
			continue
		}
		p.Learner.ObserveTail(m.Worker, tail.Service, tail.Strain, m.At, m.Window)
	}
	p.updateIdleServices(m, state)
	for _, t := range m.Tasks {
		p.measureTask(m, state, t, learn)
	}
}

// measureTask records the measurement of one task. If learn is set and the task
// ran during the whole window, its speed updates the interference model.
func (p *Planner) measureTask(m Measurement, state *workerMeasurements, t TaskMeasurement, learn bool) {
	r, assigned := p.Pool.Resident(m.Worker, t.Task)
	previous, ok := state.tasks[t.Task]
	if !assigned || !ok {
		return
	}
	if learn && !r.Since.After(m.At.Add(-m.Window)) {
		p.Learner.ObserveSpeed(m.Worker, r.Job, t.Speed, r.processorFraction(), m.At, m.Window)
	}
	peak := maxEach(previous.peak, t.Peak)
	if peak == previous.peak || m.At.Sub(r.Since) < minRunForPeak {
		return
	}
	previous.peak = peak
	p.Sizes.Observe(r.Job, peak)
	if !peak.Fits(r.Size) {
		// The task uses more than it was assigned. It is assigned its peak, so that other
		// tasks are not assigned the same capacity.
		r.Size = maxEach(r.Size, peak)
		p.Pool.Assign(m.Worker, r)
	}
}

// Yield returns the actions for the tasks of a worker. It decides once for each
// measurement and otherwise returns nil.
func (p *Planner) Yield(worker string, now time.Time) []Action {
	m, ok := p.workers[worker]
	if !ok || !m.pendingYield {
		return nil
	}
	m.pendingYield = false
	v := View{Worker: worker, Free: p.Pool.Free(worker)}
	w, _ := p.Pool.Worker(worker)
	for _, r := range w.Runners {
		if tail, ok := m.tails[r.Service]; ok {
			v.Services = append(v.Services, tail)
		}
	}
	v.Residents = p.residents(worker, now)
	return p.Yielder.Decide(v, now)
}

// Slowdown returns the factor by which the tasks on a worker multiply the strain
// of a service there: the expected factor less its standard deviation, but at
// least 1.
func (p *Planner) Slowdown(worker, service string) float64 {
	loads := p.Pool.Loads(worker)
	if len(loads) == 0 {
		return 1
	}
	victim := p.Learner.Model.Service(service)
	slowdown, variance := 1.0, 0.0
	for _, l := range loads {
		mean, stdDev := p.Learner.Model.Effect(victim, l.Aggressor)
		slowdown += mean * l.Amount
		variance += stdDev * stdDev * l.Amount * l.Amount
	}
	return max(1, slowdown-math.Sqrt(variance))
}

// residents returns the tasks of a worker as input for yield decisions. The
// slice is valid until the next call.
func (p *Planner) residents(worker string, now time.Time) []ResidentView {
	m := p.workers[worker]
	views := p.viewBuffer[:0]
	for _, r := range p.Pool.Residents(worker) {
		views = append(views, ResidentView{
			Task:          r.Task,
			Job:           r.Job,
			Share:         r.Share,
			Size:          r.Size,
			Since:         r.Since,
			ThrottleRatio: r.processorFraction(),
			Checkpoints:   p.families[r.Job].Checkpoints,
			Unsaved:       now.Sub(m.tasks[r.Task].startedAt),
			Urgent:        r.Urgent,
			Leaving:       m.tasks[r.Task].leaving,
		})
	}
	p.viewBuffer = views
	return views
}

// ObserveForYield records the strain of services for Yield only; nothing is
// learned from it.
func (p *Planner) ObserveForYield(m Measurement) {
	state, ok := p.workers[m.Worker]
	if !ok {
		return
	}
	state.pendingYield = true
	for _, tail := range m.Tails {
		tail.MeasuredAt = m.At
		tail.Window = m.Window
		state.tails[tail.Service] = tail
	}
}
