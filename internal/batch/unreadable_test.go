package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against a second run of a task because the entry of its worker cannot be decoded while the
// worker does not answer.
func TestRunsOutlastUnreadableEntry(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(c *Core, id string, others []WorkerInfo, now time.Time)
	}{
		{"by listing", func(c *Core, id string, others []WorkerInfo, now time.Time) { c.SetWorkers(others, []string{id}, now) }},
		{"by watch", func(c *Core, id string, _ []WorkerInfo, _ time.Time) { c.SetUnreadable(id) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			id := startOne(t, core, "", now).Worker
			c.change(core, id, otherWorkers(core, id), now)
			now = now.Add(time.Second)
			core.PollFailed(id, AnswerNone, now, now)
			core.Plan(now)
			require.Contains(t, core.workers, id, "the runs of the worker were given up")
			require.Len(t, core.workers[id].runs, 1)
			require.Empty(t, commitAndStart(t, core, now), "the task was started again")
		})
	}
}

// Guards against a run that is given up although it goes on, because the entry of its worker lacked
// the incarnation when the run began.
func TestEntryWithoutIncarnationIsNoRestart(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	for _, w := range core.workers {
		info := w.WorkerInfo
		info.Incarnation = 0
		core.SetWorker(info, now)
	}
	require.NoError(t, core.Submit(Job{ID: "j", Queue: "check", Steps: []Step{{Tasks: 1, Size: share.Resources{Processors: 1000}}}}, now, nil))
	core.Plan(now)
	task := TaskName{Job: "j"}
	call, started := commitAndStart(t, core, now)[task]
	require.True(t, started)
	running := []RunningRow{{Task: task, Run: call.Run}}
	for range 2 {
		now = now.Add(time.Second)
		core.ApplyReport(call.Worker, Report{Incarnation: 1, Clock: time.Hour, Running: running}, now, now)
		core.SetWorker(WorkerInfo{ID: call.Worker, Address: call.Address, Service: "pool"}, now)
	}
	core.Plan(now)
	require.Contains(t, core.workers[call.Worker].runs, runKey{task: task, run: call.Run})
	require.Empty(t, commitAndStart(t, core, now), "the task was started again")
}
