package standin

import (
	"context"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers that runners and entry instances exchange.
const (
	headerRequestID = "Oriolepond-Request-Id"
	headerKey       = "Oriolepond-Key"
	headerOutcome   = "Oriolepond-Outcome"
	headerDeadline  = "Oriolepond-Deadline-Millis"
	outcomeNotRun   = "notRun"
)

// maxRunnerBody bounds the body of a request to a runner, in bytes.
const maxRunnerBody = 4 << 20

// Ledger counts the requests that the runners of a test have run, by request ID and by key.
type Ledger struct {
	mu sync.Mutex
	// runs counts the runs of each request, and of each attempt of a request; keyRuns
	// counts the runs of each key.
	runs    map[string]int
	keyRuns map[string]int

	overcommits, requestsAfterLeave atomic.Int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: map[string]int{}, keyRuns: map[string]int{}}
}

// Runs returns how often a caller's request was run.
func (l *Ledger) Runs(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[request]
}

// KeysRunTwice returns the number of keys that were run more than once.
func (l *Ledger) KeysRunTwice() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.keyRuns {
		if runs > 1 {
			n++
		}
	}
	return n
}

// Overcommits returns the number of requests that runners received beyond their slots.
func (l *Ledger) Overcommits() int64 { return l.overcommits.Load() }

// RequestsAfterLeave returns the number of requests that runners received more than
// LeaveGrace after they began to leave.
func (l *Ledger) RequestsAfterLeave() int64 { return l.requestsAfterLeave.Load() }

// AttemptRuns returns how often one attempt of a caller's request was run.
func (l *Ledger) AttemptRuns(request, attempt string) int { return l.Runs(attemptID(request, attempt)) }

// attemptID returns the key in Ledger.runs of one attempt of a request.
func attemptID(request, attempt string) string { return request + "#" + attempt }

func (l *Ledger) record(request, attempt, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[request]++
	if attempt != "" {
		l.runs[attemptID(request, attempt)]++
	}
	if key != "" {
		l.keyRuns[key]++
	}
}

// LeaveGrace is how long a runner may still receive new work after it began to leave.
const LeaveGrace = 3 * time.Second

// Runner is a stand-in for one runner of a service. It is an http.Handler that responds
// with AnswerTo the caller's request ID and the body.
type Runner struct {
	Slots  int
	Ledger *Ledger
	// ServiceTime returns the duration of the next request; nil means no time.
	ServiceTime func() time.Duration
	// Guard refuses requests beyond the slots, as the platform's own guards do.
	Guard bool

	active  atomic.Int64
	leaving atomic.Int64 // Nanoseconds since the epoch, or zero.

	fault atomic.Pointer[RunnerFault]
}

// RunnerFault describes how a runner misbehaves.
type RunnerFault struct {
	// Crossed responds with the request ID and the body of another request.
	Crossed bool
	// Delay is the time that each response is delayed.
	Delay time.Duration
	// Truncate ends each response in the middle.
	Truncate bool
	// Fail responds to each request with status 500 at once.
	Fail bool
	// Ratio is the fraction of requests that the fault affects, from 0 to 1; zero means all.
	Ratio float64
}

// SetFault injects a fault; nil ends it.
func (r *Runner) SetFault(f *RunnerFault) { r.fault.Store(f) }

// SetLeaving marks the runner as leaving: from now on it expects no new work.
func (r *Runner) SetLeaving() { r.leaving.Store(time.Now().UnixNano()) }

// AttemptHeader carries the number of the caller's attempt to send a request. Entry
// instances forward it unchanged.
const AttemptHeader = "Caller-Sending"

// CallerHeader carries the caller's own ID of a request. Entry instances forward it unchanged.
const CallerHeader = "Caller-Request"

// AnswerTo returns the expected response body for a request.
func AnswerTo(request, body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, body)
	return fmt.Sprintf("answer to %s: %016x %s", request, h.Sum64(), strings.Repeat("=", 256))
}

// ServeHTTP records a request in the ledger and responds after ServiceTime, or as the
// fault determines. If Guard is set, it refuses a request beyond the slots instead.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	q, cancel := withDeadline(q)
	defer cancel()
	active := r.active.Add(1)
	defer r.active.Add(-1)
	if since := r.leaving.Load(); since > 0 && time.Since(time.Unix(0, since)) > LeaveGrace {
		r.Ledger.requestsAfterLeave.Add(1)
	}
	if int(active) > r.Slots {
		r.Ledger.overcommits.Add(1)
		if r.Guard {
			w.Header().Set(headerOutcome, outcomeNotRun)
			http.Error(w, "no free slot", http.StatusServiceUnavailable)
			return
		}
	}
	body, err := readBody(w, q, maxRunnerBody)
	if err != nil {
		return
	}
	request := q.Header.Get(CallerHeader)
	r.Ledger.record(request, q.Header.Get(AttemptHeader), q.Header.Get(headerKey))
	w.Header().Set(headerRequestID, q.Header.Get(headerRequestID))
	if r.injectFault(w, q, request) {
		return
	}
	if r.ServiceTime != nil {
		sleep(q, r.ServiceTime())
	}
	answer := AnswerTo(request, string(body))
	if strings.HasSuffix(q.URL.Path, StreamSuffix) {
		stream(w, q, answer)
		return
	}
	_, _ = io.WriteString(w, answer)
}

// withDeadline bounds a request by the deadline in its header.
func withDeadline(q *http.Request) (*http.Request, context.CancelFunc) {
	millis, err := strconv.ParseInt(q.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return q, func() {}
	}
	ctx, cancel := context.WithTimeout(q.Context(), time.Duration(millis)*time.Millisecond)
	return q.WithContext(ctx), cancel
}

// injectFault applies the runner's fault and reports whether the response was sent.
func (r *Runner) injectFault(w http.ResponseWriter, q *http.Request, request string) bool {
	f := r.fault.Load()
	if f == nil {
		return false
	}
	h := fnv.New32a()
	_, _ = io.WriteString(h, request)
	if f.Ratio > 0 && float64(h.Sum32()%1000) >= f.Ratio*1000 {
		return false
	}
	if f.Delay > 0 {
		sleep(q, f.Delay)
	}
	switch {
	case f.Fail:
		http.Error(w, "runner fault", http.StatusInternalServerError)
		return true
	case f.Crossed:
		w.Header().Set(headerRequestID, "crossed-"+q.Header.Get(headerRequestID))
		_, _ = io.WriteString(w, AnswerTo("another request", ""))
		return true
	case f.Truncate:
		answer := AnswerTo(request, "")
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	return false
}

// sleep waits for d, or until the request ends.
func sleep(q *http.Request, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-q.Context().Done():
	}
}

// A path that ends in StreamSuffix responds with a stream of StreamParts lines, streamInterval apart.
const (
	StreamSuffix   = "/watch"
	StreamParts    = 5
	streamInterval = 20 * time.Millisecond
)

// stream sends the answer StreamParts times, one line each.
func stream(w http.ResponseWriter, q *http.Request, answer string) {
	for i := range StreamParts {
		_, _ = fmt.Fprintf(w, "%d %s\n", i, answer)
		_ = http.NewResponseController(w).Flush()
		sleep(q, streamInterval)
	}
}
