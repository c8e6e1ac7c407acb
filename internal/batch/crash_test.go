package batch

import (
	"cmp"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// simCrasher makes the runs of some tasks crash their workers.
type simCrasher struct {
	// crashes reports whether the runs of a task crash their worker, delay after their start.
	crashes func(TaskName) bool
	delay   time.Duration
	// downtime is how long the worker is away.
	downtime time.Duration
	// crashCount counts the workers that crashed under each task, startsAfterThree the starts of
	// each task since the third of them.
	crashCount       map[TaskName]int
	startsAfterThree map[TaskName]int
}

// startRun crashes the worker later if the task does that.
func (d *simCrasher) startRun(sim *simWorld, w *simWorker, key runKey) {
	if d == nil || !d.crashes(key.task) {
		return
	}
	if d.crashCount[key.task] >= 3 {
		if d.startsAfterThree[key.task]++; d.startsAfterThree[key.task] == 3 {
			sim.violate("%v is started three times after three workers have crashed under it", key.task)
		}
	}
	sim.after(d.delay, func() {
		if w.running[key] == nil {
			return
		}
		d.crashCount[key.task]++
		w.unresponsiveUntil = sim.now.Add(d.downtime)
		sim.crashFor(w, d.downtime)
	})
}

// mayGiveUp reports whether the platform permits to give up a job: two workers have crashed under
// one of its tasks.
func (sim *simWorld) mayGiveUp(job string) bool {
	for name, n := range sim.crashedUnder {
		if name.Job == job && n >= 2 {
			return true
		}
	}
	return false
}

// crashingTask selects the first task of each eighth job.
func crashingTask(n TaskName) bool {
	last := n.Job[len(n.Job)-1]
	return (last == '0' || last == '8') && n.Step == 0 && n.Index == 0
}

// Guards against a task that crashes worker after worker: after three workers have crashed under a
// task it must not be started three times more, across takeovers and expired leases, too. No other task may be given
// up, however many runs it lost with those workers; where workers also crash by themselves, or long
// after the start, at least two must have crashed under it.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		name     string
		delay    time.Duration
		downtime time.Duration
		faults   simFaults
		// ambiguous means that crashes recur under innocent tasks without any sign of the cause. These
		// may be given up if the platform permits it.
		ambiguous bool
	}{
		{name: "at its start", delay: 10 * time.Millisecond},
		{name: "before the start is answered", delay: time.Millisecond},
		{name: "some time after its start", delay: 300 * time.Millisecond},
		{name: "long after its start", delay: 2 * time.Second, ambiguous: true},
		{name: "with leases that expire before the workers are back", delay: 10 * time.Millisecond, downtime: 7 * time.Second},
		{name: "beside takeovers", delay: 10 * time.Millisecond, faults: simFaults{takeover: 3 * time.Second}},
		{name: "beside other crashes", delay: 10 * time.Millisecond, faults: simFaults{crash: 2 * time.Second}, ambiguous: true},
		{name: "beside lost answers", delay: 10 * time.Millisecond, faults: simFaults{lostAnswer: 0.05}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range 6 {
				sim := newSimWorld(t, uint64(seed), 20, c.faults)
				sim.crasher = &simCrasher{
					crashes: crashingTask, delay: c.delay, downtime: cmp.Or(c.downtime, 3*time.Second),
					crashCount: map[TaskName]int{}, startsAfterThree: map[TaskName]int{},
				}
				sim.injectFaults(sim.now.Add(30 * time.Second))
				for i := range 50 {
					sim.after(time.Duration(i)*500*time.Millisecond, func() {
						j := sim.randomJob(i)
						j.Steps[0].Estimate = max(j.Steps[0].Estimate, 3*c.delay)
						sim.submit(j)
					})
				}
				sim.run(30 * time.Second)
				sim.faults.lostAnswer = 0
				sim.run(120 * time.Second)
				require.Empty(t, sim.violations, "seed %d", seed)
				for _, id := range sortedKeys(sim.jobs) {
					state, known := sim.core.State(id)
					require.True(t, known, "seed %d, job %s", seed, id)
					want := Completed
					if crashingTask(TaskName{Job: id}) || c.ambiguous && state == Failed && sim.mayGiveUp(id) {
						want = Failed
					}
					require.Equal(t, want, state, "seed %d, job %s", seed, id)
				}
			}
		})
	}
}

