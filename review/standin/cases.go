//go:build review

package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"
)

// reportSlack is how long two runs have to overlap to count: reports take a few milliseconds.
const reportSlack = 30 * time.Millisecond

// A case plays its disruption if w.trouble is set, and returns how the rule was broken, if it was.
type caseFunc func(w *world) (broken []string, err error)

var cases = map[string]caseFunc{
	"refusing-cut":  refusingCut,
	"route-removed": routeRemoved,
	"inbox":         inboxRouteRemoved,
	"rolling":       rollingRestart,
	"schedule":      schedule,
}

func runCase(args []string) int {
	if len(args) == 0 {
		return exitFailed
	}
	flags := flag.NewFlagSet("case", flag.ContinueOnError)
	node := flags.String("node", "target/oriolepond", "program of the nodes")
	record := flags.String("record", "record.txt", "file of the record")
	trouble := flags.Bool("trouble", true, "play the disruption")
	play := cases[args[0]]
	if flags.Parse(args[1:]) != nil || play == nil {
		return exitFailed
	}
	w, err := newWorld(*node, *record, *trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	// A script that takes too long is ended by SIGTERM.
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ended
		w.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(w)
	switch {
	case err != nil:
		w.logf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitFailed
	case len(broken) > 0:
		for _, b := range broken {
			w.logf("BROKEN: %s", b)
		}
		fmt.Printf("broken: %s (%d in all)\n", broken[0], len(broken))
		return exitBroken
	}
	w.logf("held")
	fmt.Println("held")
	return exitHeld
}

// prepare starts runners and nodes, with the given queues. The first runner has the label "x".
func (w *world) prepare(runners int, proxied bool, queues ...queue) error {
	w.configure(queues...)
	for i := range runners {
		labels := "a,r-1"
		if i == 0 {
			labels = "a,r-1,x"
		}
		if _, err := w.addRunner(labels, proxied); err != nil {
			return err
		}
	}
	return w.startNodes()
}

// await waits until a condition holds, and reports whether it did in time.
func await(timeout time.Duration, holds func() bool) bool {
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return holds()
}

// awaitRun waits until a run of the job's tasks that is not in known is present, and returns it.
func (w *world) awaitRun(id string, timeout time.Duration, known int) (span, error) {
	var found span
	ok := await(timeout, func() bool {
		spans := w.spansOf(id)
		if len(spans) > known {
			found = spans[len(spans)-1]
		}
		return len(spans) > known
	})
	if !ok {
		return span{}, fmt.Errorf("no run %d of %s within %v", known+1, id, timeout)
	}
	return found, nil
}

// awaitState waits until a job is in a final state, and returns the last state seen.
func (w *world) awaitState(id string, q queue, timeout time.Duration) string {
	last := ""
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		last = w.state(id, q)
		if last == "completed" || last == "failed" || last == "cancelled" || last == "410" {
			break
		}
	}
	return last
}

