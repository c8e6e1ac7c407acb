// Package attempt decides, after an attempt to send a request to a target has ended, whether the
// request may have run and whether it may be retried. It does no I/O and reads no clock, and is
// not safe for concurrent use.
//
// # Usage
//
//	result := attempt.Classify(evidence)
//	if attempt.MayRetry(route.Class, result) && budget.Spend() {
//		// Try another target.
//	}
package attempt

import "github.com/oriolepond/oriolepond/pkg/release"

// Result tells whether the target ran the request of an attempt.
type Result string

// The possible values of Result.
const (
	// NotRun means that the target certainly executed nothing.
	NotRun Result = "notRun"
	// Unknown means that the target may have run the request.
	Unknown Result = "unknown"
	// Answered means that the target's complete response was received.
	Answered Result = "answered"
)

// Evidence is what is known about an attempt after its end.
type Evidence struct {
	// BytesSent is the number of request bytes that were written to the connection.
	BytesSent int64
	// Refused is set if the target reported that it did not run the request.
	Refused bool
	// Complete is set if the target's response to this request was received completely.
	Complete bool
}

// Classify returns the strongest result that the evidence proves.
func Classify(e Evidence) Result {
	switch {
	case e.Refused || e.BytesSent == 0:
		return NotRun
	case e.Complete:
		return Answered
	}
	return Unknown
}

// MayRetry reports whether a request of a route class may be sent again after an attempt with this
// result.
func MayRetry(class release.RouteClass, r Result) bool {
	return r == NotRun || r == Unknown && class == release.Idempotent
}

// Budget limits retries and hedges together to a fraction of the requests, so that they cannot
// multiply an overload.
type Budget struct {
	// Ratio is the number of extra attempts, which are retries and hedges, allowed per request; Burst
	// is how many unused ones may accumulate.
	Ratio float64
	Burst float64

	spent float64
}

// Earn counts one request, which allows Ratio more extra attempts.
func (b *Budget) Earn() { b.spent = max(0, b.spent-b.Ratio) }

// Spend reports whether the budget allows one extra attempt, and counts it if so.
func (b *Budget) Spend() bool {
	if b.spent+1 > b.Burst {
		return false
	}
	b.spent++
	return true
}
