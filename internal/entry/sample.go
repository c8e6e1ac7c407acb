package entry

import (
	"errors"
	"net/http"
	"time"
)

// Cause classifies what made a request late or left it without a response.
type Cause string

// The possible values of Cause.
const (
	CauseNone     Cause = ""
	CauseQueueing Cause = "queueing"
	CauseTarget   Cause = "target"
	CauseRetry    Cause = "retry"
	CauseRefusal  Cause = "refusal"
	// CauseCaller means that the caller sent an invalid or incomplete request or reused a key.
	CauseCaller Cause = "caller"
)

// Sample describes how one caller's request ended, to be counted against the service's objectives.
type Sample struct {
	Service   string
	Neighbour string
	Route     string
	At        time.Time
	// Latency is the time until the complete response, or until the header of a stream. Queued is how
	// much of it was spent waiting for a destination.
	Latency time.Duration
	Queued  time.Duration
	// Attempts is the number of targets and peers that were tried.
	Attempts int
	// Status is the HTTP status of the response. Outcome is empty if the response came from the
	// service.
	Status  int
	Outcome Outcome
	// Cause is the main reason for the latency or the failure.
	Cause Cause
	// Slowed is set if batch work slowed a target that was tried, and the request either timed out
	// or got a response with a status below 500.
	Slowed bool
}

// requestStats collects what the sample of a request will contain.
type requestStats struct {
	start    time.Time
	queued   time.Duration
	attempts int
	// slowed is set if batch work slowed a target that was tried.
	slowed bool
}

// sample returns the sample of a request that has just ended.
func (stats requestStats) sample(q Request, status int, err error) Sample {
	now := time.Now()
	s := Sample{
		Service: q.Service.Name, Neighbour: q.Neighbour.Name, Route: q.Route.Path,
		At: now, Latency: now.Sub(stats.start), Queued: stats.queued, Attempts: stats.attempts, Status: status,
	}
	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		s.Outcome, s.Status, s.Cause = outcome.Outcome, outcome.Status, outcome.Cause
		s.Slowed = stats.slowed && outcome.Status == http.StatusGatewayTimeout
		return s
	}
	s.Slowed = stats.slowed && status < http.StatusInternalServerError
	switch {
	case stats.queued > s.Latency/2:
		s.Cause = CauseQueueing
	case s.Slowed:
		s.Cause = CauseTarget
	case stats.attempts > 1:
		s.Cause = CauseRetry
	default:
		s.Cause = CauseTarget
	}
	return s
}

// withSlowed returns an outcome with Slowed set if a slowed target was tried, for the sample of the
// instance that forwarded the request. Other errors are returned as they are.
func (stats requestStats) withSlowed(err error) error {
	var outcome *OutcomeError
	if !errors.As(err, &outcome) || !stats.slowed {
		return err
	}
	marked := *outcome
	marked.Slowed = true
	return &marked
}

// recordTarget records whether batch work slows a target that is being tried or was just tried.
func (r *requestRun) recordTarget(target string) {
	if r.dispatcher.Slowed != nil && r.dispatcher.Slowed(target) {
		r.markSlowed()
	}
}

// markSlowed records that the request tried a target that batch work slows.
func (r *requestRun) markSlowed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats.slowed = true
}

// recordPeerSlowed records whether a peer that ran the request tried a target that batch work
// slows.
func (r *requestRun) recordPeerSlowed(response Response, err error) {
	var outcome *OutcomeError
	if response.Slowed || errors.As(err, &outcome) && outcome.Slowed {
		r.markSlowed()
	}
}

// record reports the sample of a caller's request. Forwarded requests are left out because the
// instance that forwarded them reports them.
func (d *Dispatcher) record(q Request, stats requestStats, status int, err error) {
	if q.Forwarded {
		return
	}
	s := stats.sample(q, status, err)
	s.count()
	if d.OnSample != nil {
		d.OnSample(s)
	}
}
