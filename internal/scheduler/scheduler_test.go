package scheduler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

func TestJobRunsThroughItsSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		a, b := cl.addNode("a"), cl.addNode("b")
		time.Sleep(2 * time.Second)
		j := testJob(1, 6)
		submittedAt := time.Now()
		require.NoError(t, submit(a, j))
		require.Less(t, time.Since(submittedAt), 100*time.Millisecond)
		require.NoError(t, submit(b, j), "a repeated submission is the same job")
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, batch.Active, state(t, b, j.ID))
		time.Sleep(2 * time.Second)
		require.Equal(t, batch.Completed, state(t, a, j.ID))
		require.Equal(t, 7, cl.workers.startCount())
	})
}

// A term ends while a commit is under way. The commit must not count as done: callers
// were once told that a job was accepted which the store never received.
func TestTermEndDuringCommitAcknowledgesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		a := cl.addNode("a")
		time.Sleep(2 * time.Second)
		name, leader := cl.leader()
		require.Equal(t, "a", name)
		cl.store.update(func(s *fakeStore) { s.unresponsive = true })
		result := make(chan error, 1)
		go func() { result <- submit(a, testJob(1, 1)) }()
		time.Sleep(300 * time.Millisecond)
		leader.endTerm("test")
		require.Error(t, <-result)
		cl.store.update(func(s *fakeStore) { s.unresponsive = false })
		time.Sleep(5 * time.Second)
		require.False(t, cl.store.has(keysOfCell(0).jobs+testJob(1, 1).ID))
	})
}

// An unanswered commit may take effect at once, or seconds later. Either way each task has
// to run exactly once.
func TestUnansweredCommitsAreResolved(t *testing.T) {
	for _, c := range []struct {
		name string
		late time.Duration
	}{
		{name: "applied at once"},
		{name: "applied later", late: 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1", "w2")
				defer cl.stop()
				a := cl.addNode("a")
				time.Sleep(2 * time.Second)
				n := 0
				cl.store.update(func(s *fakeStore) {
					s.loseAnswer = func(store.Txn) (bool, time.Duration) {
						n++
						return n%3 == 0, c.late
					}
				})
				for i := range 10 {
					require.NoError(t, submit(a, testJob(i, 3)))
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				for i := range 10 {
					require.Equal(t, batch.Completed, state(t, a, testJob(i, 3).ID))
				}
				require.Equal(t, 40, cl.workers.startCount(), "a task ran again")
			})
		})
	}
}

// After the loss of all nodes many submissions wait in the inbox; all of them and
// their keys together exceed what the store accepts in one commit.
func TestInboxLargerThanOneCommitIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		for i := range 60 {
			value, err := batch.EncodeJob(testJob(i, 1))
			require.NoError(t, err)
			cl.store.put(keysOfCell(0).inbox+testJob(i, 1).ID, value)
			if i%2 == 0 {
				cl.store.put(keysOfCell(0).inbox+testJob(i, 1).ID+cancelSuffix, []byte("{}"))
			}
		}
		a := cl.addNode("a")
		time.Sleep(15 * time.Second)
		for i := range 60 {
			want := batch.Completed
			if i%2 == 0 {
				want = batch.Cancelled
			}
			require.Equal(t, want, state(t, a, testJob(i, 1).ID), "job %d", i)
			require.False(t, cl.store.has(keysOfCell(0).inbox+testJob(i, 1).ID))
		}
	})
}

// The leader moves a job from the inbox to its record while a node reads the job's
// state; the job has to be found.
func TestJobLeavingInboxDuringReadStaysKnown(t *testing.T) {
	j := testJob(1, 1)
	value, err := batch.EncodeJob(j)
	require.NoError(t, err)
	moved := false
	m := &cellMember{keys: keysOfCell(0), scheduler: &Scheduler{Store: &store.Client{Read: func(_ context.Context, key string) (store.Entry, bool, error) {
		if key == keysOfCell(0).inbox+j.ID {
			moved = true
			return store.Entry{}, false, nil
		}
		return store.Entry{Key: key, Value: value}, moved, nil
	}}}}
	_, known, err := m.storedState(context.Background(), j.ID)
	require.NoError(t, err)
	require.True(t, known)
}

