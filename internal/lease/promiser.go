package lease

import "time"

// Promiser is a peer's side of a lease: it either promises a holder to support
// no take-over, or supports one, and never both at once.
type Promiser struct {
	promised  map[string]time.Time
	supported map[string]bool
}

// Promise promises a holder, for d from now, to support no take-over; it
// refuses if it has supported one.
func (p *Promiser) Promise(holder string, now time.Time, d time.Duration) bool {
	if p.supported[holder] {
		return false
	}
	if p.promised == nil {
		p.promised = map[string]time.Time{}
	}
	if until := now.Add(d); until.After(p.promised[holder]) {
		p.promised[holder] = until
	}
	return true
}

// Support supports a take-over unless a promise to the holder is still open.
// From then on it promises the holder nothing.
func (p *Promiser) Support(holder string, now time.Time) bool {
	if now.Before(p.promised[holder]) {
		return false
	}
	if p.supported == nil {
		p.supported = map[string]bool{}
	}
	p.supported[holder] = true
	delete(p.promised, holder)
	return true
}

// Open reports whether a promise to anybody is still open.
func (p *Promiser) Open(now time.Time) bool {
	for _, until := range p.promised {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// Keep forgets the holders that keep refuses.
func (p *Promiser) Keep(keep func(holder string) bool) {
	for holder := range p.promised {
		if !keep(holder) {
			delete(p.promised, holder)
		}
	}
	for holder := range p.supported {
		if !keep(holder) {
			delete(p.supported, holder)
		}
	}
}
