package scheduler

import (
	"context"
	"errors"
	"runtime"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// outcome is what a caller was told about its submission, and after which time.
type outcome struct {
	job   batch.Job
	err   error
	after time.Duration
}

// submitEvery submits jobs through a node at an interval and returns their outcomes in order.
func submitEvery(node *Scheduler, jobs int, interval time.Duration) []outcome {
	results := make(chan outcome, jobs)
	for i := range jobs {
		go func() {
			j, sent := testJob(i, 1), time.Now()
			err := submit(node, j)
			results <- outcome{j, err, time.Since(sent)}
		}()
		time.Sleep(interval)
	}
	var outcomes []outcome
	for range jobs {
		outcomes = append(outcomes, <-results)
	}
	slices.SortFunc(outcomes, func(a, b outcome) int { return strings.Compare(a.job.ID, b.job.ID) })
	return outcomes
}

// isLeaderCommit reports whether a transaction is a commit of a leader.
func isLeaderCommit(t store.Txn) bool {
	return slices.ContainsFunc(t.Then, func(op store.Op) bool { return op.Key == keysOfCell(0).head })
}

// While the store is away, only the submissions in a commit without an answer may have an unknown
// outcome. The others are refused before half of the callers' time is over, and never run.
func TestOutcomesOfSubmissionsWhileStoreIsAway(t *testing.T) {
	const jobs = 20
	type phase struct {
		lasts time.Duration
		apply func(s *fakeStore)
	}
	refuse := func(s *fakeStore) { s.refuseAll, s.unresponsive = true, false }
	silence := func(s *fakeStore) { s.refuseAll, s.unresponsive = false, true }
	loseAnswers := func(late time.Duration) func(*fakeStore) {
		return func(s *fakeStore) {
			s.loseAnswer = func(t store.Txn) (bool, time.Duration) { return isLeaderCommit(t), late }
		}
	}
	slow := func(latency time.Duration) func(*fakeStore) {
		return func(s *fakeStore) { s.latency["a"], s.latency["b"] = latency, latency }
	}
	for _, c := range []struct {
		name   string
		phases []phase
		// maxUnknown is the greatest number of submissions in one commit; minAccepted is how many the
		// store could take meanwhile.
		maxUnknown, minAccepted int
	}{
		{name: "refuses all calls", phases: []phase{{4 * time.Second, refuse}}},
		{name: "answers no call", phases: []phase{{4 * time.Second, silence}}, maxUnknown: 2},
		{name: "refuses, then answers no call", phases: []phase{{300 * time.Millisecond, refuse}, {4 * time.Second, silence}}, maxUnknown: 2},
		{name: "answers no call, then refuses", phases: []phase{{300 * time.Millisecond, silence}, {4 * time.Second, refuse}}, maxUnknown: 2},
		{name: "answers to commits are lost", phases: []phase{{4 * time.Second, loseAnswers(0)}}, minAccepted: jobs},
		{name: "answers within 300 ms", phases: []phase{{4 * time.Second, slow(300 * time.Millisecond)}}, minAccepted: jobs},
		{name: "answers within 400 ms", phases: []phase{{4 * time.Second, slow(400 * time.Millisecond)}}, minAccepted: jobs},
		{name: "commits take effect seconds later", phases: []phase{{4 * time.Second, loseAnswers(2 * time.Second)}}, minAccepted: jobs},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1", "w2", "w3")
				defer cl.stop()
				cl.addNode("a")
				cl.addNode("b")
				time.Sleep(4 * time.Second)
				leader, _ := cl.leader()
				other := cl.nodes[others(leader)[0]]
				go func() {
					for _, p := range c.phases {
						cl.store.update(p.apply)
						time.Sleep(p.lasts)
					}
					cl.store.update(func(s *fakeStore) { s.refuseAll, s.unresponsive, s.loseAnswer = false, false, nil })
					cl.store.update(slow(0))
				}()
				outcomes := submitEvery(other, jobs, 25*time.Millisecond)
				time.Sleep(5 * time.Second)
				require.NoError(t, submit(other, testJob(jobs, 1)), "once the store is back")
				time.Sleep(20 * time.Second)
				accepted, unknown := 0, 0
				for _, o := range outcomes {
					var unavailable *UnavailableError
					switch {
					case o.err == nil:
						accepted++
						require.Equal(t, batch.Completed, state(t, other, o.job.ID), "accepted job %s", o.job.ID)
					case errors.As(o.err, &unavailable):
						require.Less(t, o.after, 1500*time.Millisecond, "refusal of job %s: %v", o.job.ID, o.err)
						require.False(t, cl.store.has(keysOfCell(0).jobs+o.job.ID), "refused job %s was stored", o.job.ID)
						require.False(t, cl.workers.hasStarted(o.job.ID), "refused job %s has run", o.job.ID)
					default:
						require.ErrorAs(t, o.err, new(*UnknownOutcomeError))
						unknown++
					}
				}
				require.LessOrEqual(t, unknown, c.maxUnknown, "unknown outcomes")
				require.GreaterOrEqual(t, accepted, c.minAccepted)
			})
		})
	}
}

