package membership

import (
	"maps"
	"time"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/lease"
)

// PromiseTime is how long a promise is valid. An instance that cannot reach the store
// gives a promise to a member that cannot reach it either, and supports no takeover of
// that member until the promise has expired.
const PromiseTime = 3 * time.Second

// Core decides what one instance may use. It combines the allocation of slots, the
// validity of the lease in the store, the promises of peers and the homes of idempotency
// keys. It does no I/O, reads no clock, and is not safe for concurrent use.
type Core struct {
	self grant.Member
	// MaxRequestTime bounds how long a request can be in flight.
	MaxRequestTime time.Duration
	// ListLag bounds how far the platform's instance list lags behind reality.
	ListLag time.Duration
	// Keys are the idempotency keys whose home is this instance.
	Keys *home.Keys

	allocator  *grant.Allocator
	validity   lease.Validity
	promiser   lease.Promiser
	departures map[string]*lease.Departure
	// supports contains the peers' supports by departed member and supporter.
	supports map[string]map[string]Support
	// reportedEpoch is the highest epoch that each member has reported.
	reportedEpoch map[string]int64
	// released contains the departed members that reported themselves as released.
	released map[string]bool
	// registrationEnded reports, for each departed member, whether its registration has
	// ended for good.
	registrationEnded map[string]bool
	// departedWhileMember reports, for each departed member, whether this instance was
	// still a member when it first saw the departure.
	departedWhileMember map[string]bool
	// absentSince is the time since which the registration of a departed member has been
	// absent, if it has ended for good.
	absentSince map[string]time.Time
	reachable   bool
	// joinEpoch is the epoch of the first table seen with this instance as a member.
	joinEpoch int64
	// ownReport is the instance's last report of its own usage.
	ownReport grant.Report
	busy      bool
}

// NewCore returns the core of an instance that has not joined the table yet.
func NewCore(self grant.Member, maxRequestTime, listLag time.Duration) *Core {
	return &Core{
		self:                self,
		MaxRequestTime:      maxRequestTime,
		ListLag:             listLag,
		Keys:                home.NewKeys(self.ID, self.Region),
		allocator:           grant.NewAllocator(self.ID, self.Region),
		departures:          map[string]*lease.Departure{},
		supports:            map[string]map[string]Support{},
		reportedEpoch:       map[string]int64{},
		released:            map[string]bool{},
		registrationEnded:   map[string]bool{},
		departedWhileMember: map[string]bool{},

		absentSince: map[string]time.Time{},
	}
}

// Renamed returns a core for the same instance under another name, so that it can join
// again after it has been removed from the table. Promises that it gave under the
// previous name remain.
func (c *Core) Renamed(id string) *Core {
	next := NewCore(grant.Member{ID: id, Region: c.self.Region}, c.MaxRequestTime, c.ListLag)
	next.promiser = c.promiser
	next.reachable = c.reachable
	return next
}

// Self returns the instance under its name in the table.
func (c *Core) Self() grant.Member { return c.self }

// Table returns the newest table seen.
func (c *Core) Table() grant.Table { return c.allocator.Latest() }

// Settled reports whether every entry of the region complies with the newest table.
func (c *Core) Settled() bool { return c.allocator.Settled() }

// Removed reports whether the instance was a member under its current name and no longer
// is. If so, it must join again under another name.
func (c *Core) Removed() bool { return c.joinEpoch > 0 && !c.Table().Has(c.self.ID) }

// Version returns a number that grows with each change of what Usable returns.
func (c *Core) Version() int { return c.allocator.Version() }

// OverTargets returns the targets at which the instance was over its allocation when it
// last reported its usage.
func (c *Core) OverTargets() []string { return c.ownReport.Over }

// Observe applies a table from the store or from a peer, and reports whether it is newer
// than all tables seen before.
func (c *Core) Observe(t grant.Table, now time.Time) bool {
	if !c.allocator.Observe(t) {
		return false
	}
	c.Keys.Observe(t)
	if c.joinEpoch == 0 && t.Has(c.self.ID) {
		c.joinEpoch = t.Epoch
	}
	c.prune(t)
	for _, m := range t.Departed {
		if _, seen := c.departedWhileMember[m.ID]; !seen {
			c.departedWhileMember[m.ID] = t.Has(c.self.ID)
		}
	}
	c.settle(now)
	return true
}

// prune deletes the state of instances that the table no longer contains.
func (c *Core) prune(t grant.Table) {
	inTable := func(id string) bool { return t.Has(id) || t.HasDeparted(id) }
	c.promiser.Retain(inTable)
	retainMembers(c.departures, inTable)
	retainMembers(c.supports, inTable)
	retainMembers(c.released, inTable)
	retainMembers(c.registrationEnded, inTable)
	retainMembers(c.departedWhileMember, inTable)
	retainMembers(c.reportedEpoch, inTable)
	retainMembers(c.absentSince, inTable)
}

