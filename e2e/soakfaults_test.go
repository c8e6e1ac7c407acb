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

// Guards against long-running tasks that have no run for long after their worker was lost together with a
// leader, so that nobody can confirm that the leader renews no more leases.
func TestLongRunningTasksOutlastLostLeaders(t *testing.T) {
	t.Parallel()
	runSoaks(t, []soakCase{
		{seed: 3, reason: "a leader killed for good after its worker", faults: soak.LossFaults},
		{seed: 5, reason: "the same, with less time between", faults: soak.LossFaults},
	})
}

// Guards against tasks that are started a second time because their worker refuses connections,
// although it runs on.
func TestTasksOfRefusingWorkersRunOnce(t *testing.T) {
	t.Parallel()
	runSoaks(t, []soakCase{{seed: 1, reason: "workers cut off by a firewall that rejects", faults: soak.RefusalFaults}})
}

// Guards against jobs that never run, or are retried without limit, because their route was removed
// after they had been accepted.
func TestJobsOutlastTheirRoute(t *testing.T) {
	t.Parallel()
	runSoaks(t, []soakCase{
		{seed: 1, reason: "routes removed after the leader was killed", faults: soak.RouteFaults},
		{seed: 2, reason: "routes removed under waiting and running jobs", faults: soak.RouteFaults},
	})
}

// Guards against leaders whose terms end on a record that the store refuses, and against large jobs that are
// lost on the way from one leader to the next.
func TestLargeJobsOutlastTheirLeaders(t *testing.T) {
	t.Parallel()
	runSoaks(t, []soakCase{{seed: 1, reason: "a long schedule and a wide job, leaders killed", faults: soak.SizeFaults}})
}

// Guards against jobs that are given up because the leases of their runs have expired, although no worker has crashed.
func TestLongRunningJobsOutlastCutOffs(t *testing.T) {
	t.Parallel()
	runSoaks(t, []soakCase{{seed: 57501, reason: "seven series that overlap, no other faults", faults: soak.CutOffFaults}})
}

// Guards against tasks that are started again after an end that was acknowledged, because the cancel of their job was lost with its leader.
func TestLostCancelsStartNoEndedTasks(t *testing.T) {
	t.Parallel()
	runSoaks(t, []soakCase{
		{seed: 60001, reason: "waves of cancels amid commits that are unanswered, or carried out without a response", faults: soak.CancelFaults},
		{seed: 60007, reason: "waves of cancels amid commits that are unanswered or refused", faults: soak.CancelFaults},
	})
}