// A job that is stored is accepted, also if its record has changed since and the store is away.
func TestRepeatOfStoredJobIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		cl.addNode("a")
		cl.addNode("b")
		time.Sleep(4 * time.Second)
		leader, _ := cl.leader()
		other := cl.nodes[others(leader)[0]]
		require.NoError(t, submit(other, testJob(1, 1)))
		cl.store.update(func(s *fakeStore) { s.refuseAll = true })
		time.Sleep(1200 * time.Millisecond)
		sent := time.Now()
		require.NoError(t, submit(other, testJob(1, 1)))
		require.Less(t, time.Since(sent), 50*time.Millisecond)
	})
}

// A submission that reaches the leader after its caller's time is over does not run.
func TestLateSubmissionIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		cl.addNode("a")
		time.Sleep(4 * time.Second)
		_, leader := cl.leader()
		ctx, cancel := context.WithTimeout(context.Background(), 0)
		defer cancel()
		require.ErrorAs(t, leader.calls().Submit(ctx, testJob(1, 1)), new(*UnavailableError))
		time.Sleep(5 * time.Second)
		require.False(t, cl.store.has(keysOfCell(0).jobs+testJob(1, 1).ID))
	})
}

// The end of a term answers the submissions that wait for a commit.
func TestEndOfTermAnswersSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		cl.addNode("a")
		time.Sleep(4 * time.Second)
		_, leader := cl.leader()
		cl.store.update(func(s *fakeStore) { s.unresponsive = true })
		results := [2]chan error{make(chan error, 1), make(chan error, 1)}
		ctx, cancel := context.WithTimeout(context.Background(), leaderCallTimeout)
		defer cancel()
		for i := range 2 {
			go func() { results[i] <- leader.calls().Submit(ctx, testJob(i, 1)) }()
			time.Sleep(100 * time.Millisecond)
		}
		endedAt := time.Now()
		leader.endTerm("test")
		require.ErrorAs(t, <-results[0], new(*UnknownOutcomeError), "its commit has no answer")
		require.ErrorAs(t, <-results[1], new(*UnavailableError), "it is in no commit")
		require.Less(t, time.Since(endedAt), 100*time.Millisecond)
		require.ErrorAs(t, leader.calls().Submit(ctx, testJob(2, 1)), new(*NotLeaderError))
	})
}

// Guards against a submission in no commit whose outcome is reported as unknown because its caller sees the end of the term before the drop.
func TestEndOfTermIsSeenBeforeDrop(t *testing.T) {
	// On one processor, the submission runs while endSubmissions yields.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, c := range []struct {
		name     string
		inCommit bool
		want     any
	}{
		{name: "in no commit", want: new(*UnavailableError)},
		{name: "in a commit without an answer", inCommit: true, want: new(*UnknownOutcomeError)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &Leader{
					Log: eventlog.Discard(), core: batch.NewCore(batch.DefaultTiming(), time.Now(), time.Now()),
					planNeeded: make(chan struct{}, 1), ended: make(chan struct{}),
				}
				l.core.SetQueueConfig(testTable())
				l.leaseRenewed(time.Now())
				l.Now = func() time.Time {
					for i := 0; i < 1000 && l.hasEnded(); i++ {
						runtime.Gosched()
					}
					return time.Now()
				}
				result := make(chan error, 1)
				go func() { result <- l.submit(t.Context(), testJob(1, 1)) }()
				synctest.Wait()
				if c.inCommit {
					_, err := l.core.TakeChanges(maxCommitRecords, l.Now())
					require.NoError(t, err)
				}
				l.endSubmissions()
				require.ErrorAs(t, <-result, c.want)
			})
		})
	}
}

// Guards against a cancel that is durable but reported as unknown because its caller's time is over, too.
func TestDurableCancelIsConfirmedAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newCluster(t, time.Second, "w1")
		defer cl.stop()
		a := cl.addNode("a")
		time.Sleep(4 * time.Second)
		require.NoError(t, submit(a, testJob(1, 1)))
		_, leader := cl.leader()
		known, err := leader.cancel(t.Context(), testJob(1, 1).ID)
		require.NoError(t, err)
		require.True(t, known)
		ctx, cancel := context.WithTimeout(t.Context(), 0)
		defer cancel()
		for range 64 {
			_, err := leader.cancel(ctx, testJob(1, 1).ID)
			require.NoError(t, err)
		}
	})
}

