package lease

import (
	"slices"
	"time"
)

// Validity tracks until when a lease holder may use what its lease protects.
type Validity struct {
	until    time.Time
	promises map[string]time.Time
}

// RecordRenewal records that the store renewed the lease for ttl, in reply to a call that
// was made at requestedAt.
func (v *Validity) RecordRenewal(requestedAt time.Time, ttl time.Duration) {
	if until := requestedAt.Add(Shorter(ttl)); until.After(v.until) {
		v.until = until
	}
}

// RecordPromise records that a peer, asked at requestedAt, promised not to support a
// takeover for d.
func (v *Validity) RecordPromise(by string, requestedAt time.Time, d time.Duration) {
	if v.promises == nil {
		v.promises = map[string]time.Time{}
	}
	if until := requestedAt.Add(Shorter(d)); until.After(v.promises[by]) {
		v.promises[by] = until
	}
}

// Until returns the time until which the holder may continue. The peers are the members
// of its newest table that could support a takeover. Without peers nobody can take over:
// then unbounded is true if the lease was ever renewed, and the holder may continue for
// as long as it has no peers.
func (v *Validity) Until(peers []string) (until time.Time, unbounded bool) {
	if len(peers) == 0 {
		return v.until, !v.until.IsZero()
	}
	until = v.until
	for by, t := range v.promises {
		if slices.Contains(peers, by) && t.After(until) {
			until = t
		}
	}
	return until, false
}

// Valid reports whether the holder may use what its lease protects.
func (v *Validity) Valid(now time.Time, peers []string) bool {
	until, unbounded := v.Until(peers)
	return unbounded || now.Before(until)
}
