// Package burn counts requests against the objectives of their services, and
// reports how fast the error budgets burn and what burns them.
//
// Each instance counts in slots of time, with an HDR histogram of latency for
// each service and neighbour. A report merges the histograms of all instances,
// so that a changed objective is judged by what was measured before it, too.
//
// # Usage
//
//	r := burn.NewRecorder()
//	r.Record(time.Now(), sample)
//	k := &burn.Keeper{Recorder: r, Store: client, ID: "entry-1", Interval: time.Minute}
//	go k.Run(ctx)
//	stored, err := burn.ReadStored(ctx, client, time.Now())
//	report, err := stored.Report(config, time.Now())
package burn

import "time"

// Cause is what made a request miss its objective.
type Cause string

// The causes of a missed objective.
const (
	// Queueing: most of the time went by in the queue.
	Queueing Cause = "queueing"
	// Target: most of the time went by at the target, or the target failed.
	Target Cause = "target"
	// Retry: most of the time went by in attempts before the last.
	Retry Cause = "retry"
	// Refusal: oriolepond refused the request without running it.
	Refusal Cause = "refusal"
	// Interference: as Target, while batch work slowed the target's worker.
	Interference Cause = "interference"
)

// Causes returns all causes in the order of reports.
func Causes() []Cause {
	return []Cause{Queueing, Target, Retry, Refusal, Interference}
}

// Sample is one finished request.
type Sample struct {
	Service   string
	Neighbour string
	// Objective is the bound within which an answer counts as good.
	Objective time.Duration
	// Latency is the time from arrival to the whole answer; of a stream, to its first byte.
	Latency time.Duration
	// Answered means that the service's own answer came whole and is no server error.
	Answered bool
	// Refused means that the request was not run.
	Refused bool
	// Queued and Retried are the parts of Latency in the queue and in earlier attempts.
	Queued  time.Duration
	Retried time.Duration
	// KnownCause is the cause if it is known already; "" means that it follows from the other fields.
	KnownCause Cause
	// Interfered means that batch work slowed the target's worker at the time.
	Interfered bool
}

// Good reports whether the request met its objective.
func (s Sample) Good() bool {
	return s.Answered && s.Latency <= s.Objective
}

// Cause returns what made the request miss its objective; "" if it met it.
func (s Sample) Cause() Cause {
	rest := s.Latency - s.Queued - s.Retried
	switch {
	case s.Good():
		return ""
	case s.Refused:
		return Refusal
	case s.KnownCause != "" && (s.KnownCause != Target || !s.Interfered):
		return s.KnownCause
	case s.Queued >= rest && s.Queued >= s.Retried && s.Queued > 0:
		return Queueing
	case s.Retried >= rest && s.Retried > 0:
		return Retry
	case s.Interfered:
		return Interference
	}
	return Target
}
