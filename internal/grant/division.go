package grant

// Report is what an instance tells its peers of its own use.
type Report struct {
	// Epoch is the newest table that the instance keeps to.
	Epoch int64
	// Over are the targets at which it has more in flight than its part in that table.
	Over []string
}

// Division bounds what one instance uses of each target while tables change.
//
// A new table takes effect in two steps. From the moment it is seen, the
// instance keeps to the lowest of its parts in all tables since the last
// settled one. A table is settled at a target once every entry of the region,
// the instance included, has reported exactly its epoch without excess there,
// or is gone. From then on only the part in that table counts.
type Division struct {
	self   string
	region string
	// history begins with the last settled table; the newest is last.
	history []Table
	// held are the longer histories of targets at which some instance was over.
	held    map[string][]Table
	reports map[string]Report
	gone    map[string]bool
	// lapsed are the departed members that begin nothing any more.
	lapsed map[string]bool
	// version counts the changes of what may be used.
	version int
}

// NewDivision returns the division of an instance that has seen no table: it may use nothing.
func NewDivision(self, region string) *Division {
	return &Division{
		self:    self,
		region:  region,
		history: []Table{{}},
		held:    map[string][]Table{},
		reports: map[string]Report{},
		gone:    map[string]bool{},
		lapsed:  map[string]bool{},
	}
}

// Latest returns the newest table seen.
func (d *Division) Latest() Table { return d.history[len(d.history)-1] }

// Version grows with each change of what the instance may use.
func (d *Division) Version() int { return d.version }

// Settled reports whether every entry keeps to the newest table.
func (d *Division) Settled() bool { return len(d.history) == 1 }

// KeysSettled reports whether every entry keeps to the newest table with what
// it begins, although some may have requests in flight yet.
func (d *Division) KeysSettled() bool {
	if d.Settled() {
		return true
	}
	latest := d.Latest()
	for _, m := range latest.Entries(d.region) {
		if !d.gone[m.ID] && !d.lapsed[m.ID] && d.reports[m.ID].Epoch != latest.Epoch {
			return false
		}
	}
	return true
}

// Observe takes a table, and reports whether it is newer than those seen.
func (d *Division) Observe(t Table) bool {
	if t.Epoch <= d.Latest().Epoch {
		return false
	}
	d.version++
	d.history = append(d.history, t)
	for target, tables := range d.held {
		d.held[target] = append(tables, t)
	}
	d.prune()
	d.settle()
	return true
}

// Report takes the report of an entry, the instance itself included.
func (d *Division) Report(id string, r Report) {
	if r.Epoch < d.reports[id].Epoch {
		return
	}
	d.reports[id] = r
	d.settle()
}

// Gone says that an entry surely has nothing in flight and never will have again.
func (d *Division) Gone(id string) {
	d.gone[id] = true
	d.settle()
}

// Lapsed says that a departed member surely begins nothing any more, although
// it may have requests in flight.
func (d *Division) Lapsed(id string) { d.lapsed[id] = true }

// IsGone reports whether an entry was said to be gone.
func (d *Division) IsGone(id string) bool { return d.gone[id] }

// Usable returns how many of a target's units (slots or connections) the
// instance may have in use.
func (d *Division) Usable(target, region string, units int) int {
	if region != d.region {
		return 0
	}
	tables, ok := d.held[target]
	if !ok {
		tables = d.history
	}
	usable := units
	for _, t := range tables {
		usable = min(usable, t.Slots(d.self, target, region, units))
	}
	return usable
}

// Part returns the instance's part of a target in the newest table.
func (d *Division) Part(target, region string, units int) int {
	return d.Latest().Slots(d.self, target, region, units)
}

// settle drops the older tables once every entry keeps to the newest.
func (d *Division) settle() {
	if len(d.history) == 1 && len(d.held) == 0 {
		return
	}
	over, ok := d.overAtLatest()
	if !ok {
		return
	}
	for target := range d.held {
		if !over[target] {
			delete(d.held, target)
			d.version++
		}
	}
	for target := range over {
		if _, known := d.held[target]; !known && len(d.history) > 1 {
			d.held[target] = d.history
		}
	}
	if len(d.history) > 1 {
		d.history = []Table{d.Latest()}
		d.version++
	}
}

// overAtLatest returns the targets at which an entry is over its part in the
// newest table, and whether all entries keep to that table.
func (d *Division) overAtLatest() (map[string]bool, bool) {
	latest := d.Latest()
	over := map[string]bool{}
	for _, m := range latest.Entries(d.region) {
		if d.gone[m.ID] {
			continue
		}
		r := d.reports[m.ID]
		if r.Epoch != latest.Epoch {
			return nil, false
		}
		for _, target := range r.Over {
			over[target] = true
		}
	}
	return over, true
}

// prune forgets the reports of instances that the newest table no longer names.
func (d *Division) prune() {
	latest := d.Latest()
	named := func(id string) bool { return latest.Has(id) || latest.HasDeparted(id) }
	for id := range d.reports {
		if !named(id) && id != d.self {
			delete(d.reports, id)
		}
	}
	for _, ids := range []map[string]bool{d.gone, d.lapsed} {
		for id := range ids {
			if !named(id) {
				delete(ids, id)
			}
		}
	}
}
