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
			"sync":      func(*rapid.T) { w.sync(w.pick("sync")) },
			"exchange":  func(*rapid.T) { w.exchange(w.pick("from"), w.pick("to")) },
			"promise":   func(*rapid.T) { w.promise(w.pick("from"), w.pick("to")) },
			"request":   func(*rapid.T) { w.request(w.pick("by")) },
			"burst": func(*rapid.T) {
				n := w.pick("by")
				for range 12 {
					w.request(n)
				}
			},
			"key":    func(*rapid.T) { w.runKey(w.pick("by")) },
			"keys":   func(*rapid.T) { w.runKeyEverywhere() },
			"list":   func(*rapid.T) { w.list(w.pick("reader")) },
			"outage": func(*rapid.T) { w.storeDown = !w.storeDown },
			"cut": func(*rapid.T) {
				n := w.pick("cut")
				n.storeCut = !n.storeCut
			},
			"split": func(*rapid.T) {
				a, b := w.pick("a"), w.pick("b")
				a.unreachable[b] = !a.unreachable[b]
				b.unreachable[a] = a.unreachable[b]
			},
			"isolate": func(*rapid.T) { w.isolate(w.pick("a"), w.pick("b")) },
			"collectPromises": func(t *rapid.T) {
				for range rapid.IntRange(1, 10).Draw(t, "rounds") {
					w.advance(1500 * time.Millisecond)
					w.collectPromises()
					round()
					w.requestAll()
					w.runKeyEverywhere()
					w.check()
				}
			},
			"fill": func(*rapid.T) { w.requestAll() },
			"crash": func(*rapid.T) {
				n := w.pick("crash")
				n.crashed, n.listedUntil = true, w.now.Add(simLag/2)
			},
			"leave": func(*rapid.T) { w.leave(w.pick("leave")) },
			"start": func(*rapid.T) {
				if len(w.alive()) < 6 {
					w.start()
				}
			},
			"": func(*rapid.T) { w.check() },
		})
	})
}

// A member that was forgotten while it was cut off must join under another name. Under
// its previous name, other members would count it among the peers that a lost member
// knew. Found by the property test (seed 3247427).
func TestForgottenMemberRejoinsUnderNewName(t *testing.T) {
	self := grant.Member{ID: "e-1", Region: region}
	core := membership.NewCore(self, simLongest, simLag)
	now := time.Unix(1_800_000_000, 0)
	require.False(t, core.Removed(), "it has not joined yet")
	joined := grant.Table{}.With(self)
	core.Observe(joined, now)
	require.False(t, core.Removed())
	core.Observe(joined.Without(self.ID).Forget(self.ID), now)
	require.True(t, core.Removed())
}
