// Package home remembers the keys of non-idempotent requests. A request runs at most once, even if
// callers repeat it with the same key at any instance.
//
// The home of a key is the member of the grant table that a rendezvous hash selects among the
// members of the neighbour's region. The home begins a key: it records the key and lets the request
// run. A table is settled once every member follows it. Until then a member follows the last
// settled table and all newer ones together, and begins a key only if it is the home in all of
// them.
//
// A new home asks the previous homes about each key that they may have begun. These are the keys
// whose timestamp is not later than the end of the table change plus twice ClockBound; a key has a
// timestamp if it is a UUID of version 7. If a previous home cannot answer, it is unknown whether
// the request has run. A departed member expires once its lease and all promises of peers to it
// have expired. It begins no key afterwards, so it need not be asked about keys with a later
// timestamp. Keys without a timestamp have to be journaled before their requests run.
//
// # Usage
//
//	k := home.NewKeys("entry-1", "bajio")
//	k.Observe(table)
//	k.Settle(now) // Every member follows the table.
//	if k.Begin(key, now).Kind == home.Run {
//		// Run the request; if it turns out that it did not run:
//		k.Undo(key)
//	}
package home

import (
	"maps"
	"time"

	"github.com/oriolepond/oriolepond/internal/grant"
)

const (
	// ClockBound is the maximum difference between the clocks of any two callers or instances.
	ClockBound = time.Second
	// Retention is how long a key is remembered after its timestamp, unless there are more than
	// MaxKeys. Requests with older keys do not run.
	Retention = 10 * time.Minute
	// MaxKeys limits the remembered keys; beyond it the oldest are forgotten.
	MaxKeys = 100_000
)

// Kind is the decision about a key.
type Kind string

// The possible values of Kind.
const (
	// Run means that the request may run now.
	Run Kind = "run"
	// JournalFirst means that the key has no timestamp and must be journaled before the request runs.
	JournalFirst Kind = "journalFirst"
	// AskPrevious means that the request may run only if no previous home has begun the key.
	AskPrevious Kind = "askFormer"
	// Unknown means that a request with the key may already have run.
	Unknown Kind = "unknown"
	// Elsewhere means that another member is the home.
	Elsewhere Kind = "elsewhere"
	// NotYet means that no member may begin the key at the moment. This request did not run.
	NotYet Kind = "notYet"
	// Ahead means that the key's timestamp is more than ClockBound in the future. This request did not
	// run.
	Ahead Kind = "ahead"
)

// Verdict is the decision about a key, with what the caller needs to act on it.
type Verdict struct {
	Kind Kind
	// Home is the member that is the home, if Kind is Elsewhere.
	Home string
	// Inquiry is what to ask previous homes, if Kind is AskPrevious.
	Inquiry Inquiry
}

// Key identifies a request. Value comes from the caller and is unique within Scope.
type Key struct {
	Scope, Value string
}

// Name returns the scope and the value as one string.
func (k Key) Name() string { return k.Scope + "\x00" + k.Value }

// Keys decides about the keys whose home is this member, and remembers those that it has begun. It
// is not safe for concurrent use.
type Keys struct {
	self   string
	region string
	// tables are the tables that this member follows: the last settled one and all newer ones.
	tables []grant.Table
	// expired holds the departed members that begin no more keys, each with the time of its expiry.
	expired map[string]time.Time
	// eras are the periods that ended when a newer table was settled, oldest first.
	eras []era
	// remembered holds the keys that were begun, by name.
	remembered map[string]*rememberedKey
	// order lists the remembered keys in the order in which they were begun.
	order []*rememberedKey
	// forgottenUpTo is the newest timestamp of keys that may have been forgotten. Requests with keys
	// up to this timestamp do not run, since they may already have run.
	forgottenUpTo time.Time
}

// era is one table change: the period from the settling of the first table until the settling of
// the last one. During it, each member followed the first table and those newer ones that it had
// seen.
type era struct {
	tables []grant.Table
	end    time.Time
	// expired holds the members that had expired when the era ended, each with the time of its expiry.
	expired map[string]time.Time
}

// mayHaveBegun reports whether a member may have begun a key with the given timestamp by the end
// of this era. The margin is twice ClockBound: the member accepts timestamps up to ClockBound ahead
// of its clock, which may itself be ClockBound ahead of this member's clock.
func (e era) mayHaveBegun(owner string, timestamp time.Time) bool {
	until := e.end
	if since, ok := e.expired[owner]; ok && since.Before(until) {
		until = since
	}
	return !timestamp.After(until.Add(2 * ClockBound))
}

// rememberedKey is a key that was begun.
type rememberedKey struct {
	name    string
	begunAt time.Time
}

// NewKeys returns the keys of a member that has not seen any table yet.
func NewKeys(self, region string) *Keys {
	return &Keys{
		self:       self,
		region:     region,
		tables:     []grant.Table{{}},
		expired:    map[string]time.Time{},
		remembered: map[string]*rememberedKey{},
	}
}

