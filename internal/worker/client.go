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
	// maxReportBytes bounds the body of a worker's response.
	maxReportBytes = 4 << 20
	// exchangePath is the URL path at which workers accept exchanges.
	exchangePath = "/v1/exchange"
)

// Client sends exchanges to workers. An exchange is one request with commands and one response with
// a report.
type Client struct {
	// Exchange sends an exchange to the worker at an address and returns the worker's report.
	Exchange func(ctx context.Context, address string, e Exchange) (Report, error)
}

// NewClient returns a client that sends exchanges as JSON over HTTP, on the connections of a pool.
// An idle connection holds no goroutines and no buffers of net/http.
func NewClient(p *exchange.Pool) *Client {
	return &Client{Exchange: func(ctx context.Context, address string, e Exchange) (Report, error) {
		r, err := call(ctx, p, address, e)
		if err != nil {
			return Report{}, withAddress(address, err)
		}
		return r, nil
	}}
}

// withAddress adds the worker's address to an error, unless it is an *EpochError, which names the
// worker already.
func withAddress(address string, err error) error {
	var epoch *EpochError
	if errors.As(err, &epoch) {
		return err
	}
	return fmt.Errorf("worker %s: %w", address, err)
}

// call sends one exchange and returns the report.
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

// readBody reads the body of a response. It allocates the buffer at once if the response gives its
// length.
func readBody(reply *exchange.Reply) ([]byte, error) {
	var text bytes.Buffer
	text.Grow(int(min(max(0, reply.ContentLength), maxReportBytes)) + bytes.MinRead)
	_, err := text.ReadFrom(io.LimitReader(reply, maxReportBytes))
	return text.Bytes(), err
}

// decode returns the report in the body of a response, or an error if the response carries none.
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
