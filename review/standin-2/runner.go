//go:build review2

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	// maxListedEnds is how many ends a runner returns at once (PROTOCOL.md, Running tasks).
	maxListedEnds = 500
	// stopTime is how long a stop takes; the pages allow stopTimeoutMs, 400 ms.
	stopTime = 100 * time.Millisecond
	// heartbeat is the heartbeatMs of the settings. An entry is removed after three of them without a write.
	heartbeat = 1500 * time.Millisecond
)

// size is what a task is allocated: thousandths of a core and megabytes.
type size struct{ cpu, memMB int }

// work is what a runner knows of a task's program.
type work struct {
	size size
	// duration is how long a run takes; zero means that it lasts until it is stopped.
	duration time.Duration
	// gang is the number of members if the step is a gang.
	gang int
}

// runner is a stand-in of one of the platform's runners, as PROTOCOL.md describes them. Its lifetimes follow one
// another under one id and at one address.
type runner struct {
	id, rack, service string
	record            *record
	store             entryStore
	ledger            *ledger
	// works returns what the task runs.
	works func(task string) work
	gangs *gangs
	// adviser issues the tickets that starts carry; nil if there is none.
	adviser *adviser
	ofMany  bool
	// draining and leavesAt belong to a runner that is about to leave.
	draining bool
	leavesAt time.Time
	// lateAnswer returns how long the answer to a hold that the present lifetime has given is under way.
	lateAnswer func(lifetime int) time.Duration

	address string
	server  *http.Server

	mu       sync.Mutex
	kind     string
	capacity size
	// dark means that the runner gives no answer while it is down, instead of closing the connection.
	dark bool
	// failing means that all runs that start fail after failureTime.
	failing bool
	// lifetime numbers the lifetimes; zero means that the runner is down. lastLifetime is the newest one.
	lifetime     int
	lastLifetime int
	startedAt    time.Time
	born         int64
	token        int64
	leaseEnd     time.Duration
	running      map[string]*activeRun
	highest      map[string]int64
	ends         []*end
	lastEnd      int64
	lapses       int
	changed      chan struct{}
	sequence     int
	// ended is closed when the present lifetime ends.
	ended chan struct{}
}

type activeRun struct {
	task     string
	run      int64
	started  time.Time
	stopping bool
	fails    bool
}

// failureTime is how long a run on a failing runner lasts.
const failureTime = 50 * time.Millisecond

// end is a run that has ended. lapses is how often the lease had lapsed by then.
type end struct {
	number int64
	task   string
	run    int64
	how    string
	at     time.Time
	lapses int
}

// entryStore is where runners register.
type entryStore interface {
	Put(key string, value []byte)
	Remove(key string)
}

// serve begins to listen at a free loopback port. The listener outlives the lifetimes.
func (r *runner) serve() error {
	l, err := listen()
	if err != nil {
		return err
	}
	r.address = l.Addr().String()
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	return nil
}

// start begins a lifetime of a kind. It writes its entry after the delay, and then at each heartbeat.
func (r *runner) start(kind string, capacity size, entryDelay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kind, r.capacity = kind, capacity
	r.lastLifetime++
	r.lifetime = r.lastLifetime
	r.startedAt, r.born = time.Now(), max(time.Now().UnixMilli(), r.born+1)
	r.token, r.leaseEnd, r.lastEnd, r.ends, r.sequence = 0, 0, 0, nil, 0
	r.running, r.highest, r.changed, r.ended = map[string]*activeRun{}, map[string]int64{}, make(chan struct{}), make(chan struct{})
	r.record.add("runner %s begins lifetime %d, of kind %s", r.id, r.lifetime, kind)
	go r.beat(r.lifetime, r.ended, entryDelay)
	go r.advanceUntil(r.ended)
}

