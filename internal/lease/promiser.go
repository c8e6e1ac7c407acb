package lease

import "time"

// Promiser is a peer's side of a lease: it either promises a holder to support
// no take-over, or supports one, and never both at once.
type Promiser struct {
	promised map[string]time.Time
	// supported tells, for each holder whose take-over is supported, whether it
	// was never promised anything.
	supported map[string]bool
}

// Promise promises a holder, for d from now, to support no take-over; it
// refuses if it has supported one.
func (p *Promiser) Promise(holder string, now time.Time, d time.Duration) bool {
	if _, supported := p.supported[holder]; supported {
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
	if _, supported := p.supported[holder]; supported {
		return true
	}
	if p.supported == nil {
		p.supported = map[string]bool{}
	}
	_, promised := p.promised[holder]
	p.supported[holder] = !promised
	delete(p.promised, holder)
	return true
}

// Unpromised reports whether the take-over of a holder is supported that was
// never promised anything.
func (p *Promiser) Unpromised(holder string) bool { return p.supported[holder] }

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
