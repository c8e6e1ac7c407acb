// Package target selects the runner (target) that serves a request. A Table tracks the request slots
// that this instance may use at each target, and the health of the targets as the results of
// attempts show it: a target that fails several times in a row is ejected, so that it gets only
// single probe requests until one of them succeeds. The package does no I/O and reads no clock.
//
// # Usage
//
//	t := target.NewTable()
//	t.Set(targets)
//	slot, ok := t.Acquire(target.Criteria{Service: "finish", Now: now})
//	if ok {
//		// Run the request, then:
//		t.Report(slot, target.Succeeded, time.Since(now), time.Now())
//		t.Release(slot)
//	}
package target

import "time"

// Target describes one runner and the share of it that this instance may use.
type Target struct {
	ID         string
	Service    string
	Address    string
	Region     string
	DataCentre string
	// Slots is the number of requests that this instance may have in flight at the target.
	Slots int
	// Connections is the number of connections that this instance may have open to the target; zero
	// means no limit.
	Connections int
	// Leaving is set while the target is shutting down; it gets no new requests.
	Leaving bool
}

// usableSlots returns how many requests may be in flight at the target. Each request needs a
// connection of its own, so the connection limit bounds them too.
func (t Target) usableSlots() int {
	if t.Leaving {
		return 0
	}
	if t.Connections > 0 {
		return min(t.Slots, t.Connections)
	}
	return t.Slots
}

// Slot is the permission to have one request in flight at a target.
type Slot struct {
	Target      string
	Address     string
	Connections int
	// Probe is set if the target is ejected and this request tests whether it has recovered.
	Probe bool

	state *state
}

// Criteria describes the slot that a request needs.
type Criteria struct {
	Service string
	// Exclude is the id of a target that must not be chosen; empty excludes none.
	Exclude string
	// Idempotent requests are preferred to probe an ejected target.
	Idempotent bool
	Now        time.Time
}

// Change is the effect of a reported attempt on the ejection state of its target.
type Change string

// The possible values of Change.
const (
	Unchanged  Change = ""
	Ejected    Change = "ejected"
	Readmitted Change = "readmitted"
)

// Result is how an attempt ended, as evidence about the health of its target.
type Result string

// The possible values of Result.
const (
	Succeeded Result = "succeeded"
	// Failed means that the connection was refused or broke, or that the response was missing or
	// invalid.
	Failed Result = "failed"
	// LostToHedge means that a hedged attempt at another target responded first.
	LostToHedge Result = "overtaken"
	// Abandoned means that the attempt ended for a reason that is no evidence about the target, such
	// as a caller that disconnected.
	Abandoned Result = "abandoned"
)
