package membership_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/membership"
)

const (
	simTTL     = 10 * time.Second
	simLongest = 4 * time.Second
	simLag     = 2 * time.Second
	simSlots   = 8
	region     = "r"
)

// world drives cores under virtual time against a store, and counts what
// targets see.
type world struct {
	t      *rapid.T
	now    time.Time
	down   bool
	table  grant.Table
	leases map[string]time.Time
	// absent are the members that were taken out of the table, and since when
	// their registration had lapsed then, or something was last forgotten.
	absent    map[string]time.Time
	forgotten time.Time
	nodes     []*node
	flights   []flight
	begun     map[string]string
	keys      []string
	names     int
}

// node is one instance; its clock runs at its own rate.
type node struct {
	core    *membership.Core
	rate    float64
	skew    time.Duration
	cut     bool
	silent  map[*node]bool
	dead    bool
	removed time.Time
}

// flight is a request in flight at a target, until the world's time ends.
type flight struct {
	by     *node
	target string
	ends   time.Time
	// streams end only with their instance, or when it cuts them.
	stream bool
}

var simTargets = []string{"t-1", "t-2", "t-3"}

func newWorld(t *rapid.T) *world {
	return &world{
		t: t, now: time.Unix(1_800_000_000, 0), leases: map[string]time.Time{}, begun: map[string]string{},
		absent: map[string]time.Time{},
	}
}

// clock returns what the node's clock shows.
func (w *world) clock(n *node) time.Time { return w.clockAt(n, w.now) }

// clockAt returns what the node's clock showed at that time.
func (w *world) clockAt(n *node, at time.Time) time.Time {
	base := time.Unix(1_800_000_000, 0)
	return base.Add(time.Duration(float64(at.Sub(base)) * n.rate)).Add(n.skew)
}

func (w *world) reaches(n *node) bool { return !w.down && !n.cut }

func (w *world) alive() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.dead })
}

func (w *world) pick(label string) *node {
	alive := w.alive()
	if len(alive) == 0 {
		return w.start()
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(w.t, label)]
}

func (w *world) start() *node { return w.startIn(region) }

func (w *world) startIn(region string) *node {
	w.names++
	self := grant.Member{ID: fmt.Sprintf("e-%d", w.names), Region: region}
	n := &node{
		core:   membership.NewCore(self, simLongest, simLag),
		rate:   1 + float64(rapid.IntRange(-4, 4).Draw(w.t, "rate"))/1000,
		skew:   time.Duration(rapid.IntRange(-300, 300).Draw(w.t, "skew")) * time.Millisecond,
		silent: map[*node]bool{},
	}
	w.nodes = append(w.nodes, n)
	w.sync(n)
	return n
}

// lives reports whether the member's lease is in the store.
func (w *world) lives(id string) bool { return w.now.Before(w.leases[id]) }

// sync is one round of a node with the store: renew or join, read, mend.
func (w *world) sync(n *node) {
	n.core.SetReachable(w.reaches(n))
	if !w.reaches(n) {
		return
	}
	id := n.core.Self().ID
	asked := w.clock(n)
	switch {
	case w.lives(id), w.table.Has(id) && n.core.Table().Epoch == w.table.Epoch:
	case n.core.Table().Epoch != w.table.Epoch:
		w.observe(n, w.table)
		return
	default:
		w.join(n)
		id = n.core.Self().ID
	}
	w.leases[id] = w.now.Add(simTTL)
	n.core.Renewed(asked, simTTL)
	w.observe(n, w.table)
	w.mend(n)
}

// join enters the table, under a new name if the former one has departed; the
// streams of the former one are cut.
func (w *world) join(n *node) {
	self := n.core.Self()
	next := w.table
	if n.core.Parted() {
		w.names++
		n.core = n.core.Renamed(fmt.Sprintf("%s~%d", baseOf(self.ID), w.names))
		next = next.Forget(self.ID)
		w.forgotten = w.now
		w.flights = slices.DeleteFunc(w.flights, func(f flight) bool { return f.by == n && f.stream })
	}
	w.table = next.With(n.core.Self())
}

