package grant

// Report is what an instance reports to its peers about its own usage.
type Report struct {
	// Epoch is the epoch of the newest table that the instance complies with: it starts
	// nothing beyond its allocation in that table.
	Epoch int64
	// Over are the targets at which the instance still has more in flight than its
	// allocation in that table.
	Over []string
}

// Allocator limits how many slots of each target one instance uses while tables
// change.
//
// A new table takes effect in two steps. As soon as the instance sees it, the
// instance may use the smallest of its allocations in all tables since the last
// settled one. A table is settled at a target once every entry of the region (its
// members and departed members, this instance included) either has reported that
// it complies with exactly this table and is not over its allocation at that
// target, or has terminated. From then on only the allocation in that table counts.
type Allocator struct {
	self   string
	region string
	// history starts with the last settled table and ends with the newest one.
	history []Table
	// targetHistory holds, for each target at which some instance was over its
	// allocation, the longer history that still applies there.
	targetHistory map[string][]Table
	reports       map[string]Report
	terminated    map[string]bool
	// expired contains the departed members that no longer start anything.
	expired map[string]bool
	// version counts the changes of what the instance may use.
	version int
}

// NewAllocator returns the allocator of an instance that has seen no table; the instance
// may use nothing.
func NewAllocator(self, region string) *Allocator {
	return &Allocator{
		self:          self,
		region:        region,
		history:       []Table{{}},
		targetHistory: map[string][]Table{},
		reports:       map[string]Report{},
		terminated:    map[string]bool{},
		expired:       map[string]bool{},
	}
}

// Latest returns the newest table seen.
func (a *Allocator) Latest() Table { return a.history[len(a.history)-1] }

// Version returns a number that grows with each change of what the instance may use.
func (a *Allocator) Version() int { return a.version }

// Settled reports whether every entry complies with the newest table.
func (a *Allocator) Settled() bool { return len(a.history) == 1 }

// KeysSettled reports whether no entry can start a request with an idempotency key under an
// older table any more. Unlike Settled, it also accepts departed members that have expired
// but may still have requests in flight.
func (a *Allocator) KeysSettled() bool {
	if a.Settled() {
		return true
	}
	latest := a.Latest()
	for _, m := range latest.Entries(a.region) {
		if !a.terminated[m.ID] && !a.expired[m.ID] && a.reports[m.ID].Epoch != latest.Epoch {
			return false
		}
	}
	return true
}

// Observe applies a table and reports whether it is newer than all tables seen before.
func (a *Allocator) Observe(t Table) bool {
	if t.Epoch <= a.Latest().Epoch {
		return false
	}
	a.version++
	a.history = append(a.history, t)
	for target, tables := range a.targetHistory {
		a.targetHistory[target] = append(tables, t)
	}
	a.prune()
	a.settle()
	return true
}

// SetReport records the report of an entry, which may be the instance itself.
func (a *Allocator) SetReport(id string, r Report) {
	if r.Epoch < a.reports[id].Epoch {
		return
	}
	a.reports[id] = r
	a.settle()
}

// MarkTerminated records that an entry is guaranteed to have nothing in flight, now and
// later.
func (a *Allocator) MarkTerminated(id string) {
	a.terminated[id] = true
	a.settle()
}

// MarkExpired records that a departed member is guaranteed to start nothing any more,
// although it may have requests in flight.
func (a *Allocator) MarkExpired(id string) { a.expired[id] = true }

// IsTerminated reports whether MarkTerminated was called for an entry.
func (a *Allocator) IsTerminated(id string) bool { return a.terminated[id] }

// Usable returns how many of a target's units (slots or connections) the instance may
// have in use.
func (a *Allocator) Usable(target, region string, units int) int {
	if region != a.region {
		return 0
	}
	tables, ok := a.targetHistory[target]
	if !ok {
		tables = a.history
	}
	usable := units
	for _, t := range tables {
		usable = min(usable, t.Slots(a.self, target, region, units))
	}
	return usable
}

// Allocation returns the instance's allocation of a target's units in the newest table.
func (a *Allocator) Allocation(target, region string, units int) int {
	return a.Latest().Slots(a.self, target, region, units)
}

// settle drops the older tables once every entry complies with the newest one. Targets at
// which an entry is over its allocation keep their history.
func (a *Allocator) settle() {
	if len(a.history) == 1 && len(a.targetHistory) == 0 {
		return
	}
	overTargets, ok := a.overTargets()
	if !ok {
		return
	}
	for target := range a.targetHistory {
		if !overTargets[target] {
			delete(a.targetHistory, target)
			a.version++
		}
	}
	for target := range overTargets {
		if _, known := a.targetHistory[target]; !known && len(a.history) > 1 {
			a.targetHistory[target] = a.history
		}
	}
	if len(a.history) > 1 {
		a.history = []Table{a.Latest()}
		a.version++
	}
}

// overTargets returns the targets at which an entry is over its allocation in the newest
// table. The second result is false if some entry doesn't comply with that table yet.
func (a *Allocator) overTargets() (map[string]bool, bool) {
	latest := a.Latest()
	overTargets := map[string]bool{}
	for _, m := range latest.Entries(a.region) {
		if a.terminated[m.ID] {
			continue
		}
		r := a.reports[m.ID]
		if r.Epoch != latest.Epoch {
			return nil, false
		}
		for _, target := range r.Over {
			overTargets[target] = true
		}
	}
	return overTargets, true
}

// prune deletes the state of instances that the newest table no longer contains.
func (a *Allocator) prune() {
	latest := a.Latest()
	inTable := func(id string) bool { return latest.Has(id) || latest.HasDeparted(id) }
	for id := range a.reports {
		if !inTable(id) && id != a.self {
			delete(a.reports, id)
		}
	}
	for _, ids := range []map[string]bool{a.terminated, a.expired} {
		for id := range ids {
			if !inTable(id) {
				delete(ids, id)
			}
		}
	}
}
