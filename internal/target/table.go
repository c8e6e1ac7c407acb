package target

import (
	"sync"
	"time"
)

// Table holds the targets of all services. Its methods may be called at once.
type Table struct {
	// Region and DataCentre are those of this instance, set before Set.
	Region     string
	DataCentre string
	// MayUseSlots reports whether slots may be used at this instant; nil means always.
	MayUseSlots func() bool

	mu       sync.Mutex
	targets  map[string]*state
	services map[string]*group
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{targets: map[string]*state{}, services: map[string]*group{}}
}

// Set replaces the targets; requests in flight and health stay.
func (t *Table) Set(targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string]*group{}
	seen := make(map[string]bool, len(targets))
	for _, n := range targets {
		s, ok := t.targets[n.ID]
		if !ok {
			s = &state{}
			t.targets[n.ID] = s
		}
		s.Target = n
		seen[n.ID] = true
		g := services[n.Service]
		if g == nil {
			g = &group{cursor: t.cursorOf(n.Service)}
			services[n.Service] = g
		}
		g.add(s, t.distance(n))
	}
	t.forget(seen)
	t.services = services
}

// cursorOf returns where the rotation among a service's equal targets stands.
func (t *Table) cursorOf(service string) uint32 {
	if g := t.services[service]; g != nil {
		return g.cursor
	}
	return 0
}

// forget removes targets that are no longer listed; those in use stay until they are released.
func (t *Table) forget(seen map[string]bool) {
	for id, s := range t.targets {
		if seen[id] {
			continue
		}
		s.group = nil
		if s.inFlight == 0 {
			delete(t.targets, id)
		}
	}
}

// distance returns the tier of a target: its data centre, its region, or another region.
func (t *Table) distance(n Target) int {
	switch {
	case n.Region != t.Region:
		return tierElsewhere
	case n.DataCentre != t.DataCentre:
		return tierRegion
	}
	return tierDataCentre
}

// SetSlots changes the slots and connections of listed targets; others stay as they are.
func (t *Table) SetSlots(slots map[string]Limits) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, n := range slots {
		s, ok := t.targets[id]
		if !ok {
			continue
		}
		s.Slots, s.Connections = n.Slots, n.Connections
		if s.group != nil {
			s.group.place(s)
		}
	}
}

// Limits are what this instance may use of a target.
type Limits struct {
	Slots       int
	Connections int
}

// Acquire takes a slot at a near, healthy target with few requests in flight.
func (t *Table) Acquire(w Want) (Slot, bool) {
	if t.MayUseSlots != nil && !t.MayUseSlots() {
		return Slot{}, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.services[w.Service]
	if g == nil {
		return Slot{}, false
	}
	s := g.choose(w)
	if s == nil {
		return Slot{}, false
	}
	slot := Slot{Target: s.ID, Address: s.Address, Connections: s.Connections, Probe: s.ejected(), state: s}
	s.inFlight++
	g.place(s)
	return slot, true
}

// Release gives a slot back.
func (t *Table) Release(slot Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := slot.state
	s.inFlight--
	if s.group != nil {
		s.group.place(s)
		return
	}
	if s.inFlight == 0 && t.targets[s.ID] == s {
		delete(t.targets, s.ID)
	}
}

// Report tells how an attempt ended after the time taken, and returns what that changes for the target.
func (t *Table) Report(slot Slot, r Result, taken time.Duration, now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := slot.state
	if s.group == nil {
		return Unchanged
	}
	s.health.report(r, taken)
	return s.group.judge(s, r, slot.Probe, now)
}

// InFlight returns the requests in flight at all targets.
func (t *Table) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.targets {
		n += s.inFlight
	}
	return n
}

// Count returns the targets of a service that take new work.
func (t *Table) Count(service string) int {
	return t.sum(service, func(s *state) int {
		if s.Leaving {
			return 0
		}
		return 1
	})
}

// Capacity returns how many requests of a service this instance may have in flight.
func (t *Table) Capacity(service string) int {
	return t.sum(service, func(s *state) int { return s.usable() })
}

// Idle returns how many further requests of a service healthy targets take from this instance.
func (t *Table) Idle(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.services[service]; g != nil {
		return g.idle
	}
	return 0
}

func (t *Table) sum(service string, of func(*state) int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.services[service]
	if g == nil {
		return 0
	}
	n := 0
	for _, s := range g.all {
		n += of(s)
	}
	return n
}
