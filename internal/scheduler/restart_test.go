package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/lease"
)

// runningOn returns the number of tasks that run on the named workers.
func (cl *cluster) runningOn(ids ...string) int {
	n := 0
	cl.workers.update(func(f *fakeWorkers) {
		for _, id := range ids {
			f.advance(f.workers[id])
			n += len(f.workers[id].running)
		}
	})
	return n
}

// lose makes a worker unreachable for good. What runs there goes on until its lease expires.
func (cl *cluster) lose(id string) {
	cl.workers.update(func(f *fakeWorkers) { f.workers[id].unresponsive = true })
	cl.store.remove(testPrefix + id)
}

// awaitLeader waits until a node serves a term.
func (cl *cluster) awaitLeader() string {
	for range 500 {
		if name, leader := cl.leader(); leader != nil {
			return name
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(cl.t, "no leader")
	return ""
}

// awaitRunning returns how long it takes until the named workers run n tasks.
func (cl *cluster) awaitRunning(n int, within time.Duration, ids ...string) time.Duration {
	since := time.Now()
	for cl.runningOn(ids...) < n {
		time.Sleep(20 * time.Millisecond)
		require.Less(cl.t, time.Since(since), within, "%d of %d tasks run", cl.runningOn(ids...), n)
	}
	return time.Since(since)
}

// Guards against tasks that have no run for many seconds after all nodes were restarted while a
// worker was lost, since each process waited anew for leaders that had stopped.
func TestRestartOfAllNodesDelaysNoTaskOfLostWorker(t *testing.T) {
	for _, c := range []struct {
		name    string
		restart func(cl *cluster, node string)
	}{
		{"planned stops", func(cl *cluster, node string) {
			cl.nodes[node].StepDown()
			time.Sleep(300 * time.Millisecond)
			cl.kill(node)
			time.Sleep(700 * time.Millisecond)
			cl.addNode(node)
			time.Sleep(time.Second)
		}},
		{"short terms", func(cl *cluster, node string) {
			cl.nodes[node].StepDown()
			time.Sleep(50 * time.Millisecond)
			cl.kill(node)
			cl.addNode(node)
			time.Sleep(150 * time.Millisecond)
		}},
		{"planned stops, other addresses", func(cl *cluster, node string) {
			cl.nodes[node].StepDown()
			time.Sleep(5 * time.Millisecond)
			cl.kill(node)
			cl.addNode("next " + node)
			time.Sleep(300 * time.Millisecond)
		}},
		{"killed", func(cl *cluster, node string) {
			cl.crash(node)
			time.Sleep(300 * time.Millisecond)
			cl.addNode(node)
			time.Sleep(200 * time.Millisecond)
		}},
	} {
		for _, order := range []string{"leader last", "leader first"} {
			t.Run(c.name+", "+order, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newCluster(t, 10*time.Minute, "w1", "w2", "w3")
					defer cl.stop()
					for _, name := range []string{"a", "b", "c"} {
						cl.addNode(name)
					}
					time.Sleep(3 * time.Second)
					first := cl.awaitLeader()
					require.NoError(t, submit(cl.nodes[first], testJob(1, 9)))
					time.Sleep(time.Second)
					require.Equal(t, 9, cl.runningOn("w1", "w2", "w3"))
					cl.lose("w1")
					names := append(others(first), first)
					if order == "leader first" {
						names = append([]string{first}, others(first)...)
					}
					for _, name := range names {
						c.restart(cl, name)
						cl.awaitLeader()
					}
					cl.awaitRunning(9, 6*time.Second, "w2", "w3")
					time.Sleep(20 * time.Second)
					require.Equal(t, 9, cl.runningOn("w1", "w2", "w3"))
				})
			})
		}
	}
}

// Guards against two runs of a task: a leader that lost the store still renews leases at a worker
// that its successors do not reach. One of these, whose watch skipped that leader, must not take
// the answers of the others for its.
func TestSkippedLeaderMayStillRenewLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 10*time.Minute, "w1", "w2", "w3")
		defer cl.stop()
		cl.addNode("a")
		time.Sleep(3 * time.Second)
		cl.addNode("b")
		time.Sleep(time.Second)
		cl.addNode("c")
		time.Sleep(20 * time.Second)
		require.Equal(t, "a", cl.awaitLeader())
		require.NoError(t, submit(cl.nodes["a"], testJob(1, 9)))
		time.Sleep(time.Second)
		cl.store.update(func(s *fakeStore) { s.stalledWatches["c"] = true })
		cl.nodes["a"].StepDown()
		time.Sleep(2 * time.Second)
		require.Equal(t, "b", cl.awaitLeader())
		cl.cut("b", "w2", "w3")
		cl.cut("c", "w1")
		cl.store.update(func(s *fakeStore) {
			s.refusedClients["b"] = true
		})
		time.Sleep(leaderTTL + 500*time.Millisecond)
		cl.store.update(func(s *fakeStore) { s.stalledWatches["c"] = false })
		time.Sleep(2 * time.Second)
		require.True(t, cl.nodes["c"].IsLeader())
		timing := batch.DefaultTiming()
		time.Sleep(timing.RenewGrace)
		cl.awaitRunning(9, lease.Longer(timing.MaxLease)+5*time.Second, "w2", "w3")
	})
}