// mend takes members without a lease out of the table, and forgets what is gone.
func (w *world) mend(n *node) {
	for _, m := range w.table.Members {
		if !w.lives(m.ID) {
			w.table = w.table.Without(m.ID)
			w.absent[m.ID] = w.leases[m.ID]
			if w.forgotten.After(w.absent[m.ID]) {
				w.absent[m.ID] = w.forgotten
			}
			break
		}
	}
	if ids := n.core.Forgettable(); len(ids) > 0 && n.core.Table().Epoch == w.table.Epoch {
		w.table = w.table.Forget(ids...)
		w.forgotten = w.now
	}
	w.observe(n, w.table)
}

func (w *world) observe(n *node, t grant.Table) {
	if w.reaches(n) {
		registered := map[string]bool{}
		for id := range w.leases {
			registered[id] = w.lives(id)
		}
		n.core.Registered(registered, w.table)
		for id, since := range w.absent {
			if w.table.HasDeparted(id) {
				n.core.Unregistered(id, w.clockAt(n, since))
			}
		}
	}
	n.core.Observe(t, w.clock(n))
	w.own(n)
}

func (w *world) own(n *node) {
	var over []string
	for _, target := range simTargets {
		if w.inFlight(n, target) > n.core.Part(target, region, simSlots) {
			over = append(over, target)
		}
	}
	n.core.Own(over, w.inFlight(n, "") > 0, w.clock(n))
}

func (w *world) inFlight(n *node, target string) int {
	count := 0
	for _, f := range w.flights {
		if (n == nil || f.by == n) && (target == "" || f.target == target) {
			count++
		}
	}
	return count
}

// exchange sends the status of one node to another, and its table if that is newer.
func (w *world) exchange(from, to *node) {
	if from == to || from.silent[to] || from.dead || to.dead {
		return
	}
	w.own(from)
	if from.core.Table().Epoch > to.core.Table().Epoch {
		w.observe(to, from.core.Table())
	}
	to.core.Hear(from.core.Status(w.clock(from)), w.clock(to))
	to.core.Tick(w.clock(to))
}

// promise lets a node ask another for a promise, whose answer takes a while.
func (w *world) promise(from, to *node) {
	if from == to || from.silent[to] || to.silent[from] {
		return
	}
	asked := w.clock(from)
	ok := to.core.Promise(from.core.Self().ID, w.clock(to))
	w.advance(time.Duration(rapid.IntRange(0, 200).Draw(w.t, "answer")) * time.Millisecond)
	if ok {
		from.core.Promised(to.core.Self().ID, asked)
	}
}

// isolate cuts two nodes off from the store and from all others.
func (w *world) isolate(a, b *node) {
	for _, n := range []*node{a, b} {
		n.cut = true
		for _, other := range w.nodes {
			far := other != a && other != b
			n.silent[other], other.silent[n] = far, far
		}
	}
}

// cling lets every node without the store ask all others for promises.
func (w *world) cling() {
	for _, n := range w.alive() {
		for _, other := range w.alive() {
			if !w.reaches(n) {
				w.promise(n, other)
			}
		}
	}
}

// fill lets every node begin what it may.
func (w *world) fill() {
	for _, n := range w.alive() {
		for range simSlots {
			w.request(n)
		}
	}
}

// request begins a request at a target if the node may.
func (w *world) request(n *node) {
	target := rapid.SampledFrom(simTargets).Draw(w.t, "target")
	if !n.core.Held(w.clock(n)) || w.inFlight(n, target) >= n.core.Usable(target, region, simSlots) {
		return
	}
	length := time.Duration(rapid.IntRange(1, int(simLongest/time.Millisecond)-20).Draw(w.t, "length")) * time.Millisecond
	stream := rapid.IntRange(0, 9).Draw(w.t, "stream") == 0
	if stream {
		length = time.Hour
	}
	w.flights = append(w.flights, flight{by: n, target: target, ends: w.now.Add(length), stream: stream})
}

