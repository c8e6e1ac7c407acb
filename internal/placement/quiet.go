package placement

import "time"

// serviceIdleAfter is how long a service goes without a measured request on a worker
// until tasks there no longer have to spare it.
const serviceIdleAfter = 30 * time.Second

// SetServiceIdle says whether a service on a worker serves no requests at present. A
// quiet service does not keep tasks away; what they do to it is then unknown.
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

// updateIdleServices tells the pool which services of a measured worker are quiet, and
// drops what was measured of them.
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

// Strain returns the greatest strain that was last measured of a service on a worker.
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
