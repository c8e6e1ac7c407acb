package worker

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
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

// NewClient returns a client that speaks HTTP with JSON bodies.
func NewClient(h *http.Client) *Client {
	return &Client{Exchange: func(ctx context.Context, address string, e Exchange) (Report, error) {
		return exchange(ctx, h, address, e)
	}}
}

func exchange(ctx context.Context, h *http.Client, address string, e Exchange) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	body, err := EncodeExchange(e)
	if err != nil {
		return Report{}, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+exchangePath, bytes.NewReader(body))
	if err != nil {
		return Report{}, fmt.Errorf("worker %s: %w", address, err)
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := h.Do(r)
	if err != nil {
		return Report{}, fmt.Errorf("worker %s: %w", address, err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxReportBytes))
	if err != nil {
		return Report{}, fmt.Errorf("worker %s: %w", address, err)
	}
	if answer.StatusCode != http.StatusOK && answer.StatusCode != http.StatusConflict {
		return Report{}, fmt.Errorf("worker %s: status %d", address, answer.StatusCode)
	}
	report, err := DecodeReport(text)
	if err != nil {
		return Report{}, fmt.Errorf("worker %s: %w", address, err)
	}
	if answer.StatusCode == http.StatusConflict {
		return Report{}, &EpochError{Worker: report.Worker, Seen: report.Epoch, Sent: e.Epoch}
	}
	return report, nil
}
