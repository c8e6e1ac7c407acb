package batch

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against a task that waits although a worker suits it, because the search for its stage
// leaves out a worker whose change was not recorded.
func TestNoSuitableWorkerIsLeftOutOfSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSearchMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit":    m.submit,
			"cancel":    m.cancel,
			"report":    m.report,
			"fail poll": m.failPoll,
			"worker":    m.updateWorker,
			"config":    m.updateConfig,
			"wait":      m.wait,
			"":          m.plan,
		})
	})
}

// searchMachine drives a core by random events.
type searchMachine struct {
	core     *Core
	now      time.Time
	infos    map[string]WorkerInfo
	lastEnds map[string]int64
	// kinds are the kinds of steps that are submitted.
	kinds    []string
	jobs     int
	commands []Command
	queries  []AdviserQuery
	// assigned is the value of Core.changes after the last plan that gave a worker a run.
	assigned map[*worker]uint64
}

const searchWorkers = 5

func newSearchMachine(t *rapid.T) *searchMachine {
	m := &searchMachine{
		core: NewCore(DefaultTiming(), benchStart, benchStart), now: benchStart,
		infos: map[string]WorkerInfo{}, lastEnds: map[string]int64{}, assigned: map[*worker]uint64{},
	}
	m.kinds = rapid.SampledFrom([][]string{
		{"batch", "filler", "serving", "long-running", "gang"},
		{"filler", "filler", "serving"},
		{"batch", "long-running"},
		{"batch", "gang"},
	}).Draw(t, "kinds")
	m.updateConfig(t)
	for i := range searchWorkers {
		m.setWorker(t, fmt.Sprintf("w-%d", i), false)
		m.core.ApplyReport(fmt.Sprintf("w-%d", i), Report{Incarnation: 1, Clock: m.clock()}, m.now, m.now)
	}
	for range 6 {
		m.submit(t)
	}
	return m
}

func (m *searchMachine) worker(t *rapid.T) string {
	return fmt.Sprintf("w-%d", rapid.IntRange(0, searchWorkers-1).Draw(t, "worker"))
}

func (m *searchMachine) setWorker(t *rapid.T, id string, restart bool) {
	info := m.infos[id]
	if info.Incarnation == 0 || restart {
		info.Incarnation++
	}
	info.ID, info.Address, info.Remaining = id, id, time.Second
	info.Service = rapid.SampledFrom([]string{"pool", "pool", "pool", "pool", "pool", "other"}).Draw(t, "service")
	info.Rack = rapid.SampledFrom([]string{"r-1", "r-2"}).Draw(t, "rack")
	info.Labels = rapid.SampledFrom([][]string{nil, {"fast"}}).Draw(t, "labels")
	info.Draining = rapid.IntRange(0, 9).Draw(t, "draining") == 9
	info.Capacity = share.Resources{
		Processors: share.MilliCores(1000 * rapid.IntRange(1, 8).Draw(t, "processors")),
		Memory:     share.Bytes(rapid.IntRange(2, 8).Draw(t, "memory")),
	}
	m.infos[id] = info
	m.core.SetWorker(info, m.now)
}

func (m *searchMachine) updateWorker(t *rapid.T) {
	id := m.worker(t)
	if rapid.IntRange(0, 9).Draw(t, "removed") == 9 {
		m.core.RemoveWorker(id)
		return
	}
	m.setWorker(t, id, rapid.IntRange(0, 5).Draw(t, "restart") == 5)
}

func (m *searchMachine) updateConfig(t *rapid.T) {
	service := rapid.SampledFrom([]string{"pool", "pool", "pool", "pool", "other"}).Draw(t, "queue service")
	advised := rapid.Bool().Draw(t, "advised")
	m.core.SetQueueConfig(QueueConfig{Version: 1, Queues: map[string]Queue{
		"check":   {Name: "check", Service: service, Attempts: 4, Slack: 1.5, Target: 400 * time.Millisecond},
		"review":  {Name: "review", Service: "pool", Priority: 2, Slack: 2, Target: time.Second},
		"advised": {Name: "advised", Service: "pool", Slack: 2, Target: time.Second, Advised: advised},
	}})
}

