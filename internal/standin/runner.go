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

// The headers that runners and entry instances exchange.
const (
	headerRequestID = "Oriolepond-Request-Id"
	headerKey       = "Oriolepond-Key"
	headerOutcome   = "Oriolepond-Outcome"
	headerDeadline  = "Oriolepond-Deadline-Millis"
	outcomeNotRun   = "notRun"
)

// maxRunnerBody bounds a request to a runner.
const maxRunnerBody = 4 << 20

// Ledger counts what all runners of a test have seen, by request id and key.
type Ledger struct {
	mu sync.Mutex
	// ran counts the runs of each caller's request, and keyed those of each key.
	ran   map[string]int
	keyed map[string]int

	overcommits, afterLeave atomic.Int64
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{ran: map[string]int{}, keyed: map[string]int{}}
}

// Runs returns how often a caller's request was run.
func (l *Ledger) Runs(request string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[request]
}

// Doubles returns how many keys were run more than once.
func (l *Ledger) Doubles() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, runs := range l.keyed {
		if runs > 1 {
			n++
		}
	}
	return n
}

// Overcommits returns how many requests a runner was given beyond its slots.
func (l *Ledger) Overcommits() int64 { return l.overcommits.Load() }

// AfterLeave returns how many requests runners got past the grace after they began to leave.
func (l *Ledger) AfterLeave() int64 { return l.afterLeave.Load() }

// RunsOf returns how often one sending of a caller's request was run.
func (l *Ledger) RunsOf(request, sending string) int { return l.Runs(sendingOf(request, sending)) }

func sendingOf(request, sending string) string { return request + "#" + sending }

func (l *Ledger) record(request, sending, key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ran[request]++
	if sending != "" {
		l.ran[sendingOf(request, sending)]++
	}
	if key != "" {
		l.keyed[key]++
	}
}

// LeaveGrace is how long after it begins to leave a runner may still get new work.
const LeaveGrace = 3 * time.Second

// Runner is a stand-in for one runner of a service. It is an http.Handler that
// answers each request with AnswerTo its body and the caller's request id.
type Runner struct {
	Slots  int
	Ledger *Ledger
	// ServiceTime returns how long a request takes; nil means no time.
	ServiceTime func() time.Duration
	// Guard refuses requests beyond the slots, as the platform's guards do.
	Guard bool

	active  atomic.Int64
	leaving atomic.Int64 // Nanoseconds since the epoch, or zero.

	fault atomic.Pointer[RunnerFault]
}

// RunnerFault is a way in which a runner misbehaves.
type RunnerFault struct {
	// Crossed answers carry another request's id and body.
	Crossed bool
	// Delay delays each answer.
	Delay time.Duration
	// Truncate ends each answer in the middle.
	Truncate bool
	// Fail answers each request with status 500 at once.
	Fail bool
	// Ratio is the part of requests that are hit, from 0 to 1; zero means all.
	Ratio float64
}

// SetFault makes the runner misbehave; nil mends it.
func (r *Runner) SetFault(f *RunnerFault) { r.fault.Store(f) }

// SetLeaving marks the moment from which the runner wants no new work.
func (r *Runner) SetLeaving() { r.leaving.Store(time.Now().UnixNano()) }

// SendingHeader carries which sending of its request a call is, unchanged by entry instances.
const SendingHeader = "Caller-Sending"

// CallerHeader carries the caller's own id of a request, unchanged by entry instances.
const CallerHeader = "Caller-Request"

// AnswerTo returns the whole answer to a request, for a caller to compare.
func AnswerTo(request, body string) string {
	h := fnv.New64a()
	_, _ = io.WriteString(h, body)
	return fmt.Sprintf("answer to %s: %016x %s", request, h.Sum64(), strings.Repeat("=", 256))
}

// ServeHTTP runs one request.
func (r *Runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	q, cancel := withDeadline(q)
	defer cancel()
	active := r.active.Add(1)
	defer r.active.Add(-1)
	if since := r.leaving.Load(); since > 0 && time.Since(time.Unix(0, since)) > LeaveGrace {
		r.Ledger.afterLeave.Add(1)
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
	r.Ledger.record(request, q.Header.Get(SendingHeader), q.Header.Get(headerKey))
	w.Header().Set(headerRequestID, q.Header.Get(headerRequestID))
	if r.misbehave(w, q, request) {
		return
	}
	if r.ServiceTime != nil {
		wait(q, r.ServiceTime())
	}
	answer := AnswerTo(request, string(body))
	if strings.HasSuffix(q.URL.Path, StreamSuffix) {
		stream(w, q, answer)
		return
	}
	_, _ = io.WriteString(w, answer)
}

// withDeadline bounds a request by the time that its sender gives it.
func withDeadline(q *http.Request) (*http.Request, context.CancelFunc) {
	millis, err := strconv.ParseInt(q.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return q, func() {}
	}
	ctx, cancel := context.WithTimeout(q.Context(), time.Duration(millis)*time.Millisecond)
	return q.WithContext(ctx), cancel
}

// misbehave applies the fault and reports whether the request is dealt with.
func (r *Runner) misbehave(w http.ResponseWriter, q *http.Request, request string) bool {
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
		wait(q, f.Delay)
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

// wait lets time pass unless the request ends before.
func wait(q *http.Request, d time.Duration) {
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

// StreamSuffix ends the paths whose answers are streams of StreamParts lines,
// streamInterval apart.
const (
	StreamSuffix   = "/watch"
	StreamParts    = 5
	streamInterval = 20 * time.Millisecond
)

// stream sends the answer in parts, one line each.
func stream(w http.ResponseWriter, q *http.Request, answer string) {
	for i := range StreamParts {
		_, _ = fmt.Fprintf(w, "%d %s\n", i, answer)
		_ = http.NewResponseController(w).Flush()
		wait(q, streamInterval)
	}
}
