package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/internal/attempt"
	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// lingerGrace is how long past its deadline a request counts as running at an unresponsive runner.
	lingerGrace = 5 * time.Second
	// streamLinger is how long an abandoned stream, which has no deadline, counts as running at an
	// unresponsive runner.
	streamLinger = 3 * time.Minute
	// nonIdempotentMaxIdle is the idle time beyond which a connection is not used for a request that
	// must not run twice.
	nonIdempotentMaxIdle = 2 * time.Second
)

// newRequest returns the HTTP request of one attempt and its id.
func newRequest(q Request, address string) (*http.Request, string, error) {
	u, err := url.Parse(q.Path)
	if err != nil {
		return nil, "", err
	}
	u.Scheme, u.Host = "http", address
	id := uuid.NewString()
	r := &http.Request{Method: q.Method, URL: u, Host: address, Header: http.Header{}, ContentLength: int64(len(q.Body))}
	if len(q.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(q.Body))
	}
	copyHeader(r.Header, q.Header)
	r.Header.Set(HeaderRequestID, id)
	if q.Route.Class != release.Stream {
		r.Header.Set(HeaderDeadline, strconv.FormatInt(time.Until(q.Deadline).Milliseconds(), 10))
	}
	return r, id, nil
}

// call returns the exchange.Call of one attempt. A retry uses a new connection. An idempotent
// request gives up on a target that sends nothing for ProgressTimeout, so that it can be retried
// before its deadline.
func (r *requestRun) call(request *http.Request, slot target.Slot, repeated bool) exchange.Call {
	timeLeft := time.Until(r.request.Deadline)
	c := exchange.Call{
		Address: slot.Address, Request: request, MaxConnections: slot.Connections,
		Fresh: repeated, FirstByteTimeout: max(timeLeft, time.Millisecond), ProgressTimeout: r.request.Route.ProgressTimeout,
		LingerTimeout: timeLeft + lingerGrace,
	}
	if !r.isIdempotent() && !repeated {
		c.Fresh, c.FreshMaxIdle = true, nonIdempotentMaxIdle
	}
	if r.isIdempotent() && c.ProgressTimeout > 0 {
		c.FirstByteTimeout = min(c.FirstByteTimeout, c.ProgressTimeout)
	}
	if r.request.Route.Class == release.Stream {
		c.LingerTimeout = streamLinger
	}
	return c
}

// send makes one attempt at a target and returns the response after checking its header. The slot
// is released when the attempt has ended at the target.
func (r *requestRun) send(ctx context.Context, dest destination, repeated bool) (*exchange.Reply, *OutcomeError) {
	observe := r.request.Route.Class != release.Stream
	onEnd := func() { r.dispatcher.release(r.service, dest, observe) }
	r.recordTarget(dest.slot.Target)
	request, id, err := newRequest(r.request, dest.slot.Address)
	if err != nil {
		onEnd()
		return nil, notRun(http.StatusBadRequest, "the path cannot be passed on").WithCause(CauseCaller)
	}
	reply, err := r.dispatcher.Exchange.Send(ctx, r.call(request, dest.slot, repeated), onEnd)
	if err != nil {
		r.reportResult(ctx, dest, 0, err)
		return nil, sendError(err)
	}
	if outcome := r.check(reply, id); outcome != nil {
		reply.Close()
		r.reportResult(ctx, dest, 0, outcome)
		return nil, outcome
	}
	return reply, nil
}

// check returns an error if the target refused the request or if the header of the response is
// invalid.
func (r *requestRun) check(reply *exchange.Reply, id string) *OutcomeError {
	switch {
	case reply.Header.Get(HeaderOutcome) == string(NotRun):
		_, _ = io.Copy(io.Discard, io.LimitReader(reply, maxRefusalBytes))
		return notRun(http.StatusServiceUnavailable, "the target refused the request").
			WithRetryAfter(minRetryAfter).WithCause(CauseTarget)
	case reply.Header.Get(HeaderRequestID) != id:
		return unknown(http.StatusBadGateway, "the answer belongs to another request").WithCause(CauseTarget)
	case reply.StatusCode < http.StatusOK || reply.StatusCode > maxStatus:
		return unknown(http.StatusBadGateway, "the answer has no valid status").WithCause(CauseTarget)
	}
	return nil
}

const (
	// maxRefusalBytes limits how much of a refusal's body is read so that its connection can be
	// reused.
	maxRefusalBytes = 4 << 10
	maxStatus       = 599
)