// crash ends the lifetime. What ran is gone, and no end of it is listed.
func (r *runner) crash(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dark = dark
	r.advance()
	now := time.Now()
	for _, a := range r.running {
		r.gangs.leave(a.task, a.run)
		r.ledger.ended(r.id, a.task, a.run, "crashed", now)
	}
	r.record.add("runner %s ends, lifetime %d; it ran %s", r.id, r.lifetime, strings.Join(r.runningNames(), ", "))
	r.running, r.lifetime = map[string]*activeRun{}, 0
	close(r.ended)
}

// setFailing sets whether all runs that start fail.
func (r *runner) setFailing(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
	r.record.add("runner %s fails all that it starts: %v", r.id, failing)
}

// leave announces that the runner leaves after a time, and then ends it for good.
func (r *runner) leave(after time.Duration) {
	r.mu.Lock()
	r.draining, r.leavesAt = true, time.Now().Add(after)
	r.record.add("runner %s is draining", r.id)
	r.store.Put("servers/"+r.id, r.entry())
	r.mu.Unlock()
	time.Sleep(after)
	r.store.Remove("servers/" + r.id)
	r.crash(false)
}

// beat writes the entry until the lifetime ends. It removes it three heartbeats later, unless another lifetime has begun.
// A write that changes only `sequence` changes nothing that the nodes see (PROTOCOL.md, Service discovery); it is left out
// if the runner is one of many.
func (r *runner) beat(lifetime int, ended <-chan struct{}, delay time.Duration) {
	for {
		select {
		case <-ended:
			time.Sleep(3 * heartbeat)
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.lastLifetime == lifetime {
				r.store.Remove("servers/" + r.id)
				r.record.add("the entry of %s is removed", r.id)
			}
			return
		case <-time.After(delay):
		}
		r.mu.Lock()
		if r.lifetime == lifetime && (r.sequence == 0 || !r.ofMany) {
			r.sequence++
			r.store.Put("servers/"+r.id, r.entry())
			if r.sequence == 1 {
				r.record.add("the entry of %s says kind %s, born %d", r.id, r.kind, r.born)
			}
		}
		r.mu.Unlock()
		delay = heartbeat
	}
}

// entry returns the entry in the store; r.mu is held.
func (r *runner) entry() []byte {
	state := map[bool]string{false: "ready", true: "draining"}[r.draining]
	text, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.address, "zone": "z-1", "version": "v1", "slots": 8, "state": state,
		"remainingMs": max(0, time.Until(r.leavesAt).Milliseconds()),
		"capacity":    map[string]int{"cpu": r.capacity.cpu, "memMb": r.capacity.memMB}, "labels": []string{r.kind, r.rack},
		"sequence": r.sequence, "born": r.born, "clockMs": r.clock().Milliseconds(),
	})
	return text
}

// clock returns the runner's steady clock; r.mu is held.
func (r *runner) clock() time.Duration { return time.Since(r.startedAt) + time.Second }

// advanceInterval is how often runs are ended.
const advanceInterval = 20 * time.Millisecond

// advanceUntil ends runs in time until the lifetime ends.
func (r *runner) advanceUntil(ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(advanceInterval):
		}
		r.mu.Lock()
		r.advance()
		r.mu.Unlock()
	}
}

// advance ends the runs that are done, and all when the lease has lapsed; r.mu is held.
func (r *runner) advance() {
	if r.lifetime == 0 {
		return
	}
	lapsed := r.clock() > r.leaseEnd
	for _, a := range r.running {
		w := r.works(a.task)
		d := w.duration
		if w.gang > 0 {
			d = 0
			if how := r.gangs.fate(a.task, a.run, w.duration); how != "" && !a.stopping {
				r.end(a, how)
				continue
			}
		}
		switch {
		case a.fails && !a.stopping && time.Since(a.started) >= failureTime:
			r.end(a, "failed")
		case d > 0 && !a.stopping && time.Since(a.started) >= d:
			r.end(a, "done")
		case lapsed:
			r.end(a, "lapsed")
		}
	}
}

