package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/membership"
)

// Whatever fails and in whatever order, no target gets more requests than it has slots,
// and no key runs twice.
func TestNoOvercommitNorDoubleRunUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 5).Draw(t, "instances") {
			w.start()
		}
		round := func() {
			for _, n := range w.alive() {
				w.sync(n)
			}
			for _, from := range w.alive() {
				for _, to := range w.alive() {
					w.exchange(from, to)
				}
			}
		}
		round()
		round()
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "millis")) * time.Millisecond)
			},
			"pastLease": func(*rapid.T) { w.advance(simTTL + time.Second) },
			"round":     func(*rapid.T) { round() },
			"sync":      func(*rapid.T) { w.sync(w.pickAlive("sync")) },
			"exchange":  func(*rapid.T) { w.exchange(w.pickAlive("from"), w.pickAlive("to")) },
			"promise":   func(*rapid.T) { w.requestPromise(w.pickAlive("from"), w.pickAlive("to")) },
			"request":   func(*rapid.T) { w.request(w.pickAlive("by")) },
			"burst": func(*rapid.T) {
				n := w.pickAlive("by")
				for range 12 {
					w.request(n)
				}
			},
			"key":    func(*rapid.T) { w.runKey(w.pickAlive("by")) },
			"keys":   func(*rapid.T) { w.runKeyEverywhere() },
			"list":   func(*rapid.T) { w.applyInstanceList(w.pickAlive("reader")) },
			"outage": func(*rapid.T) { w.storeDown = !w.storeDown },
			"cut": func(*rapid.T) {
				n := w.pickAlive("cut")
				n.storeCut = !n.storeCut
			},
			"split": func(*rapid.T) {
				a, b := w.pickAlive("a"), w.pickAlive("b")
				a.unreachable[b] = !a.unreachable[b]
				b.unreachable[a] = a.unreachable[b]
			},
			"isolate": func(*rapid.T) { w.isolate(w.pickAlive("a"), w.pickAlive("b")) },
			"collectPromises": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "rounds") {
					w.advance(1500 * time.Millisecond)
					w.collectPromises()
					round()
					w.requestAll()
					w.runKeyEverywhere()
					w.requireNoOvercommit()
				}
			},
			"fill": func(*rapid.T) { w.requestAll() },
			"crash": func(*rapid.T) {
				n := w.pickAlive("crash")
				n.crashed, n.listedUntil = true, w.now.Add(simListLag/2)
			},
			"leave": func(*rapid.T) { w.leave(w.pickAlive("leave")) },
			"start": func(*rapid.T) {
				if len(w.alive()) < 6 {
					w.start()
				}
			},
			"": func(*rapid.T) { w.requireNoOvercommit() },
		})
	})
}

// A member that was forgotten while it could not reach the store must join under another
// name. Under its previous name, other members would count it among the peers that a lost
// member knew. Found by the property test (seed 3247427).
func TestForgottenMemberRejoinsUnderNewName(t *testing.T) {
	self := grant.Member{ID: "e-1", Region: region}
	core := membership.NewCore(self, simMaxRequestTime, simListLag)
	now := time.Unix(1_800_000_000, 0)
	require.False(t, core.Removed(), "it has not joined yet")
	joined := grant.Table{}.With(self)
	core.Observe(joined, now)
	require.False(t, core.Removed())
	core.Observe(joined.Without(self.ID).Forget(self.ID), now)
	require.True(t, core.Removed())
}
