package replay

import (
	"math"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// greedySlowdownCost is the weight of the slowdown among batch tasks relative to that of
// the services' tail latency.
const greedySlowdownCost = 0.05

// greedy is a second oracle, whose decisions do not use the code of the learning
// policy. It knows the true state, places every task for which there is free capacity,
// and never makes a task yield.
type greedy struct {
	*baseline
	world *World
}

func newGreedy(t Trace, _ User) Policy {
	g := &greedy{baseline: newBaseline(t)}
	p := g.policy(Greedy)
	p.Place = g.place
	p.ObserveWorld = func(w *World) { g.world = w }
	return p
}

// place chooses the worker on which the task costs least.
func (g *greedy) place(c placement.Candidate, _ time.Time) (string, share.Resources, error) {
	family := g.trace.family(c.Job)
	size := g.trace.Families[family].True
	bestWorker, lowestCost := "", math.Inf(1)
	for _, f := range g.world.workers {
		if !size.Fits(g.pool.Free(f.ID)) {
			continue
		}
		if cost := g.cost(f, family); cost < lowestCost {
			bestWorker, lowestCost = f.ID, cost
		}
	}
	if bestWorker == "" {
		return "", size, &placement.FullError{Task: c.Task, Reason: placement.NoFreeCapacity}
	}
	return bestWorker, size, nil
}

// cost returns what one more task of a family costs on a worker: the increase of the
// services' strain, cubed so that the worst tails count most, and the slowdown among
// batch tasks.
func (g *greedy) cost(f *fakeWorker, family int) float64 {
	cost := 0.0
	for _, r := range f.Runners {
		v := g.trace.service(r.Service)
		base := g.world.baseStrain(g.trace.Services[v-len(g.trace.Families)])
		before := g.world.strain(f, r.Service)
		after := before + base*g.world.slowdowns[v][family]
		cost += math.Pow(after, 3) - math.Pow(before, 3)
	}
	for _, t := range f.tasks {
		cost += greedySlowdownCost * (g.world.slowdowns[family][t.family] + g.world.slowdowns[t.family][family])
	}
	return cost
}
