package intake

import (
	"maps"
	"net/http"
	"strconv"
	"time"
)

// refusalParts is the part of an HTTP server's connections on which requests are only refused: one in so many.
const refusalParts = 16

// maxRefused returns how many of the connections are for refusals. A response that is sent before its request
// can reach a client that takes it for a broken connection, so that a refusal needs a connection, too.
func (b *Budget) maxRefused() int {
	if !b.attached {
		return 0
	}
	return b.Limits.Conns / refusalParts
}

// admit grants a connection, or one on which a request is only refused. It returns nil if there is room for
// neither. Arrived reports whether bytes wait to be read from the connection.
func (b *Budget) admit(end func(), arrived func() bool) *Lease {
	l, victims := b.admitOrRefuse(end, arrived)
	b.end(victims)
	if l != nil && l.mustRefuse() {
		b.report()
	}
	return l
}

// admitOrRefuse is admit, and returns the connections to be closed.
func (b *Budget) admitOrRefuse(end func(), arrived func() bool) (l *Lease, victims []*Lease) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	if victims, ok := b.vacate(now, true); ok {
		return b.add(end, arrived, now), victims
	}
	if victims, ok := b.vacateRefusal(now); ok {
		l = b.add(end, arrived, now)
		b.markRefused(l, now)
		return l, victims
	}
	if victims, ok := b.vacate(now, false); ok {
		return b.add(end, arrived, now), victims
	}
	return nil, nil
}

// vacateRefusal makes room for one more refusal if there is none, and returns the connections to be closed for it.
func (b *Budget) vacateRefusal(now time.Time) (victims []*Lease, ok bool) {
	if b.refused < b.maxRefused() {
		return nil, true
	}
	var oldest *Lease
	for l := range b.leases {
		if l.isRefused() && l.phase != Working && now.Sub(l.refusedAt) >= stallTime && (oldest == nil || l.refusedAt.Before(oldest.refusedAt)) {
			oldest = l
		}
	}
	if oldest == nil {
		return nil, false
	}
	b.evict(oldest)
	return []*Lease{oldest}, true
}

// markRefused makes a connection one on which a request is only refused.
func (b *Budget) markRefused(l *Lease, now time.Time) {
	l.refusedAt = now
	b.refused++
	b.usage.Refused++
}

// isRefused reports whether the request of the connection is refused. The lock is held.
func (l *Lease) isRefused() bool { return !l.refusedAt.IsZero() }

// mustRefuse is isRefused for callers without the lock.
func (l *Lease) mustRefuse() bool {
	if l == nil {
		return false
	}
	l.budget.mu.Lock()
	defer l.budget.mu.Unlock()
	return l.isRefused()
}

// writeRefusal answers a request that is refused.
func (b *Budget) writeRefusal(w http.ResponseWriter) {
	h := w.Header()
	maps.Copy(h, b.RefusalHeader)
	h.Set("Retry-After", strconv.Itoa(int(RetryAfter/time.Second)))
	h.Set("Connection", "close")
	w.WriteHeader(http.StatusServiceUnavailable)
}
