//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is how often a runner writes its entry.
	heartbeat = 1500 * time.Millisecond
	// maxHold is the longest lease (holdMaxMs).
	maxHold = 10 * time.Second
	// maxWaitMs bounds how long a hold may wait for an end.
	maxWaitMs = 2000
	// stopTime is how long a run takes to stop; the bound (stopTimeoutMs) is 400 ms.
	stopTime = 150 * time.Millisecond
	// maxRows is how many ends a hold returns.
	maxRows = 500
	// clockAtStart is what the runner's clock shows at its start, in milliseconds.
	clockAtStart = 1000
	runnerCPU    = 32000
	runnerMemMB  = 128000
)

// runnerRun is a run that is present on the runner.
type runnerRun struct {
	task     string
	run      int64
	cpu      int64
	started  time.Time
	length   time.Duration // Zero for a task that lasts.
	fails    bool
	stopping time.Time // When a stop takes effect; zero if none was asked for.
}

// runner is one lifetime of a runner.
type runner struct {
	id, service, zone, address string
	labels                     []string
	driver                     string
	born                       int64
	startedAt                  time.Time
	sequence                   int64

	mu       sync.Mutex
	token    int64
	leaseEnd int64 // On the runner's clock, in milliseconds.
	running  map[string]*runnerRun
	refused  map[string]int64 // The highest run that was stopped or has ended, by task.
	finished []([]any)
	nextEnd  int64
	changed  chan struct{}
}

func runRunner(args []string) int {
	flags := flag.NewFlagSet("runner", flag.ContinueOnError)
	r := &runner{running: map[string]*runnerRun{}, refused: map[string]int64{}, nextEnd: 1, changed: make(chan struct{})}
	flags.StringVar(&r.id, "id", "", "id of the runner")
	flags.StringVar(&r.service, "service", "", "service of the runner")
	flags.StringVar(&r.zone, "zone", "", "zone of the runner")
	flags.StringVar(&r.driver, "driver", "", "address of the driver")
	flags.StringVar(&r.address, "advertise", "", "address in the entry")
	listen := flags.String("listen", "", "address to listen at")
	labels := flags.String("labels", "a,r-1", "labels of the runner")
	if flags.Parse(args) != nil {
		return exitFailed
	}
	if r.address == "" {
		r.address = *listen
	}
	r.labels = strings.Split(*labels, ",")
	r.startedAt, r.born = time.Now(), time.Now().UnixMilli()
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			r.mu.Lock()
			r.advance()
			r.mu.Unlock()
		}
	}()
	go func() {
		for {
			r.beat()
			time.Sleep(heartbeat)
		}
	}()
	fmt.Fprintln(os.Stderr, http.Serve(l, r))
	return exitFailed
}

// clock returns the runner's clock in milliseconds.
func (r *runner) clock() int64 { return time.Since(r.startedAt).Milliseconds() + clockAtStart }

// beat writes the runner's entry, through the driver.
func (r *runner) beat() {
	r.sequence++
	r.tell("/entry", map[string]any{
		"id": r.id,
		"entry": map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready",
			"coldRemainingMs": 0, "capacity": map[string]int{"cpu": runnerCPU, "memMb": runnerMemMB, "gpu": 0},
			"labels": r.labels, "clockMs": r.clock(), "sequence": r.sequence, "born": r.born,
		},
	})
}

// tell posts a message to the driver.
func (r *runner) tell(path string, body any) {
	text, _ := json.Marshal(body)
	resp, err := http.Post("http://"+r.driver+path, "application/json", bytes.NewReader(text))
	if err == nil {
		resp.Body.Close()
	}
}

// report tells the driver about a run.
func (r *runner) report(kind string, x *runnerRun, how string, at time.Time) {
	r.tell("/event", runEvent{Kind: kind, Runner: r.id, Born: r.born, Task: x.task, Run: x.run, How: how, AtMicros: at.UnixMicro()})
}

// advance ends the runs that are over by now.
func (r *runner) advance() {
	now, lapsed := time.Now(), r.clock() >= r.leaseEnd
	for _, x := range r.running {
		switch {
		case lapsed:
			r.end(x, "lapsed", now)
		case !x.stopping.IsZero() && now.After(x.stopping):
			r.end(x, "stopped", now)
		case x.length > 0 && now.Sub(x.started) >= x.length && x.fails:
			r.end(x, "failed", now)
		case x.length > 0 && now.Sub(x.started) >= x.length:
			r.end(x, "done", now)
		}
	}
}

