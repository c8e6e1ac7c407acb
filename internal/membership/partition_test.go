package membership_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/home"
)

const (
	// partitionTime is how long the two regions are partitioned. Partitions of this length
	// happen now and then.
	partitionTime = time.Hour
	// recoveryTime is the time after the partition within which the near members must have
	// all slots of their region again.
	recoveryTime = 2 * time.Minute
	// otherRegion is the region of the store; the targets are in region.
	otherRegion = "q"
	// partitionRuns is the number of partitions that are simulated.
	partitionRuns = 4
)

// Two regions are partitioned for an hour, and one of them cannot reach the store either.
// It keeps all of its slots and keys, no target is ever overcommitted, no key runs twice,
// and the tables settle afterwards.
func TestRegionPartitionForAnHour(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		if runs++; runs > partitionRuns {
			return
		}
		w := newWorld(t)
		near := []*node{w.start(), w.start(), w.start()}
		far := []*node{w.startIn(otherRegion), w.startIn(otherRegion)}
		for range 10 {
			w.runOneSecond()
		}
		w.requireSettled(near)
		w.setPartitioned(near, far, true)
		keysRun := 0
		for end := w.now.Add(partitionTime); w.now.Before(end); {
			w.runOneSecond()
			w.collectPromises()
			for _, n := range near {
				require.True(t, n.core.Entitled(w.clock(n)), "an instance lost its entitlement %v before the partition ended", end.Sub(w.now))
			}
			// Only instances of a region start the region's keys.
			n := near[rapid.IntRange(0, len(near)-1).Draw(t, "key")]
			w.runKey(n)
			if n.core.Keys.State(home.Key{Value: w.keys[len(w.keys)-1]}, w.clock(n)).Begun {
				keysRun++
			}
		}
		require.Positive(t, keysRun)
		require.Len(t, w.table.Members, len(far), "the other region has removed the members whose leases expired")
		w.setPartitioned(near, far, false)
		for end := w.now.Add(recoveryTime); w.now.Before(end); {
			w.runOneSecond()
		}
		w.requireSettled(near)
	})
}

// runOneSecond advances the time by a second in which every node synchronises, exchanges
// statuses and sends requests.
func (w *world) runOneSecond() {
	w.advance(time.Second)
	for _, n := range w.alive() {
		w.sync(n)
		if w.reachesStore(n) {
			w.applyInstanceList(n)
		}
	}
	for _, from := range w.alive() {
		for _, to := range w.alive() {
			w.exchange(from, to)
		}
	}
	w.requestAll()
	w.requireNoOvercommit()
}

// setPartitioned cuts the nodes near off from the store and from the nodes far, or
// reconnects them.
func (w *world) setPartitioned(near, far []*node, partitioned bool) {
	for _, n := range near {
		n.storeCut = partitioned
		for _, f := range far {
			n.unreachable[f], f.unreachable[n] = partitioned, partitioned
		}
	}
}

// requireSettled checks that the nodes are entitled, and that together they may use
// exactly the slots of each target.
func (w *world) requireSettled(nodes []*node) {
	for _, target := range simTargets {
		sum := 0
		for _, n := range nodes {
			require.True(w.t, n.core.Entitled(w.clock(n)))
			sum += n.core.Usable(target, region, simSlots)
		}
		require.Equal(w.t, simSlots, sum, "usable slots of target %s", target)
	}
}
