package membership

import (
	"maps"
	"time"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/lease"
)

// PromiseTime is how long a peer that lacks the store promises to support no take-over.
const PromiseTime = 3 * time.Second

// Core decides what one instance may use: it joins the division of slots, the
// hold on the store's lease, the promises of peers, and the homes of keys. It
// is free of I/O and clocks, and not safe for concurrent use.
type Core struct {
	self grant.Member
	// Longest bounds the time that a request can be in flight.
	Longest time.Duration
	// ListLag is how far the platform's list may lag.
	ListLag time.Duration
	// Keys are the keys that this instance is the home of.
	Keys *home.Keys

	division   *grant.Division
	hold       lease.Hold
	promiser   lease.Promiser
	departures map[string]*lease.Departure
	supports   map[string]map[string]Support
	heard      map[string]int64
	released   map[string]bool
	// withdrawn are the departed members whose registration is gone for good.
	withdrawn map[string]bool
	// dependents are the departed members that left the table while this instance was in it.
	dependents map[string]bool
	// unregistered are departed members whose registration has been absent for good, and since when.
	unregistered map[string]time.Time
	reachable    bool
	joined       int64
	// own is the last report of the instance's own use.
	own  grant.Report
	busy bool
}

// NewCore returns the core of an instance that has not joined.
func NewCore(self grant.Member, longest, listLag time.Duration) *Core {
	return &Core{
		self:       self,
		Longest:    longest,
		ListLag:    listLag,
		Keys:       home.NewKeys(self.ID, self.Region),
		division:   grant.NewDivision(self.ID, self.Region),
		departures: map[string]*lease.Departure{},
		supports:   map[string]map[string]Support{},
		heard:      map[string]int64{},
		released:   map[string]bool{},
		withdrawn:  map[string]bool{},
		dependents: map[string]bool{},

		unregistered: map[string]time.Time{},
	}
}

// Renamed returns the core of the same instance under another name, to join
// anew after it has departed. Promises made under the former name stay.
func (c *Core) Renamed(id string) *Core {
	next := NewCore(grant.Member{ID: id, Region: c.self.Region}, c.Longest, c.ListLag)
	next.promiser = c.promiser
	next.reachable = c.reachable
	return next
}

// Self returns the instance as the table names it.
func (c *Core) Self() grant.Member { return c.self }

// Table returns the newest table seen.
func (c *Core) Table() grant.Table { return c.division.Latest() }

// Settled reports whether every entry of the region keeps to the newest table.
func (c *Core) Settled() bool { return c.division.Settled() }

// Parted reports whether the instance has been a member under its present name
// and is none any more. It has to join under another name.
func (c *Core) Parted() bool { return c.joined > 0 && !c.Table().Has(c.self.ID) }

// Version grows with each change of what Usable returns.
func (c *Core) Version() int { return c.division.Version() }

// Over returns the targets at which the instance was last over its part.
func (c *Core) Over() []string { return c.own.Over }

// Observe takes a table from the store or from a peer, and reports whether it is news.
func (c *Core) Observe(t grant.Table, now time.Time) bool {
	if !c.division.Observe(t) {
		return false
	}
	c.Keys.Observe(t)
	if c.joined == 0 && t.Has(c.self.ID) {
		c.joined = t.Epoch
	}
	c.prune(t)
	for _, m := range t.Departed {
		if _, noted := c.dependents[m.ID]; !noted {
			c.dependents[m.ID] = t.Has(c.self.ID)
		}
	}
	c.settle(now)
	return true
}

// prune forgets what is known of instances that the table no longer names.
func (c *Core) prune(t grant.Table) {
	named := func(id string) bool { return t.Has(id) || t.HasDeparted(id) }
	c.promiser.Keep(named)
	forget(c.departures, named)
	forget(c.supports, named)
	forget(c.released, named)
	forget(c.withdrawn, named)
	forget(c.dependents, named)
	forget(c.heard, named)
	forget(c.unregistered, named)
}

// forget removes the entries of members that are not named.
func forget[V any](known map[string]V, named func(id string) bool) {
	maps.DeleteFunc(known, func(id string, _ V) bool { return !named(id) })
}

