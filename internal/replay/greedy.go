package replay

import (
	"math"
	"time"

	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// greedySlowdownCost weighs the slowdown of batch tasks against a service's tail.
const greedySlowdownCost = 0.05

// greedy is a second oracle, which shares no decision with the learning policy:
// it knows the true state, always places, and never makes a task yield.
type greedy struct {
	*baseline
	world *World
}

func newGreedy(t Trace, _ User) Policy {
	g := &greedy{baseline: newBaseline(t)}
	p := g.policy(Greedy)
	p.Place = g.place
	p.Sees = func(w *World) { g.world = w }
	return p
}

// place takes the worker on which the task adds least strain.
func (g *greedy) place(c placement.Candidate, _ time.Time) (string, share.Resources, error) {
	family := g.trace.family(c.Job)
	size := g.trace.Families[family].True
	best, least := "", math.Inf(1)
	for _, f := range g.world.workers {
		if !size.Fits(g.pool.Free(f.ID)) {
			continue
		}
		if cost := g.cost(f, family); cost < least {
			best, least = f.ID, cost
		}
	}
	if best == "" {
		return "", size, &placement.FullError{Task: c.Task, Reason: placement.NoFreeCapacity}
	}
	return best, size, nil
}

// cost returns what one more task of a family costs on a worker; the cube
// makes the worst tails count most.
func (g *greedy) cost(f *fakeWorker, family int) float64 {
	cost := 0.0
	for _, r := range f.Runners {
		v := g.trace.service(r.Service)
		base := g.world.base(g.trace.Services[v-len(g.trace.Families)])
		before := g.world.strain(f, r.Service)
		after := before + base*g.world.slowdowns[v][family]
		cost += math.Pow(after, 3) - math.Pow(before, 3)
	}
	for _, t := range f.tasks {
		cost += greedySlowdownCost * (g.world.slowdowns[family][t.family] + g.world.slowdowns[t.family][family])
	}
	return cost
}