// end lists the end of a run; r.mu is held.
func (r *runner) end(a *activeRun, how string) {
	if r.running[a.task] != a {
		return
	}
	delete(r.running, a.task)
	r.gangs.leave(a.task, a.run)
	if how == "lapsed" {
		r.lapses++
	}
	r.lastEnd++
	r.ends = append(r.ends, &end{number: r.lastEnd, task: a.task, run: a.run, how: how, at: time.Now(), lapses: r.lapses})
	r.highest[a.task] = max(r.highest[a.task], a.run)
	r.ledger.ended(r.id, a.task, a.run, how, time.Now())
	r.record.add("runner %s: end %d, %s run %d is %s", r.id, r.lastEnd, a.task, a.run, how)
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *runner) runningNames() []string {
	names := []string{}
	for _, a := range r.running {
		names = append(names, fmt.Sprintf("%s run %d", a.task, a.run))
	}
	sort.Strings(names)
	return names
}

// runs reports whether a task runs here, and the number of all that run.
func (r *runner) runs(task string) (bool, int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance()
	return r.running[task] != nil, len(r.running)
}

type call struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Deadline int64  `json:"deadlineMs"`
	Token    int64  `json:"fencingToken"`
	Ack      int64  `json:"ackIndex"`
	Wait     int64  `json:"waitMs"`
	Ticket   string `json:"ticket"`
	Percent  *int   `json:"percent"`
}

// ServeHTTP handles one call. A runner that is down does not answer.
func (r *runner) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	var c call
	if json.NewDecoder(req.Body).Decode(&c) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	lifetime := r.lifetime
	r.mu.Unlock()
	if lifetime == 0 {
		r.stayDown(req)
		return
	}
	if id := req.Header.Get("Target-Instance"); id != "" && id != r.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	status, body := http.StatusNotFound, []byte(nil)
	switch req.URL.Path {
	case "/oriolepond/hold":
		status, body = r.hold(req.Context(), c)
		if status == 0 {
			r.stayDown(req)
			return
		}
		if r.lateAnswer != nil {
			if d := r.lateAnswer(lifetime); d > 0 {
				r.record.add("runner %s: lifetime %d has answered a hold; the answer is under way for %v: %s", r.id, lifetime, d, body)
				time.Sleep(d)
			}
		}
	case "/oriolepond/run-start":
		status, body = r.startRun(c)
	case "/oriolepond/run-stop":
		status, body = r.stopRun(c)
	case "/oriolepond/pace":
		status, body = r.answer("")
	}
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	rw.Write(body)
}

// stayDown ends a call without an answer.
func (r *runner) stayDown(req *http.Request) {
	r.mu.Lock()
	dark := r.dark
	r.mu.Unlock()
	if !dark {
		panic(http.ErrAbortHandler) // The server closes the connection.
	}
	<-req.Context().Done()
}

// answer returns 409 with a reason, or 200 if that is empty.
func (r *runner) answer(reason string) (int, []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	body := map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.born}
	status := http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	text, _ := json.Marshal(body)
	return status, text
}

// fenced reports whether the caller's token is lower than an earlier one; r.mu is held.
func (r *runner) fenced(token int64) bool {
	if token < r.token {
		return true
	}
	r.token = token
	return false
}

// extend extends the lease; r.mu is held.
func (r *runner) extend(deadlineMs int64) {
	r.leaseEnd = max(r.leaseEnd, min(time.Duration(deadlineMs)*time.Millisecond, r.clock()+holdMax))
}

