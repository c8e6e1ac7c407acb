package placement

import (
	"math"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// sizeSettle is how long a task runs before its size counts as seen.
const sizeSettle = 20 * time.Second

// TaskMeasurement is what a worker measured of one task.
type TaskMeasurement struct {
	Task string
	// Speed is the task's progress as a part of its undisturbed progress at
	// the same throttle ratio; 0 means not measured.
	Speed float64
	// Peak is the most that the task was seen to hold.
	Peak share.Resources
}

// Measurement is what a worker measured over a window that ended at a time.
type Measurement struct {
	Worker string
	At     time.Time
	Window time.Duration
	// Tails are the services on the worker; their own times are not regarded.
	Tails []ServiceView
	Tasks []TaskMeasurement
}

// Measure takes a measurement, which may come late but in order for each worker.
func (p *Planner) Measure(m Measurement) {
	state, ok := p.workers[m.Worker]
	if !ok {
		return
	}
	state.fresh = true
	// Windows that overlap would count what they share twice.
	learns := m.At.Sub(state.learnedAt) >= m.Window
	if learns {
		state.learnedAt = m.At
	}
	for _, tail := range m.Tails {
		tail.MeasuredAt = m.At
		tail.Window = m.Window
		if !m.At.After(state.tails[tail.Service].MeasuredAt) {
			continue
		}
		state.tails[tail.Service] = tail
		if !learns {
			continue
		}
		p.Learner.Tail(m.Worker, tail.Service, tail.Strain, m.At, m.Window)
	}
	p.markQuiet(m, state)
	for _, t := range m.Tasks {
		p.measureTask(m, state, t, learns)
	}
}

func (p *Planner) measureTask(m Measurement, state *measured, t TaskMeasurement, learns bool) {
	r, held := p.Pool.Resident(m.Worker, t.Task)
	known, ok := state.tasks[t.Task]
	if !held || !ok {
		return
	}
	if learns && !r.Since.After(m.At.Add(-m.Window)) {
		p.Learner.Speed(m.Worker, r.Job, t.Speed, r.load(), m.At, m.Window)
	}
	peak := larger(known.peak, t.Peak)
	if peak == known.peak || m.At.Sub(r.Since) < sizeSettle {
		return
	}
	known.peak = peak
	p.Sizes.Observe(r.Job, peak)
	if !peak.Fits(r.Size) {
		// The task holds more than it was given: nobody else is to be given that.
		r.Size = larger(r.Size, peak)
		p.Pool.Assign(m.Worker, r)
	}
}

// Yield returns what the tasks of a worker have to do now. It decides once for
// each measurement.
func (p *Planner) Yield(worker string, now time.Time) []Action {
	m, ok := p.workers[worker]
	if !ok || !m.fresh {
		return nil
	}
	m.fresh = false
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

// Slowdown returns by how much the tasks on a worker multiply the strain of a
// service there, by the lower end of what is known.
func (p *Planner) Slowdown(worker, service string) float64 {
	loads := p.Pool.Loads(worker)
	if len(loads) == 0 {
		return 1
	}
	victim := p.Learner.Model.Service(service)
	slowdown, variance := 1.0, 0.0
	for _, l := range loads {
		mean, deviation := p.Learner.Model.Effect(victim, l.Aggressor)
		slowdown += mean * l.Amount
		variance += deviation * deviation * l.Amount * l.Amount
	}
	return max(1, slowdown-math.Sqrt(variance))
}

// residents returns the tasks of a worker as far as yielding regards them. The
// next call uses the same memory.
func (p *Planner) residents(worker string, now time.Time) []ResidentView {
	m := p.workers[worker]
	all := p.views[:0]
	for _, r := range p.Pool.Residents(worker) {
		all = append(all, ResidentView{
			Task:        r.Task,
			Job:         r.Job,
			Share:       r.Share,
			Size:        r.Size,
			Since:       r.Since,
			Ratio:       r.load(),
			Checkpoints: p.families[r.Job].Checkpoints,
			Unsaved:     now.Sub(m.tasks[r.Task].startedAt),
			Urgent:      r.Urgent,
			Leaving:     m.tasks[r.Task].leaving,
		})
	}
	p.views = all
	return all
}

// ObserveForYield takes a measurement for decisions on yielding only; nothing is learned from it.
func (p *Planner) ObserveForYield(m Measurement) {
	state, ok := p.workers[m.Worker]
	if !ok {
		return
	}
	state.fresh = true
	for _, tail := range m.Tails {
		tail.MeasuredAt = m.At
		tail.Window = m.Window
		state.tails[tail.Service] = tail
	}
}
