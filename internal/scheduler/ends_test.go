package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// loseCancel cancels a job through its leader, which loses the store at the same moment and crashes after the runs of the job have
// ended: stops take longer than the runs.
func (cl *cluster) loseCancel(id string) {
	leader, _ := cl.leader()
	cl.store.update(func(s *fakeStore) { s.unansweredClients[leader] = true })
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := cl.nodes[leader].Cancel(ctx, id)
	require.Error(cl.t, err, "the commit of the cancel has an answer")
	time.Sleep(time.Second)
	cl.crash(leader)
}

// Guards against a start after an end that was acknowledged: the leader had told the worker to forget it while the commit of
// the job's cancel was in progress, and then lost that commit with its term.
func TestLostCancelStartsNoEndedTask(t *testing.T) {
	for _, c := range []struct {
		name  string
		tasks int
		// cancels is how many leaders in a row lose their commit of the cancel.
		cancels int
	}{
		{name: "one task", tasks: 1, cancels: 1},
		{name: "two tasks on one worker", tasks: 2, cancels: 1},
		{name: "two commits lost in a row", tasks: 1, cancels: 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, 1200*time.Millisecond, "w1")
				cl.wrapWorkers = func(calls Workers) Workers {
					execute := calls.Execute
					calls.Execute = func(ctx context.Context, call batch.Call, token int64) batch.Result {
						if call.Kind == batch.CommandStop {
							return batch.Result{Answer: batch.AnswerDone, Clock: cl.workers.clock(), Incarnation: 1}
						}
						return execute(ctx, call, token)
					}
					return calls
				}
				defer cl.stop()
				for _, name := range []string{"a", "b", "c"} {
					cl.addNode(name)
				}
				time.Sleep(2 * time.Second)
				// Its task keeps the worker busy, so that it is polled.
				other := testJob(2, 1)
				cl.workers.durations = map[string]time.Duration{other.ID: time.Hour}
				j := testJob(1, c.tasks)
				j.Steps = j.Steps[:1]
				first, _ := cl.leader()
				require.NoError(t, submit(cl.nodes[first], other))
				require.NoError(t, submit(cl.nodes[first], j))
				time.Sleep(800 * time.Millisecond)
				for range c.cancels {
					cl.loseCancel(j.ID)
					for started := time.Now(); time.Since(started) < 20*time.Second && cl.workers.startCount() == c.tasks+1; {
						time.Sleep(10 * time.Millisecond)
					}
					if cl.workers.startCount() == c.tasks+1 {
						break
					}
				}
				time.Sleep(10 * time.Second)
				require.Equal(t, c.tasks+1, cl.workers.startCount())
			})
		})
	}
}
