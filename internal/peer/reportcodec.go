package peer

import (
	"maps"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/peer/slotpb"
)

// encodeChange returns the message that sends the next report to a peer that has the last
// one. If only numbers of free slots changed, it contains nothing but the changed numbers.
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

// sameServices reports whether both maps contain the same services.
func sameServices(a, b map[string]int) bool {
	for service := range a {
		if _, ok := b[service]; !ok {
			return false
		}
	}
	return len(a) == len(b)
}

// apply returns the next report after r. The message contains either the complete report,
// or only the numbers of free slots that changed since r.
func (r Report) apply(m *slotpb.Status) Report {
	if m.Member != "" {
		return decodeReport(m)
	}
	r.Idle, r.Table = maps.Clone(r.Idle), nil
	for service, n := range m.Idle {
		r.Idle[service] = int(n)
	}
	return r
}

// encodeReport returns the message for a complete report.
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
			Holder: s.Holder, Known: s.KnownToHolder, Unpromised: s.Unpromised,
		})
	}
	return m
}

// decodeReport is the inverse of encodeReport.
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
			Holder: s.Holder, KnownToHolder: s.Known, Unpromised: s.Unpromised,
		})
	}
	return r
}