func (r *runner) end(x *runnerRun, how string, at time.Time) {
	delete(r.running, x.task)
	r.refused[x.task] = max(r.refused[x.task], x.run)
	r.finished = append(r.finished, []any{r.nextEnd, x.task, x.run, how, ""})
	r.nextEnd++
	close(r.changed)
	r.changed = make(chan struct{})
	r.report("end", x, how, at)
}

// extend extends the lease; it never shortens.
func (r *runner) extend(deadline int64) {
	r.leaseEnd = max(r.leaseEnd, min(deadline, r.clock()+maxHold.Milliseconds()))
}

type runnerRequest struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	Ack      int64  `json:"ackIndex"`
	Wait     int64  `json:"waitMs"`
}

func (r *runner) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	if hr.URL.Path == "/health" {
		return
	}
	if target := hr.Header.Get("Target-Instance"); target != "" && target != r.id {
		answer(w, http.StatusMisdirectedRequest, map[string]any{"clockMs": r.clock()})
		return
	}
	var q runnerRequest
	if json.NewDecoder(hr.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	r.advance()
	if q.Token < r.token {
		r.mu.Unlock()
		answer(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": "fence"})
		return
	}
	r.token = q.Token
	reason := ""
	switch strings.TrimPrefix(hr.URL.Path, "/oriolepond/") {
	case "run-start":
		reason = r.start(q)
	case "run-stop":
		r.refused[q.Task] = max(r.refused[q.Task], q.Run)
		if x := r.running[q.Task]; x != nil && x.run <= q.Run && x.stopping.IsZero() {
			x.stopping = time.Now().Add(stopTime)
		}
	case "pace":
	case "hold":
		r.hold(w, hr, q)
		return
	default:
		r.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	r.mu.Unlock()
	if reason != "" {
		answer(w, http.StatusConflict, map[string]any{"clockMs": r.clock(), "reason": reason})
		return
	}
	answer(w, http.StatusOK, map[string]any{"clockMs": r.clock()})
}

// start starts a run and returns the reason of a refusal; r.mu is held.
func (r *runner) start(q runnerRequest) string {
	present := r.running[q.Task]
	x := parseSpec(q)
	used := x.cpu
	for _, o := range r.running {
		used += o.cpu
	}
	switch {
	case present != nil && present.run == q.Run:
		r.extend(q.Deadline)
		return ""
	case present != nil || q.Run <= r.refused[q.Task]:
		r.extend(q.Deadline)
		return "old"
	case q.Deadline <= r.clock():
		return "late"
	case used > runnerCPU:
		r.extend(q.Deadline)
		return "room"
	}
	r.extend(q.Deadline)
	r.running[q.Task] = x
	r.report("start", x, "", x.started)
	return ""
}

// parseSpec reads what a run of this stand-in does from the job's spec: "cpu=2000 ms=1500",
// "end=failed", or "last" for a task that lasts.
func parseSpec(q runnerRequest) *runnerRun {
	x := &runnerRun{task: q.Task, run: q.Run, started: time.Now(), length: time.Second}
	for _, word := range strings.Fields(q.Spec) {
		name, value, _ := strings.Cut(word, "=")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "cpu":
			x.cpu = n
		case "ms":
			x.length = time.Duration(n) * time.Millisecond
		case "last":
			x.length = 0
		case "end":
			x.fails = value == "failed"
		}
	}
	return x
}

// hold renews the lease and answers with both lists; r.mu is held and is unlocked.
func (r *runner) hold(w http.ResponseWriter, hr *http.Request, q runnerRequest) {
	kept := r.finished[:0]
	var noted []([]any)
	for _, row := range r.finished {
		if row[0].(int64) <= q.Ack {
			noted = append(noted, row)
		} else {
			kept = append(kept, row)
		}
	}
	r.finished = kept
	r.extend(q.Deadline)
	for _, row := range noted {
		x := &runnerRun{task: row[1].(string), run: row[2].(int64)}
		r.report("noted", x, row[3].(string), time.Now())
	}
	until := time.After(time.Duration(min(q.Wait, maxWaitMs)) * time.Millisecond)
	for over := q.Wait <= 0; len(r.finished) == 0 && !over; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-until:
			over = true
		case <-hr.Context().Done():
			over = true
		}
		r.mu.Lock()
	}
	running := [][]any{}
	for _, x := range r.running {
		percent := 100
		if x.length > 0 {
			percent = int(100 * time.Since(x.started) / x.length)
		}
		running = append(running, []any{x.task, x.run, "", min(percent, 100), x.cpu})
	}
	finished := r.finished[:min(len(r.finished), maxRows)]
	body, _ := json.Marshal(map[string]any{"clockMs": r.clock(), "born": r.born, "running": running, "finished": append([]([]any){}, finished...)})
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
