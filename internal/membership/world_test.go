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
	simTTL            = 10 * time.Second
	simMaxRequestTime = 4 * time.Second
	simListLag        = 2 * time.Second
	simSlots          = 8
	region            = "r"
)

// world simulates nodes with cores, a store and targets in virtual time.
type world struct {
	t         *rapid.T
	now       time.Time
	storeDown bool
	table     grant.Table
	leases    map[string]time.Time
	// absentSince holds, for members that were removed from the table, when their
	// registration had ended, or when a member was last forgotten if that was later.
	absentSince    map[string]time.Time
	lastForgotten  time.Time
	nodes          []*node
	activeRequests []activeRequest
	ranBy          map[string]string
	keys           []string
	namesUsed      int
}

// node is one instance; its clock runs at its own rate.
type node struct {
	core *membership.Core
	// rate is how many seconds the node's clock advances in one second of virtual time,
	// and skew is how far it is ahead at the start.
	rate        float64
	skew        time.Duration
	storeCut    bool
	unreachable map[*node]bool
	crashed     bool
	listedUntil time.Time
}

// activeRequest is a request in flight at a target. It ends when the virtual time reaches
// endsAt.
type activeRequest struct {
	node   *node
	target string
	endsAt time.Time
	// stream marks a request that ends only when its instance crashes or cuts it.
	stream bool
}

var simTargets = []string{"t-1", "t-2", "t-3"}

func newWorld(t *rapid.T) *world {
	return &world{
		t: t, now: time.Unix(1_800_000_000, 0), leases: map[string]time.Time{}, ranBy: map[string]string{},
		absentSince: map[string]time.Time{},
	}
}

// clock returns the current time on the node's clock.
func (w *world) clock(n *node) time.Time { return w.clockAt(n, w.now) }

// clockAt returns what the node's clock shows at a virtual time.
func (w *world) clockAt(n *node, at time.Time) time.Time {
	base := time.Unix(1_800_000_000, 0)
	return base.Add(time.Duration(float64(at.Sub(base)) * n.rate)).Add(n.skew)
}

func (w *world) reachesStore(n *node) bool { return !w.storeDown && !n.storeCut }

func (w *world) alive() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return n.crashed })
}

func (w *world) pickAlive(label string) *node {
	alive := w.alive()
	if len(alive) == 0 {
		return w.start()
	}
	return alive[rapid.IntRange(0, len(alive)-1).Draw(w.t, label)]
}

func (w *world) start() *node { return w.startIn(region) }

func (w *world) startIn(region string) *node {
	w.namesUsed++
	self := grant.Member{ID: fmt.Sprintf("e-%d", w.namesUsed), Region: region}
	n := &node{
		core:        membership.NewCore(self, simMaxRequestTime, simListLag),
		rate:        1 + float64(rapid.IntRange(-4, 4).Draw(w.t, "rate"))/1000,
		skew:        time.Duration(rapid.IntRange(-300, 300).Draw(w.t, "skew")) * time.Millisecond,
		unreachable: map[*node]bool{},
	}
	w.nodes = append(w.nodes, n)
	w.sync(n)
	return n
}

// leaseValid reports whether the member's lease exists in the store.
func (w *world) leaseValid(id string) bool { return w.now.Before(w.leases[id]) }

// sync runs one round of a node with the store, if it can reach it. The node renews its
// lease or joins the table, reads the table, and reconciles it with the leases. If its
// lease has expired and the table has changed, it only reads the table.
func (w *world) sync(n *node) {
	n.core.SetReachable(w.reachesStore(n))
	if !w.reachesStore(n) {
		return
	}
	id := n.core.Self().ID
	requestedAt := w.clock(n)
	switch {
	case w.leaseValid(id), w.table.Has(id) && n.core.Table().Epoch == w.table.Epoch:
	case n.core.Table().Epoch != w.table.Epoch:
		w.observe(n, w.table)
		return
	default:
		w.join(n)
		id = n.core.Self().ID
	}
	w.leases[id] = w.now.Add(simTTL)
	n.core.RecordRenewal(requestedAt, simTTL)
	w.observe(n, w.table)
	w.reconcile(n)
}