// refusingCut cuts one of eight runners off from the store and the nodes for 5 s; connections to it
// are refused. Two runs of a task must not run at the same time.
func refusingCut(w *world) ([]string, error) {
	q := queue{name: "review", prefix: "/review/", attempts: 4, targetMs: 1000}
	if err := w.prepare(8, true, q); err != nil {
		return nil, err
	}
	var ids []string
	for range 4 {
		id, err := w.submit(q, job{Spec: "cpu=3500 last", Steps: []step{{Count: 8, CPU: 3500, MemMB: 6400, EstimateMs: 2200, LongRunning: true}}})
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	if !await(15*time.Second, func() bool {
		n := 0
		for _, id := range ids {
			n += len(w.spansOf(id))
		}
		return n >= 32
	}) {
		return nil, fmt.Errorf("not all tasks were started")
	}
	time.Sleep(4 * time.Second)
	if w.trouble {
		h := w.runners[1]
		w.cut(h)
		time.Sleep(5 * time.Second)
		if err := w.heal(h); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(5 * time.Second)
	var broken []string
	for _, id := range ids {
		for _, o := range overlaps(w.spansOf(id), reportSlack) {
			broken = append(broken, "TWICE: "+o)
		}
	}
	return broken, nil
}

// routeRemoved removes the route of a job while its only task fails each time. The task must not be
// started after two failed runs, which is what the route allows.
func routeRemoved(w *world) ([]string, error) {
	q := queue{name: "review", prefix: "/review/", attempts: 2, targetMs: 1000}
	other := queue{name: "other", prefix: "/other/", attempts: 3, targetMs: 1000}
	if err := w.prepare(8, false, q, other); err != nil {
		return nil, err
	}
	id, err := w.submit(q, job{Spec: "cpu=3500 ms=4000 end=failed", Steps: []step{{Count: 1, CPU: 3500, MemMB: 6400, EstimateMs: 2200}}})
	if err != nil {
		return nil, err
	}
	if _, err := w.awaitRun(id, 10*time.Second, 0); err != nil {
		return nil, err
	}
	if w.trouble {
		w.configure(other)
	} else {
		q.targetMs = 1200
		w.configure(q, other)
	}
	time.Sleep(30 * time.Second)
	var broken []string
	noted := 0
	for _, s := range w.spansOf(id) {
		if noted >= q.attempts {
			broken = append(broken, fmt.Sprintf("BUDGET: %s run %d was started on %s after %d runs had ended as failed and were taken note of", s.task, s.run, s.runner, noted))
		}
		if s.how == "failed" && s.noted {
			noted++
		}
	}
	return broken, nil
}

// inboxRouteRemoved kills the leader, hands a job in at another node, and then removes the job's route.
// The accepted job must still run.
func inboxRouteRemoved(w *world) ([]string, error) {
	q := queue{name: "review", prefix: "/review/", attempts: 2, targetMs: 1000}
	other := queue{name: "other", prefix: "/other/", attempts: 3, targetMs: 1000}
	if err := w.prepare(8, false, q, other); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	leader := w.leader()
	if leader < 0 {
		return nil, fmt.Errorf("no leader")
	}
	if w.trouble {
		w.killNode(leader, time.Second)
	}
	id := newID()
	if err := w.submitAs(id, q, job{Spec: "cpu=3500 ms=2000", Steps: []step{{Count: 4, CPU: 3500, MemMB: 6400, EstimateMs: 2000}}}, (leader+1)%nodeCount); err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if w.trouble {
		w.configure(other)
	}
	if await(40*time.Second, func() bool {
		done := 0
		for _, s := range w.spansOf(id) {
			if s.how == "done" {
				done++
			}
		}
		return done >= 4
	}) {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: job %s was accepted and has %d runs after 40 s; all runners are idle", id, len(w.spansOf(id)))}, nil
}

const (
	// lostAfter is how long after its last run a lasting task may be without one, and lostFor how long
	// it has to be without one then. calm is how long there must have been no disruption before.
	lostAfter = 6 * time.Second
	lostFor   = 3 * time.Second
	calm      = 4 * time.Second
)

// rollingRestart restarts all nodes in turn, a second apart and the leader first, and loses one of eight
// runners for good meanwhile. The tasks that last have to run again on the other runners, of which
// most of the capacity is free.
func rollingRestart(w *world) ([]string, error) {
	q := queue{name: "review", prefix: "/review/", attempts: 2, targetMs: 2500}
	if err := w.prepare(8, false, q); err != nil {
		return nil, err
	}
	const jobs, tasks = 3, 8
	var ids []string
	for range jobs {
		id, err := w.submit(q, job{Spec: "cpu=3500 last", Steps: []step{{Count: tasks, CPU: 3500, MemMB: 6400, EstimateMs: 2200, LongRunning: true}}})
		if err != nil {
			return nil, err
		}
		ids = append(ids, id)
	}
	present := func() map[string]bool {
		found := map[string]bool{}
		for _, id := range ids {
			for _, s := range w.spansOf(id) {
				if s.ended.IsZero() {
					found[s.task] = true
				}
			}
		}
		return found
	}
	if !await(15*time.Second, func() bool { return len(present()) == jobs*tasks }) {
		return nil, fmt.Errorf("not all tasks were started")
	}
	time.Sleep(5 * time.Second)
	rolled := make(chan error, 1)
	go func() { rolled <- w.roll(time.Second) }()
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.lose(w.runners[1])
	}
	if err := <-rolled; err != nil {
		return nil, err
	}
	w.logf("all nodes are restarted")
	calmSince := time.Now()
	var broken []string
	missing := map[string]time.Time{}
	for until := time.Now().Add(40 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		running, now := present(), time.Now()
		for _, s := range w.lastSpans(ids) {
			since, known := missing[s.task]
			switch {
			case running[s.task]:
				delete(missing, s.task)
			case now.Sub(s.ended) < lostAfter || now.Sub(calmSince) < calm:
			case !known:
				missing[s.task] = now
			case now.Sub(since) >= lostFor && !slices.Contains(broken, s.task):
				broken = append(broken, s.task)
				w.logf("%s has had no run for %v", s.task, now.Sub(s.ended).Round(time.Millisecond))
			}
		}
	}
	for i, task := range broken {
		broken[i] = "LOST: " + task + " is to last and did not run, with room for it"
	}
	return broken, nil
}

// lastSpans returns the newest run of each task of the jobs.
func (w *world) lastSpans(ids []string) []span {
	newest := map[string]span{}
	for _, id := range ids {
		for _, s := range w.spansOf(id) {
			if s.run >= newest[s.task].run {
				newest[s.task] = s
			}
		}
	}
	var all []span
	for _, s := range newest {
		all = append(all, s)
	}
	return all
}

// finishWithin is finish_s of the settings. After it, no job may have nothing running for lostFor while
// a task's turn has come and the runners are free.
const finishWithin = 14 * time.Second

// schedule hands in a job that is due once a minute for six days which are over, so that all its times
// are due at once. Without trouble the six days are three hours. All of its runs have to come, since
// the runners are nearly idle.
func schedule(w *world) ([]string, error) {
	w.brief = true
	q := queue{name: "review", prefix: "/review/", attempts: 4, targetMs: 1000}
	if err := w.prepare(14, false, q); err != nil {
		return nil, err
	}
	times := 180
	if w.trouble {
		times = 6 * 24 * 60
	}
	j := job{Spec: "cpu=100 ms=20", RepeatCount: times, IntervalMs: 60_000, StartTimeMs: time.Now().Add(-time.Duration(times) * time.Minute).UnixMilli()}
	for i := range 4 {
		s := step{Count: 1, CPU: 100, MemMB: 64, EstimateMs: 20}
		if i > 0 {
			s.After = []int{i - 1}
		}
		j.Steps = append(j.Steps, s)
	}
	id, err := w.submit(q, j)
	if err != nil {
		return nil, err
	}
	accepted, runs, all := time.Now(), 0, times*len(j.Steps)
	for until := accepted.Add(95 * time.Second); runs < all && time.Now().Before(until); time.Sleep(2 * time.Second) {
		runs = len(w.spansOf(id))
		w.logf("%s has had %d of %d runs; the largest value in the store has %d bytes, %d larger ones were refused",
			id, runs, all, w.store.largest(), w.store.refused.Load())
	}
	state := w.state(id, q)
	idle := w.idleTimes(id, accepted.Add(finishWithin), lostFor)
	if runs >= all || len(idle) == 0 {
		return nil, nil
	}
	for i, t := range idle {
		idle[i] = fmt.Sprintf("LOST: job %s (%s, %d of %d runs) had nothing running %s, with the runners free", id, state, runs, all, t)
	}
	return idle, nil
}

// idleTimes returns the times of more than a given length in which no run of a job was present.
func (w *world) idleTimes(id string, from time.Time, longer time.Duration) []string {
	spans := w.spansOf(id)
	slices.SortFunc(spans, func(a, b span) int { return a.started.Compare(b.started) })
	var idle []string
	busyUntil := from
	for _, s := range spans {
		if gap := s.started.Sub(busyUntil); gap > longer {
			idle = append(idle, fmt.Sprintf("from %.1f s for %.1f s", busyUntil.Sub(w.startedAt).Seconds(), gap.Seconds()))
		}
		ended := s.ended
		if ended.IsZero() {
			ended = time.Now()
		}
		if ended.After(busyUntil) {
			busyUntil = ended
		}
	}
	return idle
}
