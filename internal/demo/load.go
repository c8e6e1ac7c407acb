package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/standin"
)

const (
	// callerCount is the default number of concurrent callers.
	callerCount = 24
	// meanThinkTime is the mean pause between the requests of a caller.
	meanThinkTime = 20 * time.Millisecond
	// keyedRatio is the fraction of requests that are not idempotent and therefore carry a key.
	keyedRatio = 0.2
	// maxResends is how often a caller repeats a keyed request whose outcome is unknown.
	maxResends = 2
	// callTimeout is the timeout of a caller's request.
	callTimeout = 10 * time.Second
	// maxAnswerBytes is the most that a caller reads of a response.
	maxAnswerBytes = 1 << 20
)

// runLoad runs callers, job submissions, faults and the observer until the context ends.
func (d *Demo) runLoad(ctx context.Context) {
	var group sync.WaitGroup
	for n := range max(0, d.Size.Callers) {
		group.Go(func() { d.runCaller(ctx, n) })
	}
	group.Go(func() { d.submitJobs(ctx) })
	group.Go(func() { d.printProgress(ctx) })
	group.Go(func() { d.injectFaults(ctx) })
	if d.Observe != nil {
		group.Go(func() { d.Observe(ctx, d.view()) })
	}
	group.Wait()
}

// view returns the observer's view.
func (d *Demo) view() View {
	v := View{Token: operatorToken, Cluster: d.cluster, Network: d.network, Offered: d.counts.offered.Load}
	for _, i := range d.running() {
		v.IDs = append(v.IDs, i.id)
		v.Admins = append(v.Admins, i.admin())
		v.Processes = append(v.Processes, i.process)
	}
	return v
}

// runCaller makes one request after the other until the context ends.
func (d *Demo) runCaller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(n)))
	for k := 0; ctx.Err() == nil; k++ {
		call := d.Example.Calls[0]
		if random.Float64() < keyedRatio {
			call = d.Example.Calls[1+random.IntN(len(d.Example.Calls)-1)]
		}
		d.request(random, call, fmt.Sprintf("caller-%d-%d", n, k))
		if sleep(ctx, time.Duration(random.ExpFloat64()*float64(meanThinkTime))) != nil {
			return
		}
	}
}

// request makes one request, and repeats a keyed one whose outcome is unknown.
func (d *Demo) request(random *rand.Rand, call examples.Call, id string) {
	d.counts.requests.Add(1)
	key := ""
	attempts := 1
	if call.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
		attempts += maxResends
	}
	var r result
	for attempt := range attempts {
		r = d.try(d.anyReady(random.IntN(d.Size.Instances)), call, id, strconv.Itoa(attempt+1), key)
		if r != resultUnknown && r != resultBroken {
			break
		}
	}
	d.counts.results[r].Add(1)
}

// result is the outcome of one attempt to send a request, as the caller saw it.
type result string

// The possible results of an attempt.
const (
	resultAnswered  result = "answered"  // The expected response.
	resultRefused   result = "refused"   // A response that states that the request did not run.
	resultUnknown   result = "unknown"   // An error response that does not state this.
	resultBroken    result = "broken"    // No complete response.
	resultMismatch  result = "mismatch"  // A response other than the expected one.
	resultTruncated result = "truncated" // The beginning of the expected response only.
)

// try sends a request once and compares the response with the one that the runner should have sent.
func (d *Demo) try(i *instance, call examples.Call, id, attempt, key string) result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := "body of " + id
	start := time.Now()
	status, text, err := d.post(ctx, i, call, id, attempt, body, key)
	expected := standin.AnswerTo(id, body)
	stream := strings.HasSuffix(call.Path, standin.StreamSuffix)
	if stream {
		expected = streamedAnswer(expected)
	}
	switch {
	case err != nil:
		if i.stopping.Load() && !isDialError(err) {
			d.counts.cutByStop.Add(1)
		}
		d.counts.countReason(resultBroken, call.Path, err.Error())
		return resultBroken
	case status == http.StatusOK && text == expected:
		if !stream {
			d.counts.recordLatency(time.Since(start))
		}
		return resultAnswered
	case status == http.StatusOK && strings.HasPrefix(expected, text):
		return resultTruncated
	case status == http.StatusOK:
		return resultMismatch
	case strings.Contains(text, `"`+string(entry.NotRun)+`"`):
		d.counts.recordRefusal(refusal{request: id, attempt: attempt, key: key, answer: text})
		d.counts.countReason(resultRefused, call.Path, text)
		return resultRefused
	}
	d.counts.countReason(resultUnknown, call.Path, text)
	return resultUnknown
}

// isDialError reports whether a call failed because no connection was established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// streamedAnswer returns the response body of a stream that repeats an answer.
func streamedAnswer(answer string) string {
	var b strings.Builder
	for i := range standin.StreamParts {
		fmt.Fprintf(&b, "%d %s\n", i, answer)
	}
	return b.String()
}

// post sends a request once and reads the whole response.
func (d *Demo) post(ctx context.Context, i *instance, call examples.Call, id, attempt, body, key string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.front()+call.Path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set(entry.HeaderToken, "Bearer "+call.Token)
	r.Header.Set(standin.CallerHeader, id)
	r.Header.Set(standin.AttemptHeader, attempt)
	if key != "" {
		r.Header.Set(entry.HeaderKey, key)
	}
	answer, err := callerClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	return answer.StatusCode, string(text), err
}

// callerClient is the HTTP client of all callers.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}

// printProgress prints a progress line every progressInterval until the context ends.
func (d *Demo) printProgress(ctx context.Context) {
	start := time.Now()
	for sleep(ctx, progressInterval) == nil {
		d.printf("%3.0fs  requests %d  answered %d  tasks finished %d of %d\n",
			time.Since(start).Seconds(), d.counts.requests.Load(), d.counts.results[resultAnswered].Load(),
			d.cluster.Tasks.FinishedOf(d.Example.Job), d.counts.submitted.Load())
	}
}
