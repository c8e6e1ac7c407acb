package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome says whether a request that got no answer of its service was run.
type Outcome string

// The outcomes.
const (
	// NotRun is certain: no part of the request was executed.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// The headers of callers, runners and peers.
const (
	// HeaderOutcome says whether a request was run, on every answer that is oriolepond's own.
	HeaderOutcome = "Oriolepond-Outcome"
	// HeaderRequestID names one attempt; a runner returns it with the answer.
	HeaderRequestID = "Oriolepond-Request-Id"
	// HeaderKey names a non-idempotent request; repeats of it carry the same key.
	HeaderKey = "Oriolepond-Key"
	// HeaderDeadline tells a runner the milliseconds left; it ends the request by then.
	HeaderDeadline = "Oriolepond-Deadline-Millis"
	// HeaderToken carries the caller's token after the scheme Bearer.
	HeaderToken = "Authorization"
)

// OutcomeError is the end of a request that got no whole answer.
type OutcomeError struct {
	Outcome Outcome
	// Status is the HTTP status for the caller.
	Status int
	Reason string
	// RetryAfter is when the caller may come back; zero says nothing.
	RetryAfter time.Duration
	// Cause is what ended the request.
	Cause Cause
	// Slowed says that batch work slowed a target that was tried.
	Slowed bool
}

// Error returns the outcome and the reason.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
}

type wireOutcome struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// write sends the error as the answer to a caller.
func (e *OutcomeError) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set("Content-Type", "application/json")
	if e.RetryAfter > 0 {
		seconds := (e.RetryAfter + time.Second - 1) / time.Second
		h.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(e.Status)
	_ = json.NewEncoder(w).Encode(wireOutcome{Outcome: string(e.Outcome), Reason: e.Reason})
}

// WithRetryAfter returns a copy of e that says when the caller may come back.
func (e OutcomeError) WithRetryAfter(d time.Duration) *OutcomeError {
	e.RetryAfter = d
	return &e
}

// WithCause returns a copy of e with the cause.
func (e OutcomeError) WithCause(c Cause) *OutcomeError {
	e.Cause = c
	return &e
}

func notRun(status int, format string, args ...any) *OutcomeError {
	return &OutcomeError{Outcome: NotRun, Status: status, Reason: fmt.Sprintf(format, args...)}
}

func unknown(status int, format string, args ...any) *OutcomeError {
	return &OutcomeError{Outcome: Unknown, Status: status, Reason: fmt.Sprintf(format, args...)}
}

// outcomeOf returns an error as an *OutcomeError; one of another type proves nothing.
func outcomeOf(err error) *OutcomeError {
	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		return outcome
	}
	return unknown(http.StatusBadGateway, "%v", err)
}
