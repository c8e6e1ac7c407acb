package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/home"
)

const (
	// partedFor is how long two regions lose each other now and then.
	partedFor = time.Hour
	// reunited is the time after which all is as before.
	reunited = 2 * time.Minute
	// otherRegion is that of the store; the targets stand in region.
	otherRegion = "q"
	// partedDraws is how many hours are drawn.
	partedDraws = 4
)

// Two regions lose each other for an hour, and one of them loses the store
// with it. It goes on with all of its slots and keys, no target is ever
// overcommitted, no key runs twice, and all settles afterwards.
func TestRegionsPartForAnHour(t *testing.T) {
	draws := 0
	rapid.Check(t, func(t *rapid.T) {
		if draws++; draws > partedDraws {
			return
		}
		w := newWorld(t)
		near := []*node{w.start(), w.start(), w.start()}
		far := []*node{w.startIn(otherRegion), w.startIn(otherRegion)}
		for range 10 {
			w.pass()
		}
		w.requireSettled(near)
		w.part(near, far, true)
		keys := 0
		for end := w.now.Add(partedFor); w.now.Before(end); {
			w.pass()
			w.cling()
			for _, n := range near {
				require.True(t, n.core.Held(w.clock(n)), "an instance gave up %v before the end", end.Sub(w.now))
			}
			// Keys of a region are begun by its own instances alone.
			n := near[rapid.IntRange(0, len(near)-1).Draw(t, "key")]
			w.begin(n)
			if n.core.Keys.State(home.Key{Value: w.keys[len(w.keys)-1]}, w.clock(n)).Begun {
				keys++
			}
		}
		require.Positive(t, keys)
		require.Len(t, w.table.Members, len(far), "the other region saw the leases lapse")
		w.part(near, far, false)
		for end := w.now.Add(reunited); w.now.Before(end); {
			w.pass()
		}
		w.requireSettled(near)
	})
}

// pass lets a second go by with all at work.
func (w *world) pass() {
	w.advance(time.Second)
	for _, n := range w.alive() {
		w.sync(n)
		if w.reaches(n) {
			w.list(n)
		}
	}
	for _, from := range w.alive() {
		for _, to := range w.alive() {
			w.exchange(from, to)
		}
	}
	w.fill()
	w.check()
}

// part cuts instances off from the store and from those of the other region, or ends that.
func (w *world) part(near, far []*node, parted bool) {
	for _, n := range near {
		n.cut = parted
		for _, f := range far {
			n.silent[f], f.silent[n] = parted, parted
		}
	}
}

// requireSettled checks that instances may use all slots of each target together.
func (w *world) requireSettled(nodes []*node) {
	for _, target := range simTargets {
		sum := 0
		for _, n := range nodes {
			require.True(w.t, n.core.Held(w.clock(n)))
			sum += n.core.Usable(target, region, simSlots)
		}
		require.Equal(w.t, simSlots, sum, "of target %s", target)
	}
}
