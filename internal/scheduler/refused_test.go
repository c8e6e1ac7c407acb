package scheduler

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// wideJob returns a job whose record grows with each of its tasks that has a run.
func wideJob(id, tasks int) batch.Job {
	j := testJob(id, tasks)
	j.Steps = j.Steps[:1]
	j.Steps[0].Size = share.Resources{Processors: 100, Memory: 1 << 20}
	return j
}

// Guards against a record that the store refuses and that ends the term of each leader, so that the
// other jobs don't run either.
func TestRefusedRecordDoesNotStopOtherJobs(t *testing.T) {
	const limit = 2000
	for _, c := range []struct {
		name string
		// inInbox submits the jobs through the inbox.
		inInbox bool
	}{
		{name: "through the leader"},
		{name: "through the inbox", inInbox: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1", "w2", "w3", "w4")
				defer cl.stop()
				cl.store.update(func(s *fakeStore) {
					s.refuseValue = func(_ string, value []byte) bool { return len(value) > limit }
				})
				jobs := []batch.Job{wideJob(0, 100)}
				for i := range 8 {
					jobs = append(jobs, testJob(i+1, 2))
				}
				if c.inInbox {
					for _, j := range jobs {
						value, err := batch.EncodeJob(j)
						require.NoError(t, err)
						cl.store.put(keysOfCell(0).inbox+j.ID, value)
					}
				}
				a := cl.addNode("a")
				time.Sleep(3 * time.Second)
				for _, j := range jobs {
					require.NoError(t, submit(a, j))
				}
				_, leader := cl.leader()
				require.NotNil(t, leader)
				token := leader.Token
				time.Sleep(10 * time.Second)
				_, leader = cl.leader()
				require.NotNil(t, leader, "the term has ended")
				require.Equal(t, token, leader.Token, "a term has ended")
				for _, j := range jobs[1:] {
					require.Equal(t, batch.Completed, state(t, a, j.ID), "job %s", j.ID)
					require.False(t, cl.store.has(keysOfCell(0).inbox+j.ID))
				}
				require.NotEqual(t, batch.Completed, state(t, a, jobs[0].ID))
				cl.kill("a")
				b := cl.addNode("b")
				time.Sleep(40 * time.Second)
				late := testJob(20, 2)
				require.NoError(t, submit(b, late))
				time.Sleep(5 * time.Second)
				require.Equal(t, batch.Completed, state(t, b, late.ID), "in the next term")
				cancel(t, b, jobs[0].ID)
				require.Equal(t, batch.Cancelled, state(t, b, jobs[0].ID))
				require.Less(t, cl.store.refusals(), 30)
			})
		})
	}
}

// Guards against runs of a job that was set aside which are stopped, and against one that stays so
// after its record has become small enough.
func TestJobIsResumedOnceItsRecordFits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, 2*time.Second, "w1", "w2")
		defer cl.stop()
		limit := 1 << 20
		cl.store.update(func(s *fakeStore) {
			s.refuseValue = func(_ string, value []byte) bool { return len(value) > limit }
		})
		a := cl.addNode("a")
		time.Sleep(2 * time.Second)
		j := wideJob(1, 30)
		j.Steps = append(j.Steps, batch.Step{Tasks: 5, Size: j.Steps[0].Size, After: []int{0}})
		require.NoError(t, submit(a, j))
		time.Sleep(time.Second)
		require.Equal(t, 30, cl.workers.startCount())
		cl.store.update(func(*fakeStore) { limit = 900 })
		cl.workers.update(func(f *fakeWorkers) {
			for _, r := range f.workers["w2"].running {
				r.ends = r.ends.Add(time.Second)
			}
		})
		time.Sleep(1500 * time.Millisecond)
		require.Positive(t, cl.store.refusals(), "half of the tasks have ended, but the record fits")
		time.Sleep(10 * time.Second)
		require.Equal(t, 35, cl.workers.startCount())
		require.Equal(t, batch.Completed, state(t, a, j.ID))
	})
}

