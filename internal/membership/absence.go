package membership

import (
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// absence follows, through one watch, since when registrations have been
// absent. A watch shows each registration between two absences, which a
// comparison of two readings would miss.
type absence struct {
	since map[string]time.Time
	table grant.Table
}

// newAbsence begins with what was read before the watch.
func newAbsence(r *registry, now time.Time) absence {
	a := absence{since: map[string]time.Time{}, table: r.table}
	for _, m := range r.table.Members {
		if _, ok := r.peers[m.ID]; !ok {
			a.since[m.ID] = now
		}
	}
	return a
}

// apply takes an update of the watch, and returns the members that it shows to
// be absent for good, and since when: the table named them as departed
// meanwhile, so that they register no more.
func (a *absence) apply(u store.Update, now time.Time) map[string]time.Time {
	gone := map[string]time.Time{}
	for _, c := range u.Changes {
		name, isMember := strings.CutPrefix(c.Entry.Key, MemberPrefix)
		switch {
		case isMember && c.Deleted:
			a.since[name] = now
		case isMember:
			delete(a.since, name)
		case c.Entry.Key == TableKey && !c.Deleted:
			a.take(c.Entry.Value, gone, now)
		}
	}
	return gone
}

// take takes a table, and adds the absent members that it names as departed.
func (a *absence) take(value []byte, gone map[string]time.Time, now time.Time) {
	t, err := grant.Decode(value)
	if err != nil {
		clear(a.since)
		return
	}
	if forgets(a.table, t) {
		// A promise of what is forgotten ended before this, not before the absence.
		for name := range a.since {
			a.since[name] = now
		}
	}
	a.table = t
	for _, m := range t.Departed {
		if since, ok := a.since[m.ID]; ok {
			gone[m.ID] = since
		}
	}
}

// forgets reports whether a table names a member no more that the one before named.
func forgets(before, after grant.Table) bool {
	for _, members := range [][]grant.Member{before.Members, before.Departed} {
		for _, m := range members {
			if !after.Has(m.ID) && !after.HasDeparted(m.ID) {
				return true
			}
		}
	}
	return false
}
