package target

import (
	"sync"
	"time"
)

// Table holds the targets of all services. Its methods are safe for concurrent use.
type Table struct {
	// Region and DataCentre are the location of this instance; they are assigned before the first call
	// of Set.
	Region     string
	DataCentre string
	// MayUseSlots reports whether this instance may use its slots now; nil means always.
	MayUseSlots func() bool

	mu       sync.Mutex
	targets  map[string]*state
	services map[string]*group
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{targets: map[string]*state{}, services: map[string]*group{}}
}

// Set replaces the list of targets. Targets that stay listed keep their health and their count of
// requests in flight.
func (t *Table) Set(targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]*group{}
	listed := make(map[string]bool, len(targets))
	for _, target := range targets {
		s, ok := t.targets[target.ID]
		if !ok {
			s = &state{}
			t.targets[target.ID] = s
		}
		s.Target = target
		listed[target.ID] = true
		g := services[target.Service]
		if g == nil {
			g = &group{cursor: t.cursorOf(target.Service)}
			services[target.Service] = g
		}
		g.add(s, t.tierOf(target))
	}
	t.removeUnlisted(listed)
	t.services = services
}

// cursorOf returns the service's rotation offset, so that replacing the list does not restart the
// rotation.
func (t *Table) cursorOf(service string) uint32 {
	if g := t.services[service]; g != nil {
		return g.cursor
	}
	return 0
}

// removeUnlisted removes the targets that are no longer listed. A target with requests in flight
// remains until the last one is released.
func (t *Table) removeUnlisted(listed map[string]bool) {
	for id, s := range t.targets {
		if listed[id] {
			continue
		}
		s.group = nil
		if s.inFlight == 0 {
			delete(t.targets, id)
		}
	}
}

// tierOf returns the distance tier of a target: same data centre, same region, or another region.
func (t *Table) tierOf(target Target) int {
	switch {
	case target.Region != t.Region:
		return tierElsewhere
	case target.DataCentre != t.DataCentre:
		return tierRegion
	}
	return tierDataCentre
}

// SetSlots changes the limits of the given targets; unknown ids are ignored and other targets keep
// theirs.
func (t *Table) SetSlots(slots map[string]Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, limits := range slots {
		s, ok := t.targets[id]
		if !ok {
			continue
		}
		s.Slots, s.Connections = limits.Slots, limits.Connections
		if s.group != nil {
			s.group.rebucket(s)
		}
	}
}

// Limits are the shares of a target's slots and connections that this instance may use.
type Limits struct {
	Slots       int
	Connections int
}

// Acquire reserves a slot at a healthy target of the service. It prefers near targets, then
// targets with low utilisation, then targets with low latency. It returns false if no slot is
// free.
func (t *Table) Acquire(criteria Criteria) (Slot, bool) {
	if t.MayUseSlots != nil && !t.MayUseSlots() {
		return Slot{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.services[criteria.Service]
	if g == nil {
		return Slot{}, false
	}
	s := g.choose(criteria)
	if s == nil {
		return Slot{}, false
	}
	slot := Slot{Target: s.ID, Address: s.Address, Connections: s.Connections, Probe: s.ejected(), state: s}
	s.inFlight++
	g.rebucket(s)
	return slot, true
}

// Release returns a slot to its target.
func (t *Table) Release(slot Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := slot.state
	s.inFlight--
	if s.group != nil {
		s.group.rebucket(s)
		return
	}
	if s.inFlight == 0 && t.targets[s.ID] == s {
		delete(t.targets, s.ID)
	}
}

// Report records the result and the duration of an attempt, and returns whether the target was
// ejected or readmitted because of it.
func (t *Table) Report(slot Slot, r Result, elapsed time.Duration, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := slot.state
	if s.group == nil {
		return Unchanged
	}
	s.health.record(r, elapsed)
	return s.group.updateEjection(s, r, slot.Probe, now)
}

// InFlight returns the number of requests in flight at all targets together.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.targets {
		n += s.inFlight
	}
	return n
}

// Count returns the number of the service's targets that accept new requests.
func (t *Table) Count(service string) int {
	return t.sum(service, func(s *state) int {
		if s.Leaving {
			return 0
		}
		return 1
	})
}

// Capacity returns how many requests of the service this instance may have in flight at once.
func (t *Table) Capacity(service string) int {
	return t.sum(service, func(s *state) int { return s.usableSlots() })
}

// Idle returns how many more requests of the service this instance may send to healthy targets
// now.
func (t *Table) Idle(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.services[service]; g != nil {
		return g.idle
	}
	return 0
}

// sum adds up a value over the targets of a service.
func (t *Table) sum(service string, value func(*state) int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.services[service]
	if g == nil {
		return 0
	}
	n := 0
	for _, s := range g.targets {
		n += value(s)
	}
	return n
}