func (m *searchMachine) submit(t *rapid.T) {
	s := Step{
		Tasks: rapid.IntRange(1, 4).Draw(t, "tasks"), Estimate: time.Second, Checkpoints: true,
		Size: share.Resources{
			Processors: share.MilliCores(500 * rapid.IntRange(1, 12).Draw(t, "processors")),
			Memory:     share.Bytes(rapid.IntRange(0, 3).Draw(t, "memory")),
		},
		Image: fmt.Sprintf("i-%d", rapid.IntRange(0, 2).Draw(t, "image")),
	}
	switch rapid.SampledFrom(m.kinds).Draw(t, "kind") {
	case "filler":
		s.Filler = true
	case "serving":
		s.LongRunning, s.TailTarget = true, 100*time.Millisecond
	case "long-running":
		s.LongRunning = true
	case "gang":
		s.Gang = true
		s.SameRack = rapid.Bool().Draw(t, "same rack")
	}
	if rapid.IntRange(0, 4).Draw(t, "labelled") == 4 {
		s.RequiredLabel = "fast"
	}
	s.MaxPerWorker = rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "most on a worker")
	m.jobs++
	queue := rapid.SampledFrom([]string{"check", "check", "review", "advised"}).Draw(t, "queue")
	j := Job{ID: fmt.Sprintf("%016x", m.jobs), Queue: queue, Spec: "spec", Steps: []Step{s}}
	require.NoError(t, m.core.Submit(j, m.now, nil))
}

func (m *searchMachine) cancel(t *rapid.T) {
	if m.jobs == 0 {
		t.Skip("no jobs")
	}
	m.core.Cancel(fmt.Sprintf("%016x", rapid.IntRange(1, m.jobs).Draw(t, "job")), m.now, nil)
}

// commit commits changes and prepares the commands that are due then.
func (m *searchMachine) commit(t *rapid.T) {
	changes, err := m.core.TakeChanges(20, m.now)
	require.NoError(t, err)
	m.commands = append(m.commands, m.core.Committed(changes)...)
	m.takeAll()
}

func (m *searchMachine) takeAll() {
	m.commands = append(m.commands, m.core.TakeCommands()...)
	m.queries = append(m.queries, m.core.TakeQueries()...)
	m.core.TakeNotes()
	m.core.TakePolls()
	m.core.TakeAckable()
}

// answer sends the outstanding commands and answers each of them.
func (m *searchMachine) answer(t *rapid.T) {
	refusals := []Answer{
		AnswerNone, AnswerUnsent, AnswerBusy, AnswerNoCapacity, AnswerSuperseded, AnswerExpired, AnswerBadTicket,
		AnswerWrongIncarnation, AnswerInvalid,
	}
	slices.SortStableFunc(m.commands, func(a, b Command) int {
		return cmp.Or(cmp.Compare(a.worker.ID, b.worker.ID), cmp.Compare(a.Kind, b.Kind), compareRuns(a.run, b.run))
	})
	for _, command := range m.commands {
		if _, ok := m.core.PrepareCall(command, m.now); !ok {
			continue
		}
		answer := AnswerDone
		if rapid.IntRange(0, 11).Draw(t, "refused") == 11 {
			answer = rapid.SampledFrom(refusals).Draw(t, "answer")
		}
		m.core.HandleAnswer(command, Result{Answer: answer, Clock: m.clock()}, m.now, m.now)
	}
	m.commands = m.commands[:0]
	m.takeAll()
}

// compareRuns orders the runs of commands, so that answers do not depend on the order of a map.
func compareRuns(a, b *run) int {
	switch {
	case a == nil || b == nil:
		return 0
	case a.task != b.task:
		return compareTasks(a.task, b.task)
	}
	return cmp.Compare(a.number, b.number)
}

func (m *searchMachine) clock() time.Duration { return time.Hour + m.now.Sub(benchStart) }

// runFates are what may have become of a run: it is still running, missing or has ended.
var runFates = []EndKind{"", "", "", "", "", "", "missing", EndDone, EndDone, EndFailed, EndStopped}

// row returns the row of a run that is still running.
func (m *searchMachine) row(t *rapid.T, r *run) RunningRow {
	row := RunningRow{Task: r.task.name(), Run: r.number, Percent: 50}
	if r.task.stage.step.TailTarget > 0 {
		row.Percent = unthrottled
		row.Measurement = float64(rapid.SampledFrom([]int{2, 10, 30, 60, 90, 120}).Draw(t, "tail"))
	} else if rapid.IntRange(0, 3).Draw(t, "starved") != 3 {
		row.Measurement = float64(r.task.stage.step.Size.Processors)
	}
	return row
}

// report applies a report in which each run on a worker is present, has ended or is missing.
func (m *searchMachine) report(t *rapid.T) {
	id := m.worker(t)
	w := m.core.workers[id]
	if w == nil {
		t.Skip("the worker is unknown")
	}
	if !w.contacted {
		m.lastEnds[id] = 0
	}
	m.core.BeginPoll(id, m.now, true)
	rep := Report{Incarnation: w.Incarnation, Clock: m.clock()}
	for _, r := range sortedRuns(w.runs) {
		if r.state == runPending {
			continue
		}
		serves := r.task.stage.step.TailTarget > 0
		how := rapid.SampledFrom(runFates).Draw(t, "fate")
		switch {
		case how == "missing":
		case how == "" || serves && how == EndDone:
			rep.Running = append(rep.Running, m.row(t, r))
		default:
			m.lastEnds[id]++
			rep.Ended = append(rep.Ended, EndedRow{Number: m.lastEnds[id], Task: r.task.name(), Run: r.number, How: how})
		}
	}
	if rapid.IntRange(0, 19).Draw(t, "orphan") == 19 {
		rep.Running = append(rep.Running, RunningRow{Task: TaskName{Job: "unknown"}, Run: 1})
	}
	m.core.ApplyReport(id, rep, m.now, m.now)
	m.takeAll()
}

