package batch

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against a step that waits until its tickets expire although other workers could run it: its tickets
// are for workers that cannot run it, or cannot be used because processors are allocated that it need not have.
func TestAdvisedStepWaitsForNoUselessTicket(t *testing.T) {
	const workers = maxQueriedWorkers + 10
	size := share.Resources{Processors: 2000, Memory: 1 << 30}
	whole := share.Resources{Processors: 16_000, Memory: 1 << 30}
	for _, c := range []struct {
		name string
		step Step
		// occupied is what a serving task uses on each worker.
		occupied share.MilliCores
		// admits reports whether the adviser admits a worker; starts is how many tasks have to start.
		admits func(worker int) bool
		starts int
		// valid is how long a ticket is valid, a minute if it is zero.
		valid time.Duration
	}{
		{name: "workers without the label", step: Step{Tasks: 1, Size: size, RequiredLabel: "last"}, admits: func(int) bool { return true }, starts: 1},
		{name: "too few workers for the limit on each", step: Step{Tasks: 2, Size: size, MaxPerWorker: 1}, admits: func(w int) bool { return w == 0 || w == workers-1 }, starts: 2},
		{name: "workers without free processors", step: Step{Tasks: 1, Size: size, Filler: true, Image: "filler"}, occupied: 15_000, admits: func(int) bool { return true }, starts: 1},
		{name: "too few workers for a gang", step: Step{Tasks: 3, Size: whole, Gang: true}, admits: func(w int) bool { return w < 2 || w == workers-1 }, starts: 3},
		{
			name: "tickets of a gang that expire before all workers are asked", step: Step{Tasks: 3, Size: whole, Gang: true},
			admits: func(w int) bool { return w < 2 || w == workers-1 }, starts: 3, valid: ticketMargin + 150*time.Millisecond,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			config := simQueueConfig()
			config.Queues["advised"] = Queue{Name: "advised", Service: "pool", Slack: 2, Target: time.Second, Advised: true}
			core := NewCore(DefaultTiming(), now, now)
			core.SetQueueConfig(config)
			for i := range workers {
				id := fmt.Sprintf("w-%02d", i)
				info := WorkerInfo{ID: id, Address: id, Service: "pool", Incarnation: 1, Capacity: share.Resources{Processors: 16_000, Memory: 8 << 30}}
				if i == workers-1 {
					info.Labels = []string{"last"}
				}
				core.SetWorker(info, now)
				core.ApplyReport(id, Report{Incarnation: 1, Clock: time.Hour}, now, now)
			}
			if c.occupied > 0 {
				serving := Step{Tasks: workers, Size: share.Resources{Processors: c.occupied}, LongRunning: true, Image: "serving", TailTarget: servingTarget, MaxPerWorker: 1}
				require.NoError(t, core.Submit(Job{ID: "0000000000000001", Queue: "check", Steps: []Step{serving}}, now, nil))
				core.Plan(now)
				require.Len(t, commitAndStart(t, core, now), workers)
			}
			require.NoError(t, core.Submit(Job{ID: "0000000000000002", Queue: "advised", Steps: []Step{c.step}}, now, nil))
			started := 0
			for until := now.Add(simIdleTime); now.Before(until); now = now.Add(100 * time.Millisecond) {
				core.Plan(now)
				started += len(commitAndStart(t, core, now))
				for _, q := range core.TakeQueries() {
					var admitted []Admission
					for _, id := range q.Workers {
						var number int
						_, err := fmt.Sscanf(id, "w-%d", &number)
						require.NoError(t, err)
						if c.admits(number) {
							admitted = append(admitted, Admission{Worker: id, Ticket: "t"})
						}
					}
					core.HandleAdvice(q, admitted, cmp.Or(c.valid, time.Minute), nil, now, now)
				}
			}
			require.Equal(t, c.starts, started)
		})
	}
}
