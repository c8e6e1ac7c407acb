package batch

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// failingWorker simulates a worker that fails what it is given: the only one of four on which tasks with its label run.
type failingWorker struct {
	t       *testing.T
	core    *Core
	now     time.Time
	label   string
	lastEnd int64
	// running are the starts that have not ended, with the time of the start.
	running map[TaskName]Call
	since   map[TaskName]time.Time
	// failsAfter is how long after its start a run fails; zero means that none does.
	failsAfter time.Duration
	// starts counts the starts, mostAtOnce the most in one tick.
	starts, mostAtOnce int
}

// newFailingWorker returns a worker that fails its runs soon after their start.
func newFailingWorker(t *testing.T) *failingWorker {
	now := time.Unix(1_000_000_000, 0)
	return &failingWorker{
		t: t, core: fourWorkerCore(t, now), now: now, label: "kind-a", running: map[TaskName]Call{}, since: map[TaskName]time.Time{},
		failsAfter: 50 * time.Millisecond,
	}
}

// submit submits jobs with a number of tasks that run on the worker only.
func (f *failingWorker) submit(jobs, tasks int, longRunning bool) {
	for range jobs {
		id := fmt.Sprintf("%016x", len(f.core.jobs))
		step := Step{Tasks: tasks, Size: share.Resources{Processors: 100}, RequiredLabel: f.label, LongRunning: longRunning, Estimate: time.Second}
		require.NoError(f.t, f.core.Submit(Job{ID: id, Queue: "check", Steps: []Step{step}}, f.now, nil))
	}
}

const failingWorkerTick = 50 * time.Millisecond

// run simulates a duration.
func (f *failingWorker) run(d time.Duration) {
	for until := f.now.Add(d); f.now.Before(until); {
		f.now = f.now.Add(failingWorkerTick)
		rep := Report{Incarnation: 1, Clock: time.Hour + f.now.Sub(time.Unix(1_000_000_000, 0))}
		for _, name := range slices.SortedFunc(maps.Keys(f.running), func(a, b TaskName) int { return cmp.Compare(a.String(), b.String()) }) {
			if f.failsAfter > 0 && f.now.Sub(f.since[name]) >= f.failsAfter {
				f.lastEnd++
				rep.Ended = append(rep.Ended, EndedRow{Number: f.lastEnd, Task: name, Run: f.running[name].Run, How: EndFailed})
				delete(f.running, name)
				continue
			}
			rep.Running = append(rep.Running, RunningRow{Task: name, Run: f.running[name].Run, Percent: 100})
		}
		f.core.ApplyReport("a", rep, f.now, f.now)
		f.core.renewLease("a", f.now)
		f.core.Plan(f.now)
		calls := commitAndStart(f.t, f.core, f.now)
		for name, call := range calls {
			require.Equal(f.t, "a", call.Worker)
			f.running[name], f.since[name] = call, f.now
		}
		f.starts += len(calls)
		f.mostAtOnce = max(f.mostAtOnce, len(calls))
	}
}

// Guards against a worker that stays unused for long after one short fault, because all runs that it had then
// have failed.
func TestRunsOfOneFaultSetOnePause(t *testing.T) {
	f := newFailingWorker(t)
	f.submit(8, 4, true)
	f.run(500 * time.Millisecond)
	f.failsAfter = 0
	f.run(minProbePause)
	require.NotEmpty(t, f.running, "the worker is sound and stays unused")
}

// Guards against a worker that counts as failing for good, because the tasks that run well on it never end.
func TestLongRunningTasksEndQuarantine(t *testing.T) {
	f := newFailingWorker(t)
	f.submit(4, 4, true)
	f.run(500 * time.Millisecond)
	require.True(t, f.core.health.Quarantined("a"))
	f.failsAfter = 0
	f.run(minProbePause + provenAfter/2)
	require.NotEmpty(t, f.running)
	require.True(t, f.core.health.Quarantined("a"), "tasks may fail after their start")
	f.run(provenAfter)
	require.False(t, f.core.health.Quarantined("a"))
}

