package batch

import (
	"maps"
	"slices"
	"time"
)

// An operator may have a data centre evacuated: nothing is started there until the request is taken back.
// Runs that are under way go on.

// evacuations are the data centres that are evacuated.
type evacuations struct {
	dataCentres map[string]bool
	// readAt is when they were read, maxAge for how long after that runs may be started; zero means without
	// limit.
	readAt time.Time
	maxAge time.Duration
	// unreported are the data centres whose evacuation was not reported yet.
	unreported []string
}

// SetMaxEvacuationAge sets for how long after a call of SetEvacuated the Core may start runs; zero means
// without limit.
func (c *Core) SetMaxEvacuationAge(limit time.Duration) { c.evacuations.maxAge = limit }

// SetEvacuated sets the data centres that are evacuated, as they were at readAt or later. It withdraws the
// start commands for workers there that were not sent.
func (c *Core) SetEvacuated(dataCentres []string, readAt, now time.Time) {
	e := &c.evacuations
	before := e.dataCentres
	e.readAt, e.dataCentres = readAt, make(map[string]bool, len(dataCentres))
	for _, d := range dataCentres {
		if !before[d] && !e.dataCentres[d] {
			e.unreported = append(e.unreported, d)
		}
		e.dataCentres[d] = true
	}
	e.unreported = slices.DeleteFunc(e.unreported, func(d string) bool { return !e.dataCentres[d] })
	for _, d := range slices.Sorted(maps.Keys(before)) {
		if !e.dataCentres[d] {
			c.note(Note{Kind: NoteReadmitted, DataCentre: d})
		}
	}
	if len(dataCentres) > 0 {
		c.withdrawUnsent(now, c.isEvacuated)
	}
}

// isEvacuated reports whether the worker's data centre is evacuated.
func (c *Core) isEvacuated(w *worker) bool { return c.evacuations.dataCentres[w.DataCentre] }

// AreEvacuationsCurrent reports whether the evacuated data centres were read recently enough for runs to be
// started.
func (c *Core) AreEvacuationsCurrent(now time.Time) bool {
	e := &c.evacuations
	return e.maxAge == 0 || now.Sub(e.readAt) <= e.maxAge
}

// reportEvacuations reports the data centres that were evacuated since its last call, once workers are listed.
func (c *Core) reportEvacuations() {
	e := &c.evacuations
	if len(e.unreported) == 0 || !slices.ContainsFunc(c.workersByID(), (*worker).isUsable) {
		return
	}
	for _, d := range e.unreported {
		n := Note{Kind: NoteEvacuated, DataCentre: d}
		for _, w := range c.workers {
			if w.DataCentre == d {
				n.Workers++
				n.Runs += len(w.runs)
			}
		}
		c.note(n)
	}
	e.unreported = nil
}

// countEvacuated returns how many workers could run tasks of a stage but for the evacuation of their data centre.
func (c *Core) countEvacuated(s *stage) int {
	if len(c.evacuations.dataCentres) == 0 {
		return 0
	}
	n := 0
	for _, w := range c.workers {
		if c.isEvacuated(w) && w.isUsable() && !w.Draining && s.couldRunOn(w) {
			n++
		}
	}
	return n
}

// couldRunOn reports whether a worker without runs would have the capacity for a task of the stage.
func (s *stage) couldRunOn(w *worker) bool {
	return s.mayRunOn(w) && s.step.allocation().Fits(w.Capacity)
}