// Guards against tasks that are never given up because many of them crash workers at the same time, or because other
// workers do not answer meanwhile, which looks like a common cause.
func TestTasksThatCrashWorkersAtTheSameTimeAreGivenUp(t *testing.T) {
	everySecond := func(n TaskName) bool { return (n.Job[len(n.Job)-1]-'0')%2 == 0 && n.Step == 0 && n.Index == 0 }
	for _, c := range []struct {
		name          string
		workers, jobs int
		every         time.Duration
		crashes       func(TaskName) bool
		faults        simFaults
	}{
		{name: "few workers", workers: 20, jobs: 50, crashes: everySecond},
		{name: "all at once", workers: 100, jobs: 200, crashes: everySecond},
		{name: "one after the other", workers: 200, jobs: 400, every: 20 * time.Millisecond, crashes: crashingTask},
		{
			name: "beside lost answers", workers: 200, jobs: 300, every: 50 * time.Millisecond, crashes: crashingTask,
			faults: simFaults{lostAnswer: 0.05},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			sim := newSimWorld(t, 1, c.workers, c.faults)
			sim.crasher = &simCrasher{
				crashes: c.crashes, delay: 10 * time.Millisecond, downtime: 3 * time.Second,
				crashCount: map[TaskName]int{}, startsAfterThree: map[TaskName]int{},
			}
			for i := range c.jobs {
				sim.after(time.Duration(i)*c.every, func() { sim.submit(sim.randomJob(i)) })
			}
			sim.run(60 * time.Second)
			require.Empty(t, sim.violations)
			for name := range sim.crasher.crashCount {
				state, _ := sim.core.State(name.Job)
				require.Equal(t, Failed, state, "task %v", name)
			}
		})
	}
}

// Guards against a long-running task that crashes worker after worker.
func TestLongRunningTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	sim := newSimWorld(t, 1, 20, simFaults{})
	sim.crasher = &simCrasher{
		crashes: crashingTask, delay: 10 * time.Millisecond, downtime: 3 * time.Second,
		crashCount: map[TaskName]int{}, startsAfterThree: map[TaskName]int{},
	}
	for i := range 6 {
		sim.submit(Job{ID: fmt.Sprintf("%016x", i), Queue: "check", Spec: "spec", Steps: []Step{{
			Tasks: 3, Size: share.Resources{Processors: 2000, Memory: 1 << 30}, Estimate: time.Hour, LongRunning: true,
		}}})
	}
	sim.run(60 * time.Second)
	require.Empty(t, sim.violations)
	for i := range 6 {
		id := fmt.Sprintf("%016x", i)
		state, _ := sim.core.State(id)
		want := Active
		if crashingTask(TaskName{Job: id}) {
			want = Failed
		}
		require.Equal(t, want, state, "job %s", id)
	}
}

// crashUnder crashes the worker that has reported the run of a task, and returns when that was.
func crashUnder(t *testing.T, c *Core, name TaskName, now time.Time) time.Time {
	t.Helper()
	r := c.jobHere(name.Job).stage(name.Occurrence, name.Step).tasks[name.Index].runs[0]
	c.ApplyReport(r.worker.ID, Report{Incarnation: r.worker.Incarnation, Running: []RunningRow{{Task: name, Run: r.number}}}, now, now)
	now = now.Add(50 * time.Millisecond)
	c.SetWorker(WorkerInfo{
		ID: r.worker.ID, Address: r.worker.ID, Service: r.worker.Service, Incarnation: r.worker.Incarnation + 1,
		Capacity: r.worker.Capacity,
	}, now)
	return now
}

