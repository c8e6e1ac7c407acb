// Package target decides which runner of a service takes a request. It holds
// the slots that this instance may use at each target, and is free of I/O and
// clocks.
//
// # Usage
//
//	t := target.NewTable()
//	t.Set(targets)
//	if slot, ok := t.Acquire("finish", ""); ok {
//		defer t.Release(slot)
//	}
package target

import "sync"

// Target is one runner as this instance may use it.
type Target struct {
	ID      string
	Service string
	Address string
	// Slots is how many requests this instance may have in flight at the target.
	Slots int
	// Leaving targets get nothing new.
	Leaving bool
}

// Slot is the right to have one request in flight at a target.
type Slot struct {
	Target  string
	Address string
}

// Table holds the targets of all services.
type Table struct {
	mu       sync.Mutex
	targets  map[string]*state
	services map[string][]*state
}

type state struct {
	Target
	inFlight int
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{targets: map[string]*state{}, services: map[string][]*state{}}
}

// Set replaces the targets; requests in flight stay counted.
func (t *Table) Set(targets []Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	services := map[string][]*state{}
	seen := map[string]bool{}
	for _, n := range targets {
		s, ok := t.targets[n.ID]
		if !ok {
			s = &state{}
			t.targets[n.ID] = s
		}
		s.Target = n
		seen[n.ID] = true
		services[n.Service] = append(services[n.Service], s)
	}
	for id, s := range t.targets {
		if !seen[id] && s.inFlight == 0 {
			delete(t.targets, id)
		}
	}
	t.services = services
}

// Acquire takes a slot at the service's target with the most free slots, other than exclude.
func (t *Table) Acquire(service, exclude string) (Slot, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *state
	for _, s := range t.services[service] {
		if s.Leaving || s.ID == exclude || s.inFlight >= s.Slots {
			continue
		}
		if best == nil || s.Slots-s.inFlight > best.Slots-best.inFlight {
			best = s
		}
	}
	if best == nil {
		return Slot{}, false
	}
	best.inFlight++
	return Slot{Target: best.ID, Address: best.Address}, true
}

// Release gives a slot back.
func (t *Table) Release(s Slot) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state, ok := t.targets[s.Target]; ok {
		state.inFlight--
	}
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
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, s := range t.services[service] {
		if !s.Leaving {
			n++
		}
	}
	return n
}
