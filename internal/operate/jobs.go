package operate

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/oriolepond/oriolepond/internal/entry"
)

// JobsClient calls the API for jobs of an instance, as callers of the system do.
type JobsClient struct {
	Address string
	// Token is a caller's token, not the operators' token.
	Token string
}

// WireJob is the JSON form of a job's state.
type WireJob struct {
	ID     string         `json:"id"`
	Job    string         `json:"job"`
	States map[string]int `json:"states"`
	Reason string         `json:"reason,omitempty"`
}

// wireSubmission is the JSON form of a call that submits a job.
type wireSubmission struct {
	Job   string `json:"job"`
	Tasks int    `json:"tasks"`
}

// wireRefusal is the JSON form of a refused call.
type wireRefusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// Submit submits a job. The key makes the call idempotent: repeated calls with
// the same key refer to the same job.
func (c JobsClient) Submit(ctx context.Context, job string, tasks int, key string) (WireJob, error) {
	body, err := json.Marshal(wireSubmission{Job: job, Tasks: tasks})
	if err != nil {
		return WireJob{}, err
	}
	return c.send(ctx, http.MethodPost, entry.JobsPath, key, body)
}

// Call sends a request with an HTTP method to the URL of a job.
func (c JobsClient) Call(ctx context.Context, method, id string) (WireJob, error) {
	return c.send(ctx, method, entry.JobsPath+"/"+url.PathEscape(id), "", nil)
}

func (c JobsClient) send(ctx context.Context, method, path, key string, body []byte) (WireJob, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, bytes.NewReader(body))
	if err != nil {
		return WireJob{}, err
	}
	r.Header.Set(entry.HeaderToken, "Bearer "+c.Token)
	if key != "" {
		r.Header.Set(entry.HeaderKey, key)
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return WireJob{}, err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return WireJob{}, err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		var w wireRefusal
		_ = json.Unmarshal(text, &w)
		return WireJob{}, &CallError{Status: response.StatusCode, Message: w.Outcome + ": " + w.Reason}
	}
	var job WireJob
	return job, json.Unmarshal(text, &job)
}
