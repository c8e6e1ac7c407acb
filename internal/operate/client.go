package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxAnswerBytes bounds an answer of the API.
const maxAnswerBytes = 64 << 20

// Client calls the operators' API of an instance.
type Client struct {
	Address string
	Token   string
}

// CallError is a refusal by the API.
type CallError struct {
	Status  int
	Message string
}

// Error returns the status and the message.
func (e *CallError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Message)
}

// Apply sends a note and returns its report, also as the API wrote it.
func (c Client) Apply(ctx context.Context, note []byte) (WireReport, []byte, error) {
	var report WireReport
	raw, err := c.call(ctx, http.MethodPost, NotesPath, note, &report)
	return report, raw, err
}

// Account returns the usage of all shares, also as the API wrote it.
func (c Client) Account(ctx context.Context) ([]WireAccount, []byte, error) {
	var rows []WireAccount
	raw, err := c.call(ctx, http.MethodGet, AccountPath, nil, &rows)
	return rows, raw, err
}

func (c Client) call(ctx context.Context, method, path string, body []byte, into any) ([]byte, error) {
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		var w wireError
		if json.Unmarshal(text, &w) != nil || w.Error == "" {
			w.Error = string(text)
		}
		return nil, &CallError{Status: answer.StatusCode, Message: w.Error}
	}
	return bytes.TrimSpace(text), json.Unmarshal(text, into)
}
