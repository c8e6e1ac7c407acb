package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/task"
)

const (
	// submitInterval is the default interval between jobs, and jobTasks the default number of tasks in a job.
	submitInterval = 250 * time.Millisecond
	jobTasks       = 5
	// submitTimeout bounds one call about a job.
	submitTimeout = 5 * time.Second
	// outcomeTimeout bounds the time for which a call is repeated until it succeeds.
	outcomeTimeout = 30 * time.Second
)

// submitJobs submits jobs until the context ends or JobLimit is reached, and waits for
// the outcome of the last one.
func (d *Demo) submitJobs(ctx context.Context) {
	for n := 0; (d.Size.JobLimit == 0 || n < d.Size.JobLimit) && sleep(ctx, d.Size.JobEvery) == nil; n++ {
		d.counts.offered.Add(int64(d.Size.JobTasks))
		// A submission in progress is completed even if the load ends.
		id, err := d.submit(context.WithoutCancel(ctx), d.job(), fmt.Sprintf("demo-%d-%d", d.Seed, n), d.Size.JobTasks)
		if err == nil {
			d.counts.recordAccepted(id, d.Size.JobTasks)
		}
	}
}

// job returns the job family that is submitted.
func (d *Demo) job() string {
	if d.Size.Job != "" {
		return d.Size.Job
	}
	return d.Example.Job
}

// submit submits a job and returns its ID. It repeats the call with the same key, through
// the ready instances in turn, until one accepts the job or outcomeTimeout has passed.
func (d *Demo) submit(ctx context.Context, job, key string, tasks int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for n := 0; ; n++ {
		id, err := d.submitOnce(ctx, d.anyReady(n), job, key, tasks)
		if err == nil {
			return id, nil
		}
		if sleep(ctx, pollInterval) != nil {
			return "", fmt.Errorf("submit %s: %w", key, err)
		}
	}
}

func (d *Demo) submitOnce(ctx context.Context, i *instance, job, key string, tasks int) (string, error) {
	body := fmt.Sprintf(`{"job":%q,"tasks":%d}`, job, tasks)
	return d.jobCall(ctx, i, http.MethodPost, entry.JobsPath, key, body, http.StatusAccepted)
}

// cancel cancels a job. It repeats the call until the job is known to be cancelled.
func (d *Demo) cancel(ctx context.Context, id string) error {
	for n := 0; ; n++ {
		_, err := d.jobCall(ctx, d.anyReady(n), http.MethodDelete, entry.JobsPath+"/"+id, "", "", http.StatusOK)
		if err == nil {
			return nil
		}
		if sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("cancel %s: %w", id, err)
		}
	}
}

// jobCall makes one call about a job and returns the job's ID.
func (d *Demo) jobCall(ctx context.Context, i *instance, method, path, key, body string, want int) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+i.front()+path, strings.NewReader(body))
	if err != nil {
		return "", err
	}
	r.Header.Set(entry.HeaderToken, "Bearer "+d.Example.JobToken)
	if key != "" {
		r.Header.Set(entry.HeaderKey, key)
	}
	answer, err := callerClient.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	if answer.StatusCode != want {
		return "", fmt.Errorf("%s %s: status %d", method, path, answer.StatusCode)
	}
	var status struct {
		ID string `json:"id"`
	}
	return status.ID, json.NewDecoder(answer.Body).Decode(&status)
}

// countUnfinished asks for the state of the accepted jobs and counts why tasks have not finished.
func (d *Demo) countUnfinished(ctx context.Context) {
	for _, id := range d.counts.accepted() {
		var status struct {
			States map[string]int `json:"states"`
			Reason string         `json:"reason"`
		}
		err := d.describe(ctx, id, &status)
		if err != nil {
			d.counts.countReason(resultUnknown, id, err.Error())
			continue
		}
		for state, n := range status.States {
			if state != string(task.Finished) {
				d.counts.countReason(result(state), fmt.Sprintf("%s, %d tasks", id, n), status.Reason)
			}
		}
	}
}

// describe requests the state of a job and decodes the response into into.
func (d *Demo) describe(ctx context.Context, id string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.anyReady(0).front()+entry.JobsPath+"/"+id, nil)
	if err != nil {
		return err
	}
	r.Header.Set(entry.HeaderToken, "Bearer "+d.Example.JobToken)
	answer, err := callerClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	return json.NewDecoder(answer.Body).Decode(into)
}

// awaitTasks waits until all tasks of accepted jobs have finished.
func (d *Demo) awaitTasks(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tasksTimeout)
	defer cancel()
	for int64(d.cluster.Tasks.FinishedOf(d.Example.Job)) < d.counts.submitted.Load() {
		if sleep(ctx, pollInterval) != nil {
			d.countUnfinished(context.WithoutCancel(ctx))
			return
		}
	}
}
