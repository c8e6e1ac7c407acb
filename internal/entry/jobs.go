package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/task"
)

// JobsPath is the path at which callers submit, describe and cancel jobs.
const JobsPath = "/v1/jobs"

const (
	// maxJobBody limits the body of a submission, in bytes.
	maxJobBody = 64 << 10
	// maxJobTasks limits the number of tasks of one job.
	maxJobTasks = 10_000
)

// Jobs is the http.Handler for calls about jobs. It runs behind Front, which authenticates them.
type Jobs struct {
	Submit   func(ctx context.Context, s task.Submission) (task.Status, error)
	Describe func(ctx context.Context, neighbour, id string) (task.Status, error)
	Cancel   func(ctx context.Context, neighbour, id string) (task.Status, error)
}

type (
	wireSubmission struct {
		Job   string `json:"job"`
		Tasks int    `json:"tasks"`
	}
	wireStatus struct {
		ID     string         `json:"id"`
		Job    string         `json:"job"`
		States map[string]int `json:"states"`
		Reason string         `json:"reason,omitempty"`
	}
)

// ServeHTTP handles one call and writes the status of the job.
func (j *Jobs) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s, status, err := j.handle(w, r)
	if err != nil {
		writeJobError(w, err)
		return
	}
	states := map[string]int{}
	for state, n := range s.States {
		states[string(state)] = n
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireStatus{ID: s.ID, Job: s.Job, States: states, Reason: s.Reason})
}

// handle returns the status of the job that a call is about, and the HTTP status for the response.
func (j *Jobs) handle(w http.ResponseWriter, r *http.Request) (task.Status, int, error) {
	n := neighbourOf(r.Context()).Name
	id := strings.TrimPrefix(strings.TrimPrefix(r.URL.Path, JobsPath), "/")
	switch {
	case r.Method == http.MethodPost && id == "":
		s, err := readSubmission(w, r, n)
		if err != nil {
			return task.Status{}, 0, err
		}
		status, err := j.Submit(r.Context(), s)
		return status, http.StatusAccepted, err
	case r.Method == http.MethodGet && id != "":
		status, err := j.Describe(r.Context(), n, id)
		return status, http.StatusOK, err
	case r.Method == http.MethodDelete && id != "":
		status, err := j.Cancel(r.Context(), n, id)
		return status, http.StatusOK, err
	}
	return task.Status{}, 0, notRun(http.StatusNotFound, "no such call: %s %s", r.Method, r.URL.Path)
}

// readSubmission decodes and validates the submission of a job.
func readSubmission(w http.ResponseWriter, r *http.Request, neighbour string) (task.Submission, error) {
	var body wireSubmission
	text, err := intake.ReadRequest(w, r, maxJobBody, minBodyTimeout)
	if err != nil {
		w.Header().Set("Connection", "close")
		return task.Submission{}, bodyError(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return task.Submission{}, notRun(http.StatusBadRequest, "the body is not a submission: %v", err)
	}
	if body.Tasks < 1 || body.Tasks > maxJobTasks {
		return task.Submission{}, notRun(http.StatusBadRequest, "tasks is not between 1 and %d", maxJobTasks)
	}
	key := r.Header.Get(HeaderKey)
	if key == "" || len(key) > maxKeyBytes {
		return task.Submission{}, notRun(http.StatusBadRequest, "a submission needs a key of at most %d bytes in %s", maxKeyBytes, HeaderKey)
	}
	return task.Submission{Neighbour: neighbour, Job: body.Job, Tasks: body.Tasks, Key: key}, nil
}

// writeJobError writes an error as an OutcomeError response.
func writeJobError(w http.ResponseWriter, err error) {
	var outcome *OutcomeError
	var missing *task.NotFoundError
	var refused *task.RefusedError
	switch {
	case errors.As(err, &outcome):
	case errors.As(err, &missing):
		outcome = notRun(http.StatusNotFound, "%v", err)
	case errors.As(err, &refused):
		outcome = notRun(http.StatusConflict, "%v", err)
	default:
		outcome = unknown(http.StatusServiceUnavailable, "%v", err)
	}
	outcome.write(w)
}
