package lease

import "time"

// Promiser records what a peer has granted to lease holders. To each holder it either
// promises not to support a takeover, or it supports the takeover, but never both at
// once.
type Promiser struct {
	promisedUntil map[string]time.Time
	// supported contains the holders whose takeover is supported. The value reports
	// whether the holder was never given a promise.
	supported map[string]bool
}

// Promise promises a holder not to support a takeover of it for d from now on. It
// returns false if the takeover is already supported.
func (p *Promiser) Promise(holder string, now time.Time, d time.Duration) bool {
	if _, supported := p.supported[holder]; supported {
		return false
	}
	if p.promisedUntil == nil {
		p.promisedUntil = map[string]time.Time{}
	}
	if until := now.Add(d); until.After(p.promisedUntil[holder]) {
		p.promisedUntil[holder] = until
	}
	return true
}

// Support supports the takeover of a holder and reports whether it does so; an open
// promise to the holder prevents it. Afterwards the holder gets no more promises.
func (p *Promiser) Support(holder string, now time.Time) bool {
	if now.Before(p.promisedUntil[holder]) {
		return false
	}
	if _, supported := p.supported[holder]; supported {
		return true
	}
	if p.supported == nil {
		p.supported = map[string]bool{}
	}
	_, promised := p.promisedUntil[holder]
	p.supported[holder] = !promised
	delete(p.promisedUntil, holder)
	return true
}

// NeverPromised reports whether the takeover of a holder is supported and the holder was
// never given a promise.
func (p *Promiser) NeverPromised(holder string) bool { return p.supported[holder] }

// HasOpen reports whether a promise to any holder is still open.
func (p *Promiser) HasOpen(now time.Time) bool {
	for _, until := range p.promisedUntil {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// Retain deletes the records of all holders for which keep returns false.
func (p *Promiser) Retain(keep func(holder string) bool) {
	for holder := range p.promisedUntil {
		if !keep(holder) {
			delete(p.promisedUntil, holder)
		}
	}
	for holder := range p.supported {
		if !keep(holder) {
			delete(p.supported, holder)
		}
	}
}
