package laboratory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Allocated tasks come first, filler runs share what they leave, and batch runs take headroom by the
// processors that they use. What is measured follows with a delay.
func TestWorkerSharesProcessorsAndHeadroom(t *testing.T) {
	front := Service{Name: "front", Image: "front", Baseline: 2, Use: 0.5}
	serving := &batch.Step{Size: share.Resources{Processors: 4000}, Image: "front", TailTarget: 20 * time.Millisecond, LongRunning: true}
	step := func(cores int, filler bool) *batch.Step {
		return &batch.Step{Size: share.Resources{Processors: share.MilliCores(1000 * cores)}, Image: "a", Filler: filler}
	}
	for _, c := range []struct {
		name     string
		runs     []*simRun
		speeds   []float64
		headroom float64
		idle     float64
	}{
		{name: "alone", runs: []*simRun{{step: serving}}, speeds: []float64{1}, headroom: 2, idle: 8000},
		{name: "beside a filler", runs: []*simRun{{step: serving}, {step: step(4, true), ratio: 100}}, speeds: []float64{1, 1}, headroom: 1.2, idle: 4000},
		{name: "beside a throttled one", runs: []*simRun{{step: serving}, {step: step(4, true), ratio: 25}}, speeds: []float64{1, 0.25}, headroom: 1.8, idle: 7000},
		{name: "too many fillers", runs: []*simRun{{step: serving}, {step: step(8, true), ratio: 100}, {step: step(8, true), ratio: 100}}, speeds: []float64{1, 0.5, 0.5}, headroom: 0.4},
		{name: "an allocated task", runs: []*simRun{{step: serving}, {step: step(5, false), ratio: 100}, {step: step(6, true), ratio: 100}}, speeds: []float64{1, 1, 0.5}, headroom: 0.4},
		{name: "shrunk", runs: []*simRun{{step: step(20, false)}, {step: step(1, true), ratio: 100}}, speeds: []float64{0.5, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := &Day{Experiment: &Experiment{Services: []Service{front}}, phases: []float64{0}, losses: map[string]map[string]float64{"front": {"a": 2}}}
			w := &simWorker{
				info: batch.WorkerInfo{Capacity: share.Resources{Processors: 10_000}}, declared: 10_000, runs: c.runs,
				leasedUntil: epoch.Add(time.Hour), highestEnded: map[batch.TaskName]int64{},
			}
			for _, r := range c.runs {
				if !r.isServing() {
					r.total, r.remaining, r.startedAt = time.Hour, time.Hour, epoch
				}
			}
			w.advance(d, epoch.Add(time.Second))
			for i, r := range c.runs {
				require.InDelta(t, c.speeds[i], r.speed, 1e-9, "run %d", i)
			}
			require.InDelta(t, c.idle, w.idle, 1e-6)
			if c.runs[0].step != serving {
				return
			}
			require.InDelta(t, c.headroom, c.runs[0].headroom, 1e-9)
			require.InDelta(t, 20/c.headroom, c.runs[0].tail, 1e-9)
			c.runs[0].tail = 100
			w.advance(d, epoch.Add(time.Second+tick))
			require.InDelta(t, 20/c.headroom+(100-20/c.headroom)*tailDecayPerTick, c.runs[0].tail, 1e-9)
		})
	}
}
