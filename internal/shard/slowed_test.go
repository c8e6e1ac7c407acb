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

// noisyWorld is a world with a runner of a service on each worker. A task of
// the family "batch" doubles the tail of the runner beside it, one of "plain"
// does nothing to it.
type noisyWorld struct {
	*world
	// noise is what was added to the tail of each worker's runner in the last second.
	noise map[string]float64
}

func newNoisyWorld() noisyWorld {
	const alone = 50 * time.Millisecond
	w := noisyWorld{world: newWorld(), noise: map[string]float64{}}
	w.config.Services = []release.Service{{
		Name: "svc", Neighbour: "n", Share: "front", Objective: release.Objective{Latency: 5 * alone, Ratio: 0.99},
		Runner: share.Resources{Processors: 1000},
	}}
	w.config.Revision++
	for _, s := range w.workers {
		s.Work = func(job string) standin.Work {
			work := worldWork(job)
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
	w.coast(10)
	return w
}

// coast lets time pass with all holders at work.
func (w noisyWorld) coast(seconds int) {
	for range seconds {
		w.world.coast(1, 0)
		for _, s := range w.workers {
			w.noise[s.ID] = s.Noise()
		}
	}
}

// noisy returns the runners that a task slows down in truth.
func (w noisyWorld) noisy() []Slowed {
	var all []Slowed
	for i := range worldWorkers {
		if id := fmt.Sprintf("w%d", i); w.noise[id] > 0 {
			all = append(all, Slowed{Worker: id, Service: "svc"})
		}
	}
	return all
}

// The runners beside noisy tasks are marked once their slowdown was measured,
// and no longer when the tasks are gone; a family that does no harm marks none.
func TestSlowedRunnersAreMarked(t *testing.T) {
	w := newNoisyWorld()
	h := w.holders[0]
	w.submit(h, "plain", 2)
	w.coast(12)
	require.Empty(t, h.core.Slowed())
	w.submit(h, "batch", 2)
	w.coast(20)
	require.NotEmpty(t, w.noisy())
	require.Equal(t, w.noisy(), h.core.Slowed())
	w.coast(60)
	require.Empty(t, w.noisy())
	require.Empty(t, h.core.Slowed())
	w.submit(h, "batch", 1)
	w.coast(4)
	require.Len(t, h.core.Slowed(), 1, "a family that was measured is known from its start")
}

// What a holder marked goes with its tasks when it is replaced while they run.
func TestTakeOverMarksNothingForever(t *testing.T) {
	w := newNoisyWorld()
	first := w.holders[0]
	w.submit(first, "batch", 2)
	w.coast(20)
	require.NotEmpty(t, first.core.Slowed())
	var marks SlowedRunners
	marks.Update("first", SlowedChange{Full: true, Added: first.core.Slowed()}, w.now)
	w.drop(first)
	w.advance(worldTTL + 2*time.Second)
	w.take()
	second := w.holders[0]
	for range 70 {
		w.coast(1)
		marks.Update("second", SlowedChange{Full: true, Added: second.core.Slowed()}, w.now)
	}
	require.Empty(t, w.noisy())
	require.Empty(t, marks.Slowed(w.now))
}

func TestMarksFollowEachHolder(t *testing.T) {
	at := time.Unix(1000, 0)
	a, b, c := Slowed{"w1", "s"}, Slowed{"w2", "s"}, Slowed{"w3", "s"}
	var m SlowedRunners
	m.Update("x", SlowedChange{Full: true, Added: []Slowed{a, b}}, at)
	m.Update("y", SlowedChange{Full: true, Added: []Slowed{b, c}}, at)
	require.Equal(t, map[Slowed]bool{a: true, b: true, c: true}, m.Slowed(at))
	m.Update("x", SlowedChange{Removed: []Slowed{b}}, at)
	require.Equal(t, map[Slowed]bool{a: true, b: true, c: true}, m.Slowed(at), "one holder still says so")
	m.Update("y", SlowedChange{Full: true, Added: []Slowed{c}}, at)
	require.Equal(t, map[Slowed]bool{a: true, c: true}, m.Slowed(at))
	m.Update("y", SlowedChange{}, at.Add(SlowedExpiry/2))
	require.Equal(t, map[Slowed]bool{c: true}, m.Slowed(at.Add(SlowedExpiry)), "the word of a silent holder lapses")
	m.Update("x", SlowedChange{Added: []Slowed{b}}, at.Add(SlowedExpiry))
	require.Equal(t, map[Slowed]bool{b: true, c: true}, m.Slowed(at.Add(SlowedExpiry)))
}

// A large change comes in bounded parts that add up to it.
func TestSlowedChangesAreBounded(t *testing.T) {
	var now []Slowed
	for i := range 10 {
		now = append(now, Slowed{Worker: fmt.Sprint(i), Service: "s"})
	}
	told := map[Slowed]bool{{Worker: "gone", Service: "s"}: true}
	var added, removed int
	for range 4 {
		change := DiffSlowed(told, now, 3)
		require.LessOrEqual(t, len(change.Added)+len(change.Removed), 3)
		added += len(change.Added)
		removed += len(change.Removed)
	}
	require.Equal(t, 10, added)
	require.Equal(t, 1, removed)
	require.Equal(t, SlowedChange{}, DiffSlowed(told, now, 3))
}