// Renewed says that the store renewed the lease for ttl, by a call begun at asked.
func (c *Core) Renewed(asked time.Time, ttl time.Duration) { c.hold.Renewed(asked, ttl) }

// Registered takes the members whose registration was in the store together
// with that table. A departed member that was not among them registers no more;
// of one that departed later, that is not known.
func (c *Core) Registered(members map[string]bool, t grant.Table) {
	for _, m := range t.Departed {
		c.withdrawn[m.ID] = !members[m.ID]
	}
}

// Unregistered says that the registration of a member has been absent since
// that time, until a table named it as departed, and so for good.
func (c *Core) Unregistered(member string, since time.Time) { c.unregistered[member] = since }

// CutAt returns the time at which every request must have ended here that was
// begun under a part: a peer may take the part over soon after. It moves on
// while the store's lease is renewed or a peer's promise is open.
func (c *Core) CutAt(now time.Time) time.Time {
	until, unbounded := c.hold.Until(c.Peers())
	if unbounded && c.Table().Has(c.self.ID) {
		until = now
	}
	return until.Add(lease.Shorter(c.Longest))
}

// SetReachable says whether the last call to the store was answered.
func (c *Core) SetReachable(yes bool) { c.reachable = yes }

// Reachable reports whether the last call to the store was answered.
func (c *Core) Reachable() bool { return c.reachable }

// Own takes the instance's own use: the targets at which it is over its part
// in the newest table, and whether it has anything in flight.
func (c *Core) Own(over []string, busy bool, now time.Time) {
	c.own, c.busy = grant.Report{Epoch: c.Table().Epoch, Over: over}, busy
	c.division.Report(c.self.ID, c.own)
	c.settle(now)
}

// Hear takes the status of a peer.
func (c *Core) Hear(s Status, now time.Time) {
	c.division.Report(s.ID, s.Report)
	c.heard[s.ID] = max(c.heard[s.ID], s.Report.Epoch)
	for _, each := range s.Supports {
		if c.supports[each.Holder] == nil {
			c.supports[each.Holder] = map[string]Support{}
		}
		c.supports[each.Holder][s.ID] = each
	}
	if s.Released && c.Table().HasDeparted(s.ID) {
		c.released[s.ID] = true
	}
	c.settle(now)
}

// Promise answers a member that lacks the store: it is promised for
// PromiseTime that this instance supports no take-over, if this one lacks the
// store too.
func (c *Core) Promise(holder string, now time.Time) bool {
	t := c.Table()
	if c.reachable || holder == c.self.ID || !t.Has(holder) || !t.Has(c.self.ID) {
		return false
	}
	return c.promiser.Promise(holder, now, PromiseTime)
}

// Promised takes the promise of a peer that was asked at that time.
func (c *Core) Promised(by string, asked time.Time) { c.hold.Promised(by, asked, PromiseTime) }

// Peers returns the other members of the region in the newest table.
func (c *Core) Peers() []string {
	var peers []string
	for _, m := range c.Table().Members {
		if m.Region == c.self.Region && m.ID != c.self.ID {
			peers = append(peers, m.ID)
		}
	}
	return peers
}

// Held reports whether the instance may use its parts and begin keys.
func (c *Core) Held(now time.Time) bool {
	return c.Table().Has(c.self.ID) && c.hold.Held(now, c.Peers())
}

// Until returns the time until which Held stays true; unbounded says that it does for ever.
func (c *Core) Until() (until time.Time, unbounded bool) {
	if !c.Table().Has(c.self.ID) {
		return time.Time{}, false
	}
	return c.hold.Until(c.Peers())
}

// Usable returns how many of a target's units the instance may have in use
// while it is held.
func (c *Core) Usable(target, region string, units int) int {
	return c.division.Usable(target, region, units)
}

// Part returns the instance's part of a target in the newest table.
func (c *Core) Part(target, region string, units int) int {
	return c.division.Part(target, region, units)
}

