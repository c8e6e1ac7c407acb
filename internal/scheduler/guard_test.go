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

// A panic while a worker's answer is handled has to count as no answer; the term goes on,
// and other workers are served.
func TestPanicOnWorkerAnswerFailsOnlyThatCall(t *testing.T) {
	for _, c := range []struct {
		name  string
		polls bool
	}{
		{name: "look", polls: true},
		{name: "order"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1", "w2")
				defer cl.stop()
				cl.wrapWorkers = func(workers Workers) Workers {
					wrapped := workers
					wrapped.Poll = func(ctx context.Context, request batch.Poll, wait time.Duration, token int64) (batch.Report, error) {
						if c.polls && request.Worker == "w1" {
							panic("odd report")
						}
						return workers.Poll(ctx, request, wait, token)
					}
					wrapped.Execute = func(ctx context.Context, call batch.Call, token int64) batch.Result {
						if !c.polls && call.Worker == "w1" && call.Kind == batch.CommandStart {
							panic("odd answer")
						}
						return workers.Execute(ctx, call, token)
					}
					return wrapped
				}
				a := cl.addNode("a")
				time.Sleep(2 * time.Second)
				_, first := cl.leader()
				require.NotNil(t, first)
				require.NoError(t, submit(a, testJob(1, 8)))
				time.Sleep(60 * time.Second)
				require.Equal(t, batch.Completed, state(t, a, testJob(1, 8).ID))
				_, last := cl.leader()
				require.Same(t, first, last, "the term ended")
			})
		})
	}
}

// A panic within the core has to end the term instead of the process and release
// the lock; the next leader continues from the records.
func TestPanicInCoreEndsTermNotProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		a, b := cl.addNode("a"), cl.addNode("b")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(a, testJob(1, 8)))
		name, leader := cl.leader()
		leader.goGuarded("test", func() { leader.withLock(func() { panic("half changed") }) })
		time.Sleep(10 * time.Second)
		_, next := cl.leader()
		require.NotNil(t, next, "no leader after %s", name)
		require.Greater(t, next.Token, leader.Token)
		require.Equal(t, batch.Completed, state(t, b, testJob(1, 8).ID))
	})
}

// Guards against a half-changed core that is committed after a panic, before the term has ended.
func TestHalfChangedCoreIsNotCommitted(t *testing.T) {
	for _, c := range []struct {
		name string
		// planned means that the node is stopping when the core panics.
		planned bool
		// repeat is how often the case is tried, since the leader may notice the end of its term first.
		repeat int
	}{
		{name: "amid a term", repeat: 12},
		{name: "amid a planned stop", planned: true, repeat: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			for range c.repeat {
				synctest.Test(t, func(t *testing.T) {
					cl := newCluster(t, 4*time.Second, "w1")
					defer cl.stop()
					cl.addNode("a")
					time.Sleep(2 * time.Second)
					_, leader := cl.leader()
					b := cl.addNode("b")
					time.Sleep(time.Second)
					j := testJob(1, 1)
					require.NoError(t, submit(b, j))
					time.Sleep(time.Second)
					cl.store.update(func(s *fakeStore) { s.latency["a"] = 100 * time.Millisecond })
					go func() { _ = submit(b, testJob(2, 1)) }()
					time.Sleep(50 * time.Millisecond)
					if c.planned {
						cl.nodes["a"].StepDown()
					}
					leader.goGuarded("test", func() {
						leader.withLock(func() {
							leader.core.Cancel(j.ID, leader.Now(), nil)
							panic("half changed")
						})
					})
					time.Sleep(20 * time.Second)
					require.Equal(t, batch.Completed, state(t, b, j.ID))
				})
			}
		})
	}
}

// A panic within the core over a submission has to end the term and release the lock; a leader that
// keeps it renews no lease and answers no call.
func TestPanicOnSubmissionEndsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1", "w2")
		defer cl.stop()
		a := cl.addNode("a")
		cl.addNode("b")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(a, testJob(1, 8)))
		_, leader := cl.leader()
		// The other activities of the leader would panic first if they were still busy.
		synctest.Wait()
		leader.withLock(func() {
			// A core that was not made by NewCore cannot add a job.
			leader.core = &batch.Core{}
			leader.core.SetQueueConfig(testTable())
		})
		func() {
			defer func() { require.Nil(t, recover(), "the panic reaches the caller") }()
			require.ErrorAs(t, leader.submit(t.Context(), testJob(2, 1)), new(*UnknownOutcomeError))
		}()
		time.Sleep(30 * time.Second)
		_, next := cl.leader()
		require.NotNil(t, next)
		require.NotSame(t, leader, next)
		require.Equal(t, batch.Completed, state(t, a, testJob(1, 8).ID))
	})
}

// Guards against a record that ends the process of each leader that reads it. The other jobs of the
// cell are served.
func TestLeaderOutlivesInvalidRecord(t *testing.T) {
	for _, c := range []struct {
		name   string
		record string
	}{
		{"no object", `[]`},
		{"negative number of tasks", `{"id":"00000000000000ff","queue":"check","state":"queued","steps":[{"tasks":-1}],"occurrences":1}`},
		{"more tasks than a job may have", `{"id":"00000000000000ff","queue":"check","state":"queued","steps":[{"tasks":1000000000000}],"occurrences":1}`},
		{"more occurrences than the job has", `{"id":"00000000000000ff","queue":"check","state":"queued","steps":[{"tasks":1}],"occurrences":1000000000000}`},
		{"unknown stage", `{"id":"00000000000000ff","queue":"check","state":"queued","steps":[{"tasks":1}],"occurrences":1,"stages":[{"stage":7}]}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1", "w2")
				defer cl.stop()
				cl.store.put("pond/job/00000000000000ff", []byte(c.record))
				a := cl.addNode("a")
				time.Sleep(4 * time.Second)
				require.NoError(t, submit(a, testJob(1, 8)))
				time.Sleep(10 * time.Second)
				require.Equal(t, batch.Completed, state(t, a, testJob(1, 8).ID))
			})
		})
	}
}

// A record on which the core panics has to count as unreadable.
func TestPanicOnRecordIsAnError(t *testing.T) {
	l := &Leader{Log: eventlog.Discard()}
	var fault *RecordFaultError
	require.ErrorAs(t, l.restoreRecord(nil, []byte(`{"state":"queued","steps":[{"tasks":1}]}`), time.Now()), &fault)
}
