package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against two runs of a task: a worker that has restarted knows no fencing token, so that its answers
// do not count for its earlier incarnation, nor do answers that name none.
func TestOnlyTheSameIncarnationIsAWitness(t *testing.T) {
	start := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name string
		// answer lets worker "a" answer a poll of the time at.
		answer   func(c *Core, at time.Time)
		answered int
		fenced   int
	}{
		{"answers", func(c *Core, at time.Time) { c.ApplyReport("a", Report{Incarnation: 1, Clock: time.Hour}, at, at) }, 4, 4},
		{"has restarted", func(c *Core, at time.Time) { c.ApplyReport("a", Report{Incarnation: 2, Clock: time.Second}, at, at) }, 3, 3},
		{"is listed with another incarnation", func(c *Core, at time.Time) {
			info := c.workers["a"].WorkerInfo
			info.Incarnation = 2
			c.SetWorker(info, at)
		}, 3, 3},
		{"names no incarnation", func(c *Core, at time.Time) { c.ApplyReport("a", Report{Clock: time.Hour}, at, at) }, 3, 4},
		{"does not answer", func(c *Core, at time.Time) { c.PollFailed("a", AnswerNone, at, at) }, 3, 4},
		{"is busy", func(c *Core, at time.Time) { c.PollFailed("a", AnswerBusy, at, at) }, 3, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := fourWorkerCore(t, start)
			set := core.Witnesses()
			require.Len(t, set, 4)
			decoded, err := DecodeWitnesses(set.Encode())
			require.NoError(t, err)
			require.Equal(t, set, decoded)
			at := start.Add(time.Second)
			for _, id := range []string{"b", "c", "d"} {
				core.ApplyReport(id, Report{Incarnation: 1, Clock: time.Hour}, at, at)
			}
			c.answer(core, at)
			for n := 1; n <= 4; n++ {
				require.Equal(t, n <= c.answered, core.AnsweredSince(set, n).Equal(at), "%d of 4", n)
			}
			require.Zero(t, core.AnsweredSince(set, 0))
			require.Zero(t, core.AnsweredSince(set, 5))
			require.Equal(t, c.fenced, core.CountFenced(set))
			require.Zero(t, core.CountFenced(nil))
		})
	}
}