// Guards against a quarantine that ends while its worker still fails all that it starts: tasks that it had started
// before run on.
func TestRunsOfBeforeDoNotEndQuarantine(t *testing.T) {
	f := newFailingWorker(t)
	f.failsAfter = 0
	f.submit(1, 4, true)
	f.run(provenAfter / 2)
	for name := range f.running {
		f.since[name] = f.now.Add(time.Hour) // It does not fail.
	}
	f.failsAfter = 50 * time.Millisecond
	f.submit(4, 4, true)
	f.run(500 * time.Millisecond)
	f.starts = 0
	f.run(minProbePause / 2)
	require.Zero(t, f.starts)
}

// Guards against many tasks that are lost to one bad worker: all that waited for it were its probe.
func TestQuarantinedWorkerGetsOneProbe(t *testing.T) {
	for _, c := range []struct {
		name        string
		longRunning bool
	}{
		{name: "tasks that end"},
		{name: "long-running tasks", longRunning: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFailingWorker(t)
			f.submit(8, 4, c.longRunning)
			f.run(500 * time.Millisecond)
			require.True(t, f.core.health.Quarantined("a"))
			f.starts, f.mostAtOnce = 0, 0
			f.run(10 * time.Second)
			require.Equal(t, 1, f.mostAtOnce)
		})
	}
}

// Guards against long-running tasks that wait for the next probe of a worker that is sound again, although no other
// worker suits them: the platform lets them be without a run for 7 s from then on, 3 s after 4 s of calm.
func TestLongRunningTasksRunOnWorkerThatIsSoundAgain(t *testing.T) {
	const bound = 7 * time.Second
	for _, failsFor := range []time.Duration{500 * time.Millisecond, 2 * time.Second, 4100 * time.Millisecond, 6500 * time.Millisecond, 20 * time.Second} {
		t.Run(failsFor.String(), func(t *testing.T) {
			f := newFailingWorker(t)
			f.submit(4, 4, true)
			f.run(failsFor)
			f.failsAfter = 0
			f.run(bound)
			require.Len(t, f.running, 16)
		})
	}
}

// Guards against long-running tasks that go from one bad worker to the next: one that can get a worker reserved waits
// for that.
func TestReservationGoesBeforeQuarantine(t *testing.T) {
	f := newFailingWorker(t)
	f.label = ""
	size := share.Resources{Processors: 4000}
	now := f.now
	for _, id := range []string{"b", "c", "d"} {
		f.core.renewLease(id, now)
	}
	short := Step{Tasks: 3, Size: size, Estimate: time.Second}
	require.NoError(t, f.core.Submit(Job{ID: "short", Queue: "check", Steps: []Step{short}}, now, nil))
	for _, family := range []string{"x", "y", "z"} {
		f.core.health.Failed("a", family, now, now)
	}
	f.core.Plan(now)
	require.Len(t, commitAndStart(t, f.core, now), 3)
	lasting := Step{Tasks: 1, Size: size, LongRunning: true}
	require.NoError(t, f.core.Submit(Job{ID: "lasting", Queue: "check", Steps: []Step{lasting}}, now, nil))
	task := f.core.jobs["lasting"].stages[0].tasks[0]
	task.lastRun = 1
	for _, family := range []string{"x", "y", "z"} {
		f.core.health.Failed("a", family, now.Add(minProbePause), now.Add(minProbePause))
	}
	for now.Sub(f.now) <= quarantineWait+reserveEvery {
		now = now.Add(failingWorkerTick)
		for _, w := range f.core.workersByID() {
			f.core.ApplyReport(w.ID, reportOf(w), now, now)
			f.core.renewLease(w.ID, now)
		}
		f.core.Plan(now)
		require.Empty(t, commitAndStart(t, f.core, now))
	}
	require.True(t, f.core.hasReserved(task))
}