// retainMembers deletes the entries of members for which keep returns false.
func retainMembers[V any](entries map[string]V, keep func(id string) bool) {
	maps.DeleteFunc(entries, func(id string, _ V) bool { return !keep(id) })
}

// RecordRenewal records that the store renewed the lease for ttl, in reply to a call that
// was made at requestedAt.
func (c *Core) RecordRenewal(requestedAt time.Time, ttl time.Duration) {
	c.validity.RecordRenewal(requestedAt, ttl)
}

// SetRegistered records which members had a registration in the snapshot of the store
// that also contained table t. A departed member without a registration never registers
// again under that name. Nothing is concluded about members that depart in a later table.
func (c *Core) SetRegistered(members map[string]bool, t grant.Table) {
	for _, m := range t.Departed {
		c.registrationEnded[m.ID] = !members[m.ID]
	}
}

// SetAbsentSince records that a member's registration has been absent since the given
// time without interruption until a table listed the member as departed. It will not
// register again.
func (c *Core) SetAbsentSince(member string, since time.Time) { c.absentSince[member] = since }

// CutDeadline returns the time by which every request that started under the instance's
// allocation must have ended, because a peer may take the allocation over soon
// afterwards. Each renewal of the lease and each promise of a peer moves the deadline
// further into the future.
func (c *Core) CutDeadline(now time.Time) time.Time {
	until, unbounded := c.validity.Until(c.Peers())
	if unbounded && c.Table().Has(c.self.ID) {
		until = now
	}
	return until.Add(lease.Shorter(c.MaxRequestTime))
}

// SetReachable records whether the last call to the store was answered.
func (c *Core) SetReachable(reachable bool) { c.reachable = reachable }

// Reachable reports whether the last call to the store was answered.
func (c *Core) Reachable() bool { return c.reachable }

// SetOwnUsage records the instance's own usage: the targets at which it has more in
// flight than its allocation in the newest table, and whether it has anything in flight.
func (c *Core) SetOwnUsage(over []string, busy bool, now time.Time) {
	c.ownReport, c.busy = grant.Report{Epoch: c.Table().Epoch, Over: over}, busy
	c.allocator.SetReport(c.self.ID, c.ownReport)
	c.settle(now)
}

// ReceiveStatus applies the status of a peer.
func (c *Core) ReceiveStatus(s Status, now time.Time) {
	c.allocator.SetReport(s.ID, s.Report)
	c.reportedEpoch[s.ID] = max(c.reportedEpoch[s.ID], s.Report.Epoch)
	for _, support := range s.Supports {
		if c.supports[support.Holder] == nil {
			c.supports[support.Holder] = map[string]Support{}
		}
		c.supports[support.Holder][s.ID] = support
	}
	if s.Released && c.Table().HasDeparted(s.ID) {
		c.released[s.ID] = true
	}
	c.settle(now)
}

// Promise handles the request of a member that cannot reach the store. If this instance
// cannot reach it either, it promises for PromiseTime not to support a takeover of the
// member.
func (c *Core) Promise(holder string, now time.Time) bool {
	t := c.Table()
	if c.reachable || holder == c.self.ID || !t.Has(holder) || !t.Has(c.self.ID) {
		return false
	}
	return c.promiser.Promise(holder, now, PromiseTime)
}

// RecordPromise records the promise of a peer that was asked at requestedAt.
func (c *Core) RecordPromise(by string, requestedAt time.Time) {
	c.validity.RecordPromise(by, requestedAt, PromiseTime)
}

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

// Entitled reports whether the instance may use its allocation and start requests with
// idempotency keys.
func (c *Core) Entitled(now time.Time) bool {
	return c.Table().Has(c.self.ID) && c.validity.Valid(now, c.Peers())
}

// EntitledUntil returns the time until which Entitled remains true; unbounded means that
// it remains true until the table changes.
func (c *Core) EntitledUntil() (until time.Time, unbounded bool) {
	if !c.Table().Has(c.self.ID) {
		return time.Time{}, false
	}
	return c.validity.Until(c.Peers())
}

// Usable returns how many of a target's units the instance may have in use while it is
// entitled.
func (c *Core) Usable(target, region string, units int) int {
	return c.allocator.Usable(target, region, units)
}

// Allocation returns the instance's allocation of a target's units in the newest table.
func (c *Core) Allocation(target, region string, units int) int {
	return c.allocator.Allocation(target, region, units)
}