func (m *searchMachine) failPoll(t *rapid.T) {
	answer := rapid.SampledFrom([]Answer{AnswerNone, AnswerBusy, AnswerWrongIncarnation}).Draw(t, "answer")
	m.core.PollFailed(m.worker(t), answer, m.now, m.now)
	m.takeAll()
}

func (m *searchMachine) advise(t *rapid.T) {
	for _, q := range m.queries {
		var admitted []Admission
		for _, id := range q.Workers {
			if rapid.Bool().Draw(t, "admitted") {
				admitted = append(admitted, Admission{Worker: id, Ticket: "ticket"})
			}
		}
		var err error
		if rapid.IntRange(0, 4).Draw(t, "unanswered") == 0 {
			err = fmt.Errorf("no answer")
		}
		m.core.HandleAdvice(q, admitted, 2*time.Second, err, m.now, m.now)
	}
	m.queries = m.queries[:0]
}

func (m *searchMachine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 10, 60, 300, 1100}).Draw(t, "ms")) * time.Millisecond)
}

// plan lets the core plan, checks that no worker suits a task that is left queued, and sends the
// commands. Some plans are left out, so that several events come before the next one.
func (m *searchMachine) plan(t *rapid.T) {
	if rapid.IntRange(0, 4).Draw(t, "no plan") == 4 {
		return
	}
	c := m.core
	m.now = m.now.Add(time.Millisecond)
	c.Plan(m.now)
	for _, w := range c.workers {
		for _, r := range w.runs {
			if r.state == runPending && r.stateSince.Equal(m.now) {
				m.assigned[w] = c.changes
			}
		}
	}
	for _, j := range c.active {
		for _, s := range j.stages {
			if s.queued > 0 && c.isAdmitted(s, m.now) && !c.isHeldBack(s, m.now) {
				m.checkWaits(t, s)
			}
		}
	}
	m.takeAll()
	m.commit(t)
	m.answer(t)
	m.advise(t)
}

// checkWaits checks that no worker suits the task of a stage that is placed next.
func (m *searchMachine) checkWaits(t *rapid.T, s *stage) {
	c := m.core
	if s.step.Gang {
		isEarly := func(t *task) bool { return m.now.Before(t.notBefore) }
		waits := s.queued < s.unfinished || slices.ContainsFunc(s.tasks, isEarly)
		if !waits && m.now.Sub(s.gangSearchedAt) >= gangSearchInterval {
			require.Nil(t, c.chooseGang(s, m.now), "gang %v at %v", s.tasks[0].name(), m.now.Sub(benchStart))
		}
		return
	}
	// A task under which several workers have crashed may wait until it can be isolated.
	awaitsIsolation := func(t *task) bool {
		return t.crashes.total >= isolatingCrashes && t.crashes.isolation() > 0 && m.now.Sub(t.queuedAt) < maxIsolationWait
	}
	isNext := func(t *task) bool {
		return t.state == taskQueued && !m.now.Before(t.notBefore) && !awaitsIsolation(t)
	}
	i := slices.IndexFunc(s.tasks, isNext)
	if i < 0 {
		return
	}
	next := s.tasks[i]
	// Within a level of its miss cost, a task is not searched for again.
	at := next.queuedAt.Add(time.Duration(m.core.missCostLevel(next, m.now)) * longWait / missCostLevels)
	for _, w := range c.accepting {
		if s.step.Filler && w.changedAt <= m.assigned[w] {
			// Beside another filler task, a task may be expected to cause fewer misses.
			continue
		}
		obstacle := m.obstacleAt(next, w, at)
		require.NotEqual(t, noObstacle, obstacle, "task %v on %s at %v", next.name(), w.ID, m.now.Sub(benchStart))
	}
}

// obstacleAt returns why a worker cannot run a task that has waited only until a time.
func (m *searchMachine) obstacleAt(t *task, w *worker, at time.Time) Obstacle {
	queuedAt := t.queuedAt
	defer func() { t.queuedAt = queuedAt }()
	t.queuedAt = m.now.Add(-at.Sub(queuedAt))
	return m.core.obstacle(t, w, m.now)
}
