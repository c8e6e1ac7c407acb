// Package burn counts requests against the service-level objectives of their
// services. It reports the burn rate of each error budget and the causes of
// missed objectives.
//
// Each instance counts in time slots of SlotLength, with an HDR histogram of
// latency for each service and neighbour (a Series). A report merges the histograms
// of all instances. Since the histograms are kept, and not only the numbers of late
// requests, a changed objective also applies to requests that were measured before.
//
// The counts are kept in the store, so that they survive the instances. A Keeper
// first writes the counts of its instance to a key of the instance. Once a slot has
// ended, it moves them to the key of the slot, which holds the sum over all instances.
// If an instance terminates before that, the keeper of another one moves its counts;
// this is called folding.
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

// Cause is why a request missed its objective.
type Cause string

// The causes of a missed objective.
const (
	// Queueing means that most of the time was spent in the queue.
	Queueing Cause = "queueing"
	// Target means that most of the time was spent at the target, or that the target failed.
	Target Cause = "target"
	// Retry means that most of the time was spent in attempts before the last one.
	Retry Cause = "retry"
	// Refusal means that oriolepond refused the request, so that no target ran it.
	Refusal Cause = "refusal"
	// Interference is like Target, but batch tasks slowed the target's worker during the request.
	Interference Cause = "interference"
)

// Causes returns all causes, in the order in which reports list them.
func Causes() []Cause {
	return []Cause{Queueing, Target, Retry, Refusal, Interference}
}

// Sample is one finished request.
type Sample struct {
	Service   string
	Neighbour string
	// Objective is the latency limit of the service's objective.
	Objective time.Duration
	// Latency is the time from arrival to the end of the response, or to the
	// first byte of a streamed response.
	Latency time.Duration
	// Answered reports whether the service's own response arrived completely and
	// is not a server error.
	Answered bool
	// Refused reports whether the request was refused, so that no target ran it.
	Refused bool
	// Queued and Retried are the time within Latency that was spent in the queue
	// and in attempts before the last one.
	Queued  time.Duration
	Retried time.Duration
	// KnownCause is the cause if the caller of Record knows it. If it is "", the cause
	// is derived from the other fields.
	KnownCause Cause
	// Interfered reports whether batch tasks slowed the target's worker during the request.
	Interfered bool
}

// Good reports whether the request met its objective.
func (s Sample) Good() bool {
	return s.Answered && s.Latency <= s.Objective
}

// Cause returns why the request missed its objective, or "" if it met it.
func (s Sample) Cause() Cause {
	lastAttempt := s.Latency - s.Queued - s.Retried
	switch {
	case s.Good():
		return ""
	case s.Refused:
		return Refusal
	case s.KnownCause != "" && (s.KnownCause != Target || !s.Interfered):
		return s.KnownCause
	case s.Queued >= lastAttempt && s.Queued >= s.Retried && s.Queued > 0:
		return Queueing
	case s.Retried >= lastAttempt && s.Retried > 0:
		return Retry
	case s.Interfered:
		return Interference
	}
	return Target
}
