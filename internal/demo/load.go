package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/standin"
)

const (
	// callerCount is how many callers make one request after the other.
	callerCount = 24
	// callerPause is the mean time between a caller's requests.
	callerPause = 20 * time.Millisecond
	// jobEvery is how often a job is submitted, with jobTasks tasks.
	jobEvery = 250 * time.Millisecond
	jobTasks = 5
	// callTimeout bounds a caller's patience.
	callTimeout = 30 * time.Second
	// maxAnswer bounds what a caller reads.
	maxAnswer = 1 << 20
)

// load runs callers, submitters and faults until the context ends.
func (d *Demo) load(ctx context.Context) {
	var group sync.WaitGroup
	for n := range callerCount {
		group.Go(func() { d.caller(ctx, n) })
	}
	group.Go(func() { d.submitter(ctx) })
	group.Go(func() { d.progress(ctx) })
	group.Wait()
}

// caller makes one request after the other.
func (d *Demo) caller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(n)))
	for k := 0; ctx.Err() == nil; k++ {
		call := d.Example.Calls[0]
		if random.Float64() < 0.2 {
			call = d.Example.Calls[1+random.IntN(len(d.Example.Calls)-1)]
		}
		i := d.instances[random.IntN(len(d.instances))]
		d.request(i, call, fmt.Sprintf("caller-%d-%d", n, k))
		if pause(ctx, time.Duration(random.ExpFloat64()*float64(callerPause))) != nil {
			return
		}
	}
}

// request makes one request and judges its answer.
func (d *Demo) request(i *instance, call examples.Call, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := "body of " + id
	begun := time.Now()
	status, text, err := d.post(ctx, i, call, id, body)
	d.counts.requests.Add(1)
	expected := standin.AnswerTo(id, body)
	if strings.HasSuffix(call.Path, "/watch") {
		expected = streamed(expected)
	}
	switch {
	case err != nil:
		d.counts.failed.Add(1)
	case status == http.StatusOK && text == expected:
		d.counts.answered.Add(1)
		d.counts.record(time.Since(begun))
	case status == http.StatusOK && strings.HasPrefix(expected, text):
		d.counts.truncated.Add(1)
	case status == http.StatusOK:
		d.counts.mismatches.Add(1)
	case strings.Contains(text, `"`+string(entry.NotRun)+`"`):
		d.counts.refused.Add(1)
		if d.cluster.Requests.Runs(id) > 0 {
			d.counts.refusalsThatRan.Add(1)
		}
	default:
		d.counts.unknown.Add(1)
	}
}

// streamed returns the whole stream of an answer.
func streamed(answer string) string {
	var b strings.Builder
	for i := range standin.StreamParts {
		fmt.Fprintf(&b, "%d %s\n", i, answer)
	}
	return b.String()
}

// post makes one call and reads its whole answer.
func (d *Demo) post(ctx context.Context, i *instance, call examples.Call, id, body string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.addresses.Front+call.Path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set(entry.HeaderToken, "Bearer "+call.Token)
	r.Header.Set(standin.CallerHeader, id)
	if call.Keyed {
		r.Header.Set(entry.HeaderKey, uuid.Must(uuid.NewV7()).String())
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	return answer.StatusCode, string(text), err
}

// submitter submits jobs.
func (d *Demo) submitter(ctx context.Context) {
	for n := 0; pause(ctx, jobEvery) == nil; n++ {
		d.submit(ctx, d.instances[n%len(d.instances)], n)
	}
}

// submit submits one job, and repeats that until its outcome is known.
func (d *Demo) submit(ctx context.Context, i *instance, n int) {
	key := fmt.Sprintf("demo-%d-%d", d.Seed, n)
	for ctx.Err() == nil {
		id, err := d.submitOnce(ctx, i, key)
		if err == nil {
			d.counts.accept(id, jobTasks)
			return
		}
		if pause(ctx, pollEvery) != nil {
			return
		}
	}
}

func (d *Demo) submitOnce(ctx context.Context, i *instance, key string) (string, error) {
	body := fmt.Sprintf(`{"job":%q,"tasks":%d}`, d.Example.Job, jobTasks)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.addresses.Front+entry.JobsPath, bytes.NewReader([]byte(body)))
	if err != nil {
		return "", err
	}
	r.Header.Set(entry.HeaderToken, "Bearer "+d.Example.JobToken)
	r.Header.Set(entry.HeaderKey, key)
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	var status struct {
		ID string `json:"id"`
	}
	if answer.StatusCode != http.StatusAccepted {
		return "", fmt.Errorf("submission: status %d", answer.StatusCode)
	}
	return status.ID, json.NewDecoder(answer.Body).Decode(&status)
}

// progress writes a line every second.
func (d *Demo) progress(ctx context.Context) {
	begun := time.Now()
	for pause(ctx, progressEvery) == nil {
		fmt.Fprintf(d.Out, "%3.0fs  requests %d  answered %d  tasks finished %d of %d\n",
			time.Since(begun).Seconds(), d.counts.requests.Load(), d.counts.answered.Load(),
			d.cluster.Tasks.Finished(), d.counts.submitted.Load())
	}
}

// settle waits until every accepted task has finished.
func (d *Demo) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for int64(d.cluster.Tasks.Finished()) < d.counts.submitted.Load() {
		if pause(ctx, pollEvery) != nil {
			return
		}
	}
}
