package worker

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond/internal/exchange"
)

const (
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = 3 * time.Second
	// maxReportBytes bounds a worker's answer.
	maxReportBytes = 4 << 20
	// exchangePath is where workers take exchanges.
	exchangePath = "/v1/exchange"
)

// Client makes exchanges with workers.
type Client struct {
	// Exchange sends commands to the worker at an address and returns its report.
	Exchange func(ctx context.Context, address string, e Exchange) (Report, error)
}

// NewClient returns a client that speaks HTTP with JSON bodies over the
// connections of a pool. A connection that waits for its next exchange takes
// neither goroutines nor buffers of net/http.
func NewClient(p *exchange.Pool) *Client {
	return &Client{Exchange: func(ctx context.Context, address string, e Exchange) (Report, error) {
		r, err := call(ctx, p, address, e)
		if err != nil {
			return Report{}, withAddress(address, err)
		}
		return r, nil
	}}
}

// withAddress names the worker in an error that does not name it itself.
func withAddress(address string, err error) error {
	var epoch *EpochError
	if errors.As(err, &epoch) {
		return err
	}
	return fmt.Errorf("worker %s: %w", address, err)
}

// call makes one exchange.
func call(ctx context.Context, p *exchange.Pool, address string, e Exchange) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	body, err := EncodeExchange(e)
	if err != nil {
		return Report{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+exchangePath, bytes.NewReader(body))
	if err != nil {
		return Report{}, err
	}
	r.Header.Set("Content-Type", "application/json")
	reply, err := p.Send(ctx, exchange.Call{Address: address, Request: r}, func() {})
	if err != nil {
		return Report{}, err
	}
	defer reply.Close()
	text, err := readBody(reply)
	if err != nil {
		return Report{}, err
	}
	return decode(reply.StatusCode, text, e)
}

// readBody returns the body of an answer, for which room is made at once if its length is told.
func readBody(reply *exchange.Reply) ([]byte, error) {
	var text bytes.Buffer
	text.Grow(int(min(max(0, reply.ContentLength), maxReportBytes)) + bytes.MinRead)
	_, err := text.ReadFrom(io.LimitReader(reply, maxReportBytes))
	return text.Bytes(), err
}

// decode returns the report that an answer holds.
func decode(status int, text []byte, e Exchange) (Report, error) {
	if status != http.StatusOK && status != http.StatusConflict {
		return Report{}, &StatusError{Status: status}
	}
	report, err := DecodeReport(text)
	if err != nil {
		return Report{}, err
	}
	if status == http.StatusConflict {
		return Report{}, &EpochError{Worker: report.Worker, Seen: report.Epoch, Sent: e.Epoch}
	}
	return report, nil
}