// join adds the node to the table. If it was removed from the table before, it joins
// under a new name and cuts the streams of the previous one.
func (w *world) join(n *node) {
	self := n.core.Self()
	next := w.table
	if n.core.Removed() {
		w.namesUsed++
		n.core = n.core.Renamed(fmt.Sprintf("%s~%d", baseOf(self.ID), w.namesUsed))
		next = next.Forget(self.ID)
		w.lastForgotten = w.now
		w.activeRequests = slices.DeleteFunc(w.activeRequests, func(f activeRequest) bool { return f.node == n && f.stream })
	}
	w.table = next.With(n.core.Self())
}

// reconcile removes a member without a lease from the table, and forgets departed members
// that have nothing in flight.
func (w *world) reconcile(n *node) {
	for _, m := range w.table.Members {
		if !w.leaseValid(m.ID) {
			w.table = w.table.Without(m.ID)
			w.absentSince[m.ID] = w.leases[m.ID]
			if w.lastForgotten.After(w.absentSince[m.ID]) {
				w.absentSince[m.ID] = w.lastForgotten
			}
			break
		}
	}
	if ids := n.core.Forgettable(); len(ids) > 0 && n.core.Table().Epoch == w.table.Epoch {
		w.table = w.table.Forget(ids...)
		w.lastForgotten = w.now
	}
	w.observe(n, w.table)
}

func (w *world) observe(n *node, t grant.Table) {
	if w.reachesStore(n) {
		registered := map[string]bool{}
		for id := range w.leases {
			registered[id] = w.leaseValid(id)
		}
		n.core.SetRegistered(registered, w.table)
		for id, since := range w.absentSince {
			if w.table.HasDeparted(id) {
				n.core.SetAbsentSince(id, w.clockAt(n, since))
			}
		}
	}
	n.core.Observe(t, w.clock(n))
	w.reportUsage(n)
}

func (w *world) reportUsage(n *node) {
	var over []string
	for _, target := range simTargets {
		if w.inFlight(n, target) > n.core.Allocation(target, region, simSlots) {
			over = append(over, target)
		}
	}
	n.core.SetOwnUsage(over, w.inFlight(n, "") > 0, w.clock(n))
}

func (w *world) inFlight(n *node, target string) int {
	count := 0
	for _, f := range w.activeRequests {
		if (n == nil || f.node == n) && (target == "" || f.target == target) {
			count++
		}
	}
	return count
}

// exchange sends the status of one node to another, and its table if it is newer.
func (w *world) exchange(sender, receiver *node) {
	if sender == receiver || sender.unreachable[receiver] || sender.crashed || receiver.crashed {
		return
	}
	w.reportUsage(sender)
	if sender.core.Table().Epoch > receiver.core.Table().Epoch {
		w.observe(receiver, sender.core.Table())
	}
	receiver.core.ReceiveStatus(sender.core.Status(w.clock(sender)), w.clock(receiver))
	receiver.core.Tick(w.clock(receiver))
}

// requestPromise makes a node ask another for a promise; the answer is delayed.
func (w *world) requestPromise(from, to *node) {
	if from == to || from.unreachable[to] || to.unreachable[from] {
		return
	}
	requestedAt := w.clock(from)
	ok := to.core.Promise(from.core.Self().ID, w.clock(to))
	w.advance(time.Duration(rapid.IntRange(0, 200).Draw(w.t, "answer")) * time.Millisecond)
	if ok {
		from.core.RecordPromise(to.core.Self().ID, requestedAt)
	}
}

// isolate cuts two nodes off from the store and from all nodes but each other.
func (w *world) isolate(a, b *node) {
	for _, n := range []*node{a, b} {
		n.storeCut = true
		for _, other := range w.nodes {
			blocked := other != a && other != b
			n.unreachable[other], other.unreachable[n] = blocked, blocked
		}
	}
}

// collectPromises makes every node that cannot reach the store ask all other nodes for
// promises.
func (w *world) collectPromises() {
	for _, n := range w.alive() {
		for _, other := range w.alive() {
			if !w.reachesStore(n) {
				w.requestPromise(n, other)
			}
		}
	}
}

// requestAll makes every node try simSlots times to start a request.
func (w *world) requestAll() {
	for _, n := range w.alive() {
		for range simSlots {
			w.request(n)
		}
	}
}

