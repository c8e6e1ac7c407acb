package shard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// noisySimulation is a simulation with a runner of a service on each worker. A task of the family
// "batch" doubles the tail latency of the runner on its worker. A task of the family "plain"
// doesn't affect it.
type noisySimulation struct {
	*simulation
	// noise is the relative increase of the tail latency of each worker's runner in the last
	// second.
	noise map[string]float64
}

func newNoisySimulation() noisySimulation {
	const alone = 50 * time.Millisecond
	w := noisySimulation{simulation: newSimulation(), noise: map[string]float64{}}
	w.config.Services = []release.Service{{
		Name: "svc", Neighbour: "n", Share: "front", Objective: release.Objective{Latency: 5 * alone, Ratio: 0.99},
		Runner: share.Resources{Processors: 1000},
	}}
	w.config.Revision++
	for _, s := range w.workers {
		s.Work = func(job string) standin.Work {
			work := simWork(job)
			if job == "batch" {
				work.Noise = 1
			}
			return work
		}
		s.Tails = func(s *standin.Worker) []worker.TailReport {
			p99 := time.Duration(float64(alone) * (1 + w.noise[s.ID]))
			return []worker.TailReport{{Service: "svc", Samples: 100, P99: p99}}
		}
		w.runners = append(w.runners, roster.Instance{
			ID: "runner-" + s.ID, Kind: roster.KindRunner, State: roster.Live, Service: "svc", Worker: s.ID, Region: "r",
		})
	}
	w.run(10)
	return w
}

// run advances the time by the given seconds, with all leaders working.
func (w noisySimulation) run(seconds int) {
	for range seconds {
		w.simulation.run(1, 0)
		for _, s := range w.workers {
			w.noise[s.ID] = s.Noise()
		}
	}
}

// slowedRunners returns the runners that are really slowed down by a task.
func (w noisySimulation) slowedRunners() []Slowed {
	var slowed []Slowed
	for i := range simWorkers {
		if id := fmt.Sprintf("w%d", i); w.noise[id] > 0 {
			slowed = append(slowed, Slowed{Worker: id, Service: "svc"})
		}
	}
	return slowed
}

// Runners must be reported as slowed once the slowdown by tasks on their workers was measured, and
// no longer after the tasks have ended. Tasks that cause no slowdown must not lead to a report.
func TestSlowedRunnersAreReportedAndCleared(t *testing.T) {
	w := newNoisySimulation()
	leader := w.leaders[0]
	w.submit(leader, "plain", 2)
	w.run(12)
	require.Empty(t, leader.core.Slowed())
	w.submit(leader, "batch", 2)
	w.run(20)
	require.NotEmpty(t, w.slowedRunners())
	require.Equal(t, w.slowedRunners(), leader.core.Slowed())
	w.run(60)
	require.Empty(t, w.slowedRunners())
	require.Empty(t, leader.core.Slowed())
	w.submit(leader, "batch", 1)
	w.run(4)
	require.Len(t, leader.core.Slowed(), 1, "the effect of a measured family must be known from the start of a task")
}

// Guards against slowed runners that are reported for ever after a takeover: what a leader reported
// must be cleared after its tasks have ended, also if it was replaced while they ran.
func TestSlowedRunnersClearAfterTakeover(t *testing.T) {
	w := newNoisySimulation()
	first := w.leaders[0]
	w.submit(first, "batch", 2)
	w.run(20)
	require.NotEmpty(t, first.core.Slowed())
	var merged SlowedRunners
	merged.Update("first", SlowedChange{Full: true, Added: first.core.Slowed()}, w.now)
	w.removeLeader(first)
	w.advance(simLeaseTTL + 2*time.Second)
	w.takeOver()
	second := w.leaders[0]
	for range 70 {
		w.run(1)
		merged.Update("second", SlowedChange{Full: true, Added: second.core.Slowed()}, w.now)
	}
	require.Empty(t, w.slowedRunners())
	require.Empty(t, merged.Slowed(w.now))
}

// A runner must count as slowed as long as any leader reports it, and no longer once the reports of
// that leader have expired.
func TestSlowedRunnersFollowEachLeader(t *testing.T) {
	at := time.Unix(1000, 0)
	a, b, c := Slowed{"w1", "s"}, Slowed{"w2", "s"}, Slowed{"w3", "s"}
	var m SlowedRunners
	m.Update("x", SlowedChange{Full: true, Added: []Slowed{a, b}}, at)
	m.Update("y", SlowedChange{Full: true, Added: []Slowed{b, c}}, at)
	require.Equal(t, map[Slowed]bool{a: true, b: true, c: true}, m.Slowed(at))
	m.Update("x", SlowedChange{Removed: []Slowed{b}}, at)
	require.Equal(t, map[Slowed]bool{a: true, b: true, c: true}, m.Slowed(at), "the other leader still reports the runner")
	m.Update("y", SlowedChange{Full: true, Added: []Slowed{c}}, at)
	require.Equal(t, map[Slowed]bool{a: true, c: true}, m.Slowed(at))
	m.Update("y", SlowedChange{}, at.Add(SlowedExpiry/2))
	require.Equal(t, map[Slowed]bool{c: true}, m.Slowed(at.Add(SlowedExpiry)), "the reports of an unresponsive leader must expire")
	m.Update("x", SlowedChange{Added: []Slowed{b}}, at.Add(SlowedExpiry))
	require.Equal(t, map[Slowed]bool{b: true, c: true}, m.Slowed(at.Add(SlowedExpiry)))
}

// A large change must be split into changes of limited size that add up to it.
func TestSlowedChangesAreBounded(t *testing.T) {
	var now []Slowed
	for i := range 10 {
		now = append(now, Slowed{Worker: fmt.Sprint(i), Service: "s"})
	}
	reported := map[Slowed]bool{{Worker: "gone", Service: "s"}: true}
	var added, removed int
	for range 4 {
		change := DiffSlowed(reported, now, 3)
		require.LessOrEqual(t, len(change.Added)+len(change.Removed), 3)
		added += len(change.Added)
		removed += len(change.Removed)
	}
	require.Equal(t, 10, added)
	require.Equal(t, 1, removed)
	require.Equal(t, SlowedChange{}, DiffSlowed(reported, now, 3))
}
