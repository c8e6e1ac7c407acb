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

// JobsClient calls the callers' API of jobs at an instance.
type JobsClient struct {
	Address string
	// Token is a caller's, not an operator's.
	Token string
}

// WireJob is the state of a job, as the callers' API writes it.
type WireJob struct {
	ID     string         `json:"id"`
	Job    string         `json:"job"`
	States map[string]int `json:"states"`
	Reason string         `json:"reason,omitempty"`
}

type wireSubmission struct {
	Job   string `json:"job"`
	Tasks int    `json:"tasks"`
}

type wireRefusal struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// Submit submits a job; a repeat with the same key is the same job.
func (c JobsClient) Submit(ctx context.Context, job string, tasks int, key string) (WireJob, error) {
	body, err := json.Marshal(wireSubmission{Job: job, Tasks: tasks})
	if err != nil {
		return WireJob{}, err
	}
	return c.send(ctx, http.MethodPost, entry.JobsPath, key, body)
}

// Call makes a call about one job.
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
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return WireJob{}, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if err != nil {
		return WireJob{}, err
	}
	if answer.StatusCode >= http.StatusMultipleChoices {
		var w wireRefusal
		_ = json.Unmarshal(text, &w)
		return WireJob{}, &CallError{Status: answer.StatusCode, Message: w.Outcome + ": " + w.Reason}
	}
	var job WireJob
	return job, json.Unmarshal(text, &job)
}
