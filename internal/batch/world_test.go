package batch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// simFaults are the probabilities and rates of faults while a world is troubled.
type simFaults struct {
	// lost is the part of orders whose answer is lost, after they were carried out or not.
	lost float64
	// late is the part that is carried out 2 to 12 s later without an answer.
	late float64
	// crash, dark and takeover are mean times between the events; zero means never.
	crash    time.Duration
	dark     time.Duration
	takeover time.Duration
	// fail is the part of runs that fail, cancel the part of jobs that are cancelled.
	fail   float64
	cancel float64
}

// simWorld plays a core against workers in virtual time, without a network.
type simWorld struct {
	t       *testing.T
	random  *rand.Rand
	faults  simFaults
	now     time.Time
	events  simEvents
	number  int
	core    *Core
	token   int64
	records map[string][]byte
	// silent is the record of silent workers.
	silent  []byte
	workers []*simWorker
	jobs    map[string]Job
	// ended are true ends, noted those that were acknowledged in time.
	ended   map[TaskName]time.Time
	noted   map[TaskName]time.Time
	began   map[TaskName]time.Time
	failed  map[TaskName]int
	cancels map[string]time.Time
	starts  int
	broken  []string
	debug   func(string, ...any)
	match   func(TaskName) bool
}

type simEvent struct {
	at     time.Time
	number int
	do     func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(a, b int) bool {
	return e[a].at.Before(e[b].at) || e[a].at.Equal(e[b].at) && e[a].number < e[b].number
}
func (e simEvents) Swap(a, b int) { e[a], e[b] = e[b], e[a] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newSimWorld(t *testing.T, seed uint64, workers int, faults simFaults) *simWorld {
	w := &simWorld{
		t: t, random: rand.New(rand.NewPCG(seed, 1)), faults: faults, now: time.Unix(1_000_000_000, 0),
		records: map[string][]byte{}, jobs: map[string]Job{}, ended: map[TaskName]time.Time{}, failed: map[TaskName]int{},
		noted: map[TaskName]time.Time{}, began: map[TaskName]time.Time{},
		cancels: map[string]time.Time{},
	}
	for i := range workers {
		id := fmt.Sprintf("w-%03d", i)
		w.workers = append(w.workers, &simWorker{
			info: WorkerInfo{
				ID: id, Address: id, Service: "pool", Incarnation: 1, Rack: fmt.Sprintf("r-%d", i/8),
				Capacity: share.Resources{Processors: 16_000, Memory: 64 << 30},
			},
			began: w.now, running: map[runKey]*simRun{}, ceiling: map[TaskName]int64{}, slow: 1,
		})
	}
	w.takeOver()
	return w
}

func simTable() QueueConfig {
	return QueueConfig{Version: 1, Queues: map[string]Queue{
		"check":  {Name: "check", Service: "pool", Attempts: 4, Slack: 1.5, Target: 400 * time.Millisecond},
		"review": {Name: "review", Service: "pool", Priority: 2, Attempts: 4, Slack: 2, Target: time.Second},
	}}
}

func (w *simWorld) after(d time.Duration, do func()) {
	w.number++
	heap.Push(&w.events, simEvent{at: w.now.Add(d), number: w.number, do: do})
}

// run plays events for a time.
func (w *simWorld) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *simWorld) chance(p float64) bool { return w.random.Float64() < p }

// exponential returns a random time with a mean.
func (w *simWorld) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// takeOver begins the term of a new holder, which only knows the records.
func (w *simWorld) takeOver() {
	if w.match != nil {
		w.debug("takeover %d", w.token+1)
	}
	w.token++
	timing := DefaultTiming()
	w.core = NewCore(timing, w.now, w.now.Add(timing.Lease+timing.RenewGrace+time.Second))
	w.core.SetQueueConfig(simTable())
	for _, id := range sortedKeys(w.records) {
		require.NoError(w.t, w.core.Restore(w.records[id], w.now))
	}
	if w.silent != nil {
		require.NoError(w.t, w.core.RestoreUnresponsive(w.silent, w.now))
	}
	var all []WorkerInfo
	for _, o := range w.workers {
		all = append(all, o.info)
	}
	w.core.SetWorkers(all, w.now)
	token := w.token
	for _, o := range w.workers {
		w.lookLoop(o, token)
	}
	w.planLoop(token)
}

func sortedKeys[V any](m map[string]V) []string {
	var all []string
	for key := range m {
		all = append(all, key)
	}
	slices.Sort(all)
	return all
}

func (w *simWorld) planLoop(token int64) {
	if token != w.token {
		return
	}
	w.core.Plan(w.now)
	w.carryOut(w.core.TakeCommands())
	for _, id := range w.core.TakePolls() {
		w.look(w.find(id), token)
	}
	w.core.TakeAckable()
	for _, n := range w.core.TakeNotes() {
		if w.match != nil && (w.match(n.Task) || n.Task.Job == "" && n.Job == "") {
			w.debug("note %+v", n)
		}
	}
	changes, err := w.core.TakeChanges(20, w.now)
	require.NoError(w.t, err)
	w.after(5*time.Millisecond, func() {
		if token != w.token {
			return
		}
		for _, r := range changes.Records {
			w.records[r.ID] = r.Value
			if r.Value == nil {
				delete(w.records, r.ID)
			}
		}
		if changes.Unresponsive != nil {
			w.silent = changes.Unresponsive
		}
		w.carryOut(w.core.Committed(changes))
	})
	w.after(20*time.Millisecond, func() { w.planLoop(token) })
}

func (w *simWorld) find(id string) *simWorker {
	for _, o := range w.workers {
		if o.info.ID == id {
			return o
		}
	}
	return nil
}

// carryOut sends orders, of which some are lost or late.
func (w *simWorld) carryOut(orders []Command) {
	token, core := w.token, w.core
	for _, o := range orders {
		call, ok := core.PrepareCall(o, w.now)
		if !ok {
			continue
		}
		sent, worker := w.now, w.find(call.Worker)
		answer := func(r Result) {
			if token == w.token {
				core.HandleAnswer(o, r, sent, w.now)
			}
		}
		fate := w.random.Float64()
		switch {
		case fate < w.faults.late:
			delay := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
			born := worker.info.Incarnation
			w.after(delay, func() {
				if worker.info.Incarnation == born {
					w.obey(worker, call, token)
				}
			})
			w.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
		case fate < w.faults.late+w.faults.lost:
			if w.chance(0.5) {
				w.after(2*time.Millisecond, func() { w.obey(worker, call, token) })
			}
			w.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
		default:
			w.after(2*time.Millisecond, func() {
				if w.now.Before(worker.dark) {
					w.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
					return
				}
				r := w.obey(worker, call, token)
				w.after(2*time.Millisecond, func() { answer(r) })
			})
		}
	}
}

// lookLoop looks at a worker for as long as the term lasts.
func (w *simWorld) lookLoop(o *simWorker, token int64) {
	if token != w.token {
		return
	}
	if w.core.NeedsPoll(o.info.ID) {
		w.look(o, token)
	}
	w.after(100*time.Millisecond, func() { w.lookLoop(o, token) })
}

func (w *simWorld) look(o *simWorker, token int64) {
	if o == nil {
		return
	}
	core, sent := w.core, w.now
	l, ok := core.BeginPoll(o.info.ID, sent)
	if !ok {
		return
	}
	w.after(2*time.Millisecond, func() {
		w.advance(o)
		if w.now.Before(o.dark) || w.chance(w.faults.lost) {
			w.after(600*time.Millisecond, func() {
				if token == w.token {
					core.PollFailed(o.info.ID, AnswerNone, false, sent, w.now)
				}
			})
			return
		}
		if token < o.token {
			return
		}
		o.token = token
		if l.Deadline > 0 {
			w.grant(o, l.Deadline)
		}
		w.acknowledge(o, l.Ack)
		rep := Report{Incarnation: o.info.Incarnation, Clock: w.clock(o)}
		for _, e := range o.ended {
			rep.Ended = append(rep.Ended, e.EndedRow)
		}
		for _, key := range sortedRunKeys(o.running) {
			rep.Running = append(rep.Running, RunningRow{Task: key.task, Run: key.run, Percent: 10})
		}
		w.after(2*time.Millisecond, func() {
			if token == w.token {
				core.ApplyReport(o.info.ID, rep, sent, w.now)
			}
		})
	})
}

// acknowledge forgets ends. No start may have followed one that ended well.
func (w *simWorld) acknowledge(o *simWorker, index int64) {
	for len(o.ended) > 0 && o.ended[0].Number <= index {
		e := o.ended[0]
		o.ended = o.ended[1:]
		if e.How != EndDone || e.lapsed {
			continue
		}
		w.noted[e.Task] = e.at
		if w.began[e.Task].After(e.at) {
			w.breaks("%v had started again before its end was acknowledged", e.Task)
		}
	}
}

// trouble lets faults happen until a time.
func (w *simWorld) trouble(until time.Time) {
	often := func(mean time.Duration, do func()) {
		if mean == 0 {
			return
		}
		var next func()
		next = func() {
			if w.now.After(until) {
				return
			}
			do()
			w.after(w.exponential(mean), next)
		}
		w.after(w.exponential(mean), next)
	}
	often(w.faults.crash, func() { w.crash(w.workers[w.random.IntN(len(w.workers))]) })
	often(w.faults.dark, func() {
		w.workers[w.random.IntN(len(w.workers))].dark = w.now.Add(time.Duration(w.random.Int64N(int64(12 * time.Second))))
	})
	often(w.faults.takeover, w.takeOver)
}

// crash starts a worker again: it knows nothing of before.
func (w *simWorld) crash(o *simWorker) {
	if w.match != nil {
		w.debug("crash %s", o.info.ID)
	}
	w.advance(o)
	clear(o.running)
	clear(o.ceiling)
	o.ended, o.number, o.token, o.until = nil, 0, 0, time.Time{}
	o.info.Incarnation++
	o.began = w.now
	w.after(time.Second, func() { w.core.SetWorker(o.info, w.now) })
}

// submit hands a job in; it is repeated until it is durable, as callers do.
func (w *simWorld) submit(j Job) {
	w.jobs[j.ID] = j
	var try func()
	try = func() {
		if w.records[j.ID] != nil {
			return
		}
		require.NoError(w.t, w.core.Submit(j, w.now, nil))
		w.after(time.Second, try)
	}
	try()
	if w.chance(w.faults.cancel) {
		w.after(time.Duration(w.random.Int64N(int64(3*time.Second))), func() {
			if w.core.Cancel(j.ID, w.now, nil) {
				w.cancels[j.ID] = w.now
			}
		})
	}
}

// randomJob returns a job of one to three steps.
func (w *simWorld) randomJob(id int) Job {
	j := Job{ID: fmt.Sprintf("%016x", id), Queue: []string{"check", "review"}[w.random.IntN(2)], Spec: "spec"}
	for i := range 1 + w.random.IntN(3) {
		s := Step{
			Tasks:    1 + w.random.IntN(12),
			Size:     share.Resources{Processors: share.MilliCores(500 + w.random.IntN(4000)), Memory: 1 << 30},
			Estimate: time.Duration(200+w.random.IntN(2500)) * time.Millisecond,
		}
		if i > 0 {
			s.After = []int{w.random.IntN(i)}
		}
		if w.chance(0.2) {
			s.MaxPerWorker = 2
		}
		j.Steps = append(j.Steps, s)
	}
	return j
}

func TestRulesHoldUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults simFaults
		seeds  int
		// kept are further seeds that once failed.
		kept []int
	}{
		{name: "calm", seeds: 3},
		{name: "failing tasks and cancels", seeds: 8, faults: simFaults{fail: 0.1, cancel: 0.2}},
		{name: "lost answers", seeds: 10, faults: simFaults{lost: 0.1, fail: 0.05}},
		{name: "late orders", seeds: 10, faults: simFaults{late: 0.1, fail: 0.05}},
		{name: "crashes", seeds: 10, faults: simFaults{crash: 2 * time.Second}},
		{
			// 138: a worker that fell silent while it ran nothing was never looked at again.
			name: "silent workers", seeds: 10, kept: []int{138}, faults: simFaults{dark: 2 * time.Second},
		},
		{name: "take-overs", seeds: 10, faults: simFaults{takeover: 4 * time.Second, cancel: 0.1}},
		// 89: a start reached a worker that had started again, under a deadline of its former clock.
		{name: "all together", seeds: 30, kept: []int{89}, faults: simFaults{
			lost: 0.05, late: 0.05, crash: 5 * time.Second, dark: 5 * time.Second, takeover: 6 * time.Second, fail: 0.05, cancel: 0.1,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seeds := slices.Clone(c.kept)
			for seed := range c.seeds {
				seeds = append(seeds, seed)
			}
			for _, seed := range seeds {
				w := newSimWorld(t, uint64(seed), 10, c.faults)
				w.trouble(w.now.Add(30 * time.Second))
				for i := range 60 {
					w.after(time.Duration(i)*500*time.Millisecond, func() { w.submit(w.randomJob(i)) })
				}
				w.run(30 * time.Second)
				w.faults.lost, w.faults.late, w.faults.fail = 0, 0, 0
				w.run(90 * time.Second)
				require.Empty(t, w.broken, "seed %d", seed)
				w.checkEnds(seed)
			}
		})
	}
}

// checkEnds checks that each job reached the state that its tasks' ends ask for.
func (w *simWorld) checkEnds(seed int) {
	w.t.Helper()
	for _, id := range sortedKeys(w.jobs) {
		state, known := w.core.State(id)
		require.True(w.t, known, "seed %d, job %s", seed, id)
		require.True(w.t, state.Final(), "seed %d, job %s is %s", seed, id, state)
		if state != Completed {
			continue
		}
		for s, step := range w.jobs[id].Steps {
			for i := range step.Tasks {
				_, done := w.ended[TaskName{Job: id, Step: s, Index: i}]
				require.True(w.t, done, "seed %d, job %s is completed without task %d.%d", seed, id, s, i)
			}
		}
	}
	for _, o := range w.workers {
		w.advance(o)
		require.Empty(w.t, o.running, "seed %d: nothing runs on", seed)
	}
}
