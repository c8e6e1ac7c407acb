package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against tasks that are given up without proof, and against proof that does not count.
func TestProofThatTaskCrashesWorkers(t *testing.T) {
	enough := crashCount{total: minCrashes, early: minCrashes, confirmed: minCrashes}
	for _, c := range []struct {
		name    string
		run     run
		lasted  time.Duration
		crashes crashCount
		want    bool
	}{
		{name: "at the start", run: run{started: true}, crashes: enough, want: true},
		{name: "start not confirmed", crashes: enough},
		{name: "began under an earlier leader", run: run{started: true, restored: true}, crashes: enough},
		{name: "too few early crashes", run: run{started: true}, crashes: crashCount{total: 4, early: minCrashes - 1, confirmed: 4}},
		{name: "too few confirmed crashes", run: run{started: true}, crashes: crashCount{total: 3, early: 3, confirmed: confirmedCrashes - 1}},
		{name: "some time after the start", run: run{started: true}, lasted: promptCrash, crashes: enough},
		{
			name: "some time after the start, once more", run: run{started: true}, lasted: promptCrash,
			crashes: crashCount{total: 4, early: minCrashes + 1, confirmed: 4}, want: true,
		},
		{name: "late", run: run{started: true}, lasted: earlyCrash, crashes: crashCount{total: 4, early: 4, confirmed: 4}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			r := c.run
			r.task, r.worker, r.sentAt = &task{crashes: c.crashes}, &worker{aliveAt: now.Add(c.lasted)}, now
			require.Equal(t, c.want, r.isProvenCause())
		})
	}
}

// Guards against crashes that count as more or less than is known of them.
func TestCrashCountOfRun(t *testing.T) {
	for _, c := range []struct {
		name        string
		run         run
		lasted      time.Duration
		commonCause bool
		want        crashCount
	}{
		{name: "early", run: run{started: true}, want: crashCount{total: 1, early: 1, confirmed: 1, isolate: true}},
		{name: "start not confirmed", want: crashCount{total: 1, early: 1, isolate: true}},
		{name: "late", run: run{started: true}, lasted: earlyCrash, want: crashCount{total: 1, confirmed: 1}},
		{name: "began under an earlier leader", run: run{started: true, restored: true}, want: crashCount{total: 1, confirmed: 1, isolate: true}},
		{name: "with a common cause", run: run{started: true}, commonCause: true, want: crashCount{total: 1, confirmed: 1, isolate: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			r := c.run
			r.worker, r.sentAt = &worker{aliveAt: now.Add(c.lasted)}, now
			var n crashCount
			n.add(&r, c.commonCause)
			require.Equal(t, c.want, n)
		})
	}
}

// Guards against failures that are taken for a common cause but are not, and against those that are not taken for one.
func TestCommonCauseOfFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		// ownRuns means that the other workers that fail ran tasks of the same job, ages is how long their runs had lasted.
		ownRuns  bool
		age      time.Duration
		isolated bool
		// apart is the time between the last answers of the others and of the worker.
		apart    time.Duration
		answers  bool
		contacts bool
		failures int
		want     bool
	}{
		{name: "three", contacts: true, failures: 3, want: true},
		{name: "two", contacts: true, failures: 2},
		{name: "three that answer", contacts: true, failures: 3, answers: true},
		{name: "three much later", contacts: true, failures: 3, apart: commonCauseWithin},
		{name: "three much earlier", contacts: true, failures: 3, apart: -commonCauseWithin},
		{name: "three with an isolated run", contacts: true, failures: 3, isolated: true},
		{name: "three with young runs of the job", contacts: true, failures: 3, ownRuns: true},
		{name: "three with old runs of the job", contacts: true, failures: 3, ownRuns: true, age: earlyCrash, want: true},
		{name: "three, none of which ever answered", failures: 3},
	} {
		for _, crashed := range []bool{false, true} {
			if crashed && c.answers {
				continue
			}
			t.Run(fmt.Sprintf("%s, crashed %v", c.name, crashed), func(t *testing.T) {
				now := time.Unix(1_000_000_000, 0)
				core := fourWorkerCore(t, now)
				own, other := &job{Job: Job{ID: "own"}}, &job{Job: Job{ID: "other"}}
				workers := core.workersByID()
				for _, w := range workers {
					w.aliveAt, w.unresponsiveSince = time.Time{}, time.Time{}
					if c.contacts {
						w.aliveAt = now
					}
				}
				for _, w := range workers[1 : 1+c.failures] {
					j := other
					if c.ownRuns {
						j = own
					}
					if c.contacts {
						w.aliveAt = now.Add(c.apart)
					}
					r := &run{task: &task{stage: &stage{job: j}}, worker: w, started: true, sentAt: w.aliveAt.Add(-c.age)}
					w.runs[r.key()] = r
					if c.isolated {
						w.isolated = r
					}
					if !c.answers {
						w.unresponsiveSince = now
					}
					if crashed {
						core.recordWorkerFailure(w)
						w.aliveAt, w.unresponsiveSince = time.Time{}, time.Time{}
					}
				}
				require.Equal(t, c.want, core.hasCommonCause(workers[0], own))
			})
		}
	}
}

