package peer

import (
	"maps"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/peer/slotpb"
)

// encodeChange returns what tells a peer of the next report that has the last
// one: the free slots that changed, if all else is as it was.
func encodeChange(last, next Report) *slotpb.Status {
	if last.Status.ID == "" || len(next.Table) > 0 || !sameStatus(last, next) || !sameServices(last.Idle, next.Idle) {
		return encodeReport(next)
	}
	m := &slotpb.Status{Idle: map[string]int32{}}
	for service, n := range next.Idle {
		if last.Idle[service] != n {
			m.Idle[service] = int32(n)
		}
	}
	return m
}

// sameServices reports whether both tell of the same services.
func sameServices(a, b map[string]int) bool {
	for service := range a {
		if _, ok := b[service]; !ok {
			return false
		}
	}
	return len(a) == len(b)
}

// next returns the report after this one, of which a message tells.
func (r Report) next(m *slotpb.Status) Report {
	if m.Member != "" {
		return decodeReport(m)
	}
	r.Idle, r.Table = maps.Clone(r.Idle), nil
	for service, n := range m.Idle {
		r.Idle[service] = int(n)
	}
	return r
}

// encodeReport returns a report in full.
func encodeReport(r Report) *slotpb.Status {
	m := &slotpb.Status{
		Member:   r.Status.ID,
		Epoch:    r.Status.Report.Epoch,
		Over:     r.Status.Report.Over,
		Released: r.Status.Released,
		Idle:     make(map[string]int32, len(r.Idle)),
		Table:    r.Table,
	}
	for service, n := range r.Idle {
		m.Idle[service] = int32(n)
	}
	for _, s := range r.Status.Supports {
		m.Supports = append(m.Supports, &slotpb.Support{
			Holder: s.Holder, Known: s.Known, Unpromised: s.Unpromised,
		})
	}
	return m
}

// decodeReport returns a report that was sent in full.
func decodeReport(m *slotpb.Status) Report {
	r := Report{
		Status: membership.Status{
			ID:       m.Member,
			Report:   grant.Report{Epoch: m.Epoch, Over: m.Over},
			Released: m.Released,
		},
		Idle:  make(map[string]int, len(m.Idle)),
		Table: m.Table,
	}
	for service, n := range m.Idle {
		r.Idle[service] = int(n)
	}
	for _, s := range m.Supports {
		r.Status.Supports = append(r.Status.Supports, membership.Support{
			Holder: s.Holder, Known: s.Known, Unpromised: s.Unpromised,
		})
	}
	return r
}