// Guards against counts of crashes that are lost with the leader or the cell that counted them.
func TestCrashCountsOutlastTheirLeader(t *testing.T) {
	want := crashCount{total: 1, early: 1, confirmed: 1, isolate: true}
	for _, c := range []struct {
		name string
		step Step
		next func(*testing.T, *Core, Record, time.Time) *Core
	}{
		{
			name: "takeover", step: Step{Tasks: 1, Size: share.Resources{Processors: 4000}},
			next: func(t *testing.T, _ *Core, r Record, now time.Time) *Core {
				next := firstCellCore(t, now)
				require.NoError(t, next.Restore(r.Value, now))
				return next
			},
		},
		{
			name: "hand-over to another cell", step: Step{Tasks: 1, Size: share.Resources{Processors: 4000}},
			next: func(t *testing.T, _ *Core, r Record, now time.Time) *Core {
				next := coreOfCell(t, 1, now)
				require.NotNil(t, r.HandedOver)
				require.NoError(t, next.AcceptHandedOver(r.HandedOver, now))
				return next
			},
		},
		{
			name: "delegation to another cell", step: Step{Tasks: 1, Size: share.Resources{Processors: 4000}, LongRunning: true},
			next: func(t *testing.T, _ *Core, r Record, now time.Time) *Core {
				next := coreOfCell(t, 1, now)
				require.NotNil(t, r.Delegation)
				_, err := next.AcceptDelegation(r.Delegation.Value, now)
				require.NoError(t, err)
				return next
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := firstCellCore(t, now)
			j := homeJob(t, 0, c.step)
			name := TaskName{Job: j.ID}
			require.NoError(t, core.Submit(j, now, nil))
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), 1)
			now = crashUnder(t, core, name, now)
			require.Equal(t, want, core.jobs[j.ID].stages[0].tasks[0].crashes)
			if c.name != "takeover" {
				for _, id := range core.WorkerIDs() {
					core.RemoveWorker(id)
				}
				core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 16_000, Idle: 16_000, LargestFree: 4000}})
				// The record of the crash is committed first.
				changes, err := core.TakeChanges(20, now)
				require.NoError(t, err)
				core.Committed(changes)
				now = now.Add(2 * starvedAfter)
				core.Plan(now)
			}
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			require.Len(t, changes.Records, 1)
			next := c.next(t, core, changes.Records[0], now)
			require.Equal(t, want, next.jobHere(name.Job).stages[0].tasks[0].crashes)
			for _, want := range []State{Active, Failed} {
				next.Plan(now)
				require.Len(t, commitAndStart(t, next, now), 1)
				now = crashUnder(t, next, name, now)
				require.Equal(t, want, next.jobHere(name.Job).state)
			}
		})
	}
}

