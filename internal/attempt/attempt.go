// Package attempt decides what the end of an attempt means for its request:
// whether the request was run, and whether it is tried again. It is free of
// I/O and clocks, and not safe for concurrent use.
//
// # Usage
//
//	result := attempt.Classify(evidence)
//	if attempt.MayRepeat(route.Class, result) && budget.Spend() {
//		// Try another target.
//	}
package attempt

import "github.com/oriolepond/oriolepond/pkg/release"

// Result says whether an attempt ran at its target.
type Result string

// The results.
const (
	// NotRun is certain: the target executed nothing.
	NotRun Result = "notRun"
	// Unknown means that the target may have run the request.
	Unknown Result = "unknown"
	// Answered means that the target's own whole answer came back.
	Answered Result = "answered"
)

// Evidence is what an attempt has shown.
type Evidence struct {
	// BytesSent is how many bytes of the request the connection has taken.
	BytesSent int64
	// Refused is set if the target said that it did not run the request.
	Refused bool
	// Whole is set if the target's answer to this request came back whole.
	Whole bool
}

// Classify returns what the evidence proves.
func Classify(e Evidence) Result {
	switch {
	case e.Refused || e.BytesSent == 0:
		return NotRun
	case e.Whole:
		return Answered
	}
	return Unknown
}

// MayRepeat reports whether a request may be sent again after an attempt.
func MayRepeat(class release.RouteClass, r Result) bool {
	return r == NotRun || r == Unknown && class == release.Idempotent
}

// Budget bounds the further attempts, retries and hedges together, to a part
// of the requests, so that they cannot multiply an overload.
type Budget struct {
	// Ratio is the number of further attempts per request; Burst is how many may be saved up.
	Ratio float64
	Burst float64

	spent float64
}

// Earn counts one request.
func (b *Budget) Earn() { b.spent = max(0, b.spent-b.Ratio) }

// Spend reports whether one further attempt is within the budget, and counts it.
func (b *Budget) Spend() bool {
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
