package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// commitAll commits all changes without sending start commands. It returns the last record of
// unresponsive workers and the records of jobs.
func commitAll(t *testing.T, c *Core, now time.Time) (unresponsive []byte, records [][]byte) {
	t.Helper()
	for c.HasChanges() {
		changes, err := c.TakeChanges(20, now)
		require.NoError(t, err)
		c.Committed(changes)
		if changes.Unresponsive != nil {
			unresponsive = changes.Unresponsive
		}
		for _, r := range changes.Records {
			records = append(records, r.Value)
		}
	}
	return unresponsive, records
}

// A leader that takes over while a worker is unresponsive records the remaining time of the
// worker's leases, so that the next leader waits no longer than that. Once the worker answers, it
// is granted no lease until a record without it is durable.
func TestUnresponsiveRecordShortensWaitOfNextLeader(t *testing.T) {
	now := time.Now()
	first := fourWorkerCore(t, now)
	require.NoError(t, first.Submit(Job{ID: "j", Queue: "check", Steps: []Step{
		{Tasks: 1, Size: share.Resources{Processors: 1000}, LongRunning: true},
	}}, now, nil))
	first.Plan(now)
	changes, err := first.TakeChanges(20, now)
	require.NoError(t, err)
	commands := first.Committed(changes)
	require.Len(t, commands, 1)
	id := commands[0].Worker()
	info := first.workers[id].WorkerInfo

	const longest = 23 * time.Second
	second := NewCore(DefaultTiming(), now, now.Add(longest))
	second.SetQueueConfig(first.queueConfig)
	require.NoError(t, second.Restore(changes.Records[0].Value, now))
	later := now.Add(15 * time.Second)
	second.Plan(later)
	record, _ := commitAll(t, second, later)
	require.NotNil(t, record, "the unresponsive worker is not recorded")

	third := NewCore(DefaultTiming(), later, later.Add(longest))
	require.NoError(t, third.Restore(changes.Records[0].Value, later))
	require.NoError(t, third.RestoreUnresponsive(record, later))
	require.Less(t, third.workers[id].leasesExpireAt.Sub(later), longest-14*time.Second)

	// The worker becomes known to the second leader and answers it.
	second.SetWorker(info, later)
	second.ApplyReport(id, Report{Incarnation: info.Incarnation, Clock: time.Hour, Running: []RunningRow{
		{Task: TaskName{Job: "j"}, Run: 1},
	}}, later, later)
	poll, ok := second.BeginPoll(id, later, true)
	require.True(t, ok)
	require.Zero(t, poll.Deadline, "a lease is granted to a worker in the durable record")
	require.False(t, second.acceptsRuns(second.workers[id], later))
	second.Plan(later)
	require.True(t, second.HasChanges())
	cleared, _ := commitAll(t, second, later)
	require.Equal(t, "[]", string(cleared))
	poll, ok = second.BeginPoll(id, later, true)
	require.True(t, ok)
	require.NotZero(t, poll.Deadline)
}

// Guards against a task that runs twice at once: a leader that could not read the record of unresponsive workers left it as it was and
// granted leases to workers in it, and the next leader relied on the times in the record.
func TestUnreadableUnresponsiveRecordIsReplaced(t *testing.T) {
	for _, c := range []struct {
		name string
		// resolve gets the first changes with the record that replaces the unreadable one.
		resolve   func(c *Core, ch Changes, now time.Time)
		wantGrant bool
	}{
		{name: "not committed yet", resolve: func(*Core, Changes, time.Time) {}},
		{name: "withdrawn", resolve: func(c *Core, ch Changes, _ time.Time) { c.Withdraw(ch) }},
		{name: "refused", resolve: func(c *Core, ch Changes, now time.Time) { c.Refuse(ch, now) }},
		{name: "committed", resolve: func(c *Core, ch Changes, _ time.Time) { c.Committed(ch) }, wantGrant: true},
		{name: "withdrawn, then committed", resolve: func(c *Core, ch Changes, now time.Time) {
			c.Withdraw(ch)
			c.Plan(now)
			commitAll(t, c, now)
		}, wantGrant: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			require.Error(t, core.RestoreUnresponsive([]byte(`{"newer":[]}`), now))
			core.Plan(now)
			require.True(t, core.HasChanges())
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			require.Equal(t, "[]", string(changes.Unresponsive))
			c.resolve(core, changes, now)
			core.Plan(now)
			for _, id := range core.WorkerIDs() {
				poll, ok := core.BeginPoll(id, now, true)
				require.True(t, ok)
				require.Equal(t, c.wantGrant, poll.Deadline != 0)
				require.Equal(t, c.wantGrant, core.acceptsRuns(core.workers[id], now))
			}
		})
	}
}
