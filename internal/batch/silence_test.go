package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// commitAll makes all changes durable without sending their starts.
func commitAll(t *testing.T, c *Core, now time.Time) (silent []byte, records [][]byte) {
	t.Helper()
	for c.HasChanges() {
		changes, err := c.TakeChanges(20, now)
		require.NoError(t, err)
		c.Committed(changes)
		if changes.Unresponsive != nil {
			silent = changes.Unresponsive
		}
		for _, r := range changes.Records {
			records = append(records, r.Value)
		}
	}
	return silent, records
}

// A holder that inherits a silent worker tells the next one how long that still
// has to be waited for, and grants it nothing before the next one would know.
func TestWaitForASilentWorkerIsInherited(t *testing.T) {
	now := time.Now()
	first := shapesCore(t, now)
	require.NoError(t, first.Submit(Job{ID: "j", Queue: "check", Steps: []Step{
		{Tasks: 1, Size: share.Resources{Processors: 1000}, LongRunning: true},
	}}, now, nil))
	first.Plan(now)
	changes, err := first.TakeChanges(20, now)
	require.NoError(t, err)
	orders := first.Committed(changes)
	require.Len(t, orders, 1)
	id := orders[0].Worker()
	info := first.workers[id].WorkerInfo

	const longest = 23 * time.Second
	second := NewCore(DefaultTiming(), now, now.Add(longest))
	second.SetQueueConfig(first.table)
	require.NoError(t, second.Restore(changes.Records[0].Value, now))
	later := now.Add(15 * time.Second)
	second.Plan(later)
	silent, _ := commitAll(t, second, later)
	require.NotNil(t, silent, "the silence is not recorded")

	third := NewCore(DefaultTiming(), later, later.Add(longest))
	require.NoError(t, third.Restore(changes.Records[0].Value, later))
	require.NoError(t, third.RestoreUnresponsive(silent, later))
	require.Less(t, third.workers[id].lapseAt.Sub(later), longest-14*time.Second)

	// The worker is heard again by the second holder.
	second.SetWorker(info, later)
	second.ApplyReport(id, Report{Incarnation: info.Incarnation, Clock: time.Hour, Running: []RunningRow{
		{Task: TaskName{Job: "j"}, Run: 1},
	}}, later, later)
	look, ok := second.BeginPoll(id, later)
	require.True(t, ok)
	require.Zero(t, look.Deadline, "time is granted that the record does not allow for")
	require.False(t, second.mayTake(second.workers[id], later))
	second.Plan(later)
	require.True(t, second.HasChanges())
	cleared, _ := commitAll(t, second, later)
	require.Equal(t, "[]", string(cleared))
	look, ok = second.BeginPoll(id, later)
	require.True(t, ok)
	require.NotZero(t, look.Deadline)
}