// begin sends a key, new or repeated, to a node.
func (w *world) begin(n *node) {
	if len(w.keys) == 0 || rapid.Bool().Draw(w.t, "new") {
		w.keys = append(w.keys, w.newKey())
	}
	w.beginKey(n, w.keys[len(w.keys)-1-rapid.IntRange(0, min(len(w.keys)-1, 4)).Draw(w.t, "key")])
}

// beginEverywhere sends one new key to all nodes, one after the other.
func (w *world) beginEverywhere() {
	w.keys = append(w.keys, w.newKey())
	for _, n := range rapid.Permutation(w.alive()).Draw(w.t, "order") {
		w.beginKey(n, w.keys[len(w.keys)-1])
	}
}

// beginKey sends a key to a node, which may have run nowhere before if it runs there.
func (w *world) beginKey(n *node, key string) {
	if !n.core.Held(w.clock(n)) || w.verdict(n, home.Key{Value: key}) != home.Run {
		return
	}
	if first, twice := w.begun[key]; twice {
		w.t.Fatalf("key %s was run by %s and by %s", key, first, n.core.Self().ID)
	}
	w.begun[key] = n.core.Self().ID
}

// verdict decides on a key, and asks the former homes that can be reached.
func (w *world) verdict(n *node, key home.Key) home.Kind {
	v := n.core.Keys.Begin(key, w.clock(n))
	if v.Kind != home.AskPrevious {
		return v.Kind
	}
	statements := map[string]home.Statement{}
	for _, f := range w.alive() {
		if f != n && !n.silent[f] {
			statements[f.core.Self().ID] = f.core.Keys.State(key, w.clock(f))
		}
	}
	if !v.Inquiry.Cleared(key, statements) {
		return home.Unknown
	}
	if rapid.Bool().Draw(w.t, "late") {
		w.sync(n)
	}
	return n.core.Keys.BeginCleared(key, v.Inquiry, w.clock(n)).Kind
}

// newKey returns a UUID of version 7 with a caller's clock, which is a little off.
func (w *world) newKey() string {
	var id uuid.UUID
	millis := w.now.UnixMilli() + int64(rapid.IntRange(-300, 300).Draw(w.t, "caller"))
	for n := range 6 {
		id[n] = byte(millis >> (8 * (5 - n)))
	}
	id[6], id[8], id[14], id[15] = 0x70, 0x80, byte(len(w.keys)>>8), byte(len(w.keys))
	return id.String()
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.flights = slices.DeleteFunc(w.flights, func(f flight) bool {
		now := w.clock(f.by)
		cut := f.stream && (f.by.dead || !now.Before(f.by.core.CutAt(now)))
		return cut || !w.now.Before(f.ends)
	})
}

// leave hands a node's part over; its streams go on and its lease is renewed.
func (w *world) leave(n *node) {
	if id := n.core.Self().ID; w.reaches(n) && w.lives(id) && w.table.Has(id) {
		w.table = w.table.Without(id)
		w.observe(n, w.table)
	}
}

// list shows the platform's list, in which the dead are missing after its lag.
func (w *world) list(n *node) {
	listed := map[string]bool{}
	for _, each := range w.nodes {
		if !each.dead || w.now.Before(each.removed) {
			listed[baseOf(each.core.Self().ID)] = true
		}
	}
	n.core.List(listed, baseOf, w.clock(n))
	n.core.Tick(w.clock(n))
}

// baseOf returns the name under which the platform lists a member.
func baseOf(member string) string {
	base, _, _ := strings.Cut(member, "~")
	return base
}

// check fails if a target has more in flight than it has slots, whoever sent it.
func (w *world) check() {
	for _, target := range simTargets {
		if total := w.inFlight(nil, target); total > simSlots {
			w.t.Fatalf("target %s has %d requests in flight over %d slots", target, total, simSlots)
		}
	}
}
