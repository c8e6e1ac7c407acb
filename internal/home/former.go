package home

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/grant"
)

// Inquiry is what a new home has to learn from earlier homes before it may
// begin a key that they may have begun.
type Inquiry struct {
	// Previous are the members that may have begun the key.
	Previous []string
	// Witness is the former member that has to vouch for the time before this
	// member saw its first table; empty if nobody has to.
	Witness string
	// Covers is the newest take-over that the inquiry is about.
	Covers time.Time
}

// Statement is what a former home says of a key.
type Statement struct {
	// Begun says that the member began the key, or cannot exclude it.
	Begun bool
	// Since is from when on the member was the only home of the key.
	Since time.Time
}

// inquire returns the inquiry about a key with a time, and whether one can clear it.
func (k *Keys) inquire(name string, at time.Time) (Inquiry, bool) {
	q := Inquiry{}
	for _, e := range k.eras {
		if at.After(e.at.Add(2 * ClockBound)) {
			continue
		}
		for n, t := range e.tables {
			if t.Epoch == 0 {
				if q.Witness = k.ownerAfter(e, n, name); q.Witness == "" {
					return Inquiry{}, false
				}
				q = q.asking(q.Witness)
				continue
			}
			if owner := t.Owner(name, k.region); owner != "" && owner != k.self && e.mayHaveBegun(owner, at) {
				q = q.asking(owner)
			}
		}
		q.Covers = e.at
	}
	return q, true
}

// ownerAfter returns the other member that owns a name in the table after the n-th, or "".
func (k *Keys) ownerAfter(e era, n int, name string) string {
	if n+1 >= len(e.tables) {
		return ""
	}
	owner := e.tables[n+1].Owner(name, k.region)
	if owner == k.self {
		return ""
	}
	return owner
}

// asking returns the inquiry with a member among those to be asked.
func (q Inquiry) asking(member string) Inquiry {
	if !slices.Contains(q.Previous, member) {
		q.Previous = append(q.Previous, member)
	}
	return q
}

// Cleared reports whether the statements of all former homes, by member,
// exclude that the key was begun.
func (q Inquiry) Cleared(key Key, statements map[string]Statement) bool {
	at, timed := TimeOf(key.Value)
	if !timed {
		return false
	}
	for _, former := range q.Previous {
		s, ok := statements[former]
		if !ok || s.Begun {
			return false
		}
	}
	if q.Witness == "" {
		return true
	}
	return at.After(statements[q.Witness].Since.Add(2 * ClockBound))
}

// BeginCleared is Begin for a key that an inquiry has cleared. It still refuses
// the key if the home has changed since.
func (k *Keys) BeginCleared(key Key, q Inquiry, now time.Time) Verdict {
	v := k.Begin(key, now)
	if v.Kind != AskPrevious || !v.Inquiry.Covers.Equal(q.Covers) {
		return v
	}
	k.remember(key.Name(), now)
	return Verdict{Kind: Run}
}

// State returns what this member can say of a key as a former home.
func (k *Keys) State(key Key, now time.Time) Statement {
	k.expire(now)
	name := key.Name()
	at, timed := TimeOf(key.Value)
	_, known := k.known[name]
	if known || !timed || !at.After(k.floor) || k.latest().Owner(name, k.region) == k.self {
		return Statement{Begun: true, Since: now}
	}
	return Statement{Since: k.ownedSince(name, now)}
}

// ownedSince returns since when this member was the only home of a name when
// it last was its home; the end of that change of tables if others were its
// homes too, and now if it never was.
func (k *Keys) ownedSince(name string, now time.Time) time.Time {
	eras := append(slices.Clone(k.eras), era{tables: k.tables, at: now})
	for n := len(eras) - 1; n >= 0; n-- {
		last := k.lastOwned(eras[n].tables, name)
		if last < 0 {
			continue
		}
		if !k.ownsAll(eras[n].tables[:last], name) {
			return eras[n].at
		}
		return k.soleSince(eras[:n], name)
	}
	return now
}

// lastOwned returns the place of the last table in which this member owns a name, or -1.
func (k *Keys) lastOwned(tables []grant.Table, name string) int {
	n := len(tables) - 1
	for n >= 0 && tables[n].Owner(name, k.region) != k.self {
		n--
	}
	return n
}

// soleSince returns since when this member has been the only home of a name at
// the end of the eras.
func (k *Keys) soleSince(eras []era, name string) time.Time {
	for n := len(eras) - 1; n >= 0; n-- {
		if !k.ownsAll(eras[n].tables, name) {
			return eras[n].at
		}
	}
	return k.floor
}
