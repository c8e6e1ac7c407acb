package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an end that its worker forgets while the end of the job is stored nowhere: the next leader started the
// task again.
func TestEndOfFinalJobAwaitsItsRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		how  EndKind
		// before and after are called before and after the end is reported. They get the changes that contain the end of the job.
		before, after func(c *Core, ch Changes, now time.Time)
		wantAck       int64
	}{
		{name: "commit in progress, done", how: EndDone},
		{name: "commit in progress, stopped", how: EndStopped},
		{name: "commit in progress, failed", how: EndFailed},
		{name: "commit withdrawn before", how: EndDone, before: func(c *Core, ch Changes, _ time.Time) { c.Withdraw(ch) }},
		{name: "commit withdrawn after", how: EndDone, after: func(c *Core, ch Changes, _ time.Time) { c.Withdraw(ch) }},
		{name: "record refused after", how: EndDone, after: func(c *Core, ch Changes, now time.Time) { c.Refuse(ch, now) }},
		{name: "committed before", how: EndDone, before: func(c *Core, ch Changes, _ time.Time) { c.Committed(ch) }, wantAck: 1},
		{name: "committed after", how: EndDone, after: func(c *Core, ch Changes, _ time.Time) { c.Committed(ch) }, wantAck: 1},
		{name: "withdrawn, then committed", how: EndDone, before: func(c *Core, ch Changes, _ time.Time) { c.Withdraw(ch) }, after: func(c *Core, _ Changes, now time.Time) {
			commitAll(t, c, now)
		}, wantAck: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			call := startOne(t, core, "", now)
			now = now.Add(time.Second)
			require.True(t, core.Cancel("j", now, nil))
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			if c.before != nil {
				c.before(core, changes, now)
			}
			now = now.Add(20 * time.Millisecond)
			core.ApplyReport(call.Worker, Report{
				Incarnation: 1, Clock: time.Minute, Ended: []EndedRow{{Number: 1, Task: call.Task, Run: call.Run, How: c.how}},
			}, now, now)
			if c.after != nil {
				c.after(core, changes, now)
			}
			poll, ok := core.BeginPoll(call.Worker, now, true)
			require.True(t, ok)
			require.Equal(t, c.wantAck, poll.Ack)
			require.Equal(t, c.wantAck == 1, core.IsSettled(call.Worker))
		})
	}
}

// Guards against a worker whose ends are never acknowledged again, because one of them waits for a job that was dropped.
func TestEndOfDroppedJobIsAcknowledged(t *testing.T) {
	for _, c := range []struct {
		name string
		// cancelled means that the job is cancelled before the end is reported.
		cancelled bool
	}{
		{name: "queued"},
		{name: "cancelled", cancelled: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			// An earlier job with the same ID had the run.
			require.NoError(t, core.Submit(Job{ID: "j", Queue: "check", Steps: []Step{{Tasks: 1}}}, now, nil))
			if c.cancelled {
				require.True(t, core.Cancel("j", now, nil))
			}
			ended := []EndedRow{{Number: 1, Task: TaskName{Job: "j"}, Run: 1, How: EndStopped}}
			core.ApplyReport("a", Report{Incarnation: 1, Clock: time.Hour, Ended: ended}, now, now)
			poll, ok := core.BeginPoll("a", now, true)
			require.True(t, ok)
			require.Zero(t, poll.Ack)
			core.DropUncommitted(now)
			require.False(t, core.HasJob("j"))
			poll, ok = core.BeginPoll("a", now, true)
			require.True(t, ok)
			require.Equal(t, int64(1), poll.Ack)
			require.Equal(t, []string{"a"}, core.TakeAckable())
		})
	}
}
