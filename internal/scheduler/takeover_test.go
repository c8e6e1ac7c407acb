package scheduler

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/internal/store"
)

func TestAnotherNodeTakesOver(t *testing.T) {
	for _, c := range []struct {
		name string
		// removeLeader removes the leader; within is how soon another node has to start tasks.
		removeLeader func(cl *cluster, leader string)
		within       time.Duration
	}{
		{
			name: "killed", within: 2500 * time.Millisecond,
			removeLeader: func(cl *cluster, leader string) { cl.kill(leader) },
		},
		{
			name: "planned stop", within: time.Second,
			removeLeader: func(cl *cluster, leader string) { cl.nodes[leader].StepDown() },
		},
		{
			name: "refused by the store", within: 3 * time.Second,
			removeLeader: func(cl *cluster, leader string) {
				cl.store.update(func(s *fakeStore) { s.refusedClients[leader] = true })
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 4*time.Second, "w1", "w2", "w3")
				defer cl.stop()
				for _, name := range []string{"a", "b", "c"} {
					cl.addNode(name)
				}
				time.Sleep(2 * time.Second)
				first, _ := cl.leader()
				require.NoError(t, submit(cl.nodes[first], testJob(1, 8)))
				time.Sleep(time.Second)
				starts := cl.workers.startCount()
				require.Equal(t, 8, starts)
				c.removeLeader(cl, first)
				var other *Scheduler
				for name, node := range cl.nodes {
					if name != first {
						other = node
					}
				}
				lostAt := time.Now()
				require.NoError(t, submit(other, testJob(2, 2)), "a submission without a leader was not accepted")
				for cl.workers.startCount() < starts+2 {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(lostAt), c.within)
				}
				time.Sleep(15 * time.Second)
				require.Equal(t, batch.Completed, state(t, other, testJob(1, 8).ID))
				require.Equal(t, batch.Completed, state(t, other, testJob(2, 2).ID))
				require.Equal(t, 12, cl.workers.startCount(), "a task ran again under the new leader")
			})
		})
	}
}

// Guards against nodes that wait in vain after a restart of all, because their configuration arrives
// after they have learned that there is no leader.
func TestNodeRunsForElectionOnceItHasConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		node := cl.addNodeWithTable("a", batch.QueueConfig{})
		time.Sleep(2 * time.Second)
		require.False(t, node.IsLeader())
		node.SetTable(testTable())
		time.Sleep(200 * time.Millisecond)
		require.True(t, node.IsLeader())
	})
}

// Guards against a leader with too little processor time for its cell: a slow store delays the news
// that there is no leader by more for a large node than for a small one.
func TestLargeNodeIsElectedThoughSmallOneKnowsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		cl.shares["small"] = 0.1
		cl.addNode("first")
		time.Sleep(2 * time.Second)
		cl.addNode("large")
		cl.addNode("small")
		time.Sleep(2 * time.Second)
		cl.store.update(func(s *fakeStore) {
			s.latency["large"], s.latency["small"] = 400*time.Millisecond, 100*time.Millisecond
		})
		time.Sleep(time.Second)
		cl.kill("first")
		time.Sleep(5 * time.Second)
		leader, _ := cl.leader()
		require.Equal(t, "large", leader)
	})
}

// During an outage of the store, submissions have to be refused at once and never run, while
// runs go on.
func TestRunsOutlastStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3*time.Second, "w1", "w2")
		defer cl.stop()
		a := cl.addNode("a")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(a, testJob(1, 4)))
		time.Sleep(500 * time.Millisecond)
		cl.store.update(func(s *fakeStore) { s.refuseAll = true })
		time.Sleep(2 * time.Second)
		submittedAt := time.Now()
		var refused *UnavailableError
		require.ErrorAs(t, submit(a, testJob(2, 1)), &refused)
		require.Positive(t, refused.RetryAfter)
		require.Less(t, time.Since(submittedAt), time.Second)
		time.Sleep(6 * time.Second)
		cl.store.update(func(s *fakeStore) { s.refuseAll = false })
		time.Sleep(10 * time.Second)
		require.Equal(t, batch.Completed, state(t, a, testJob(1, 4).ID))
		require.Equal(t, 5, cl.workers.startCount(), "a task ran again after the store's outage")
		require.False(t, cl.store.has(keysOfCell(0).jobs+testJob(2, 1).ID))
	})
}

