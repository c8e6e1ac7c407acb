// Package home remembers the keys of non-idempotent requests, so that each key
// is run at most once although callers repeat it at any instance.
//
// A key belongs to one member of the grant table, its home, by a rendezvous
// hash over the members of the neighbour's region. A member begins a key only
// if it is the home in every table that it keeps to. After it became the home
// it asks the earlier homes about keys that they may have begun: those whose
// time, which a UUID of version 7 holds, is not after the take-over plus
// ClockBound. If one of them is gone, the key is answered with unknown. What a
// member that has lapsed may have begun ends with its lapse, so that later keys
// need no question. Keys without a time are to be journaled before they are run.
//
// # Usage
//
//	k := home.NewKeys("entry-1", "bajio")
//	k.Observe(table)
//	k.Settle(now) // Every member keeps to the table.
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
	// ClockBound bounds how far a caller's or an instance's clock is from another's.
	ClockBound = time.Second
	// Retention is how long a key is remembered after its time.
	Retention = 10 * time.Minute
	// MaxKeys bounds the remembered keys; beyond it the oldest are forgotten.
	MaxKeys = 100_000
)

// Kind is what is to be done with a key.
type Kind string

// The kinds of verdicts.
const (
	// Run says that the request is to be run now.
	Run Kind = "run"
	// JournalFirst says that the key is to be journaled in the store, and then run.
	JournalFirst Kind = "journalFirst"
	// AskPrevious says that the key is to be run only if earlier homes did not begin it.
	AskPrevious Kind = "askFormer"
	// Unknown says that the key may have been run.
	Unknown Kind = "unknown"
	// Elsewhere says that another member is the home.
	Elsewhere Kind = "elsewhere"
	// NotYet says that no member begins the key now; it was not run by this request.
	NotYet Kind = "notYet"
	// Ahead says that the key's time is in the future; it was not run by this request.
	Ahead Kind = "ahead"
)

// Verdict is what is to be done with a key.
type Verdict struct {
	Kind Kind
	// Home is the member that is the home, if the kind is Elsewhere.
	Home string
	// Inquiry is what to ask, if the kind is AskFormer.
	Inquiry Inquiry
}

// Key names a request: Value is the caller's, and unique within Scope.
type Key struct {
	Scope, Value string
}

// Name returns the whole name of the key.
func (k Key) Name() string { return k.Scope + "\x00" + k.Value }

// Keys are the keys that one member is the home of. It is not safe for concurrent use.
type Keys struct {
	self   string
	region string
	// tables are kept to; the first is the last settled one.
	tables []grant.Table
	// lapsed are the members that begin no key any more, and since when.
	lapsed map[string]time.Time
	eras   []era
	known  map[string]*entry
	// order holds the keys as they were begun.
	order []*entry
	// floor is the time up to which keys may have been forgotten.
	floor time.Time
}

// era is a time between two settled tables.
type era struct {
	tables []grant.Table
	at     time.Time
	// lapsed are the members that had lapsed at the end, and since when.
	lapsed map[string]time.Time
}

// mayHaveBegun reports whether another member may have begun, in this era, a name with that time.
func (e era) mayHaveBegun(owner string, at time.Time) bool {
	until := e.at
	if since, ok := e.lapsed[owner]; ok && since.Before(until) {
		until = since
	}
	return !at.After(until.Add(2 * ClockBound))
}

type entry struct {
	name  string
	begun time.Time
}

// NewKeys returns the keys of a member that has seen no table.
func NewKeys(self, region string) *Keys {
	return &Keys{
		self:   self,
		region: region,
		tables: []grant.Table{{}},
		lapsed: map[string]time.Time{},
		known:  map[string]*entry{},
	}
}

// Observe takes a newer table, to be kept to at once.
func (k *Keys) Observe(t grant.Table) {
	if t.Epoch > k.latest().Epoch {
		k.tables = append(k.tables, t)
	}
}

