package home

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/grant"
)

// Inquiry is what a new home has to find out from previous homes before it may begin a key that
// they may have begun.
type Inquiry struct {
	// Previous are the members that may have begun the key.
	Previous []string
	// EarliestHome is the home of the key in the first table that this member saw. This member does
	// not know the homes before that table, so the statement of EarliestHome has to show that it was
	// the only home since before the key's timestamp. It is empty if no such statement is needed.
	EarliestHome string
	// LatestChange is the end of the newest table change that the inquiry takes into account.
	LatestChange time.Time
}

// Statement is the answer of a previous home about a key.
type Statement struct {
	// Begun is set if the member began the key or cannot exclude that it did.
	Begun bool
	// Since is the time since which the member was the only home of the key.
	Since time.Time
}

// inquiryFor returns the inquiry about a key with the given timestamp, or false if no statement
// could clear the key. The empty table with epoch 0 represents the time before this member saw its
// first table; the statement of EarliestHome has to cover it.
func (k *Keys) inquiryFor(name string, timestamp time.Time) (Inquiry, bool) {
	q := Inquiry{}
	for _, e := range k.eras {
		if timestamp.After(e.end.Add(2 * ClockBound)) {
			continue
		}
		for n, t := range e.tables {
			if t.Epoch == 0 {
				if q.EarliestHome = k.ownerAfter(e, n, name); q.EarliestHome == "" {
					return Inquiry{}, false
				}
				q = q.withPrevious(q.EarliestHome)
				continue
			}
			if owner := t.Owner(name, k.region); owner != "" && owner != k.self && e.mayHaveBegun(owner, timestamp) {
				q = q.withPrevious(owner)
			}
		}
		q.LatestChange = e.end
	}
	return q, true
}

// ownerAfter returns the owner of a name in the table after the n-th one of an era. It returns ""
// if there is no such table or if the owner is this member.
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

// withPrevious returns a copy of the inquiry that includes a previous home.
func (q Inquiry) withPrevious(member string) Inquiry {
	if !slices.Contains(q.Previous, member) {
		q.Previous = append(q.Previous, member)
	}
	return q
}

// Cleared reports whether the statements, by member, exclude that any previous home began the key.
func (q Inquiry) Cleared(key Key, statements map[string]Statement) bool {
	timestamp, hasTimestamp := TimeOf(key.Value)
	if !hasTimestamp {
		return false
	}
	for _, previous := range q.Previous {
		s, ok := statements[previous]
		if !ok || s.Begun {
			return false
		}
	}
	if q.EarliestHome == "" {
		return true
	}
	return timestamp.After(statements[q.EarliestHome].Since.Add(2 * ClockBound))
}

// BeginCleared is like Begin for a key that the inquiry has cleared. It still refuses the key if
// its home has changed since the inquiry was made.
func (k *Keys) BeginCleared(key Key, q Inquiry, now time.Time) Verdict {
	v := k.Begin(key, now)
	if v.Kind != AskPrevious || !v.Inquiry.LatestChange.Equal(q.LatestChange) {
		return v
	}
	k.remember(key.Name(), now)
	return Verdict{Kind: Run}
}

// State returns the statement of this member, as a previous home, about a key.
func (k *Keys) State(key Key, now time.Time) Statement {
	k.forgetOld(now)
	name := key.Name()
	timestamp, hasTimestamp := TimeOf(key.Value)
	_, remembered := k.remembered[name]
	if remembered || !hasTimestamp || !timestamp.After(k.forgottenUpTo) || k.latest().Owner(name, k.region) == k.self {
		return Statement{Begun: true, Since: now}
	}
	return Statement{Since: k.ownedSince(name, now)}
}

// ownedSince returns the start of the latest period in which this member was the only home of a
// name. It is the end of an era if another member was a home earlier in that era, and now if this
// member was never the home.
func (k *Keys) ownedSince(name string, now time.Time) time.Time {
	eras := append(slices.Clone(k.eras), era{tables: k.tables, end: now})
	for n := len(eras) - 1; n >= 0; n-- {
		last := k.lastOwned(eras[n].tables, name)
		if last < 0 {
			continue
		}
		if !k.ownsAll(eras[n].tables[:last], name) {
			return eras[n].end
		}
		return k.soleOwnerSince(eras[:n], name)
	}
	return now
}

// lastOwned returns the index of the last table in which this member owns a name, or -1.
func (k *Keys) lastOwned(tables []grant.Table, name string) int {
	n := len(tables) - 1
	for n >= 0 && tables[n].Owner(name, k.region) != k.self {
		n--
	}
	return n
}

// soleOwnerSince returns the end of the last era in which another member was a home of the name,
// or forgottenUpTo if there is none.
func (k *Keys) soleOwnerSince(eras []era, name string) time.Time {
	for n := len(eras) - 1; n >= 0; n-- {
		if !k.ownsAll(eras[n].tables, name) {
			return eras[n].end
		}
	}
	return k.forgottenUpTo
}
