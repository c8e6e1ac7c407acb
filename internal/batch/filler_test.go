package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// The leader's load tells filler runs that stand suspended, and idle processors that are hidden by
// the declared size of filler runs which use less.
func TestWorkCountsSuspendedRunsAndIdleProcessors(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	step := Step{Tasks: 2, Size: share.Resources{Processors: 4000, Memory: 1 << 30}, Filler: true, Image: "a", RequiredLabel: "kind-a", Estimate: time.Minute}
	require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "review", Steps: []Step{step}}, now, nil))
	core.Plan(now)
	calls := commitAndStart(t, core, now)
	require.Len(t, calls, 1)
	for name, call := range calls {
		now = now.Add(2 * time.Second)
		core.ApplyReport("a", Report{Incarnation: 1, Clock: time.Hour, Running: []RunningRow{{Task: name, Run: call.Run, Measurement: 1000}}}, now, now)
	}
	work := core.TakeWork(now)
	require.Equal(t, 1, work.FillerRuns)
	require.Zero(t, work.SuspendedRuns)
	require.InDelta(t, 12, work.DeclaredIdle, 1e-9)
	require.InDelta(t, 15, work.MeasuredIdle, 1e-9)
	for _, r := range core.workers["a"].runs {
		core.setThrottleRatio(core.workers["a"], r, 0, "test", now)
	}
	for _, command := range core.TakeCommands() {
		if _, ok := core.PrepareCall(command, now); ok {
			core.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Hour}, now, now)
		}
	}
	require.Equal(t, 1, core.TakeWork(now).SuspendedRuns)
}
