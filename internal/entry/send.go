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
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// lingerGrace is how long past its deadline a runner that cannot be heard counts as running a request.
	lingerGrace = 5 * time.Second
	// streamLinger is that time for a stream, which has no deadline.
	streamLinger = 3 * time.Minute
	// freshIdle is how long a connection may have been idle that takes a request which is not safe to repeat.
	freshIdle = 2 * time.Second
)

// newRequest returns the request of one attempt and its id.
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

// call returns the bounds of one attempt. A repeated one goes over a new connection.
func (r *run) call(request *http.Request, slot target.Slot, repeated bool) exchange.Call {
	left := time.Until(r.request.Deadline)
	c := exchange.Call{
		Address: slot.Address, Request: request, MaxConnections: slot.Connections,
		Fresh: repeated, FirstByte: max(left, time.Millisecond), Progress: r.request.Route.ProgressTimeout,
		Linger: left + lingerGrace,
	}
	if !r.isSafe() && !repeated {
		c.Fresh, c.FreshIdle = true, freshIdle
	}
	if r.isSafe() && c.Progress > 0 {
		c.FirstByte = min(c.FirstByte, c.Progress)
	}
	if r.request.Route.Class == release.Stream {
		c.Linger = streamLinger
	}
	return c
}

// send makes one attempt at a target and returns the answer's head, checked
// against the attempt. The slot is given back when the attempt has truly ended.
func (r *run) send(ctx context.Context, p place, repeated bool) (*exchange.Reply, *OutcomeError) {
	counted := r.request.Route.Class != release.Stream
	ended := func() { r.dispatcher.release(r.lane, p, counted) }
	r.trying(p.slot.Target)
	request, id, err := newRequest(r.request, p.slot.Address)
	if err != nil {
		ended()
		return nil, notRun(http.StatusBadRequest, "the path cannot be passed on").WithCause(CauseCaller)
	}
	reply, err := r.dispatcher.Exchange.Send(ctx, r.call(request, p.slot, repeated), ended)
	if err != nil {
		r.judge(ctx, p, 0, err)
		return nil, sendError(err)
	}
	if fault := r.check(reply, id); fault != nil {
		reply.Close()
		r.judge(ctx, p, 0, fault)
		return nil, fault
	}
	return reply, nil
}

// check judges the head of an answer.
func (r *run) check(reply *exchange.Reply, id string) *OutcomeError {
	switch {
	case reply.Header.Get(HeaderOutcome) == string(NotRun):
		_, _ = io.Copy(io.Discard, io.LimitReader(reply, maxRefusal))
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
	// maxRefusal bounds what is read of a target's refusal so that its connection can be kept.
	maxRefusal = 4 << 10
	maxStatus  = 599
)

// sendError says what an attempt without an answer proves.
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

// isTimeout reports whether an error means that time ran out.
func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}

// errOvertaken ends an attempt because another one was answered first.
var errOvertaken = errors.New("another attempt was answered first")

// judge tells the target table how an attempt ended.
func (r *run) judge(ctx context.Context, p place, status int, err error) {
	r.trying(p.slot.Target)
	now := time.Now()
	taken := now.Sub(p.taken)
	result := target.Succeeded
	if err != nil || status >= http.StatusInternalServerError {
		result = target.Failed
	}
	if err != nil {
		result = r.blame(ctx, taken, err)
	}
	change := r.dispatcher.Targets.Report(p.slot, result, taken, now)
	r.dispatcher.tell(change, p.slot.Target)
}

// blame returns what an attempt without an answer tells of its target: nothing
// if the caller left, or if the attempt had little of the route's time.
func (r *run) blame(ctx context.Context, taken time.Duration, err error) target.Result {
	var full *exchange.FullError
	if errors.As(err, &full) {
		return target.Abandoned
	}
	if ctx.Err() == nil {
		return target.Failed
	}
	cause := context.Cause(ctx)
	if errors.Is(cause, errOvertaken) {
		return target.Overtaken
	}
	if errors.Is(cause, context.DeadlineExceeded) && taken > r.request.Route.Deadline/2 {
		return target.Failed
	}
	return target.Abandoned
}

// local makes one attempt at a target and reads its whole answer.
func (r *run) local(ctx context.Context, p place, repeated bool) (Response, *OutcomeError) {
	reply, outcome := r.send(ctx, p, repeated)
	if outcome != nil {
		return Response{}, outcome
	}
	defer reply.Close()
	body, err := readWhole(reply, int64(r.request.Route.MaxAnswer))
	r.judge(ctx, p, reply.StatusCode, err)
	var tooLarge *answerTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return Response{}, unknown(http.StatusBadGateway, "%v", err).WithCause(CauseTarget)
	case err != nil && isTimeout(err):
		return Response{}, unknown(http.StatusGatewayTimeout, "the answer did not end in time").WithCause(CauseTarget)
	case err != nil:
		return Response{}, unknown(http.StatusBadGateway, "the answer was cut short").WithCause(CauseTarget)
	}
	return Response{Status: reply.StatusCode, Header: passedOn(reply.Header), Body: body}, nil
}

type answerTooLargeError struct {
	limit int64
}

// Error returns the limit.
func (e *answerTooLargeError) Error() string {
	return "the answer exceeds " + strconv.FormatInt(e.limit, 10) + " bytes"
}

// readWhole reads a bounded answer to its end.
func readWhole(reply *exchange.Reply, limit int64) ([]byte, error) {
	if reply.ContentLength > limit {
		return nil, &answerTooLargeError{limit: limit}
	}
	var b bytes.Buffer
	b.Grow(int(max(reply.ContentLength, 0)) + bytes.MinRead)
	_, err := b.ReadFrom(io.LimitReader(reply, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(b.Len()) > limit {
		return nil, &answerTooLargeError{limit: limit}
	}
	return b.Bytes(), nil
}

// passedOn returns the headers of an answer that a caller gets.
func passedOn(h http.Header) http.Header {
	to := make(http.Header, len(h))
	copyHeader(to, h)
	return to
}

// unsafePath reports whether a target could read a path as another route's.
func unsafePath(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return strings.Contains(path, "//") || strings.ContainsRune(path, '\\')
}
