package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against starts that bring a worker over its capacity after that has shrunk, and against
// capacity that is not used after it has grown.
func TestStartsFollowWorkerCapacity(t *testing.T) {
	cores := func(n share.MilliCores) share.Resources { return share.Resources{Processors: n, Memory: 8 << 30} }
	memory := func(n share.Bytes) share.Resources { return share.Resources{Processors: 4000, Memory: n << 30} }
	task := share.Resources{Processors: 1000, Memory: 2 << 30}
	for _, c := range []struct {
		name string
		step Step
		// planned is the worker's capacity when the first starts are planned, sent when they are sent,
		// and later when the tasks that are left are planned.
		planned, sent, later share.Resources
		// stop means that the first runs are being stopped before the second plan.
		stop bool
		// first and second are the numbers of starts.
		first, second int
	}{
		{name: "constant", planned: cores(4000), sent: cores(4000), later: cores(4000), first: 4},
		{
			name:    "shrunk before the starts are sent",
			planned: cores(4000), sent: cores(2500), later: cores(2500), first: 2,
		},
		{
			name:    "memory shrunk before the starts are sent",
			planned: memory(8), sent: memory(6), later: memory(6), first: 3,
		},
		{
			name:    "gone before the starts are sent",
			planned: cores(4000), sent: share.Resources{}, later: cores(1000), first: 0, second: 1,
		},
		{name: "shrunk below what runs", planned: cores(4000), sent: cores(4000), later: cores(2000), first: 4},
		{name: "grown", planned: cores(2000), sent: cores(2000), later: cores(5000), first: 2, second: 2},
		{
			name:    "shrunk while all runs are being stopped",
			planned: cores(4000), sent: cores(4000), later: cores(2000), stop: true, first: 4,
		},
		{
			name: "filler tasks and processors", step: Step{Filler: true},
			planned: cores(4000), sent: cores(1000), later: cores(1000), first: 4,
		},
		{
			name: "filler tasks and memory", step: Step{Filler: true},
			planned: memory(8), sent: memory(4), later: memory(4), first: 2,
		},
		{
			name: "tasks without memory on a worker that lacks some", step: Step{Size: share.Resources{Processors: 1000}},
			planned: memory(8), sent: share.Resources{Processors: 4000}, later: share.Resources{Processors: 4000}, first: 4,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := NewCore(DefaultTiming(), now, now)
			core.SetQueueConfig(simQueueConfig())
			info := WorkerInfo{ID: "w", Address: "w", Service: "pool", Incarnation: 1, Capacity: c.planned}
			core.SetWorker(info, now)
			core.ApplyReport("w", Report{Incarnation: 1, Clock: time.Hour}, now, now)
			step := c.step
			step.Tasks = 4
			if step.Size == (share.Resources{}) {
				step.Size = task
			}
			j := Job{ID: "0000000000000001", Queue: "check", Steps: []Step{step}}
			require.NoError(t, core.Submit(j, now, nil))
			core.Plan(now)
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			info.Capacity = c.sent
			core.SetWorker(info, now)
			sent := 0
			for _, command := range core.Committed(changes) {
				if _, ok := core.PrepareCall(command, now); ok {
					sent++
					core.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Hour}, now, now)
				}
			}
			require.Equal(t, c.first, sent, "starts before the change")
			if c.stop {
				for _, r := range core.jobs[j.ID].runs() {
					core.stopRun(r, "test", now)
				}
			}
			info.Capacity = c.later
			core.SetWorker(info, now)
			now = now.Add(100 * time.Millisecond)
			core.Plan(now)
			require.Len(t, commitAndStart(t, core, now), c.second, "starts after the change")
		})
	}
}

// Guards against a worker that is over its capacity and takes free capacity from the others in what
// the cell reports.
func TestLoadOfShrunkWorker(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	step := Step{Tasks: 1, Size: share.Resources{Processors: 4000}}
	require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{step}}, now, nil))
	core.Plan(now)
	calls := commitAndStart(t, core, now)
	require.Equal(t, int64(12_000), core.Load(now).Free)
	for _, call := range calls {
		info := core.workers[call.Worker].WorkerInfo
		info.Capacity = share.Resources{}
		core.SetWorker(info, now)
	}
	load := core.Load(now)
	require.Equal(t, int64(12_000), load.Free)
	require.Equal(t, int64(12_000), load.Capacity)
}