// Guards against records of the cell itself that the store refuses and that end the term.
func TestRefusedRecordsOfTheCellAreLeftOut(t *testing.T) {
	for _, c := range []struct {
		name, key string
		// duration is that of the runs, unresponsive that a worker stops answering.
		duration     time.Duration
		unresponsive bool
	}{
		{name: "learned effects", key: keysOfCell(0).learned, duration: time.Second},
		{name: "unresponsive workers", key: keysOfCell(0).unresponsive, duration: 20 * time.Second, unresponsive: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, c.duration, "w1", "w2")
				defer cl.stop()
				cl.store.update(func(s *fakeStore) {
					s.refuseValue = func(key string, _ []byte) bool { return strings.HasPrefix(key, c.key) }
				})
				a := cl.addNode("a")
				time.Sleep(2 * time.Second)
				_, leader := cl.leader()
				require.NotNil(t, leader)
				token := leader.Token
				for i := range 10 {
					require.NoError(t, submit(a, testJob(i, 2)))
					time.Sleep(500 * time.Millisecond)
				}
				cl.workers.update(func(f *fakeWorkers) { f.workers["w2"].unresponsive = c.unresponsive })
				time.Sleep(90 * time.Second)
				_, leader = cl.leader()
				require.NotNil(t, leader)
				require.Equal(t, token, leader.Token, "a term has ended")
				for i := range 10 {
					require.Equal(t, batch.Completed, state(t, a, testJob(i, 2).ID))
				}
				require.Positive(t, cl.store.refusals())
				require.Less(t, cl.store.refusals(), 20)
			})
		})
	}
}

// cancel cancels a job through a node within a caller's timeout.
func cancel(t *testing.T, node *Scheduler, id string) {
	t.Helper()
	ctx, stop := context.WithTimeout(context.Background(), 3*time.Second)
	defer stop()
	_, err := node.Cancel(ctx, id)
	require.NoError(t, err)
}

// refusals returns how many commits the store has refused because of a value.
func (s *fakeStore) refusals() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusedValues
}

// Guards against a job that is due thousands of times and whose record outgrows the store, which
// ends the term of each leader.
func TestJobDueThousandsOfTimesRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 8640
		cl := newCluster(t, 200*time.Millisecond, "w1", "w2", "w3", "w4")
		defer cl.stop()
		a := cl.addNode("a")
		time.Sleep(2 * time.Second)
		j := batch.Job{ID: testJob(1, 1).ID, Queue: "review", Repeat: batch.Repeat{
			Count: count, First: time.Now().Add(-count * time.Minute), Every: time.Minute,
		}}
		for i := range 4 {
			s := batch.Step{Tasks: 1, Size: share.Resources{Processors: 100, Memory: 1 << 20}}
			if i > 0 {
				s.After = []int{i - 1}
			}
			j.Steps = append(j.Steps, s)
		}
		require.NoError(t, submit(a, j))
		time.Sleep(5 * time.Second)
		_, first := cl.leader()
		require.NotNil(t, first)
		b := cl.addNode("b")
		cl.kill("a")
		time.Sleep(time.Minute)
		_, second := cl.leader()
		require.NotNil(t, second)
		for waited := 0; waited < 100 && state(t, b, j.ID) != batch.Completed; waited++ {
			time.Sleep(time.Second)
		}
		require.Equal(t, batch.Completed, state(t, b, j.ID))
		_, last := cl.leader()
		require.Equal(t, second, last, "a term has ended")
		require.Zero(t, cl.store.refusals())
		require.Equal(t, 4*count, cl.workers.startCount())
	})
}

// Guards against a submission that is answered as refused but runs: the store has carried out its commit without an answer,
// and refuses the next try as invalid.
func TestInvalidTryDoesNotSettleUnansweredCommit(t *testing.T) {
	for _, c := range []struct {
		name string
		// late is when the first try takes effect, invalid how many of the next ones the store refuses.
		late    time.Duration
		invalid int
	}{
		{name: "it has taken effect", invalid: 1},
		{name: "it takes effect later", late: 300 * time.Millisecond, invalid: 2},
		{name: "it takes effect after many refusals", late: time.Second, invalid: 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1")
				defer cl.stop()
				a := cl.addNode("a")
				time.Sleep(4 * time.Second)
				_, leader := cl.leader()
				j := testJob(1, 1)
				tries := 0
				cl.store.update(func(s *fakeStore) {
					s.beforeCommit = func(_ string, txn store.Txn) error {
						if !writesUnder(txn, keysOfCell(0).jobs+j.ID) {
							return nil
						}
						switch tries++; {
						case tries == 1:
							time.AfterFunc(c.late, func() { cl.store.update(func(s *fakeStore) { _, _ = s.apply(txn) }) })
							time.Sleep(time.Millisecond)
							return &store.UnavailableError{Call: "commit", Err: errAnswerLost}
						case tries <= 1+c.invalid:
							return &store.InvalidError{Call: "commit", Status: 403}
						}
						return nil
					}
				})
				ctx, stop := context.WithTimeout(t.Context(), 3*time.Second)
				defer stop()
				err := leader.calls().Submit(ctx, j)
				time.Sleep(10 * time.Second)
				if err != nil {
					require.ErrorAs(t, err, new(*UnknownOutcomeError))
					return
				}
				require.Equal(t, batch.Completed, state(t, a, j.ID))
			})
		})
	}
}