// List takes the platform's list, as it was read at that time. A list that
// lacks this instance proves nothing.
func (c *Core) List(listed map[string]bool, idOf func(member string) string, now time.Time) {
	if !listed[idOf(c.self.ID)] {
		return
	}
	t := c.Table()
	for _, members := range [][]grant.Member{t.Members, t.Departed} {
		for _, m := range members {
			c.departure(m.ID).Missing(!listed[idOf(m.ID)], now)
		}
	}
}

func (c *Core) departure(id string) *lease.Departure {
	d, ok := c.departures[id]
	if !ok {
		d = &lease.Departure{}
		c.departures[id] = d
	}
	return d
}

// Tick judges which departed members begin nothing any more, and which are surely gone.
func (c *Core) Tick(now time.Time) {
	longest := max(c.Longest, PromiseTime)
	for _, m := range c.Table().Departed {
		d := c.departure(m.ID)
		all, unpromised := c.supported(m, now)
		d.Supported(all, now)
		c.lapse(m.ID, d, unpromised)
		if d.Gone(now, longest, c.ListLag) {
			c.division.Gone(m.ID)
		}
	}
	c.settle(now)
}

// lapse tells division and keys of a departed member that has lapsed. One that
// no peer ever promised anything lapsed with its registration.
func (c *Core) lapse(id string, d *lease.Departure, unpromised bool) {
	since, lapsed := d.Lapsed(c.ListLag)
	if !lapsed {
		return
	}
	if absent, known := c.unregistered[id]; known && unpromised && absent.Before(since) {
		since = absent
	}
	c.division.Lapsed(id)
	c.Keys.MemberExpired(id, since)
}

// supported reports whether a departed member's registration has lapsed, every
// entry of its region supports that it is taken over, and at least one of them
// is an instance on which it depended; and whether no entry ever promised it
// anything.
func (c *Core) supported(departed grant.Member, now time.Time) (all, unpromised bool) {
	if !c.withdrawn[departed.ID] {
		return false, false
	}
	known, unpromised := false, true
	for _, m := range c.Table().Entries(departed.Region) {
		if m.ID == departed.ID {
			continue
		}
		if c.division.IsGone(m.ID) {
			unpromised = false
			continue
		}
		s, ok := c.supports[departed.ID][m.ID]
		if m.ID == c.self.ID {
			s, ok = c.support(departed.ID, now)
		}
		if !ok {
			return false, false
		}
		known = known || s.Known
		unpromised = unpromised && s.Unpromised
	}
	return known, known && unpromised
}

// support returns this instance's support of a take-over, and whether it gives it.
func (c *Core) support(holder string, now time.Time) (Support, bool) {
	ok := c.promiser.Support(holder, now)
	return Support{Holder: holder, Known: c.knownTo(holder), Unpromised: c.promiser.Unpromised(holder)}, ok
}

// knownTo reports whether a departed member surely depended on this instance:
// it saw a table that names this instance as a member, and left before this one.
func (c *Core) knownTo(id string) bool {
	return c.joined > 0 && c.heard[id] >= c.joined && c.dependents[id]
}

// Forgettable returns the departed members that hold nothing any more.
func (c *Core) Forgettable() []string {
	var ids []string
	for _, m := range c.Table().Departed {
		if c.released[m.ID] || c.division.IsGone(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Status returns what the instance tells its peers.
func (c *Core) Status(now time.Time) Status {
	t := c.Table()
	s := Status{ID: c.self.ID, Report: c.own}
	for _, m := range t.Departed {
		if m.ID == c.self.ID || m.Region != c.self.Region {
			continue
		}
		if support, ok := c.support(m.ID, now); ok {
			s.Supports = append(s.Supports, support)
		}
	}
	s.Released = t.HasDeparted(c.self.ID) && c.Idle(now)
	return s
}

// Idle reports whether the instance has nothing in flight and no promise open.
func (c *Core) Idle(now time.Time) bool { return !c.busy && !c.promiser.Open(now) }

// settle tells the keys when the newest table has been settled for what is begun.
func (c *Core) settle(now time.Time) {
	if !c.Keys.Settled() && c.division.KeysSettled() {
		c.Keys.Settle(now)
	}
}
