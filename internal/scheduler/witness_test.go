package scheduler

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/internal/store"
)

// maxTimeWithoutRun is how long a long-running task may have no run while there is capacity: the users' rule
// asks for a run within 6 s and counts what is missing for 3 s.
const maxTimeWithoutRun = 9 * time.Second

// workerNames returns the names of n workers.
func workerNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("w%d", i+1)
	}
	return names
}

// newSettledCluster returns a cluster of three nodes and n workers that have run for a while, and the
// name of its leader. One job runs in it, with the given number of tasks.
func newSettledCluster(t *testing.T, workers, tasks int) (cl *cluster, leader string) {
	return newSettledClusterWith(t, workers, testJob(1, tasks))
}

// newSettledClusterWith is newSettledCluster with another job.
func newSettledClusterWith(t *testing.T, workers int, job batch.Job) (cl *cluster, leader string) {
	cl = newCluster(t, 10*time.Minute, workerNames(workers)...)
	for _, name := range []string{"a", "b", "c"} {
		cl.addNode(name)
	}
	time.Sleep(20 * time.Second)
	leader = cl.awaitLeader()
	require.NoError(t, submit(cl.nodes[leader], job))
	time.Sleep(2 * time.Second)
	require.Equal(t, job.Steps[0].Tasks, cl.runningOn(workerNames(workers)...))
	return cl, leader
}

// Guards against tasks that have no run for 20 s after their worker and the leader were lost together:
// nobody confirms that such a leader has stopped.
func TestTasksOfWorkerLostWithItsLeaderRunAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(cl *cluster, leader string)
	}{
		{"leader lost", func(cl *cluster, leader string) { cl.crash(leader) }},
		{"leader cut off from everything", func(cl *cluster, leader string) {
			cl.isolate(leader)
			cl.store.update(func(s *fakeStore) { s.refusedClients[leader] = true })
		}},
		{"planned stop that the store does not answer", func(cl *cluster, leader string) {
			cl.store.update(func(s *fakeStore) { s.unansweredClients[leader] = true })
			cl.nodes[leader].StepDown()
			time.Sleep(time.Second)
			cl.crash(leader)
		}},
		{"the next leader lost, too, before it has served", func(cl *cluster, leader string) {
			cl.crash(leader)
			for cl.storedLeader() == "" || cl.storedLeader() == leader {
				time.Sleep(time.Millisecond)
			}
			cl.crash(cl.storedLeader())
		}},
		{"the next leader lost, too", func(cl *cluster, leader string) {
			cl.crash(leader)
			next := cl.awaitOther(leader)
			time.Sleep(3 * time.Second)
			cl.crash(next)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl, leader := newSettledCluster(t, 6, 12)
				defer cl.stop()
				cl.lose("w1")
				c.lose(cl, leader)
				cl.awaitRunning(12, maxTimeWithoutRun, workerNames(6)[1:]...)
			})
		})
	}
}

// Guards against LOST, "is to last and doesn't run": runs are stopped since their worker drains, it leaves, and
// the leader is lost for good before it has committed their ends.
func TestTasksOfDrainedWorkerRunAgainAfterLossOfLeader(t *testing.T) {
	for _, c := range []struct {
		name string
		// undurable makes the leader's commits fail from the drain on.
		undurable func(s *fakeStore, leader string)
	}{
		{"commits take effect too late", func(s *fakeStore, _ string) {
			s.loseAnswer = func(store.Txn) (bool, time.Duration) { return true, 20 * time.Second }
		}},
		{"commits have no effect", func(s *fakeStore, _ string) {
			s.loseAnswer = func(store.Txn) (bool, time.Duration) { return true, time.Hour }
		}},
		{"calls get no answer", func(s *fakeStore, leader string) { s.unansweredClients[leader] = true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				job := testJob(1, 12)
				job.Steps = job.Steps[:1]
				job.Steps[0].LongRunning = true
				cl, leader := newSettledClusterWith(t, 6, job)
				defer cl.stop()
				cl.store.put(testPrefix+"w1", []byte("w1"+drainingEntry))
				time.Sleep(10 * time.Millisecond)
				cl.store.update(func(s *fakeStore) { c.undurable(s, leader) })
				for cl.runningOn("w1") > 0 {
					time.Sleep(time.Millisecond)
				}
				cl.lose("w1")
				cl.crash(leader)
				cl.store.update(func(s *fakeStore) { s.loseAnswer = nil })
				cl.awaitRunning(12, maxTimeWithoutRun, workerNames(6)[1:]...)
			})
		})
	}
}

