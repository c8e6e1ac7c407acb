package precedence

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Occupant is a run that may give up its capacity.
type Occupant struct {
	Size share.Resources
	// Lost is the run time that its eviction costs.
	Lost time.Duration
}

// Displacement is a set of occupants of one worker that give up their capacity.
type Displacement struct {
	// Evicted has the indexes of the occupants, those that lose the least first.
	Evicted []int
	// Lost is the run time that the evictions cost.
	Lost time.Duration
}

// CheapestDisplacement returns the occupants of a worker whose evictions free capacity for work of a
// size, and whether they suffice. It takes those that lose the least first, the largest of equals, and
// spares those that turn out not to be needed.
func CheapestDisplacement(size, free share.Resources, occupants []Occupant) (Displacement, bool) {
	order := make([]int, len(occupants))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(occupants[a].Lost, occupants[b].Lost), cmp.Compare(occupants[b].Size.Processors, occupants[a].Size.Processors))
	})
	var d Displacement
	for _, i := range order {
		if size.Fits(free) {
			break
		}
		free = free.Plus(occupants[i].Size)
		d.Evicted = append(d.Evicted, i)
	}
	if !size.Fits(free) {
		return Displacement{}, false
	}
	for k := len(d.Evicted) - 1; k >= 0; k-- {
		if without := free.Minus(occupants[d.Evicted[k]].Size); size.Fits(without) {
			free = without
			d.Evicted = slices.Delete(d.Evicted, k, k+1)
		}
	}
	for _, i := range d.Evicted {
		d.Lost += occupants[i].Lost
	}
	return d, true
}