// A leader that lost the store, and was replaced without knowing it, must not report a
// state that may be out of date.
func TestReplacedLeaderReportsNoStaleState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3*time.Second, "w1")
		defer cl.stop()
		a, b := cl.addNode("a"), cl.addNode("b")
		time.Sleep(3 * time.Second)
		leader, _ := cl.leader()
		old, next := a, b
		if leader == "b" {
			old, next = b, a
		}
		j := testJob(1, 1)
		require.NoError(t, submit(old, j))
		time.Sleep(time.Second)
		require.Equal(t, batch.Active, state(t, old, j.ID))
		cl.store.update(func(s *fakeStore) { s.unansweredClients[leader] = true })
		cl.isolate(leader)
		newest := batch.Active
		for range 60 {
			time.Sleep(200 * time.Millisecond)
			if s := state(t, next, j.ID); s != newest {
				newest = s
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			s, known, err := old.State(ctx, j.ID)
			cancel()
			if err != nil {
				require.ErrorAs(t, err, new(*UnavailableError))
				continue
			}
			require.True(t, known)
			if newest.Final() {
				require.Equal(t, newest, s)
			}
		}
		require.Equal(t, batch.Completed, newest)
	})
}

// A leader whose calls stall continues later with what it had decided: its commands and
// commits go out after another leader has taken over, and must start no task twice.
func TestStalledLeaderStartsNoTaskTwice(t *testing.T) {
	for _, c := range []struct {
		name  string
		stall time.Duration
	}{
		{"for less than its lease", 900 * time.Millisecond},
		{"for longer than its lease", 3 * time.Second},
		{"for longer than the lease of runs", 8 * time.Second},
		{"for longer than any lease", 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 800*time.Millisecond, "w1", "w2", "w3")
				defer cl.stop()
				for _, name := range []string{"a", "b", "c"} {
					cl.addNode(name)
				}
				time.Sleep(2 * time.Second)
				var (
					mu       sync.Mutex
					jobs     []string
					inFlight sync.WaitGroup
				)
				submitThrough := func(node *Scheduler, id int) {
					if submit(node, testJob(id, 3)) == nil {
						mu.Lock()
						defer mu.Unlock()
						jobs = append(jobs, testJob(id, 3).ID)
					}
				}
				// The leader freezes amid submissions, with commits and commands under way.
				for turn := range 3 {
					name, leader := cl.leader()
					for leader == nil {
						time.Sleep(100 * time.Millisecond)
						name, leader = cl.leader()
					}
					for i := range 5 {
						submitThrough(cl.nodes[name], 100*turn+i)
						time.Sleep(time.Duration(7*turn+13) * time.Millisecond)
					}
					frozen := cl.nodes[name]
					inFlight.Go(func() { submitThrough(frozen, 100*turn+90) })
					time.Sleep(time.Duration(turn) * time.Millisecond)
					thaw := cl.freeze(name)
					time.Sleep(c.stall / 2)
					other := "a"
					if name == other {
						other = "b"
					}
					submitThrough(cl.nodes[other], 100*turn+50)
					time.Sleep(c.stall / 2)
					thaw()
					time.Sleep(3 * time.Second)
				}
				inFlight.Wait()
				time.Sleep(20 * time.Second)
				require.NotEmpty(t, jobs)
				for _, id := range jobs {
					require.Equal(t, batch.Completed, state(t, cl.nodes["a"], id), id)
				}
			})
		})
	}
}

// The tasks of a worker that is lost together with the leader wait until the worker's lease
// is guaranteed to have expired. The loss of the next leader must not restart this wait.
func TestNextLeaderDoesNotRestartWaitForLostWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3*time.Second, "w1", "w2")
		defer cl.stop()
		for _, name := range []string{"a", "b", "c"} {
			cl.addNode(name)
		}
		time.Sleep(2 * time.Second)
		j := testJob(1, 8)
		first, _ := cl.leader()
		require.NoError(t, submit(cl.nodes[first], j))
		time.Sleep(500 * time.Millisecond)
		cl.workers.update(func(f *fakeWorkers) { f.workers["w1"].unresponsive = true })
		cl.store.remove(testPrefix + "w1")
		cl.kill(first)
		lostAt := time.Now()
		time.Sleep(15 * time.Second)
		second, _ := cl.leader()
		cl.kill(second)
		var last *Scheduler
		for _, node := range cl.nodes {
			last = node
		}
		for state(t, last, j.ID) != batch.Completed {
			time.Sleep(500 * time.Millisecond)
			require.Less(t, time.Since(lostAt), last.homeMember(j.ID).unreachedRunLimit()+10*time.Second)
		}
	})
}