// storedLeader returns the name of the node that the leader's key names, empty if there is no key.
func (cl *cluster) storedLeader() (name string) {
	cl.store.update(func(s *fakeStore) { name = decodeLeader(s.items[keysOfCell(0).leader]).Address })
	return name
}

// Guards against two runs of a task: a leader that lost the store and reaches half of the workers goes on
// renewing leases there, and the others, which reach the rest, must wait until it gives up.
func TestLeaderThatHalfOfTheWorkersAnswerIsWaitedFor(t *testing.T) {
	for workers := 2; workers <= 7; workers++ {
		for reached := 1; reached < workers; reached++ {
			t.Run(fmt.Sprintf("%d of %d", reached, workers), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl, leader := newSettledCluster(t, workers, 2*workers)
					defer cl.stop()
					names := workerNames(workers)
					cl.cut(leader, names[reached:]...)
					for _, name := range others(leader) {
						cl.cut(name, names[:reached]...)
					}
					cl.cutPeers(leader)
					cl.store.update(func(s *fakeStore) { s.refusedClients[leader] = true })
					timing := batch.DefaultTiming()
					cl.awaitRunning(2*workers, lease.Longer(timing.RenewGrace+leaderTTL+timing.MaxLease)+5*time.Second, names[reached:]...)
				})
			})
		}
	}
}

// Guards against two runs of a task: the answers on which a former leader renews a lease are older than those
// that its successor gets from the same workers.
func TestLeaderThatItsWitnessesHaveJustAnsweredIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, leader := newSettledCluster(t, 6, 12)
		defer cl.stop()
		reached := workerNames(6)[1:]
		for _, name := range others(leader) {
			cl.cut(name, "w1")
		}
		cl.cutPeers(leader)
		cl.store.update(func(s *fakeStore) { s.refusedClients[leader] = true })
		for cl.storedLeader() == leader {
			time.Sleep(time.Millisecond)
		}
		cl.cut(leader, reached...)
		cl.awaitRunning(12, maxTimeWithoutRun+witnessWindow, reached...)
	})
}

// Guards against a record that outlives its meaning: for how long an earlier term may renew leases, and
// which workers tell, must come from the record as long as it can be read, or else be the longest time.
func TestRecordTellsTheWitnessesOfEarlierTerms(t *testing.T) {
	set := batch.Witnesses{1, 5, 9}
	limit := func(s *Scheduler) time.Duration { return s.renewalLimit() }
	for _, c := range []struct {
		name   string
		former wireTerm
		// renews is the least time for which the former leader may renew leases.
		renews func(s *Scheduler) time.Duration
		want   batch.Witnesses
	}{
		{"witnessed", wireTerm{Witnessed: true, Witnesses: set.Encode()}, limit, set},
		{"before its first record", wireTerm{Witnessed: true}, func(*Scheduler) time.Duration { return leaderTTL }, nil},
		{"earlier version", wireTerm{}, limit, nil},
		{"earlier version with a set", wireTerm{Witnesses: set.Encode()}, limit, nil},
		{"unreadable set", wireTerm{Witnessed: true, Witnesses: []byte("odd")}, limit, nil},
		{"set in another order", wireTerm{Witnessed: true, Witnesses: batch.Witnesses{5, 1}.Encode()}, limit, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			s := &Scheduler{ID: "c/1", Address: "c", Timing: batch.DefaultTiming(), Log: eventlog.Discard()}
			m := &cellMember{scheduler: s, Log: s.Log}
			c.former.leaderID, c.former.Token = leaderID{ID: "a/1", Address: "a"}, 7
			value, err := json.Marshal(wireTerms{Serving: &c.former, Last: 7})
			require.NoError(t, err)
			for token := int64(8); token < 11; token++ {
				record := m.successor(store.Entry{Value: value, Revision: token}, true)
				require.True(t, record.Serving.Witnessed)
				terms := newTerms(record, token, s.renewalLimit(), now)
				open := terms.openAt(now)
				require.NotEmpty(t, open)
				require.Equal(t, int64(7), open[0].Token)
				require.Equal(t, c.want, open[0].witnesses)
				require.False(t, open[0].renewsUntil.Before(now.Add(c.renews(s))))
				value, err = terms.value(now, true)
				require.NoError(t, err)
			}
		})
	}
}

