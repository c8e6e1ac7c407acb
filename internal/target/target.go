// Package target decides which runner of a service takes a request. It holds
// the slots that this instance may use at each target and the targets' health,
// and is free of I/O and clocks.
//
// # Usage
//
//	t := target.NewTable()
//	t.Set(targets)
//	slot, ok := t.Acquire(target.Want{Service: "finish", Now: now})
//	if ok {
//		// Run the request, then:
//		t.Report(slot, target.Succeeded, time.Since(now), time.Now())
//		t.Release(slot)
//	}
package target

import "time"

// Target is one runner as this instance may use it.
type Target struct {
	ID         string
	Service    string
	Address    string
	Region     string
	DataCentre string
	// Slots is how many requests this instance may have in flight at the target.
	Slots int
	// Connections is how many connections this instance may have open to the
	// target; zero means no bound.
	Connections int
	// Leaving targets get nothing new.
	Leaving bool
}

// usable returns how many requests the target may have in flight: no more than its connections.
func (t Target) usable() int {
	if t.Leaving {
		return 0
	}
	if t.Connections > 0 {
		return min(t.Slots, t.Connections)
	}
	return t.Slots
}

// Slot is the right to have one request in flight at a target.
type Slot struct {
	Target      string
	Address     string
	Connections int
	// Probe is set if the target is tried after an ejection.
	Probe bool

	state *state
}

// Want describes the slot that a request needs.
type Want struct {
	Service string
	// Exclude is the id of a target that is not chosen; empty excludes none.
	Exclude string
	// Idempotent requests may be sent to a target that is tried after an ejection.
	Idempotent bool
	Now        time.Time
}

// Change is what an attempt changed for its target.
type Change string

// The changes.
const (
	Unchanged  Change = ""
	Ejected    Change = "ejected"
	Readmitted Change = "readmitted"
)

// Result is how an attempt at a target ended, as far as it tells of the target.
type Result string

// The results.
const (
	Succeeded Result = "succeeded"
	// Failed means a refused, broken, wrong or missing answer.
	Failed Result = "failed"
	// Overtaken means that a hedge was answered first.
	Overtaken Result = "overtaken"
	// Abandoned means that the caller left; it tells nothing of the target.
	Abandoned Result = "abandoned"
)