// MemberExpired says that a member that has departed has begun no key since that time
// and begins none any more.
func (k *Keys) MemberExpired(member string, since time.Time) {
	if known, ok := k.lapsed[member]; !ok || since.Before(known) {
		k.lapsed[member] = since
	}
}

// Settled reports whether the newest table has been settled.
func (k *Keys) Settled() bool { return len(k.tables) == 1 }

// Settle says that by now every member keeps to the newest table, or has lapsed.
func (k *Keys) Settle(now time.Time) {
	if k.Settled() {
		return
	}
	k.eras = append(k.eras, era{tables: k.tables, at: now, lapsed: maps.Clone(k.lapsed)})
	k.tables = []grant.Table{k.latest()}
	maps.DeleteFunc(k.lapsed, func(member string, _ time.Time) bool { return !k.latest().HasDeparted(member) })
	for len(k.eras) > 1 && k.eras[1].at.Before(now.Add(-Retention-2*ClockBound)) {
		k.raise(k.eras[0].at)
		k.eras = k.eras[1:]
	}
}

func (k *Keys) latest() grant.Table { return k.tables[len(k.tables)-1] }

// Begin decides what is to be done with a key; if it is to be run, the key is
// remembered as begun.
func (k *Keys) Begin(key Key, now time.Time) Verdict {
	k.expire(now)
	name := key.Name()
	if _, ok := k.known[name]; ok {
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
	at, timed := TimeOf(key.Value)
	switch {
	case !timed:
		k.remember(name, now)
		return Verdict{Kind: JournalFirst}
	case at.After(now.Add(ClockBound)):
		return Verdict{Kind: Ahead}
	case !at.After(now.Add(-Retention)), !at.After(k.floor):
		return Verdict{Kind: Unknown}
	case k.doubtful(name, at):
		return k.doubt(name, at)
	}
	k.remember(name, now)
	return Verdict{Kind: Run}
}

// doubt returns the verdict on a key that an earlier home may have begun.
func (k *Keys) doubt(name string, at time.Time) Verdict {
	q, can := k.inquire(name, at)
	if !can {
		return Verdict{Kind: Unknown}
	}
	return Verdict{Kind: AskPrevious, Inquiry: q}
}

// doubtful reports whether another member may have begun a key with that time.
func (k *Keys) doubtful(name string, at time.Time) bool {
	for n := len(k.eras) - 1; n >= 0 && !at.After(k.eras[n].at.Add(2*ClockBound)); n-- {
		for _, t := range k.eras[n].tables {
			if owner := t.Owner(name, k.region); owner != k.self && k.eras[n].mayHaveBegun(owner, at) {
				return true
			}
		}
	}
	return false
}

func (k *Keys) ownsAll(tables []grant.Table, name string) bool {
	for _, t := range tables {
		if t.Owner(name, k.region) != k.self {
			return false
		}
	}
	return true
}

// Undo forgets a key whose request was not run.
func (k *Keys) Undo(key Key) { delete(k.known, key.Name()) }

// Len returns the number of remembered keys.
func (k *Keys) Len() int { return len(k.known) }

func (k *Keys) remember(name string, now time.Time) {
	e := &entry{name: name, begun: now}
	k.known[name] = e
	k.order = append(k.order, e)
}

// expire forgets the keys that are past retention or beyond the bounds.
func (k *Keys) expire(now time.Time) {
	old := now.Add(-Retention - ClockBound)
	for len(k.order) > 0 && (len(k.order) > MaxKeys || k.order[0].begun.Before(old)) {
		e := k.order[0]
		k.order[0] = nil
		k.order = k.order[1:]
		if k.known[e.name] != e {
			continue
		}
		k.raise(e.begun.Add(ClockBound))
		delete(k.known, e.name)
	}
}

func (k *Keys) raise(floor time.Time) {
	if floor.After(k.floor) {
		k.floor = floor
	}
}
