package placement

import "time"

// serviceIdleAfter is how long a service must be without a measured request on a
// worker to count as idle.
const serviceIdleAfter = 30 * time.Second

// SetServiceIdle sets whether a service on a worker currently serves no requests.
// Placement ignores the interference with an idle service, which cannot be
// measured.
func (p *Pool) SetServiceIdle(worker, service string, idle bool) {
	i, ok := p.index[worker]
	if !ok {
		return
	}
	s := p.workers[i]
	for n, r := range s.Runners {
		if r.Service == service && n < len(s.idle) {
			s.idle[n] = idle
		}
	}
}

// updateIdleServices sets which services of a measured worker are idle, and
// deletes the last measurements of the idle ones.
func (p *Planner) updateIdleServices(m Measurement, state *workerMeasurements) {
	if state.firstMeasuredAt.IsZero() {
		state.firstMeasuredAt = m.At
	}
	w, _ := p.Pool.Worker(m.Worker)
	for _, r := range w.Runners {
		lastMeasured := state.firstMeasuredAt
		if tail, ok := state.tails[r.Service]; ok {
			lastMeasured = tail.MeasuredAt
		}
		idle := m.At.Sub(lastMeasured) > serviceIdleAfter
		if idle {
			delete(state.tails, r.Service)
		}
		p.Pool.SetServiceIdle(m.Worker, r.Service, idle)
	}
}

// Strain returns the highest strain among the last measurements of a worker's services.
func (p *Planner) Strain(worker string) float64 {
	state, ok := p.workers[worker]
	if !ok {
		return 0
	}
	highest := 0.0
	for _, tail := range state.tails {
		highest = max(highest, tail.Strain)
	}
	return highest
}
