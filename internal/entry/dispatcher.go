package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/internal/target"
)

// slotPoll is how often a waiting request looks for a free slot.
const slotPoll = time.Millisecond

// Dispatcher runs requests on runners.
type Dispatcher struct {
	Targets *target.Table
	HTTP    *http.Client
}

// Do runs a request and returns its whole answer. The error is an *OutcomeError.
func (d *Dispatcher) Do(ctx context.Context, q Request) (Answer, error) {
	ctx, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	slot, err := d.acquire(ctx, q)
	if err != nil {
		return Answer{}, err
	}
	defer d.Targets.Release(slot)
	r, err := d.send(ctx, q, slot)
	if err != nil {
		return Answer{}, err
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(q.Route.MaxAnswer)+1))
	if err != nil {
		return Answer{}, unknown(http.StatusBadGateway, "the answer was cut short: %v", err)
	}
	if len(body) > int(q.Route.MaxAnswer) {
		return Answer{}, unknown(http.StatusBadGateway, "the answer exceeds %d bytes", q.Route.MaxAnswer)
	}
	return Answer{Status: r.StatusCode, Header: r.Header, Body: body}, nil
}

// Stream runs a request and passes its answer on as it comes.
func (d *Dispatcher) Stream(ctx context.Context, q Request, w http.ResponseWriter) error {
	waiting, cancel := context.WithDeadline(ctx, q.Deadline)
	defer cancel()
	slot, err := d.acquire(waiting, q)
	if err != nil {
		return err
	}
	defer d.Targets.Release(slot)
	r, err := d.send(ctx, q, slot)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	copyHeader(w.Header(), r.Header)
	w.WriteHeader(r.StatusCode)
	if err := pass(w, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	return nil
}

// streamBuffer is the size of the pieces in which a stream is passed on.
const streamBuffer = 16 << 10

// pass copies a stream and flushes each piece.
func pass(w http.ResponseWriter, body io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, streamBuffer)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
			if err := control.Flush(); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// acquire waits for a slot until the deadline.
func (d *Dispatcher) acquire(ctx context.Context, q Request) (target.Slot, error) {
	for {
		if slot, ok := d.Targets.Acquire(q.Service.Name, ""); ok {
			return slot, nil
		}
		select {
		case <-ctx.Done():
			return target.Slot{}, notRun(http.StatusServiceUnavailable, "no free slot before the deadline")
		case <-time.After(slotPoll):
		}
	}
}

// send makes one attempt and returns the answer's head, checked against the attempt.
func (d *Dispatcher) send(ctx context.Context, q Request, slot target.Slot) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+slot.Address+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return nil, notRun(http.StatusBadRequest, "%v", err)
	}
	copyHeader(r.Header, q.Header)
	id := uuid.NewString()
	r.Header.Set(HeaderRequestID, id)
	answer, err := d.HTTP.Do(r)
	if err != nil {
		return nil, sendError(err)
	}
	if answer.Header.Get(HeaderOutcome) == string(NotRun) {
		answer.Body.Close()
		return nil, notRun(http.StatusServiceUnavailable, "the target refused the request")
	}
	if answer.Header.Get(HeaderRequestID) != id {
		answer.Body.Close()
		return nil, unknown(http.StatusBadGateway, "the answer belongs to another request")
	}
	return answer, nil
}

// sendError tells a connection that was never made from one that broke.
func sendError(err error) *OutcomeError {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return notRun(http.StatusBadGateway, "the target cannot be reached")
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return unknown(http.StatusGatewayTimeout, "no answer before the deadline")
	}
	return unknown(http.StatusBadGateway, "the connection to the target broke")
}
