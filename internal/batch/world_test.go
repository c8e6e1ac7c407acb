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

// simFaults are the probabilities and rates of injected faults.
type simFaults struct {
	// lostAnswer is the probability that the answer to a command is lost, whether the command was
	// executed or not.
	lostAnswer float64
	// lateCommand is the probability that a command is executed 2 to 12 s late and not answered.
	lateCommand float64
	// crash, outage and takeover are the mean times between these events; zero means never.
	crash    time.Duration
	outage   time.Duration
	takeover time.Duration
	// fail is the probability that a run fails, cancel the probability that a job is cancelled.
	fail   float64
	cancel float64
}

// simWorld simulates a core and its workers in virtual time, without a network. It records violations
// of the scheduling rules, see startRun and acknowledgeEnds.
type simWorld struct {
	t         *testing.T
	random    *rand.Rand
	faults    simFaults
	now       time.Time
	events    simEvents
	lastEvent int
	core      *Core
	token     int64
	records   map[string][]byte
	// unresponsive is the stored record of unresponsive workers.
	unresponsive []byte
	workers      []*simWorker
	jobs         map[string]Job
	// endedAt is when tasks ended successfully on their workers. acknowledged is the same for the
	// tasks whose end was acknowledged before the worker's lease expired.
	endedAt      map[TaskName]time.Time
	acknowledged map[TaskName]time.Time
	startedAt    map[TaskName]time.Time
	failures     map[TaskName]int
	cancelledAt  map[string]time.Time
	startCount   int
	violations   []string
	// trace and traced are only set to debug a seed: trace logs the events of the tasks that traced
	// selects.
	trace  func(string, ...any)
	traced func(TaskName) bool
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
		records: map[string][]byte{}, jobs: map[string]Job{}, endedAt: map[TaskName]time.Time{}, failures: map[TaskName]int{},
		acknowledged: map[TaskName]time.Time{}, startedAt: map[TaskName]time.Time{},
		cancelledAt: map[string]time.Time{},
	}
	for i := range workers {
		id := fmt.Sprintf("w-%03d", i)
		w.workers = append(w.workers, &simWorker{
			info: WorkerInfo{
				ID: id, Address: id, Service: "pool", Incarnation: 1, Rack: fmt.Sprintf("r-%d", i/8),
				Capacity: share.Resources{Processors: 16_000, Memory: 64 << 30},
			},
			incarnationStart: w.now, running: map[runKey]*simRun{}, highestEndedRun: map[TaskName]int64{}, slowdown: 1,
		})
	}
	w.takeOver()
	return w
}

func simQueueConfig() QueueConfig {
	return QueueConfig{Version: 1, Queues: map[string]Queue{
		"check":  {Name: "check", Service: "pool", Attempts: 4, Slack: 1.5, Target: 400 * time.Millisecond},
		"review": {Name: "review", Service: "pool", Priority: 2, Attempts: 4, Slack: 2, Target: time.Second},
	}}
}

func (w *simWorld) after(d time.Duration, do func()) {
	w.lastEvent++
	heap.Push(&w.events, simEvent{at: w.now.Add(d), number: w.lastEvent, do: do})
}

// run simulates a duration.
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

// exponential returns an exponentially distributed duration with a mean.
func (w *simWorld) exponential(mean time.Duration) time.Duration {
	return time.Duration(w.random.ExpFloat64() * float64(mean))
}