// request starts a request of a node at a random target if the node is entitled to one
// more there.
func (w *world) request(n *node) {
	target := rapid.SampledFrom(simTargets).Draw(w.t, "target")
	if !n.core.Entitled(w.clock(n)) || w.inFlight(n, target) >= n.core.Usable(target, region, simSlots) {
		return
	}
	length := time.Duration(rapid.IntRange(1, int(simMaxRequestTime/time.Millisecond)-20).Draw(w.t, "length")) * time.Millisecond
	stream := rapid.IntRange(0, 9).Draw(w.t, "stream") == 0
	if stream {
		length = time.Hour
	}
	w.activeRequests = append(w.activeRequests, activeRequest{node: n, target: target, endsAt: w.now.Add(length), stream: stream})
}

// runKey sends a new or repeated key to a node.
func (w *world) runKey(n *node) {
	if len(w.keys) == 0 || rapid.Bool().Draw(w.t, "new") {
		w.keys = append(w.keys, w.newKey())
	}
	w.runKeyAt(n, w.keys[len(w.keys)-1-rapid.IntRange(0, min(len(w.keys)-1, 4)).Draw(w.t, "key")])
}

// runKeyEverywhere sends one new key to all nodes, one after the other.
func (w *world) runKeyEverywhere() {
	w.keys = append(w.keys, w.newKey())
	for _, n := range rapid.Permutation(w.alive()).Draw(w.t, "order") {
		w.runKeyAt(n, w.keys[len(w.keys)-1])
	}
}

// runKeyAt sends a key to a node, and fails if the node runs it although it ran before.
func (w *world) runKeyAt(n *node, key string) {
	if !n.core.Entitled(w.clock(n)) || w.decide(n, home.Key{Value: key}) != home.Run {
		return
	}
	if first, ran := w.ranBy[key]; ran {
		w.t.Fatalf("key %s was run by %s and by %s", key, first, n.core.Self().ID)
	}
	w.ranBy[key] = n.core.Self().ID
}

// decide returns the node's decision about a key. If the decision depends on previous
// homes, the node asks those that it can reach.
func (w *world) decide(n *node, key home.Key) home.Kind {
	v := n.core.Keys.Begin(key, w.clock(n))
	if v.Kind != home.AskPrevious {
		return v.Kind
	}
	statements := map[string]home.Statement{}
	for _, f := range w.alive() {
		if f != n && !n.unreachable[f] {
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

// newKey returns a UUID of version 7 with the time of a caller whose clock is slightly
// off.
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
	w.activeRequests = slices.DeleteFunc(w.activeRequests, func(f activeRequest) bool {
		now := w.clock(f.node)
		cut := f.stream && (f.node.crashed || !now.Before(f.node.core.CutDeadline(now)))
		return cut || !w.now.Before(f.endsAt)
	})
}

// leave hands a node's allocation over; its streams continue and its lease is still
// renewed.
func (w *world) leave(n *node) {
	if id := n.core.Self().ID; w.reachesStore(n) && w.leaseValid(id) && w.table.Has(id) {
		w.table = w.table.Without(id)
		w.observe(n, w.table)
	}
}

// applyInstanceList makes a node read the platform's instance list, from which crashed
// nodes are missing after its lag.
func (w *world) applyInstanceList(n *node) {
	listed := map[string]bool{}
	for _, each := range w.nodes {
		if !each.crashed || w.now.Before(each.listedUntil) {
			listed[baseOf(each.core.Self().ID)] = true
		}
	}
	n.core.ObserveList(listed, baseOf, w.clock(n))
	n.core.Tick(w.clock(n))
}

// baseOf returns the id of a member's instance on the platform's list.
func baseOf(member string) string {
	base, _, _ := strings.Cut(member, "~")
	return base
}

// requireNoOvercommit fails if a target has more requests in flight than slots, from all
// nodes together.
func (w *world) requireNoOvercommit() {
	for _, target := range simTargets {
		if total := w.inFlight(nil, target); total > simSlots {
			w.t.Fatalf("target %s has %d requests in flight over %d slots", target, total, simSlots)
		}
	}
}
