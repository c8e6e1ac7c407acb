package batch

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// widestJob returns a job of as many steps as are possible, with as many tasks as fit into them.
func widestJob() Job {
	j := Job{ID: "0000000000000001", Queue: "review", Spec: "spec"}
	for range MaxSteps {
		j.Steps = append(j.Steps, Step{Tasks: maxTasks / MaxSteps, Size: share.Resources{Processors: 10, Memory: 1 << 20}})
	}
	return j
}

// Guards against jobs whose records outgrow the store being accepted, and against others being
// refused.
func TestJobsThatCannotFitAreRefused(t *testing.T) {
	size := share.Resources{Processors: 1000, Memory: 1 << 30}
	for _, c := range []struct {
		name  string
		job   func(j *Job)
		limit int
		// refused is what the error names; empty means that the job is accepted.
		refused string
	}{
		{name: "one task", job: func(*Job) {}},
		{name: "the most tasks in one step", job: func(j *Job) { j.Steps[0].Tasks = maxTasks }},
		{name: "the widest job", job: func(j *Job) { j.Steps = widestJob().Steps }},
		{name: "the most tasks with checkpoints", job: func(j *Job) { j.Steps[0].Tasks, j.Steps[0].Checkpoints = maxTasks, true }, refused: "the limit is 1048576"},
		{name: "the most occurrences", job: func(j *Job) { j.Repeat = Repeat{Count: maxTasks, Every: time.Minute} }},
		{name: "a large text", job: func(j *Job) { j.Spec = strings.Repeat("x", 1<<20) }, refused: "the limit is 1048576"},
		{name: "another limit", job: func(j *Job) { j.Steps[0].Tasks = 100 }, limit: 4096, refused: "the limit is 4096"},
		{name: "below another limit", job: func(j *Job) { j.Steps[0].Tasks = 20 }, limit: 4096},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			core.SetRecordLimit(c.limit)
			j := Job{ID: "0000000000000001", Queue: "check", Spec: "spec", Steps: []Step{{Tasks: 1, Size: size}}}
			c.job(&j)
			err := core.Submit(j, now, nil)
			if c.refused == "" {
				require.NoError(t, err)
				return
			}
			var invalid *InvalidError
			require.ErrorAs(t, err, &invalid)
			require.Contains(t, invalid.Reason, c.refused)
			require.False(t, core.HasJob(j.ID))
		})
	}
}

// Guards against a record that outgrows the store because many occurrences are open, and against
// occurrences that never run for that reason.
func TestOpenOccurrencesAreLimitedBySizeOfRecord(t *testing.T) {
	const limit = 8000
	s := newSchedule(t)
	s.limit = limit
	s.takeOver()
	j := everyMinute(s.now, 301)
	require.NoError(t, s.core.Submit(j, s.now, nil))
	for turn := 0; len(s.runs) < 4*300 || len(s.running) > 0; turn++ {
		require.Less(t, turn, 400)
		s.turn()
		if turn%40 == 20 {
			s.takeOver()
		}
	}
	require.LessOrEqual(t, s.largest, limit)
	require.Greater(t, s.largest, limit/8, "the limit is hardly used")
	for name, n := range s.runs {
		require.Equal(t, 1, n, "runs of %s", name)
	}
}

// Guards against a commit of several large records that exceeds what one record may have.
func TestCommitsAreDividedBySize(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	const count = 12
	for i := range count {
		require.NoError(t, core.Submit(Job{
			ID: fmt.Sprintf("%016x", i), Queue: "check", Spec: strings.Repeat("x", 200_000), Steps: []Step{{Tasks: 1, RequiredLabel: "none"}},
		}, now, nil))
	}
	commits, records := 0, 0
	for core.HasChanges() {
		changes, err := core.TakeChanges(20, now)
		require.NoError(t, err)
		size := 0
		for _, r := range changes.Records {
			size += len(r.Value)
		}
		require.LessOrEqual(t, size, storeLimit)
		core.Committed(changes)
		commits++
		records += len(changes.Records)
	}
	require.Equal(t, count, records)
	require.Equal(t, 3, commits)
}

// Guards against a job that outgrows the known limit and is sent to the store all the same, or that
// makes TakeChanges return nothing for ever.
func TestRecordOverTheLimitIsNotSent(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	step := Step{Tasks: 16, Size: share.Resources{Processors: 1000, Memory: 1 << 20}}
	require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{step}}, now, nil))
	require.NoError(t, core.Submit(Job{ID: "0000000000000002", Queue: "review", Steps: []Step{{Tasks: 1}}}, now, nil))
	require.Empty(t, commitAndStart(t, core, now))
	core.SetRecordLimit(600)
	core.Plan(now)
	calls := commitAndStart(t, core, now)
	require.Len(t, calls, 1, "the other job starts")
	require.True(t, core.jobs["0000000000000001"].isSetAside)
	require.False(t, core.HasChanges())
	done := Cancelled
	core.Cancel("0000000000000001", now, func(s State) { done = s })
	commitAndStart(t, core, now)
	require.Equal(t, Cancelled, done)
	require.True(t, core.jobs["0000000000000001"].storedState.Final())
}

// Guards against the arithmetic of CheckSize being too low, and against a new term that cannot
// restore the largest jobs. With -v it prints what docs/CAPACITY.md states.
func TestLargestJobsAreRestored(t *testing.T) {
	for _, c := range []struct {
		name string
		job  func(now time.Time) Job
	}{
		{name: "8,640 occurrences of four steps", job: func(now time.Time) Job { return everyMinute(now, 8640) }},
		{name: "256 steps of the widest job", job: func(time.Time) Job { return widestJob() }},
		{name: "10,000 tasks of one step", job: func(time.Time) Job {
			return Job{ID: "0000000000000001", Queue: "review", Steps: []Step{{Tasks: maxTasks, Size: share.Resources{Processors: 10, Memory: 1 << 20}}}}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_764_926_432, 0)
			core := NewCore(DefaultTiming(), now, now)
			core.SetQueueConfig(simQueueConfig())
			for i := range 120 {
				id := fmt.Sprintf("runner-%017d", i)
				core.SetWorker(WorkerInfo{
					ID: id, Address: id, Service: "pool", Incarnation: now.UnixMilli(), Capacity: share.Resources{Processors: 64_000, Memory: 1 << 40},
				}, now)
				core.ApplyReport(id, Report{Incarnation: now.UnixMilli(), Clock: time.Hour}, now, now)
			}
			j := c.job(now)
			require.NoError(t, core.Submit(j, now, nil))
			core.Plan(now)
			var value []byte
			starts := 0
			for core.HasChanges() {
				changes, err := core.TakeChanges(20, now)
				require.NoError(t, err)
				value = changes.Records[0].Value
				starts += len(core.Committed(changes))
			}
			require.LessOrEqual(t, len(value), storeLimit)
			require.NoError(t, j.CheckSize(0))
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			startedAt := time.Now()
			next := NewCore(DefaultTiming(), now, now)
			next.SetQueueConfig(simQueueConfig())
			require.NoError(t, next.Restore(value, now))
			took := time.Since(startedAt)
			runtime.GC()
			runtime.ReadMemStats(&after)
			runs := len(next.jobs[j.ID].runs())
			require.Equal(t, starts, runs)
			t.Logf("%d runs, record of %d bytes, restored in %s, %.1f MB in memory", runs, len(value), took.Round(100*time.Microsecond), float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20))
			runtime.KeepAlive(next)
		})
	}
}
