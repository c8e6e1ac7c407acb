package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Outcome tells, for a request without a response from its service, whether it ran.
type Outcome string

// The possible values of Outcome.
const (
	// NotRun means that certainly no part of the request was executed.
	NotRun Outcome = "notRun"
	// Unknown means that the request may have run.
	Unknown Outcome = "unknown"
)

// The headers that are exchanged with callers, runners and peers.
const (
	// HeaderOutcome holds the Outcome in every response that oriolepond itself generates.
	HeaderOutcome = "Oriolepond-Outcome"
	// HeaderRequestID identifies one attempt. A runner copies it into its response.
	HeaderRequestID = "Oriolepond-Request-Id"
	// HeaderKey identifies a non-idempotent request; repeats of it carry the same key.
	HeaderKey = "Oriolepond-Key"
	// HeaderDeadline tells a runner how many milliseconds it has to complete the request.
	HeaderDeadline = "Oriolepond-Deadline-Millis"
	// HeaderToken carries the caller's token, with the scheme Bearer.
	HeaderToken = "Authorization"
)

// OutcomeError reports that a request got no complete response.
type OutcomeError struct {
	Outcome Outcome
	// Status is the HTTP status that the caller gets.
	Status int
	Reason string
	// RetryAfter is the time after which the caller may retry; zero means unspecified.
	RetryAfter time.Duration
	// Cause classifies the failure for the sample of the request.
	Cause Cause
	// Slowed is set if batch work slowed a target that was tried.
	Slowed bool
}

// Error returns the outcome and the reason.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s: %s", e.Outcome, e.Reason)
}

// wireOutcome is the JSON body of an OutcomeError.
type wireOutcome struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// write sends the error as the response to a caller.
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

// WithRetryAfter returns a copy of e with a RetryAfter time.
func (e OutcomeError) WithRetryAfter(d time.Duration) *OutcomeError {
	e.RetryAfter = d
	return &e
}

// WithCause returns a copy of e with a cause.
func (e OutcomeError) WithCause(c Cause) *OutcomeError {
	e.Cause = c
	return &e
}

// notRun returns an error for a request that certainly did not run.
func notRun(status int, format string, args ...any) *OutcomeError {
	return &OutcomeError{Outcome: NotRun, Status: status, Reason: fmt.Sprintf(format, args...)}
}

// unknown returns an error for a request that may have run.
func unknown(status int, format string, args ...any) *OutcomeError {
	return &OutcomeError{Outcome: Unknown, Status: status, Reason: fmt.Sprintf(format, args...)}
}

// outcomeOf returns an error as an *OutcomeError. An error of another type does not prove that the
// request did not run, so its outcome is Unknown.
func outcomeOf(err error) *OutcomeError {
	var outcome *OutcomeError
	if errors.As(err, &outcome) {
		return outcome
	}
	return unknown(http.StatusBadGateway, "%v", err)
}
