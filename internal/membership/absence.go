package membership

import (
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// absenceTracker tracks, through one watch, since when registrations have been absent. A
// watch also shows a registration that existed only between two absences, which comparing
// two snapshots would miss.
type absenceTracker struct {
	// absentSince is the time since which a member has had no registration.
	absentSince map[string]time.Time
	table       grant.Table
}

// newAbsenceTracker starts from the registry as it was read before the watch.
func newAbsenceTracker(r *registry, now time.Time) absenceTracker {
	a := absenceTracker{absentSince: map[string]time.Time{}, table: r.table}
	for _, m := range r.table.Members {
		if _, ok := r.peers[m.ID]; !ok {
			a.absentSince[m.ID] = now
		}
	}
	return a
}

// apply applies an update from the watch. It returns the members that are now known to be
// absent for good, and since when. These were absent when a table listed them as
// departed, so they will not register again.
func (a *absenceTracker) apply(u store.Update, now time.Time) map[string]time.Time {
	endedSince := map[string]time.Time{}
	for _, c := range u.Changes {
		name, isMember := strings.CutPrefix(c.Entry.Key, MemberPrefix)
		switch {
		case isMember && c.Deleted:
			a.absentSince[name] = now
		case isMember:
			delete(a.absentSince, name)
		case c.Entry.Key == TableKey && !c.Deleted:
			a.applyTable(c.Entry.Value, endedSince, now)
		}
	}
	return endedSince
}

// applyTable applies a table, and adds the absent members that it lists as departed to
// endedSince.
func (a *absenceTracker) applyTable(value []byte, endedSince map[string]time.Time, now time.Time) {
	t, err := grant.Decode(value)
	if err != nil {
		clear(a.absentSince)
		return
	}
	if anyForgotten(a.table, t) {
		// A forgotten member may have given a promise to an absent one. That promise
		// expired before the member was forgotten, but not necessarily before the absence
		// began.
		for name := range a.absentSince {
			a.absentSince[name] = now
		}
	}
	a.table = t
	for _, m := range t.Departed {
		if since, ok := a.absentSince[m.ID]; ok {
			endedSince[m.ID] = since
		}
	}
}

// anyForgotten reports whether a member or departed member of the table before is missing
// from the table after.
func anyForgotten(before, after grant.Table) bool {
	for _, members := range [][]grant.Member{before.Members, before.Departed} {
		for _, m := range members {
			if !after.Has(m.ID) && !after.HasDeparted(m.ID) {
				return true
			}
		}
	}
	return false
}