func (r *runner) startRun(c call) (int, []byte) {
	r.mu.Lock()
	r.advance()
	reason := ""
	a := r.running[c.Task]
	switch {
	case r.fenced(c.Token):
		reason = "fence"
	case a != nil && a.run == c.Run:
	case c.Run <= r.highest[c.Task] || a != nil:
		r.extend(c.Deadline)
		reason = "old"
	case time.Duration(c.Deadline)*time.Millisecond <= r.clock():
		reason = "late"
	case r.adviser != nil && !r.adviser.isValid(c.Ticket, c.Task[:strings.LastIndexByte(c.Task, '.')], r.id):
		reason = "ticket"
	case !r.hasRoom(c.Task):
		r.extend(c.Deadline)
		reason = "room"
	default:
		r.extend(c.Deadline)
		r.running[c.Task] = &activeRun{task: c.Task, run: c.Run, started: time.Now(), fails: r.failing}
		if w := r.works(c.Task); w.gang > 0 {
			r.gangs.join(c.Task, c.Run, w.gang)
		}
		r.ledger.started(r.id, r.kind, c.Task, c.Run, time.Now())
		r.record.add("runner %s (lifetime %d, kind %s): start of %s run %d, token %d", r.id, r.lifetime, r.kind, c.Task, c.Run, c.Token)
	}
	r.mu.Unlock()
	if reason != "" {
		r.record.add("runner %s: start of %s run %d is rejected: %s", r.id, c.Task, c.Run, reason)
	}
	return r.answer(reason)
}

// hasRoom reports whether a task fits into what is free; r.mu is held.
func (r *runner) hasRoom(task string) bool {
	sum := r.works(task).size
	for _, a := range r.running {
		s := r.works(a.task).size
		sum.cpu, sum.memMB = sum.cpu+s.cpu, sum.memMB+s.memMB
	}
	return sum.cpu <= r.capacity.cpu && sum.memMB <= r.capacity.memMB
}

func (r *runner) stopRun(c call) (int, []byte) {
	r.mu.Lock()
	r.advance()
	reason := ""
	if r.fenced(c.Token) {
		reason = "fence"
	} else {
		r.highest[c.Task] = max(r.highest[c.Task], c.Run)
		if a := r.running[c.Task]; a != nil && a.run == c.Run && !a.stopping {
			a.stopping = true
			time.AfterFunc(stopTime, func() {
				r.mu.Lock()
				defer r.mu.Unlock()
				r.end(a, "stopped")
			})
		}
	}
	r.mu.Unlock()
	r.record.add("runner %s: stop of %s run %d %s", r.id, c.Task, c.Run, reason)
	return r.answer(reason)
}

// hold renews the lease and returns the lists. A status of zero means that the lifetime has ended meanwhile.
func (r *runner) hold(ctx context.Context, c call) (int, []byte) {
	deadline := time.After(time.Duration(c.Wait) * time.Millisecond)
	r.mu.Lock()
	if r.fenced(c.Token) {
		r.mu.Unlock()
		return r.answer("fence")
	}
	r.advance()
	for len(r.ends) > 0 && r.ends[0].number <= c.Ack {
		e := r.ends[0]
		r.ends = r.ends[1:]
		r.ledger.noted(e.task, e.run, e.lapses != r.lapses)
	}
	r.extend(c.Deadline)
	lifetime, ended := r.lifetime, r.ended
	for waiting := true; waiting && len(r.ends) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-ended:
			waiting = false
		case <-ctx.Done():
			waiting = false
		}
		r.mu.Lock()
	}
	defer r.mu.Unlock()
	if r.lifetime != lifetime {
		return 0, nil
	}
	rows, finished := [][]any{}, [][]any{}
	for _, a := range r.running {
		percent := 100
		if d := r.works(a.task).duration; d > 0 {
			percent = min(99, int(100*time.Since(a.started)/d))
		}
		rows = append(rows, []any{a.task, a.run, "", percent, 0})
	}
	for _, e := range r.ends[:min(len(r.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	text, _ := json.Marshal(map[string]any{"clockMs": r.clock().Milliseconds(), "born": r.born, "running": rows, "finished": finished})
	if len(r.ends) > maxListedEnds {
		r.record.add("runner %s: hold with ackIndex %d gets %d running, %d of %d ends", r.id, c.Ack, len(rows), len(finished), len(r.ends))
	}
	return http.StatusOK, text
}
