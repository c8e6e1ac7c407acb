package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// Guards against a node that never ends, and uses all processor time meanwhile, because it is stopped
// while it waits for its turn to run for election.
func TestNodeEndsWhileItWaitsForElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Scheduler{ID: "a/1", Address: "a", CPUShare: 1, Log: eventlog.Discard(), Now: time.Now, rtt: time.Second}
		s.SetTable(testTable())
		s.setCellCount(1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.member(0).runElections(ctx) }()
		time.Sleep(100 * time.Millisecond)
		cancel()
		select {
		case err := <-ended:
			require.NoError(t, err)
		case <-time.After(time.Second):
			require.Fail(t, "the node still runs for election")
		}
	})
}

// Guards against a cell that is without a leader for seconds after the loss of one, because the store
// was slow while the nodes started.
func TestNodesThatStartedAtSlowStoreTakeOverInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		names := []string{"a", "b", "c"}
		setLatency := func(d time.Duration) {
			cl.store.update(func(s *fakeStore) {
				for _, name := range names {
					s.latency[name] = d
				}
			})
		}
		setLatency(400 * time.Millisecond)
		for _, name := range names {
			cl.addNode(name)
		}
		time.Sleep(15 * time.Second)
		setLatency(time.Millisecond)
		time.Sleep(10 * time.Second)
		for _, name := range names {
			require.Equal(t, time.Millisecond, cl.nodes[name].StoreRTT(), "the round trip was not measured again")
		}
		leader, _ := cl.leader()
		require.NotEmpty(t, leader)
		cl.kill(leader)
		lostAt := time.Now()
		for leader, _ = cl.leader(); leader == ""; leader, _ = cl.leader() {
			time.Sleep(10 * time.Millisecond)
			require.Less(t, time.Since(lostAt), 2500*time.Millisecond)
		}
	})
}

// Guards against a cell that is without a leader for seconds while the store is slow.
func TestElectionDelayIsBoundedAtSlowStore(t *testing.T) {
	for _, c := range []struct {
		name string
		rtt  time.Duration
		want time.Duration
	}{
		{"same region", 2 * time.Millisecond, 24 * time.Millisecond},
		{"another region", 24 * time.Millisecond, 288 * time.Millisecond},
		{"slow store", 600 * time.Millisecond, maxRTTDelay},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Scheduler{CPUShare: 1, rtt: c.rtt}
			require.Equal(t, c.want, s.electionDelay())
		})
	}
}

// Guards against a cell that starts next to nothing, although the store and a large node are
// available, because a node with too small a CPU share for the cell leads it.
func TestLargeNodeTakesOverFromSmallOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		cl.shares["small"], cl.shares["other"] = 0.25, 0.25
		cl.addNode("small")
		cl.addNode("other")
		time.Sleep(3 * time.Second)
		leader, _ := cl.leader()
		require.NotEmpty(t, leader)
		cl.addNode("large")
		time.Sleep(5 * time.Second)
		leader, _ = cl.leader()
		require.Equal(t, "large", leader)
	})
}

// Guards against a small node that keeps the cell, because the large one had terms in other cells when
// the small one was elected.
func TestLargeNodeTakesOverOnceItsOtherTermsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		cl.shares["small"] = 0.25
		cl.addNode("small")
		time.Sleep(3 * time.Second)
		large := cl.addNode("large")
		large.addTerms(10)
		time.Sleep(5 * time.Second)
		leader, _ := cl.leader()
		require.Equal(t, "small", leader)
		large.addTerms(-10)
		time.Sleep(5 * time.Second)
		leader, _ = cl.leader()
		require.Equal(t, "large", leader)
	})
}

// Guards against a small node that loses the cell to nobody, because the large node that asked for the
// end of its term has no store.
func TestNodeWithoutStoreLeavesCellToSmallNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		cl.shares["small"] = 0.25
		cl.addNode("small")
		time.Sleep(3 * time.Second)
		_, first := cl.leader()
		require.NotNil(t, first)
		cl.addNode("large")
		time.Sleep(time.Second)
		cl.store.update(func(s *fakeStore) { s.refusedClients["large"] = true })
		time.Sleep(20 * time.Second)
		name, leader := cl.leader()
		require.Equal(t, "small", name)
		require.Equal(t, first.Token, leader.Token)
	})
}

// Guards against a node that is ended while it waits for its turn to run for election, and then
// keeps a processor busy until the turn has come.
func TestElectionsEndWithTheirContext(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	s := &Scheduler{ID: "a/1", Address: "a", CPUShare: 1, Timing: batch.DefaultTiming(), Log: eventlog.Discard(), Now: func() time.Time { return now }}
	s.bestShare = 4
	s.SetTable(testTable())
	s.setCellCount(1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.homeMember("").runElections(ctx) }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the elections go on")
	}
}