// A leader that the store refuses has to be asked until it has stopped, so that the tasks
// of a worker that is lost meanwhile wait no longer than the worker's lease.
func TestReplacedLeaderIsAskedUntilItRetires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 3*time.Second, "w1", "w2")
		defer cl.stop()
		cl.addNode("a")
		cl.addNode("b")
		time.Sleep(20 * time.Second)
		leader, _ := cl.leader()
		j := testJob(1, 8)
		require.NoError(t, submit(cl.nodes[leader], j))
		time.Sleep(500 * time.Millisecond)
		cl.workers.update(func(f *fakeWorkers) { f.workers["w1"].unresponsive = true })
		cl.store.remove(testPrefix + "w1")
		cl.store.update(func(s *fakeStore) { s.refusedClients[leader] = true })
		other := "a"
		if leader == other {
			other = "b"
		}
		time.Sleep(lease.Longer(batch.DefaultTiming().MaxLease) + leaderTTL + 10*time.Second)
		require.Equal(t, batch.Completed, state(t, cl.nodes[other], j.ID))
	})
}

// Two leaders were replaced one after the other, and both may still renew leases. The second
// one's answer that it has stopped must not count for the first.
func TestEachReplacedLeaderHasToConfirm(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	var mu sync.Mutex
	retired := map[string]bool{}
	unanswered := false
	s := &Scheduler{
		ID: "c/1", Address: "c", Timing: batch.DefaultTiming(), Log: eventlog.Discard(), Now: func() time.Time { return now },
		Peer: func(address string, _ int) (*Calls, error) {
			return &Calls{Retired: func(context.Context, int64) (bool, error) {
				mu.Lock()
				defer mu.Unlock()
				if unanswered {
					return true, errUnreachable
				}
				return retired[address], nil
			}}, nil
		},
	}
	s.setCellCount(1)
	m := s.homeMember("")
	record := wireTerms{}
	for i, name := range []string{"a", "b"} {
		value, err := json.Marshal(record)
		require.NoError(t, err)
		record = m.successor(store.Entry{Value: value, Revision: int64(i)}, true)
		record.Serving.leaderID = leaderID{ID: name, Address: name}
	}
	value, err := json.Marshal(record)
	require.NoError(t, err)
	record = m.successor(store.Entry{Value: value, Revision: 2}, true)
	leader := &Leader{Token: 3, terms: newTerms(record, 3, s.renewalLimit(), now)}
	allRetired := func() bool {
		m.askOpenTerms(context.Background(), leader, leader.terms.openAt(now))
		return len(leader.terms.openAt(now)) == 0
	}
	unanswered = true
	require.False(t, allRetired())
	require.Len(t, leader.terms.openAt(now), 2, "a call without an answer confirms nothing")
	unanswered = false
	retired["b"] = true
	require.False(t, allRetired(), "a may still renew leases")
	require.Equal(t, "a", leader.terms.openAt(now)[0].ID)
	retired["a"] = true
	require.True(t, allRetired())
	leader.terms = newTerms(record, 3, s.renewalLimit(), now)
	retired["a"] = false
	require.False(t, allRetired())
	now = now.Add(lease.Longer(s.renewalLimit()) + 2*time.Millisecond)
	require.True(t, allRetired(), "a can no longer renew leases")
}

// Guards against a candidacy that is delayed for longer than leases at workers last, although only
// nodes with a small CPU share are left.
func TestRunsOutlastTakeoverBySmallNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 30*time.Second, "w1", "w2", "w3")
		defer cl.stop()
		cl.shares["small"], cl.shares["other"] = 0.1, 0.1
		cl.addNode("large")
		time.Sleep(3 * time.Second)
		cl.addNode("small")
		cl.addNode("other")
		time.Sleep(3 * time.Second)
		require.NoError(t, submit(cl.nodes["large"], testJob(1, 8)))
		time.Sleep(2 * time.Second)
		require.Equal(t, 8, cl.workers.startCount())
		cl.store.update(func(s *fakeStore) {
			for name := range cl.nodes {
				s.latency[name] = 300 * time.Millisecond
			}
		})
		time.Sleep(2 * time.Second)
		cl.kill("large")
		time.Sleep(15 * time.Second)
		require.Equal(t, 8, cl.workers.startCount(), "a task ran again under the new leader")
	})
}

// Guards against an accepted job that never runs: no node led when it was submitted, and its queue was
// removed before the next leader found it in the inbox.
func TestJobFromInboxRunsThoughItsQueueWasRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		cl.addNode("a")
		cl.addNode("b")
		time.Sleep(3 * time.Second)
		leader, _ := cl.leader()
		cl.kill(leader)
		j := testJob(1, 2)
		for _, other := range cl.nodes {
			require.NoError(t, submit(other, j))
			other.SetTable(batch.QueueConfig{Version: 2, Queues: map[string]batch.Queue{}})
			time.Sleep(10 * time.Second)
			require.Equal(t, batch.Completed, state(t, other, j.ID))
		}
	})
}