// sendError returns the outcome that the error of an attempt without a response proves.
func sendError(err error) *OutcomeError {
	var failed *exchange.Error
	sent := int64(1)
	if errors.As(err, &failed) {
		sent = failed.BytesSent
	}
	if attempt.Classify(attempt.Evidence{BytesSent: sent}) == attempt.NotRun {
		return notRun(http.StatusBadGateway, "the target cannot be reached").
			WithRetryAfter(minRetryAfter).WithCause(CauseTarget)
	}
	if isTimeout(err) {
		return unknown(http.StatusGatewayTimeout, "no answer in time").WithCause(CauseTarget)
	}
	return unknown(http.StatusBadGateway, "the connection to the target broke").WithCause(CauseTarget)
}

// isTimeout reports whether an error is a timeout.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// errLostToHedge is the cause with which the first attempt is cancelled when its hedge succeeds.
var errLostToHedge = errors.New("another attempt was answered first")

// reportResult reports the end of an attempt to the target table.
func (r *requestRun) reportResult(ctx context.Context, dest destination, status int, err error) {
	r.recordTarget(dest.slot.Target)
	now := time.Now()
	elapsed := now.Sub(dest.acquiredAt)
	result := target.Succeeded
	if err != nil || status >= http.StatusInternalServerError {
		result = target.Failed
	}
	if err != nil {
		result = r.failureResult(ctx, elapsed, err)
	}
	change := r.dispatcher.Targets.Report(dest.slot, result, elapsed, now)
	r.dispatcher.reportChange(change, dest.slot.Target)
}

// failureResult returns how an attempt without a response counts against its target. It does not
// count if the caller disconnected, if the connection limit or that of the memory for callers was reached,
// or if the deadline passed before the target had more than half of the route's time.
func (r *requestRun) failureResult(ctx context.Context, elapsed time.Duration, err error) target.Result {
	var full *exchange.FullError
	if errors.As(err, &full) || isLocal(err) {
		return target.Abandoned
	}
	if ctx.Err() == nil {
		return target.Failed
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errLostToHedge) {
		return target.LostToHedge
	}
	if errors.Is(cause, context.DeadlineExceeded) && elapsed > r.request.Route.Deadline/2 {
		return target.Failed
	}
	return target.Abandoned
}

// isLocal reports whether a response was given up for a limit of this instance.
func isLocal(err error) bool {
	var (
		full   *intake.FullError
		closed *intake.ClosedError
	)
	return errors.As(err, &full) || errors.As(err, &closed)
}

// attemptLocal makes one attempt at a target of this instance and reads the complete response.
func (r *requestRun) attemptLocal(ctx context.Context, dest destination, repeated bool) (Response, *OutcomeError) {
	reply, outcome := r.send(ctx, dest, repeated)
	if outcome != nil {
		return Response{}, outcome
	}
	defer reply.Close()
	body, err := readResponse(ctx, reply, int64(r.request.Route.MaxAnswer))
	r.reportResult(ctx, dest, reply.StatusCode, err)
	var tooLarge *responseTooLargeError
	switch {
	case isLocal(err):
		return Response{}, unknown(http.StatusServiceUnavailable, "there is no memory for the answer").WithCause(CauseRefusal)
	case errors.As(err, &tooLarge):
		return Response{}, unknown(http.StatusBadGateway, "%v", err).WithCause(CauseTarget)
	case err != nil && isTimeout(err):
		return Response{}, unknown(http.StatusGatewayTimeout, "the answer did not end in time").WithCause(CauseTarget)
	case err != nil:
		return Response{}, unknown(http.StatusBadGateway, "the answer was cut short").WithCause(CauseTarget)
	}
	return Response{Status: reply.StatusCode, Header: forwardedHeader(reply.Header), Body: body}, nil
}

// responseTooLargeError reports that a response exceeds the limit of its route.
type responseTooLargeError struct {
	limit int64
}

// Error returns a message with the limit.
func (e *responseTooLargeError) Error() string {
	return "the answer exceeds " + strconv.FormatInt(e.limit, 10) + " bytes"
}

// readResponse reads the body of a response up to its end, but not more than the limit. It takes the memory
// from the lease of the caller's connection.
func readResponse(ctx context.Context, reply *exchange.Reply, limit int64) ([]byte, error) {
	if reply.ContentLength > limit {
		return nil, &responseTooLargeError{limit: limit}
	}
	body, err := intake.FromContext(ctx).Read(ctx, io.LimitReader(reply, limit+1), reply.ContentLength)
	if err == nil && int64(len(body)) > limit {
		return nil, &responseTooLargeError{limit: limit}
	}
	return body, err
}

// forwardedHeader returns the headers of a response that the caller gets.
func forwardedHeader(h http.Header) http.Header {
	to := make(http.Header, len(h))
	copyHeader(to, h)
	return to
}

// unsafePath reports whether a target might interpret the path as that of another route.
func unsafePath(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return strings.Contains(path, "//") || strings.ContainsRune(path, '\\')
}
