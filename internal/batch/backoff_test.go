package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against workers that are given no runs for up to 8 s, because the answers to starts that they have carried out
// are lost or late.
func TestConfirmedStartsCauseNoBackoff(t *testing.T) {
	for _, c := range []struct {
		name string
		// confirmed means that the next report lists the run, early that this report comes before the call has failed.
		confirmed, early bool
		want             bool
	}{
		{name: "reported", confirmed: true, want: true},
		{name: "reported before", confirmed: true, early: true, want: true},
		{name: "not reported"},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			w := core.workers["a"]
			step := Step{Tasks: 5, Size: share.Resources{Processors: 500}, RequiredLabel: "kind-a", LongRunning: true}
			require.NoError(t, core.Submit(Job{ID: "j", Queue: "check", Steps: []Step{step}}, now, nil))
			core.Plan(now)
			changes, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			report := Report{Incarnation: 1, Clock: time.Hour}
			for _, command := range core.Committed(changes) {
				call, ok := core.PrepareCall(command, now)
				require.True(t, ok)
				if c.confirmed {
					report.Running = append(report.Running, RunningRow{Task: call.Task, Run: call.Run})
				}
				sent := now
				now = now.Add(time.Second)
				if c.early {
					core.ApplyReport("a", report, sent, now)
				}
				core.HandleAnswer(command, Result{Answer: AnswerNone}, sent, now)
				core.ApplyReport("a", report, now, now)
				if c.confirmed {
					require.True(t, core.acceptsRuns(w, now))
				}
			}
			require.Equal(t, c.want, w.refusals == 0)
			require.Equal(t, c.want, core.acceptsRuns(w, now))
		})
	}
}
