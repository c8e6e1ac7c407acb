package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Guards against tasks that have no run for over 10 s although their worker never had another incarnation:
// it was lost soon after its start, and after leaders had changed. If a leader was lost as well, the next
// one cannot know that.
func TestYoungWorkerIsWaitedForAsKnownByEarlierLeaders(t *testing.T) {
	for _, c := range []struct {
		name string
		// late means that the worker that is lost starts in the second term.
		late  bool
		crash bool
		long  bool
	}{
		{name: "planned stops"},
		{name: "planned stops, a worker that starts in the second term", late: true},
		{name: "the first leader is lost", crash: true, long: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 10*time.Minute, "w1", "w2", "w3")
				defer cl.stop()
				cl.workers.age = time.Second
				if c.late {
					cl.store.remove(testPrefix + "w1")
				}
				for _, name := range []string{"a", "b", "c"} {
					cl.addNode(name)
				}
				time.Sleep(2 * time.Second)
				first := cl.awaitLeader()
				if c.crash {
					cl.crash(first)
					time.Sleep(3 * time.Second)
				} else {
					cl.nodes[first].StepDown()
					time.Sleep(500 * time.Millisecond)
				}
				second := cl.awaitLeader()
				require.NotEqual(t, first, second)
				if c.late {
					cl.store.put(testPrefix+"w1", []byte("w1"))
				}
				time.Sleep(500 * time.Millisecond)
				require.NoError(t, submit(cl.nodes[second], testJob(1, 9)))
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, 9, cl.runningOn("w1", "w2", "w3"))
				require.Positive(t, cl.runningOn("w1"))
				cl.lose("w1")
				cl.nodes[second].StepDown()
				waited := cl.awaitRunning(9, 20*time.Second, "w2", "w3")
				timing := batch.DefaultTiming()
				if c.long {
					require.Greater(t, waited, timing.MaxLease)
				} else {
					require.Less(t, waited, timing.Lease+time.Second)
				}
			})
		})
	}
}
