package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an end that its worker forgets while the hand-over of its job is stored nowhere: the next leader still has
// the job, and may have the task as running.
func TestEndOfMovedJobAwaitsForwardingRecord(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and after are called before and after the end is reported. They get the changes that hand the job over.
		before, after func(c *Core, ch Changes, now time.Time)
		wantAck       int64
	}{
		{name: "commit in progress"},
		{name: "commit withdrawn before", before: func(c *Core, ch Changes, _ time.Time) { c.Withdraw(ch) }},
		{name: "commit withdrawn after", after: func(c *Core, ch Changes, _ time.Time) { c.Withdraw(ch) }},
		{name: "record refused after", after: func(c *Core, ch Changes, now time.Time) { c.Refuse(ch, now) }},
		{name: "committed before", before: func(c *Core, ch Changes, _ time.Time) { c.Committed(ch) }, wantAck: 1},
		{name: "committed after", after: func(c *Core, ch Changes, _ time.Time) { c.Committed(ch) }, wantAck: 1},
		{name: "withdrawn, then committed", before: func(c *Core, ch Changes, _ time.Time) { c.Withdraw(ch) }, after: func(c *Core, _ Changes, now time.Time) {
			commitAll(t, c, now)
		}, wantAck: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core, j := storedThenHandedOver(t, now)
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			if c.before != nil {
				c.before(core, changes, now)
			}
			core.ApplyReport("a", Report{
				Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{{Number: 1, Task: TaskName{Job: j.ID}, Run: 1, How: EndDone}},
			}, now, now)
			if c.after != nil {
				c.after(core, changes, now)
			}
			poll, ok := core.BeginPoll("a", now, true)
			require.True(t, ok)
			require.Equal(t, c.wantAck, poll.Ack)
			require.Equal(t, c.wantAck == 1, core.IsSettled("a"))
		})
	}
}
