package lease

import (
	"slices"
	"time"
)

// Hold is the holder's side of a lease.
type Hold struct {
	until    time.Time
	promises map[string]time.Time
}

// Renewed says that the store renewed the lease for ttl, by a call that was begun at asked.
func (h *Hold) Renewed(asked time.Time, ttl time.Duration) {
	if until := asked.Add(Shorter(ttl)); until.After(h.until) {
		h.until = until
	}
}

// Promised says that a peer promised to support no take-over for d, asked at that time.
func (h *Hold) Promised(by string, asked time.Time, d time.Duration) {
	if h.promises == nil {
		h.promises = map[string]time.Time{}
	}
	if until := asked.Add(Shorter(d)); until.After(h.promises[by]) {
		h.promises[by] = until
	}
}

// Until returns the time until which the holder may go on, given its present
// peers: the members of its newest table that could support a take-over. The
// second value reports that there is no bound, since it has no peers.
func (h *Hold) Until(peers []string) (until time.Time, unbounded bool) {
	if len(peers) == 0 {
		return h.until, !h.until.IsZero()
	}
	until = h.until
	for by, t := range h.promises {
		if slices.Contains(peers, by) && t.After(until) {
			until = t
		}
	}
	return until, false
}

// Held reports whether the holder may use what it holds.
func (h *Hold) Held(now time.Time, peers []string) bool {
	until, unbounded := h.Until(peers)
	return unbounded || now.Before(until)
}