// ObserveList applies the platform's instance list that was read at the given time. A
// list without this instance is ignored, since its other gaps prove nothing either.
func (c *Core) ObserveList(listed map[string]bool, idOf func(member string) string, now time.Time) {
	if !listed[idOf(c.self.ID)] {
		return
	}
	t := c.Table()
	for _, members := range [][]grant.Member{t.Members, t.Departed} {
		for _, m := range members {
			c.departure(m.ID).SetMissing(!listed[idOf(m.ID)], now)
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

// Tick determines which departed members are guaranteed to start nothing any more, and
// which of them have terminated.
func (c *Core) Tick(now time.Time) {
	maxRequestTime := max(c.MaxRequestTime, PromiseTime)
	for _, m := range c.Table().Departed {
		d := c.departure(m.ID)
		supported, unpromised := c.takeoverSupported(m, now)
		d.SetSupported(supported, now)
		c.recordExpiry(m.ID, d, unpromised)
		if d.Terminated(now, maxRequestTime, c.ListLag) {
			c.allocator.MarkTerminated(m.ID)
		}
	}
	c.settle(now)
}

// recordExpiry passes the expiry of a departed member on to the allocator and the keys.
// If no peer ever gave the member a promise, it expired when its registration ended.
func (c *Core) recordExpiry(id string, d *lease.Departure, unpromised bool) {
	since, expired := d.ExpiredSince(c.ListLag)
	if !expired {
		return
	}
	if absentSince, known := c.absentSince[id]; known && unpromised && absentSince.Before(since) {
		since = absentSince
	}
	c.allocator.MarkExpired(id)
	c.Keys.MemberExpired(id, since)
}

// takeoverSupported reports whether a departed member may be taken over by agreement: its
// registration has ended, every other entry of its region supports the takeover, and the
// member depended on at least one of them. If so, unpromised reports whether no entry
// ever gave it a promise.
func (c *Core) takeoverSupported(departed grant.Member, now time.Time) (supported, unpromised bool) {
	if !c.registrationEnded[departed.ID] {
		return false, false
	}
	neededByDeparted, unpromised := false, true
	for _, m := range c.Table().Entries(departed.Region) {
		if m.ID == departed.ID {
			continue
		}
		if c.allocator.IsTerminated(m.ID) {
			unpromised = false
			continue
		}
		s, ok := c.supports[departed.ID][m.ID]
		if m.ID == c.self.ID {
			s, ok = c.supportFor(departed.ID, now)
		}
		if !ok {
			return false, false
		}
		neededByDeparted = neededByDeparted || s.KnownToHolder
		unpromised = unpromised && s.Unpromised
	}
	return neededByDeparted, neededByDeparted && unpromised
}

// supportFor returns this instance's support for the takeover of a departed member, or
// false while an open promise to that member prevents it. Once the takeover is supported,
// the member gets no more promises.
func (c *Core) supportFor(holder string, now time.Time) (Support, bool) {
	ok := c.promiser.Support(holder, now)
	return Support{Holder: holder, KnownToHolder: c.neededBy(holder), Unpromised: c.promiser.NeverPromised(holder)}, ok
}

// neededBy reports whether a departed member is known to have depended on this instance:
// it saw a table with this instance as a member, and departed before this instance did.
func (c *Core) neededBy(id string) bool {
	return c.joinEpoch > 0 && c.reportedEpoch[id] >= c.joinEpoch && c.departedWhileMember[id]
}

// Forgettable returns the departed members that have nothing in flight any more.
func (c *Core) Forgettable() []string {
	var ids []string
	for _, m := range c.Table().Departed {
		if c.released[m.ID] || c.allocator.IsTerminated(m.ID) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Status returns the status that the instance sends to its peers.
func (c *Core) Status(now time.Time) Status {
	t := c.Table()
	s := Status{ID: c.self.ID, Report: c.ownReport}
	for _, m := range t.Departed {
		if m.ID == c.self.ID || m.Region != c.self.Region {
			continue
		}
		if support, ok := c.supportFor(m.ID, now); ok {
			s.Supports = append(s.Supports, support)
		}
	}
	s.Released = t.HasDeparted(c.self.ID) && c.Idle(now)
	return s
}

// Idle reports whether the instance has nothing in flight and no open promise.
func (c *Core) Idle(now time.Time) bool { return !c.busy && !c.promiser.HasOpen(now) }

// settle makes the newest table the settled one of the keys once no entry of the region
// can begin a key under an older table.
func (c *Core) settle(now time.Time) {
	if !c.Keys.Settled() && c.allocator.KeysSettled() {
		c.Keys.Settle(now)
	}
}
