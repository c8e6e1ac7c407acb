package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// maxResponseBytes is the largest size of a response; the rest is not read.
	maxResponseBytes = 64 << 20
	// callTimeout is the timeout of a call to the API.
	callTimeout = 30 * time.Second
)

// Client calls the operators' API of an instance. Most methods also return the
// response as raw JSON.
type Client struct {
	Address string
	Token   string
}

// CallError is returned for a call that the API refused.
type CallError struct {
	Status    int
	Message   string
	Conflicts []WireConflict
}

// Error gives the status and the message.
func (e *CallError) Error() string {
	return fmt.Sprintf("refused with status %d: %s", e.Status, e.Message)
}

// Apply submits a release note and returns its report.
func (c Client) Apply(ctx context.Context, note []byte) (WireReport, []byte, error) {
	return c.ApplyAgainst(ctx, note, 0)
}

// ApplyAgainst is like Apply for a note that was written against revision base of the
// configuration; zero is the newest.
func (c Client) ApplyAgainst(ctx context.Context, note []byte, base int64) (WireReport, []byte, error) {
	var report WireReport
	raw, err := c.call(ctx, http.MethodPost, fmt.Sprintf("%s?base=%d", NotesPath, base), note, &report)
	return report, raw, err
}

// Status returns the current report on an accepted note.
func (c Client) Status(ctx context.Context, note string) (WireReport, []byte, error) {
	var report WireReport
	raw, err := c.call(ctx, http.MethodGet, NotesPath+"/"+url.PathEscape(note), nil, &report)
	return report, raw, err
}

// History returns up to n accepted notes.
func (c Client) History(ctx context.Context, n int) ([]WireRecord, []byte, error) {
	var all []WireRecord
	raw, err := c.call(ctx, http.MethodGet, fmt.Sprintf("%s?n=%d", NotesPath, n), nil, &all)
	return all, raw, err
}

// Config returns the configuration in force at the instance.
func (c Client) Config(ctx context.Context) (release.Config, error) {
	var raw json.RawMessage
	if _, err := c.call(ctx, http.MethodGet, ConfigPath, nil, &raw); err != nil {
		return release.Config{}, err
	}
	return release.ParseConfig("configuration at "+c.Address, raw)
}

// Account returns the usage of all shares.
func (c Client) Account(ctx context.Context) ([]WireAccount, []byte, error) {
	var rows []WireAccount
	raw, err := c.call(ctx, http.MethodGet, AccountPath, nil, &rows)
	return rows, raw, err
}

// Burn returns the burn rates of all services.
func (c Client) Burn(ctx context.Context) (WireBurn, []byte, error) {
	var report WireBurn
	raw, err := c.call(ctx, http.MethodGet, BurnPath, nil, &report)
	return report, raw, err
}

// Periods returns the usage in each of the last n accounting periods.
func (c Client) Periods(ctx context.Context, n int) ([]WirePeriod, error) {
	var last []WirePeriod
	_, err := c.call(ctx, http.MethodGet, PeriodsPath+"?n="+strconv.Itoa(n), nil, &last)
	return last, err
}

// call makes a call, decodes the response into result and also returns it raw.
func (c Client) call(ctx context.Context, method, path string, body []byte, result any) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Authorization", "Bearer "+c.Token)
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		var w wireError
		if json.Unmarshal(text, &w) != nil || w.Error == "" {
			w.Error = string(bytes.TrimSpace(text))
		}
		return nil, &CallError{Status: response.StatusCode, Message: w.Error, Conflicts: w.Conflicts}
	}
	return bytes.TrimSpace(text), json.Unmarshal(text, result)
}
