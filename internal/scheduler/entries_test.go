package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
)

// jobsOn returns the number of tasks that a worker has run or runs, by job.
func (f *fakeWorkers) jobsOn(worker string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := map[string]int{}
	for name := range f.workers[worker].highestEndedRun {
		count[name.Job]++
	}
	for name := range f.workers[worker].running {
		count[name.Job]++
	}
	return count
}

// Guards against starts on a worker whose entry was overwritten by one that cannot be decoded,
// against the loss of its runs, and against a list that is no longer followed afterwards.
func TestWorkerWithUnreadableEntryKeepsRunsAndGetsNone(t *testing.T) {
	relist := func(cl *cluster) {
		_, leader := cl.leader()
		var s store.Snapshot
		cl.store.update(func(f *fakeStore) { s = store.Snapshot{Entries: f.withPrefix(testPrefix), Revision: f.revision} })
		leader.workerSnapshot(s)
	}
	for _, c := range []struct {
		name   string
		follow func(cl *cluster)
	}{
		{name: "by watch", follow: func(*cluster) {}},
		{name: "by listing", follow: relist},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 5*time.Second, "w1", "w2")
				defer cl.stop()
				cl.store.put(testPrefix+"odd", []byte(oddEntry))
				a := cl.addNode("a")
				time.Sleep(2 * time.Second)
				before, during, after := testJob(1, 16), testJob(2, 16), testJob(3, 16)
				require.NoError(t, submit(a, before))
				time.Sleep(time.Second)
				require.Positive(t, cl.workers.jobsOn("w2")[before.ID])

				cl.store.put(testPrefix+"w2", []byte(oddEntry))
				c.follow(cl)
				time.Sleep(time.Second)
				require.NoError(t, submit(a, during))
				time.Sleep(20 * time.Second)
				require.Equal(t, batch.Completed, state(t, a, before.ID))
				require.Equal(t, batch.Completed, state(t, a, during.ID))
				require.Zero(t, cl.workers.jobsOn("w2")[during.ID], "tasks were started on a worker whose entry is unreadable")
				require.Equal(t, 2*17, cl.workers.startCount(), "runs were lost and started again")

				cl.store.put(testPrefix+"w2", []byte("w2"))
				c.follow(cl)
				time.Sleep(time.Second)
				require.NoError(t, submit(a, after))
				time.Sleep(20 * time.Second)
				require.Equal(t, batch.Completed, state(t, a, after.ID))
				require.Positive(t, cl.workers.jobsOn("w2")[after.ID], "a worker whose entry is readable again is not used")
			})
		})
	}
}
