package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Guards against tasks that wait for a worker which has left, although it had reported their end: a
// leader that is stopped as planned has to commit what it knows.
func TestPlannedStopCommitsReportedEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const duration = 2 * time.Second
		cl := newCluster(t, duration, "w1")
		defer cl.stop()
		cl.addNode("a")
		time.Sleep(3 * time.Second)
		cl.addNode("b")
		time.Sleep(time.Second)
		require.NoError(t, submit(cl.nodes["a"], testJob(1, 3)))
		for cl.workers.startCount() < 3 {
			time.Sleep(time.Millisecond)
		}
		// The ends are reported, but their commit is still under way when the leader is stopped.
		time.Sleep(duration / 2)
		cl.store.update(func(s *fakeStore) { s.latency["a"] = 150 * time.Millisecond })
		for cl.runningOn("w1") > 0 {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		require.Equal(t, 3, cl.workers.startCount(), "the ends were committed before the stop")
		cl.nodes["a"].StepDown()
		cl.lose("w1")
		cl.workers.update(func(f *fakeWorkers) {
			f.workers["w2"] = &fakeWorker{running: map[batch.TaskName]*fakeRun{}, highestEndedRun: map[batch.TaskName]int64{}, changed: make(chan struct{})}
		})
		cl.store.put(testPrefix+"w2", []byte("w2"))
		time.Sleep(4 * time.Second)
		require.Equal(t, batch.Completed, state(t, cl.nodes["b"], testJob(1, 3).ID))
		require.Equal(t, 4, cl.workers.startCount(), "a task ran again")
	})
}

// Guards against a planned stop that is held up by a store that does not answer: the node's other
// calls wait for it, and its lease expires meanwhile.
func TestPlannedStopDoesNotWaitForStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 10*time.Second, "w1")
		defer cl.stop()
		a := cl.addNode("a")
		time.Sleep(3 * time.Second)
		require.NoError(t, submit(a, testJob(1, 3)))
		cl.store.update(func(s *fakeStore) { s.unresponsive = true })
		go func() { _ = submit(a, testJob(2, 3)) }()
		time.Sleep(100 * time.Millisecond)
		a.StepDown()
		time.Sleep(commitTimeout + renewTimeout + 200*time.Millisecond)
		require.False(t, a.IsLeader())
		cl.store.update(func(s *fakeStore) { s.unresponsive = false })
	})
}
