package placement

import "time"

// quietAfter is how long a service goes without a measured request on a worker
// until tasks there no longer have to spare it.
const quietAfter = 30 * time.Second

// SetQuiet says whether a service on a worker serves no requests at present. A
// quiet service does not keep tasks away; what they do to it is then unknown.
func (p *Pool) SetQuiet(worker, service string, quiet bool) {
	i, ok := p.index[worker]
	if !ok {
		return
	}
	s := p.workers[i]
	for n, r := range s.Runners {
		if r.Service == service && n < len(s.quiet) {
			s.quiet[n] = quiet
		}
	}
}

// markQuiet tells the pool which services of a measured worker are quiet, and
// drops what was measured of them.
func (p *Planner) markQuiet(m Measurement, state *measured) {
	if state.measuredSince.IsZero() {
		state.measuredSince = m.At
	}
	w, _ := p.Pool.Worker(m.Worker)
	for _, r := range w.Runners {
		last := state.measuredSince
		if tail, ok := state.tails[r.Service]; ok {
			last = tail.MeasuredAt
		}
		quiet := m.At.Sub(last) > quietAfter
		if quiet {
			delete(state.tails, r.Service)
		}
		p.Pool.SetQuiet(m.Worker, r.Service, quiet)
	}
}

// Strain returns the greatest strain that was last measured of a service on a worker.
func (p *Planner) Strain(worker string) float64 {
	state, ok := p.workers[worker]
	if !ok {
		return 0
	}
	greatest := 0.0
	for _, tail := range state.tails {
		greatest = max(greatest, tail.Strain)
	}
	return greatest
}
