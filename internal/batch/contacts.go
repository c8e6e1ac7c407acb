package batch

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Contacts tells the next leader which worker incarnations a late call that was meant for an earlier
// incarnation may reach: only a worker whose ID had an earlier incarnation that some leader may have called.
type Contacts struct {
	// Seen are the hashes of the IDs of all workers that a leader may have called recently.
	Seen Witnesses
	// First are the incarnations of these workers before which no leader has called an earlier one. Those
	// whose age is known to be no longer young may be missing.
	First Witnesses
}

// contacts is what a leader knows of the calls to workers.
type contacts struct {
	// inherited means that seen has contained, since the term began, all workers that earlier leaders may
	// have called.
	inherited bool
	// first is that of the Contacts of the previous leader.
	first Witnesses
	// seen has the workers that are known or were recently, with the time when they were first found to be
	// known no more, zero for the others.
	seen      map[Witness]time.Time
	nextPrune time.Time
}

const (
	// contactLeases is how long a call may have an effect on the next incarnation of its worker, as a
	// multiple of MaxLease: it may be executed late, and its lease lasts for MaxLease then.
	contactLeases = 3
	// contactPruneInterval is the interval at which contacts.seen is pruned.
	contactPruneInterval = 5 * time.Second
)

// SetContacts records which workers earlier leaders may have called. None of them calls any worker any
// more. It is called before any worker is known.
func (c *Core) SetContacts(known Contacts) {
	c.contacts.inherited, c.contacts.first = true, known.First
	for _, id := range known.Seen {
		c.contacts.seen[id] = time.Time{}
	}
}

// SetFirstTerm records that the cell had no leader before, so that no lease was granted to an earlier
// incarnation of any worker. It is called before any worker is known.
func (c *Core) SetFirstTerm() { c.SetContacts(Contacts{}) }

// Contacts returns what the next leader has to know, provided that this leader calls no worker any more.
// It reports false if earlier leaders may have called workers that are not known.
func (c *Core) Contacts(now time.Time) (Contacts, bool) {
	if !c.knowsContacts(now) {
		return Contacts{}, false
	}
	known := Contacts{Seen: slices.Sorted(maps.Keys(c.contacts.seen))}
	for _, w := range c.workers {
		if !w.restarted && w.Incarnation != 0 && !c.isOld(w, now) {
			known.First = append(known.First, w.witness())
		}
	}
	slices.Sort(known.First)
	known.First = slices.Compact(known.First)
	return known, true
}

// knowsContacts reports whether all workers are known that a call may have been meant for which still has
// an effect on their next incarnations.
func (c *Core) knowsContacts(now time.Time) bool {
	if c.contacts.inherited {
		return true
	}
	return !c.renewalsUntil.IsZero() && !now.Before(later(c.leaderSince, c.renewalsUntil).Add(contactLeases*c.timing.MaxLease))
}

// isFirst reports whether the previous leader has known that no leader has called an earlier incarnation
// of a worker.
func (k *contacts) isFirst(id string, incarnation int64) bool {
	return incarnation != 0 && k.first.contains(newWitness(id, incarnation))
}

// add records that a worker is known, and reports whether it was known before.
func (k *contacts) add(id string) bool {
	hash := idHash(id)
	_, seen := k.seen[hash]
	k.seen[hash] = time.Time{}
	return seen
}

// pruneContacts forgets the workers on whose next incarnation no call can have an effect any more.
func (c *Core) pruneContacts(now time.Time) {
	if now.Before(c.contacts.nextPrune) {
		return
	}
	c.contacts.nextPrune = now.Add(contactPruneInterval)
	known := make(map[Witness]bool, len(c.workers))
	for id := range c.workers {
		known[idHash(id)] = true
	}
	for id, unknownSince := range c.contacts.seen {
		switch {
		case known[id]:
		case unknownSince.IsZero():
			c.contacts.seen[id] = now
		case now.Sub(unknownSince) > contactLeases*c.timing.MaxLease:
			delete(c.contacts.seen, id)
		}
	}
}

// idHash returns the hash of a worker's ID.
func idHash(id string) Witness { return Witness(xxhash.Sum64String(id)) }
