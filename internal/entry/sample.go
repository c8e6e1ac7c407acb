package entry

import (
	"errors"
	"net/http"
	"time"
)

// Cause is what made a request late or end without an answer.
type Cause string

// The causes.
const (
	CauseNone     Cause = ""
	CauseQueueing Cause = "queueing"
	CauseTarget   Cause = "target"
	CauseRetry    Cause = "retry"
	CauseRefusal  Cause = "refusal"
	// CauseCaller means that the caller left or sent a faulty request.
	CauseCaller Cause = "caller"
)

// Sample is the end of one caller's request, as it is counted against an objective.
type Sample struct {
	Service   string
	Neighbour string
	Route     string
	At        time.Time
	// Latency is the time to the whole answer, or to a stream's first byte; Queued is the part spent waiting for a slot.
	Latency time.Duration
	Queued  time.Duration
	// Attempts is how many targets or peers were tried.
	Attempts int
	// Status is the HTTP status of the answer; Outcome is empty for an answer of the service.
	Status  int
	Outcome Outcome
	// Cause is the largest reason of the latency or of the failure.
	Cause Cause
	// Slowed says that batch work slowed a target that was late.
	Slowed bool
}

// trip collects what becomes the sample of a request.
type trip struct {
	begun    time.Time
	queued   time.Duration
	attempts int
	// slowed says that batch work slowed a target that was tried.
	slowed bool
}

// sample judges the end of a request.
func (t trip) sample(q Request, status int, err error) Sample {
	now := time.Now()
	s := Sample{
		Service: q.Service.Name, Neighbour: q.Neighbour.Name, Route: q.Route.Path,
		At: now, Latency: now.Sub(t.begun), Queued: t.queued, Attempts: t.attempts, Status: status,
	}
	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		s.Outcome, s.Status, s.Cause = outcome.Outcome, outcome.Status, outcome.Cause
		s.Slowed = t.slowed && outcome.Status == http.StatusGatewayTimeout
		return s
	}
	s.Slowed = t.slowed && status < http.StatusInternalServerError
	switch {
	case t.queued > s.Latency/2:
		s.Cause = CauseQueueing
	case s.Slowed:
		s.Cause = CauseTarget
	case t.attempts > 1:
		s.Cause = CauseRetry
	default:
		s.Cause = CauseTarget
	}
	return s
}

// tell lets an outcome say for a peer whether a slowed target was tried.
func (t trip) tell(err error) error {
	var outcome *OutcomeError
	if !errors.As(err, &outcome) || !t.slowed {
		return err
	}
	told := *outcome
	told.Slowed = true
	return &told
}

// trying notes that a target is, or was just, tried.
func (r *run) trying(target string) {
	if r.dispatcher.Slowed != nil && r.dispatcher.Slowed(target) {
		r.triedSlowed()
	}
}

// triedSlowed notes that a target was tried that batch work slows.
func (r *run) triedSlowed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.trip.slowed = true
}

// heardSlowed takes what a peer's answer or outcome says of the target that it tried.
func (r *run) heardSlowed(a Response, err error) {
	var outcome *OutcomeError
	if a.Slowed || errors.As(err, &outcome) && outcome.Slowed {
		r.triedSlowed()
	}
}

// record counts the end of a caller's request; the instance that forwarded a request records it.
func (d *Dispatcher) record(q Request, t trip, status int, err error) {
	if q.Forwarded {
		return
	}
	s := t.sample(q, status, err)
	s.count()
	if d.OnSample != nil {
		d.OnSample(s)
	}
}