// Guards against two runs of a task: a leader that lost the store, and cannot be asked, goes on
// renewing leases at a worker that the others do not reach, while these are restarted in turn.
func TestLeaderWithoutStoreIsNotTakenForRetired(t *testing.T) {
	for _, c := range []struct {
		name string
		// stop ends a term of one of the other nodes.
		stop func(cl *cluster, node string)
	}{
		{"planned stops", func(cl *cluster, node string) { cl.nodes[node].StepDown() }},
		{"killed", func(cl *cluster, node string) { cl.crash(node) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 10*time.Minute, "w1", "w2", "w3")
				defer cl.stop()
				cl.addNode("a")
				time.Sleep(3 * time.Second)
				cl.addNode("b")
				cl.addNode("c")
				time.Sleep(20 * time.Second)
				require.NoError(t, submit(cl.nodes["a"], testJob(1, 9)))
				time.Sleep(time.Second)
				cl.cut("a", "w2", "w3")
				for _, name := range []string{"b", "c"} {
					cl.cut(name, "w1")
				}
				cl.cutPeers("a")
				cl.store.update(func(s *fakeStore) { s.refusedClients["a"] = true })
				time.Sleep(3 * time.Second)
				for range 4 {
					name := cl.awaitOther("a")
					time.Sleep(1500 * time.Millisecond)
					c.stop(cl, name)
					time.Sleep(300 * time.Millisecond)
					if cl.nodes[name] != nil {
						cl.kill(name)
					}
					cl.addNode(name)
					time.Sleep(1500 * time.Millisecond)
				}
				cl.awaitOther("a")
				timing := batch.DefaultTiming()
				cl.awaitRunning(9, lease.Longer(timing.RenewGrace+leaderTTL), "w2", "w3")
			})
		})
	}
}

// awaitOther waits until another node than the named one serves a term, and returns its name.
func (cl *cluster) awaitOther(than string) string {
	for range 500 {
		for name, node := range cl.nodes {
			if name != than && node.IsLeader() {
				return name
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	require.Fail(cl.t, "no leader")
	return ""
}

// Guards against a wait that a later leader begins anew: the time for which a leader that was lost
// may renew leases passes while its successor serves, too.
func TestWaitForLostLeaderPassesWhileSuccessorServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 10*time.Minute, "w1", "w2", "w3")
		defer cl.stop()
		for _, name := range []string{"a", "b", "c"} {
			cl.addNode(name)
		}
		time.Sleep(3 * time.Second)
		cl.crash(cl.awaitLeader())
		time.Sleep(3 * time.Second)
		second := cl.awaitLeader()
		require.NoError(t, submit(cl.nodes[second], testJob(1, 9)))
		time.Sleep(9 * time.Second)
		cl.lose("w1")
		cl.crash(second)
		cl.addNode(second)
		cl.awaitRunning(9, 13*time.Second, "w2", "w3")
	})
}

// Guards against a leader that lost its key, and takes that of its successor with it when its term ends.
func TestReplacedLeaderLeavesKeyOfItsSuccessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		cl.addNode("a")
		time.Sleep(3 * time.Second)
		cl.addNode("b")
		time.Sleep(time.Second)
		cl.cut("b", "w1")
		cl.cutPeers("a")
		cl.store.update(func(s *fakeStore) { s.refusedClients["a"] = true })
		time.Sleep(4 * time.Second)
		require.True(t, cl.nodes["a"].IsLeader())
		require.True(t, cl.nodes["b"].IsLeader())
		cl.store.update(func(s *fakeStore) { s.refusedClients["a"] = false })
		for range 200 {
			time.Sleep(10 * time.Millisecond)
			require.True(t, cl.store.has(keysOfCell(0).leader))
			require.True(t, cl.nodes["b"].IsLeader())
		}
		require.False(t, cl.nodes["a"].IsLeader())
	})
}

// Guards against a node that is told to stop while it reads the jobs, and then serves its term as if
// it was not.
func TestNodeThatStopsDuringRestoreServesNoTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		cl.addNode("a")
		time.Sleep(2 * time.Second)
		cl.addNode("b")
		time.Sleep(time.Second)
		cl.store.update(func(s *fakeStore) { s.latency["b"] = 200 * time.Millisecond })
		cl.nodes["a"].StepDown()
		for leads := false; !leads; {
			time.Sleep(time.Millisecond)
			cl.store.update(func(s *fakeStore) { leads = decodeLeader(s.items[keysOfCell(0).leader]).Address == "b" })
		}
		time.Sleep(100 * time.Millisecond)
		require.False(t, cl.nodes["b"].IsLeader())
		cl.nodes["b"].StepDown()
		time.Sleep(time.Second)
		require.False(t, cl.nodes["b"].IsLeader())
		require.False(t, cl.store.has(keysOfCell(0).leader))
	})
}