// Guards against crashes that are counted for workers which left as announced, or were counted
// before, and against crashes during a takeover that are not.
func TestOnlyCrashesCount(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(*testing.T, *Core, *worker, time.Time) *Core
		want int
	}{
		{name: "a new incarnation", want: 1, end: func(_ *testing.T, c *Core, w *worker, now time.Time) *Core {
			info := w.WorkerInfo
			for range 2 {
				info.Incarnation++
				c.SetWorker(info, now)
			}
			return c
		}},
		{name: "removed and replaced", want: 1, end: func(_ *testing.T, c *Core, w *worker, now time.Time) *Core {
			c.RemoveWorker(w.ID)
			c.PollFailed(w.ID, AnswerWrongIncarnation, now, now)
			return c
		}},
		{name: "removed and not answering", want: 0, end: func(_ *testing.T, c *Core, w *worker, now time.Time) *Core {
			c.PollFailed(w.ID, AnswerNone, now, now)
			c.RemoveWorker(w.ID)
			return c
		}},
		{name: "removed and not answering until its lease has expired", want: 0, end: func(_ *testing.T, c *Core, w *worker, now time.Time) *Core {
			c.PollFailed(w.ID, AnswerNone, now, now)
			c.RemoveWorker(w.ID)
			c.Plan(now.Add(time.Minute))
			return c
		}},
		{name: "found by the next leader", want: 1, end: func(t *testing.T, c *Core, w *worker, now time.Time) *Core {
			c.MarkDirty("0000000000000001")
			changes, err := c.TakeChanges(20, now)
			require.NoError(t, err)
			next := NewCore(DefaultTiming(), now, now.Add(time.Minute))
			next.SetQueueConfig(simQueueConfig())
			require.NoError(t, next.Restore(changes.Records[0].Value, now))
			info := w.WorkerInfo
			info.Incarnation++
			next.SetWorkers([]WorkerInfo{info}, nil, now)
			return next
		}},
		{name: "found again by the next leader", want: 1, end: func(t *testing.T, c *Core, w *worker, now time.Time) *Core {
			info := w.WorkerInfo
			info.Incarnation++
			c.SetWorker(info, now)
			changes, err := c.TakeChanges(20, now)
			require.NoError(t, err)
			next := NewCore(DefaultTiming(), now, now.Add(time.Minute))
			next.SetQueueConfig(simQueueConfig())
			require.NoError(t, next.Restore(changes.Records[0].Value, now))
			next.SetWorkers([]WorkerInfo{info}, nil, now)
			return next
		}},
		{name: "drained", want: 0, end: func(_ *testing.T, c *Core, w *worker, now time.Time) *Core {
			info := w.WorkerInfo
			info.Draining = true
			c.SetWorker(info, now)
			c.RemoveWorker(w.ID)
			c.PollFailed(w.ID, AnswerWrongIncarnation, now, now)
			return c
		}},
		{name: "unresponsive but listed", want: 0, end: func(_ *testing.T, c *Core, w *worker, now time.Time) *Core {
			c.PollFailed(w.ID, AnswerNone, now, now)
			c.Plan(now.Add(time.Minute))
			return c
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			step := Step{Tasks: 1, Size: share.Resources{Processors: 4000}}
			j := Job{ID: "0000000000000001", Queue: "check", Spec: "spec", Steps: []Step{step}}
			require.NoError(t, core.Submit(j, now, nil))
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), 1)
			now = now.Add(10 * time.Millisecond)
			next := c.end(t, core, core.jobs[j.ID].stages[0].tasks[0].runs[0].worker, now)
			require.Equal(t, c.want, next.jobs[j.ID].stages[0].tasks[0].crashes.total)
		})
	}
}

// Guards against counts of an earlier version, which counted expired leases as crashes, that give a job up.
func TestExpiredLeasesInRecordsCountNoMore(t *testing.T) {
	for _, c := range []struct {
		name   string
		stored string
		want   crashCount
	}{
		{name: "expired leases only", stored: `{"n":4,"e":true}`, want: crashCount{isolate: true}},
		{name: "a crash and expired leases", stored: `{"n":4,"c":1}`, want: crashCount{total: 1, confirmed: 1}},
		{name: "this version", stored: `{"t":3,"s":2,"c":1}`, want: crashCount{total: 3, early: 2, confirmed: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var w wireCrashes
			require.NoError(t, json.Unmarshal([]byte(c.stored), &w))
			require.Equal(t, c.want, decodeCrashes(&w))
		})
	}
}

// Guards against a run that crashed its worker but counts as one that has lasted, because the next incarnation answers.
func TestCrashedRunHasNotLasted(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	step := Step{Tasks: 1, Size: share.Resources{Processors: 4000}}
	require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Spec: "spec", Steps: []Step{step}}, now, nil))
	task := core.jobs["0000000000000001"].stages[0].tasks[0]
	task.crashes = crashCount{total: 3, confirmed: 3}
	core.Plan(now)
	require.Len(t, commitAndStart(t, core, now), 1)
	w := task.runs[0].worker
	require.NotNil(t, w.isolated)
	now = now.Add(2 * lateCrash)
	info := w.WorkerInfo
	info.Incarnation++
	core.SetWorker(info, now)
	core.ApplyReport(w.ID, Report{Incarnation: info.Incarnation, Clock: time.Second}, now, now)
	core.Plan(now)
	require.Equal(t, 4, task.crashes.total)
}
