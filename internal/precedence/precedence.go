// Package precedence decides what goes first when there is too little capacity
// for all the work that waits: what is delayed is what costs its callers least,
// by its priority, its deadline and the capacity that it holds.
//
// A Claim is waiting work; claims are compared for the order in which they get
// capacity. A Demand follows what work that ends by itself needs, so that new
// long-running work, which keeps its capacity, leaves that much. A displacement
// is a set of runs that give up their capacity for a claim that goes before them.
//
// The package only makes decisions. It has no I/O, goroutines or clocks: times
// are arguments.
//
// # Usage
//
//	slices.SortStableFunc(waiting, precedence.Claim.Compare)
//	demand = demand.WithObservation(need, now)
//	if !demand.LeavesRoom(inUse, free, size, now) {
//		// New long-running work of that size waits.
//	}
//	d, ok := precedence.CheapestDisplacement(size, free, occupants)
package precedence

import (
	"cmp"
	"time"
)

const (
	// unservedFactor is the multiple of its objective after which work counts as not served.
	unservedFactor = 3
	// starvationLimit is how long work waits behind work of higher priorities at most.
	starvationLimit = time.Minute
)

// Claim is work that waits for capacity.
type Claim struct {
	// Priority is 0 for the work that goes first; higher values go later.
	Priority int
	// LongRunning means that the work keeps its capacity until it is cancelled, Interrupted that it
	// was at work before.
	LongRunning bool
	Interrupted bool
	// Waited is the time since the work was submitted, Objective the time in which it should end;
	// neither matters for long-running work.
	Waited    time.Duration
	Objective time.Duration
	// Due is when the work should end, or begin if it is long-running.
	Due time.Time
}

// Compare returns a negative number if the claim goes before the other one, and a positive number if
// it goes after it.
func (c Claim) Compare(o Claim) int {
	if a, b := c.isStarved(), o.isStarved(); a != b {
		if a {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(c.Priority, o.Priority), cmp.Compare(c.standing(), o.standing()), c.Due.Compare(o.Due))
}

// IsUnserved reports whether the work has waited for so long that it no longer counts as served.
func (c Claim) IsUnserved() bool {
	return !c.LongRunning && c.Waited > unservedFactor*c.Objective
}

// isStarved reports whether the work has waited for starvationLimit.
func (c Claim) isStarved() bool { return !c.LongRunning && c.Waited >= starvationLimit }

// standing returns the position of a claim among those of its priority, by what a further delay costs.
func (c Claim) standing() int {
	switch {
	case c.LongRunning && c.Interrupted:
		// Its users are without service.
		return 0
	case c.LongRunning:
		// It would hold its capacity while all others wait.
		return 4
	case c.IsUnserved():
		return 3
	case c.Waited > c.Objective:
		return 2
	}
	return 1
}