// A node that the store refuses, and that reaches no leader which the store serves,
// has to relay a submission through another node before it refuses it.
func TestNodeRefusedByStoreRelaysSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		a, b := cl.addNode("a"), cl.addNode("b")
		time.Sleep(3 * time.Second)
		leader, _ := cl.leader()
		refused, other := a, b
		if leader == "b" {
			refused, other = b, a
		}
		refused.Peers = []string{"a", "b"}
		cl.store.update(func(s *fakeStore) { s.refusedClients[leader] = true })
		time.Sleep(time.Second)
		require.NoError(t, submit(refused, testJob(1, 1)))
		time.Sleep(8 * time.Second)
		require.Equal(t, batch.Completed, state(t, other, testJob(1, 1).ID))
	})
}

// While the store is unresponsive, submissions without a commit have to be refused at
// once and must never run; only one whose commit is under way may have an unknown outcome.
func TestUnresponsiveStoreRefusesUncommittedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		a := cl.addNode("a")
		time.Sleep(4 * time.Second)
		cl.store.update(func(s *fakeStore) { s.unresponsive = true })
		results := make(chan error, 20)
		for i := range 20 {
			go func() { results <- submit(a, testJob(i, 1)) }()
			time.Sleep(20 * time.Millisecond)
		}
		submittedAt := time.Now()
		refused := 0
		for range 19 {
			var unavailable *UnavailableError
			if errors.As(<-results, &unavailable) {
				refused++
			}
			if refused == 19 {
				require.Less(t, time.Since(submittedAt), 1500*time.Millisecond)
			}
		}
		require.GreaterOrEqual(t, refused, 18, "more than one commit was under way")
		cl.store.update(func(s *fakeStore) { s.unresponsive = false })
		time.Sleep(10 * time.Second)
		stored := 0
		for i := range 20 {
			if cl.store.has(keysOfCell(0).jobs + testJob(i, 1).ID) {
				stored++
			}
		}
		require.LessOrEqual(t, stored, 20-refused, "a refused job was stored")
	})
}

// A leader that the store refuses does not know the jobs in the inbox. No caller may
// be told that such a job does not exist.
func TestJobInTheInboxIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		a, b := cl.addNode("a"), cl.addNode("b")
		time.Sleep(3 * time.Second)
		leader, _ := cl.leader()
		other, refused := b, a
		if leader == "b" {
			other, refused = a, b
		}
		cl.store.update(func(s *fakeStore) { s.refusedClients[leader] = true })
		time.Sleep(450 * time.Millisecond)
		j := testJob(1, 1)
		value, err := batch.EncodeJob(j)
		require.NoError(t, err)
		cl.store.put(keysOfCell(0).inbox+j.ID, value)
		require.Equal(t, batch.Queued, state(t, other, j.ID))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, known, err := refused.State(ctx, j.ID)
		require.True(t, known || err != nil, "the refused node denies a job in the inbox")
		known, err = other.Cancel(ctx, j.ID)
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(8 * time.Second)
		require.Equal(t, batch.Cancelled, state(t, other, j.ID))
	})
}

// A connection to the leader that hangs for good has to be dropped; one on which
// only a single call was slow has to be kept.
func TestUnresponsiveConnectionIsDropped(t *testing.T) {
	for _, c := range []struct {
		name          string
		otherAnswered bool
		unanswered    bool
		want          int
	}{
		{name: "silent", unanswered: true, want: 1},
		{name: "another call was answered meanwhile", unanswered: true, otherAnswered: true},
		{name: "answered"},
	} {
		t.Run(c.name, func(t *testing.T) {
			drops := 0
			now := time.Unix(1_000_000_000, 0)
			m := &cellMember{Log: eventlog.Discard(), scheduler: &Scheduler{
				Address: "a", Now: func() time.Time { return now },
				DropConnection: func(address string) {
					require.Equal(t, "b", address)
					drops++
				},
			}}
			sent := now
			now = now.Add(time.Second)
			if c.otherAnswered {
				m.recordAnswer("b", sent, false)
			}
			m.recordAnswer("b", sent, c.unanswered)
			require.Equal(t, c.want, drops)
		})
	}
}

// The lease of runs on an unresponsive worker has to expire, however often it is polled.
func TestLeaseOfUnresponsiveWorkerExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 8*time.Second, "w1", "w2")
		defer cl.stop()
		a := cl.addNode("a")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(a, testJob(1, 8)))
		time.Sleep(time.Second)
		cl.workers.update(func(f *fakeWorkers) { f.workers["w1"].unresponsive = true })
		time.Sleep(9 * time.Second)
		cl.workers.update(func(f *fakeWorkers) {
			require.Len(t, f.workers["w2"].running, 4, "tasks of the unresponsive worker do not run elsewhere")
		})
		time.Sleep(25 * time.Second)
		require.Equal(t, batch.Completed, state(t, a, testJob(1, 8).ID))
	})
}