// A caller with little time left is refused rather than left with an unknown outcome.
func TestNoWriteBeginsWithoutTimeForItsAnswer(t *testing.T) {
	for _, c := range []struct {
		name      string
		remaining time.Duration
		// leader is the address of a leader that does not answer.
		leader string
		want   error
	}{
		{name: "too little", remaining: 120 * time.Millisecond, want: new(UnavailableError)},
		{name: "enough, although there is no leader", remaining: 500 * time.Millisecond},
		{name: "enough, although the leader is lost", remaining: 500 * time.Millisecond, leader: "b"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				s.latency["a"] = 30 * time.Millisecond
				client := *s.client("a")
				client.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
					if remaining(ctx) < s.latency["a"] {
						return store.Result{}, &store.UnavailableError{Call: "commit", Err: context.DeadlineExceeded}
					}
					return s.commit(ctx, "a", txn)
				}
				m := &cellMember{
					keys: keysOfCell(0), leaderChanged: make(chan struct{}), Log: eventlog.Discard(), leader: leaderRef{Address: c.leader},
					scheduler: &Scheduler{Now: time.Now, Store: &client, Peer: func(string, int) (*Calls, error) {
						return &Calls{Submit: func(ctx context.Context, _ batch.Job) error {
							<-ctx.Done()
							return &UnknownOutcomeError{Err: ctx.Err()}
						}}, nil
					}},
				}
				ctx, cancel := context.WithTimeout(t.Context(), c.remaining)
				defer cancel()
				err := m.submitLocally(ctx, testJob(1, 1))
				if c.want == nil {
					require.NoError(t, err)
					return
				}
				require.IsType(t, c.want, err)
				require.False(t, s.has(keysOfCell(0).inbox+testJob(1, 1).ID))
			})
		})
	}
}

// Guards against a cancel that is answered as one of an unknown job although the leader knows the job: its first commit has no
// answer, and takes effect later.
func TestCancelOfJobInCommitInProgressIsNotAnsweredAsUnknown(t *testing.T) {
	for _, c := range []struct {
		name string
		// crash ends the leader before the commit takes effect.
		crash bool
	}{
		{name: "the leader goes on"},
		{name: "the leader crashes", crash: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1")
				defer cl.stop()
				for _, name := range []string{"a", "b", "c"} {
					cl.addNode(name)
				}
				time.Sleep(4 * time.Second)
				leader, term := cl.leader()
				other := cl.nodes[others(leader)[0]]
				j := testJob(1, 1)
				cl.store.update(func(s *fakeStore) {
					s.loseAnswer = func(t store.Txn) (bool, time.Duration) { return isLeaderCommit(t), 2 * time.Second }
				})
				ctx, stop := context.WithTimeout(t.Context(), 600*time.Millisecond)
				defer stop()
				submitted := make(chan error, 1)
				go func() { submitted <- term.calls().Submit(ctx, j) }()
				time.Sleep(100 * time.Millisecond)
				ctx, stop = context.WithTimeout(t.Context(), 3*time.Second)
				defer stop()
				known, err := other.Cancel(ctx, j.ID)
				require.ErrorAs(t, <-submitted, new(*UnknownOutcomeError))
				if c.crash {
					cl.crash(leader)
				}
				cl.store.update(func(s *fakeStore) { s.loseAnswer = nil })
				time.Sleep(10 * time.Second)
				require.Equal(t, c.crash, cl.workers.hasStarted(j.ID))
				require.ErrorAs(t, err, new(*UnknownOutcomeError), "known: %t", known)
			})
		})
	}
}

// Guards against the refusal of a repeated submission whose job may still be accepted: a commit without an answer contains it.
func TestRepeatOfSubmissionInCommitIsNotRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		// remaining is the time of the second caller, ended that the term has ended when it calls.
		remaining time.Duration
		ended     bool
	}{
		{name: "its time is over"},
		{name: "the term has ended", remaining: time.Second, ended: true},
		{name: "its time is over and the term has ended", ended: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1")
				defer cl.stop()
				a := cl.addNode("a")
				time.Sleep(4 * time.Second)
				_, leader := cl.leader()
				cl.store.update(func(s *fakeStore) {
					s.loseAnswer = func(t store.Txn) (bool, time.Duration) { return isLeaderCommit(t), 300 * time.Millisecond }
				})
				first, stop := context.WithTimeout(t.Context(), leaderCallTimeout)
				defer stop()
				go func() { _ = leader.calls().Submit(first, testJob(1, 1)) }()
				time.Sleep(100 * time.Millisecond)
				if c.ended {
					leader.endTerm("test")
					time.Sleep(100 * time.Millisecond)
				}
				second, stop := context.WithTimeout(t.Context(), c.remaining)
				defer stop()
				require.ErrorAs(t, leader.calls().Submit(second, testJob(1, 1)), new(*UnknownOutcomeError))
				cl.store.update(func(s *fakeStore) { s.loseAnswer = nil })
				time.Sleep(10 * time.Second)
				if !c.ended {
					require.Equal(t, batch.Completed, state(t, a, testJob(1, 1).ID))
				}
			})
		})
	}
}