// Observe adds a table if it is newer than those seen so far. The member follows it from now on.
func (k *Keys) Observe(t grant.Table) {
	if t.Epoch > k.latest().Epoch {
		k.tables = append(k.tables, t)
	}
}

// MemberExpired records that a departed member has begun no key since the given time and will
// begin none.
func (k *Keys) MemberExpired(member string, since time.Time) {
	if recorded, ok := k.expired[member]; !ok || since.Before(recorded) {
		k.expired[member] = since
	}
}

// Settled reports whether the newest table is settled.
func (k *Keys) Settled() bool { return len(k.tables) == 1 }

// Settle records that every member now follows the newest table or has expired. From now on older
// tables only determine the previous homes of keys.
func (k *Keys) Settle(now time.Time) {
	if k.Settled() {
		return
	}
	k.eras = append(k.eras, era{tables: k.tables, end: now, expired: maps.Clone(k.expired)})
	k.tables = []grant.Table{k.latest()}
	maps.DeleteFunc(k.expired, func(member string, _ time.Time) bool { return !k.latest().HasDeparted(member) })
	for len(k.eras) > 1 && k.eras[1].end.Before(now.Add(-Retention-2*ClockBound)) {
		k.raiseForgottenUpTo(k.eras[0].end)
		k.eras = k.eras[1:]
	}
}

// latest returns the newest table.
func (k *Keys) latest() grant.Table { return k.tables[len(k.tables)-1] }

// Begin decides whether the request of a key may run. If so, the key is remembered as begun.
func (k *Keys) Begin(key Key, now time.Time) Verdict {
	k.forgetOld(now)
	name := key.Name()
	if _, ok := k.remembered[name]; ok {
		return Verdict{Kind: Unknown}
	}
	if owner := k.latest().Owner(name, k.region); owner != k.self {
		if owner == "" {
			return Verdict{Kind: NotYet}
		}
		return Verdict{Kind: Elsewhere, Home: owner}
	}
	if !k.ownsAll(k.tables, name) {
		return Verdict{Kind: NotYet}
	}
	timestamp, hasTimestamp := TimeOf(key.Value)
	switch {
	case !hasTimestamp:
		k.remember(name, now)
		return Verdict{Kind: JournalFirst}
	case timestamp.After(now.Add(ClockBound)):
		return Verdict{Kind: Ahead}
	case !timestamp.After(now.Add(-Retention)), !timestamp.After(k.forgottenUpTo):
		return Verdict{Kind: Unknown}
	case k.mayHaveBegunElsewhere(name, timestamp):
		return k.previousHomeVerdict(name, timestamp)
	}
	k.remember(name, now)
	return Verdict{Kind: Run}
}

// previousHomeVerdict returns the verdict on a key that a previous home may have begun.
func (k *Keys) previousHomeVerdict(name string, timestamp time.Time) Verdict {
	q, clearable := k.inquiryFor(name, timestamp)
	if !clearable {
		return Verdict{Kind: Unknown}
	}
	return Verdict{Kind: AskPrevious, Inquiry: q}
}

// mayHaveBegunElsewhere reports whether another member may have begun a key with the given
// timestamp as its previous home.
func (k *Keys) mayHaveBegunElsewhere(name string, timestamp time.Time) bool {
	for n := len(k.eras) - 1; n >= 0 && !timestamp.After(k.eras[n].end.Add(2*ClockBound)); n-- {
		for _, t := range k.eras[n].tables {
			if owner := t.Owner(name, k.region); owner != k.self && k.eras[n].mayHaveBegun(owner, timestamp) {
				return true
			}
		}
	}
	return false
}

// ownsAll reports whether this member is the home of the key with a name in all the tables.
func (k *Keys) ownsAll(tables []grant.Table, name string) bool {
	for _, t := range tables {
		if t.Owner(name, k.region) != k.self {
			return false
		}
	}
	return true
}

// Undo forgets a key whose request did not run, so that it may be begun again.
func (k *Keys) Undo(key Key) { delete(k.remembered, key.Name()) }

// Len returns the number of remembered keys.
func (k *Keys) Len() int { return len(k.remembered) }

// remember records a key as begun.
func (k *Keys) remember(name string, now time.Time) {
	e := &rememberedKey{name: name, begunAt: now}
	k.remembered[name] = e
	k.order = append(k.order, e)
}

// forgetOld forgets the keys that are older than Retention or exceed MaxKeys.
func (k *Keys) forgetOld(now time.Time) {
	cutoff := now.Add(-Retention - ClockBound)
	for len(k.order) > 0 && (len(k.order) > MaxKeys || k.order[0].begunAt.Before(cutoff)) {
		oldest := k.order[0]
		k.order[0] = nil
		k.order = k.order[1:]
		if k.remembered[oldest.name] != oldest {
			continue
		}
		k.raiseForgottenUpTo(oldest.begunAt.Add(ClockBound))
		delete(k.remembered, oldest.name)
	}
}

// raiseForgottenUpTo advances forgottenUpTo; it never goes back.
func (k *Keys) raiseForgottenUpTo(to time.Time) {
	if to.After(k.forgottenUpTo) {
		k.forgottenUpTo = to
	}
}
