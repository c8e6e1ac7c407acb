package e2e

import (
	"testing"

	"github.com/oriolepond/oriolepond/platform/soak"
)

// Guards against long-running tasks that have no run for long after their worker was lost or has left
// during a rolling restart of all nodes.
func TestLongRunningTasksOutlastRollouts(t *testing.T) {
	t.Parallel()
	runSoaks(t, []soakCase{
		{seed: 1, reason: "two rolling restarts, two workers lost and one left", faults: soak.RolloutFaults},
		{seed: 12, reason: "three workers lost during a rolling restart", faults: soak.RolloutFaults},
	})
}