// Guards against a leader that renews leases by the answers of a set of witnesses that is not the one in
// the store: while it is not known which one is, both have to answer.
func TestSetInDoubtHasToAnswer(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	terms := newTerms(wireTerms{Serving: &wireTerm{}}, 1, time.Minute, now)
	write := func() {
		_, err := terms.beginWrite(now)
		require.NoError(t, err)
	}
	first, second := batch.Witnesses{1, 2}, batch.Witnesses{3, 4}
	require.True(t, terms.updateWitnesses(first))
	require.Empty(t, terms.storedWitnesses())
	write()
	require.Empty(t, terms.storedWitnesses(), "the store may have no set")
	terms.endWrite(true)
	require.Equal(t, []batch.Witnesses{first}, terms.storedWitnesses())
	require.False(t, terms.updateWitnesses(first))
	require.True(t, terms.updateWitnesses(second))
	require.Equal(t, []batch.Witnesses{first}, terms.storedWitnesses())
	write()
	require.Equal(t, []batch.Witnesses{first, second}, terms.storedWitnesses())
	terms.endWrite(false)
	require.Equal(t, []batch.Witnesses{first, second}, terms.storedWitnesses())
	require.False(t, terms.updateWitnesses(first), "a third set while one is in doubt")
	require.True(t, terms.isDue())
	write()
	terms.endWrite(true)
	require.Equal(t, []batch.Witnesses{second}, terms.storedWitnesses())
}

// Guards against quorums that do not share a worker.
func TestQuorumsOverlap(t *testing.T) {
	for n := 1; n <= 1200; n++ {
		require.Positive(t, renewalQuorum(n))
		require.Equal(t, n+1, renewalQuorum(n)+fencingQuorum(n))
	}
}

// Guards against runs that are given up in an outage of the store, in which nobody can replace the
// leader: half of the workers answer it, most of which run nothing.
func TestRunsOutlastOutageWithHalfOfTheWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl, leader := newSettledCluster(t, 12, 2)
		defer cl.stop()
		var busy, idle []string
		for _, name := range workerNames(12) {
			if cl.runningOn(name) > 0 {
				busy = append(busy, name)
			} else {
				idle = append(idle, name)
			}
		}
		require.NotEmpty(t, idle)
		cl.cut(leader, idle[:6]...)
		cl.store.update(func(s *fakeStore) { s.refuseAll = true })
		grace := batch.DefaultTiming().RenewGrace
		for range grace / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, 2, cl.runningOn(busy...))
		}
		cl.store.update(func(s *fakeStore) { s.refuseAll = false })
		time.Sleep(5 * time.Second)
		require.Equal(t, 2, cl.workers.startCount())
		require.False(t, slices.ContainsFunc(idle, func(name string) bool { return cl.runningOn(name) > 0 }))
	})
}
