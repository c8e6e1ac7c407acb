package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against a job that is given up too early by the next leader: crashes that a lasting run had cleared were still in the
// record of its task.
func TestEndOfIsolationIsStored(t *testing.T) {
	for _, c := range []struct {
		name          string
		crashes, want crashCount
		lasts         time.Duration
	}{
		{name: "after one crash", crashes: crashCount{total: 1, early: 1, isolate: true}, lasts: earlyCrash, want: crashCount{total: 1, early: 1}},
		{name: "after many", crashes: crashCount{total: longCrashes, early: 2, isolate: true}, lasts: lateCrash, want: crashCount{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			step := Step{Tasks: 1, Size: share.Resources{Processors: 1000}}
			require.NoError(t, core.Submit(Job{ID: "j", Queue: "check", Steps: []Step{step}}, now, nil))
			task := core.jobs["j"].stages[0].tasks[0]
			task.crashes = c.crashes
			core.Plan(now)
			call := commitAndStart(t, core, now)[task.name()]
			w := core.workers[call.Worker]
			require.NotNil(t, w.isolated)
			core.renewLease(w.ID, now.Add(c.lasts/2))
			now = now.Add(c.lasts)
			// The worker answers a command before it is polled.
			core.HandleAnswer(Command{Kind: CommandStop, worker: w}, Result{Answer: AnswerDone, Clock: time.Hour + c.lasts, Incarnation: 1}, now, now)
			core.Plan(now)
			require.Equal(t, c.want, task.crashes)
			_, records := commitAll(t, core, now)
			require.NotEmpty(t, records, "the end of the isolation is not stored")
			next := fourWorkerCore(t, now)
			require.NoError(t, next.Restore(records[len(records)-1], now))
			require.Equal(t, c.want, next.jobs["j"].stages[0].tasks[0].crashes)
		})
	}
}