// takeOver replaces the leader by a new one that knows only the stored records.
func (w *simWorld) takeOver() {
	if w.traced != nil {
		w.trace("takeover %d", w.token+1)
	}
	w.token++
	timing := DefaultTiming()
	w.core = NewCore(timing, w.now, w.now.Add(timing.Lease+timing.RenewGrace+time.Second))
	w.core.SetQueueConfig(simQueueConfig())
	for _, id := range sortedKeys(w.records) {
		require.NoError(w.t, w.core.Restore(w.records[id], w.now))
	}
	if w.unresponsive != nil {
		require.NoError(w.t, w.core.RestoreUnresponsive(w.unresponsive, w.now))
	}
	var infos []WorkerInfo
	for _, o := range w.workers {
		infos = append(infos, o.info)
	}
	w.core.SetWorkers(infos, w.now)
	token := w.token
	for _, o := range w.workers {
		w.pollLoop(o, token)
	}
	w.planLoop(token)
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (w *simWorld) planLoop(token int64) {
	if token != w.token {
		return
	}
	w.core.Plan(w.now)
	w.sendCommands(w.core.TakeCommands())
	for _, id := range w.core.TakePolls() {
		w.poll(w.find(id), token)
	}
	w.core.TakeAckable()
	for _, n := range w.core.TakeNotes() {
		if w.traced != nil && (w.traced(n.Task) || n.Task.Job == "" && n.Job == "") {
			w.trace("note %+v", n)
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
			w.unresponsive = changes.Unresponsive
		}
		w.sendCommands(w.core.Committed(changes))
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

// sendCommands sends commands, some of which are lost or late.
func (w *simWorld) sendCommands(commands []Command) {
	token, core := w.token, w.core
	for _, o := range commands {
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
		draw := w.random.Float64()
		switch {
		case draw < w.faults.lateCommand:
			delay := 2*time.Second + time.Duration(w.random.Int64N(int64(10*time.Second)))
			incarnation := worker.info.Incarnation
			w.after(delay, func() {
				if worker.info.Incarnation == incarnation {
					w.execute(worker, call, token)
				}
			})
			w.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
		case draw < w.faults.lateCommand+w.faults.lostAnswer:
			if w.chance(0.5) {
				w.after(2*time.Millisecond, func() { w.execute(worker, call, token) })
			}
			w.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
		default:
			w.after(2*time.Millisecond, func() {
				if w.now.Before(worker.unresponsiveUntil) {
					w.after(600*time.Millisecond, func() { answer(Result{Answer: AnswerNone}) })
					return
				}
				r := w.execute(worker, call, token)
				w.after(2*time.Millisecond, func() { answer(r) })
			})
		}
	}
}

// pollLoop polls a worker until the leader changes.
func (w *simWorld) pollLoop(o *simWorker, token int64) {
	if token != w.token {
		return
	}
	if w.core.NeedsPoll(o.info.ID) {
		w.poll(o, token)
	}
	w.after(100*time.Millisecond, func() { w.pollLoop(o, token) })
}

func (w *simWorld) poll(o *simWorker, token int64) {
	if o == nil {
		return
	}
	core, sent := w.core, w.now
	poll, ok := core.BeginPoll(o.info.ID, sent)
	if !ok {
		return
	}
	w.after(2*time.Millisecond, func() {
		w.passTime(o)
		if w.now.Before(o.unresponsiveUntil) || w.chance(w.faults.lostAnswer) {
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
		if poll.Deadline > 0 {
			w.grant(o, poll.Deadline)
		}
		w.acknowledgeEnds(o, poll.Ack)
		rep := Report{Incarnation: o.info.Incarnation, Clock: w.clock(o)}
		for _, e := range o.unackedEnds {
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

// acknowledgeEnds removes the run ends that the leader has acknowledged, and checks that the tasks
// which ended successfully have not started again.
func (w *simWorld) acknowledgeEnds(o *simWorker, upTo int64) {
	for len(o.unackedEnds) > 0 && o.unackedEnds[0].Number <= upTo {
		e := o.unackedEnds[0]
		o.unackedEnds = o.unackedEnds[1:]
		if e.How != EndDone || e.expired {
			continue
		}
		w.acknowledged[e.Task] = e.at
		if w.startedAt[e.Task].After(e.at) {
			w.violate("%v had started again before its end was acknowledged", e.Task)
		}
	}
}

// injectFaults injects faults until a time.
func (w *simWorld) injectFaults(until time.Time) {
	repeatedly := func(mean time.Duration, do func()) {
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
	repeatedly(w.faults.crash, func() { w.crash(w.workers[w.random.IntN(len(w.workers))]) })
	repeatedly(w.faults.outage, func() {
		w.workers[w.random.IntN(len(w.workers))].unresponsiveUntil = w.now.Add(time.Duration(w.random.Int64N(int64(12 * time.Second))))
	})
	repeatedly(w.faults.takeover, w.takeOver)
}

// crash restarts a worker, which loses all its state.
func (w *simWorld) crash(o *simWorker) {
	if w.traced != nil {
		w.trace("crash %s", o.info.ID)
	}
	w.passTime(o)
	clear(o.running)
	clear(o.highestEndedRun)
	o.unackedEnds, o.lastEnd, o.token, o.leasedUntil = nil, 0, 0, time.Time{}
	o.info.Incarnation++
	o.incarnationStart = w.now
	w.after(time.Second, func() { w.core.SetWorker(o.info, w.now) })
}

// submit submits a job and, as callers do, repeats the submission until the job is durable.
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
				w.cancelledAt[j.ID] = w.now
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

// Guards against violations of the scheduling rules under faults: a task must not run twice at the same
// time, nor start after its acknowledged end, before the steps that it depends on, after too many
// failures or beyond the capacity of a worker. Once the faults are over, each job has to end.
// Guards against violations of the scheduling rules under faults: a task must not run twice at the same
// time, nor start after its acknowledged end, before the steps that it depends on, after too many
// failures or beyond the capacity of a worker. Once the faults are over, each job has to end.
func TestSchedulingRulesHoldUnderFaults(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults simFaults
		seeds  int
		// regressionSeeds are additional seeds that have failed before.
		regressionSeeds []int
	}{
		{name: "no faults", seeds: 3},
		{name: "failing tasks and cancels", seeds: 8, faults: simFaults{fail: 0.1, cancel: 0.2}},
		{name: "lost answers", seeds: 10, faults: simFaults{lostAnswer: 0.1, fail: 0.05}},
		{name: "late commands", seeds: 10, faults: simFaults{lateCommand: 0.1, fail: 0.05}},
		{name: "crashes", seeds: 10, faults: simFaults{crash: 2 * time.Second}},
		{
			// Seed 138: a worker that became unresponsive while it ran nothing was never polled
			// again.
			name: "unresponsive workers", seeds: 10, regressionSeeds: []int{138}, faults: simFaults{outage: 2 * time.Second},
		},
		{name: "leader changes", seeds: 10, faults: simFaults{takeover: 4 * time.Second, cancel: 0.1}},
		// Seed 89: a start command reached a restarted worker with a deadline on the clock of its
		// previous incarnation.
		{name: "all faults", seeds: 30, regressionSeeds: []int{89}, faults: simFaults{
			lostAnswer: 0.05, lateCommand: 0.05, crash: 5 * time.Second, outage: 5 * time.Second, takeover: 6 * time.Second, fail: 0.05, cancel: 0.1,
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			seeds := slices.Clone(c.regressionSeeds)
			for seed := range c.seeds {
				seeds = append(seeds, seed)
			}
			for _, seed := range seeds {
				w := newSimWorld(t, uint64(seed), 10, c.faults)
				w.injectFaults(w.now.Add(30 * time.Second))
				for i := range 60 {
					w.after(time.Duration(i)*500*time.Millisecond, func() { w.submit(w.randomJob(i)) })
				}
				w.run(30 * time.Second)
				w.faults.lostAnswer, w.faults.lateCommand, w.faults.fail = 0, 0, 0
				w.run(90 * time.Second)
				require.Empty(t, w.violations, "seed %d", seed)
				w.checkEnds(seed)
			}
		})
	}
}

// checkEnds checks that all jobs have ended, that all tasks of completed jobs have ended successfully,
// and that no runs are left on the workers.
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
				_, done := w.endedAt[TaskName{Job: id, Step: s, Index: i}]
				require.True(w.t, done, "seed %d, job %s is completed without task %d.%d", seed, id, s, i)
			}
		}
	}
	for _, o := range w.workers {
		w.passTime(o)
		require.Empty(w.t, o.running, "seed %d: runs are left over", seed)
	}
}