// Guards against a crash that is not counted because the lease has expired before it is proven, and against an expired
// lease that counts although the worker has not crashed.
func TestExpiredRunsAwaitProof(t *testing.T) {
	restart := func(c *Core, w WorkerInfo, now time.Time) {
		w.Incarnation++
		c.SetWorker(w, now)
	}
	for _, c := range []struct {
		name string
		then func(*Core, WorkerInfo, time.Time)
		want int
	}{
		{name: "new incarnation", then: restart, want: 1},
		{name: "another worker at its address", want: 1, then: func(c *Core, w WorkerInfo, now time.Time) {
			c.PollFailed(w.ID, AnswerWrongIncarnation, now, now)
		}},
		{name: "cut off, restarted later", then: func(c *Core, w WorkerInfo, now time.Time) {
			c.SetWorker(w, now)
			c.ApplyReport(w.ID, Report{Incarnation: w.Incarnation, Clock: time.Hour}, now, now)
			restart(c, w, now.Add(time.Second))
		}},
		{name: "too late", then: func(c *Core, w WorkerInfo, now time.Time) {
			now = now.Add(2 * c.timing.MaxLease)
			c.Plan(now)
			restart(c, w, now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			step := Step{Tasks: 1, Size: share.Resources{Processors: 4000}}
			require.NoError(t, core.Submit(Job{ID: "j", Queue: "check", Spec: "spec", Steps: []Step{step}}, now, nil))
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), 1)
			task := core.jobs["j"].stages[0].tasks[0]
			info := task.runs[0].worker.WorkerInfo
			core.PollFailed(info.ID, AnswerNone, now, now)
			core.RemoveWorker(info.ID)
			now = now.Add(7 * time.Second)
			core.Plan(now)
			core.RemoveWorker(info.ID)
			require.Zero(t, task.crashes.total)
			require.True(t, core.NeedsPoll(info.ID, now))
			c.then(core, info, now)
			require.Equal(t, c.want, task.crashes.total)
			for _, w := range core.workers {
				require.Empty(t, w.expired)
			}
		})
	}
}

// Guards against a task that is no longer isolated after a takeover.
func TestIsolationIsRecorded(t *testing.T) {
	want := crashCount{isolate: true}
	require.Equal(t, want, decodeCrashes(encodeCrashes(want)))
}

// Guards against a sixth start of a task whose crash is not proven before, and against expired leases that give a job up
// without four crashes.
func TestUnprovenCrashIsTheLastOnly(t *testing.T) {
	for _, c := range []struct {
		name    string
		crashes int
		want    State
	}{
		{name: "three crashes", crashes: 3, want: Active},
		{name: "four crashes", crashes: 4, want: Failed},
		{name: "no crash", want: Active},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			step := Step{Tasks: 1, Size: share.Resources{Processors: 4000}}
			require.NoError(t, core.Submit(Job{ID: "j", Queue: "check", Spec: "spec", Steps: []Step{step}}, now, nil))
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), 1)
			j := core.jobs["j"]
			task := j.stages[0].tasks[0]
			task.crashes = crashCount{total: c.crashes, confirmed: c.crashes}
			w := task.runs[0].worker
			core.PollFailed(w.ID, AnswerNone, now, now)
			core.RemoveWorker(w.ID)
			now = now.Add(7 * time.Second)
			core.expireLeases(now)
			require.Equal(t, c.want, j.state)
			require.True(t, task.crashes.unproven)
			require.Equal(t, task.crashes, decodeCrashes(encodeCrashes(task.crashes)))
			core.SetWorker(w.WorkerInfo, now)
			core.ApplyReport(w.ID, Report{Incarnation: w.Incarnation, Clock: time.Hour}, now, now)
			require.Equal(t, c.want == Failed, task.crashes.unproven, "the worker has not crashed")
		})
	}
}
