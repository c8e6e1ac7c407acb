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
	// callerCount is how many callers make one request after the other.
	callerCount = 24
	// callerPause is the mean time between a caller's requests.
	callerPause = 20 * time.Millisecond
	// keyedPart is the part of requests that are not idempotent.
	keyedPart = 0.2
	// resends is how often a caller repeats a keyed request whose outcome is unknown.
	resends = 2
	// callTimeout bounds a caller's patience.
	callTimeout = 10 * time.Second
	// maxAnswer bounds what a caller reads.
	maxAnswer = 1 << 20
)

// load runs callers, submitters and faults until the context ends.
func (d *Demo) load(ctx context.Context) {
	var group sync.WaitGroup
	for n := range max(0, d.Size.Callers) {
		group.Go(func() { d.caller(ctx, n) })
	}
	group.Go(func() { d.submitter(ctx) })
	group.Go(func() { d.progress(ctx) })
	group.Go(func() { d.injectFaults(ctx) })
	if d.Observe != nil {
		group.Go(func() { d.Observe(ctx, d.view()) })
	}
	group.Wait()
}

// view returns what an observer sees.
func (d *Demo) view() View {
	v := View{Token: operatorToken, Cluster: d.cluster, Network: d.network, Offered: d.counts.offered.Load}
	for _, i := range d.running() {
		v.IDs = append(v.IDs, i.id)
		v.Admins = append(v.Admins, i.admin())
		v.Processes = append(v.Processes, i.process)
	}
	return v
}

// caller makes one request after the other.
func (d *Demo) caller(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(d.Seed, uint64(n)))
	for k := 0; ctx.Err() == nil; k++ {
		call := d.Example.Calls[0]
		if random.Float64() < keyedPart {
			call = d.Example.Calls[1+random.IntN(len(d.Example.Calls)-1)]
		}
		d.request(random, call, fmt.Sprintf("caller-%d-%d", n, k))
		if pause(ctx, time.Duration(random.ExpFloat64()*float64(callerPause))) != nil {
			return
		}
	}
}

// request makes one request, and repeats a keyed one whose outcome is unknown.
func (d *Demo) request(random *rand.Rand, call examples.Call, id string) {
	d.counts.requests.Add(1)
	key := ""
	tries := 1
	if call.Keyed {
		key = uuid.Must(uuid.NewV7()).String()
		tries += resends
	}
	var r result
	for sending := range tries {
		r = d.try(d.anyReady(random.IntN(d.Size.Instances)), call, id, strconv.Itoa(sending+1), key)
		if r != resultUnknown && r != resultBroken {
			break
		}
	}
	d.counts.results[r].Add(1)
}

// result is what became of a try.
type result string

// The results of tries.
const (
	resultAnswered  result = "answered"
	resultRefused   result = "refused"
	resultUnknown   result = "unknown"
	resultBroken    result = "broken"
	resultMismatch  result = "mismatch"
	resultTruncated result = "truncated"
)

// try makes one call and judges its answer by what the runners saw.
func (d *Demo) try(i *instance, call examples.Call, id, sending, key string) result {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	body := "body of " + id
	begun := time.Now()
	status, text, err := d.post(ctx, i, call, id, sending, body, key)
	expected := standin.AnswerTo(id, body)
	stream := strings.HasSuffix(call.Path, standin.StreamSuffix)
	if stream {
		expected = streamed(expected)
	}
	switch {
	case err != nil:
		if i.stopping.Load() && !isDialError(err) {
			d.counts.cut.Add(1)
		}
		d.counts.explain(resultBroken, call.Path, err.Error())
		return resultBroken
	case status == http.StatusOK && text == expected:
		if !stream {
			d.counts.record(time.Since(begun))
		}
		return resultAnswered
	case status == http.StatusOK && strings.HasPrefix(expected, text):
		return resultTruncated
	case status == http.StatusOK:
		return resultMismatch
	case strings.Contains(text, `"`+string(entry.NotRun)+`"`):
		d.counts.refuse(refusal{request: id, sending: sending, key: key, answer: text})
		d.counts.explain(resultRefused, call.Path, text)
		return resultRefused
	}
	d.counts.explain(resultUnknown, call.Path, text)
	return resultUnknown
}

// isDialError reports whether no connection was made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
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
func (d *Demo) post(ctx context.Context, i *instance, call examples.Call, id, sending, body, key string) (int, string, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+i.front()+call.Path, strings.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Header.Set(entry.HeaderToken, "Bearer "+call.Token)
	r.Header.Set(standin.CallerHeader, id)
	r.Header.Set(standin.SendingHeader, sending)
	if key != "" {
		r.Header.Set(entry.HeaderKey, key)
	}
	answer, err := callers.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxAnswer))
	return answer.StatusCode, string(text), err
}

// callers is the HTTP client of all callers.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}}

// progress writes a line every second.
func (d *Demo) progress(ctx context.Context) {
	begun := time.Now()
	for pause(ctx, progressEvery) == nil {
		fmt.Fprintf(d.Out, "%3.0fs  requests %d  answered %d  tasks finished %d of %d\n",
			time.Since(begun).Seconds(), d.counts.requests.Load(), d.counts.results[resultAnswered].Load(),
			d.cluster.Tasks.FinishedOf(d.Example.Job), d.counts.submitted.Load())
	}
}
