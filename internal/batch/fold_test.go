package batch

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// storeLimit is the greatest value that the store of the platform takes.
const storeLimit = 1 << 20

// schedule is a core with one worker, which ends each run after a step of virtual time. It keeps
// the records and counts the runs of each task.
type schedule struct {
	t       *testing.T
	now     time.Time
	core    *Core
	records map[string][]byte
	// largest is the size of the largest record so far.
	largest int
	runs    map[TaskName]int
	lastEnd int64
	// ended are the ends that were not acknowledged yet.
	ended []EndedRow
	// limit is the greatest size of a record; zero means the default.
	limit int
	// holdBack keeps the runs for which it returns true from ending.
	holdBack func(TaskName) bool
	running  map[TaskName]int64
}

func newSchedule(t *testing.T) *schedule {
	s := &schedule{
		t: t, now: time.Unix(1_000_000_000, 0), records: map[string][]byte{}, runs: map[TaskName]int{}, running: map[TaskName]int64{},
		holdBack: func(TaskName) bool { return false },
	}
	s.takeOver()
	return s
}

// takeOver begins a new term, which knows only the records.
func (s *schedule) takeOver() {
	s.core = NewCore(DefaultTiming(), s.now, s.now)
	s.core.SetQueueConfig(simQueueConfig())
	s.core.SetRecordLimit(s.limit)
	for _, id := range sortedKeys(s.records) {
		require.NoError(s.t, s.core.Restore(s.records[id], s.now))
	}
	s.core.SetWorker(WorkerInfo{
		ID: "a", Address: "a", Service: "pool", Incarnation: 1, Capacity: share.Resources{Processors: 400_000, Memory: 1 << 40},
	}, s.now)
	s.report()
}

// report gives the core a report of the worker with what still runs and what has ended since the
// last acknowledgement.
func (s *schedule) report() {
	poll, ok := s.core.BeginPoll("a", s.now, true)
	require.True(s.t, ok)
	s.ended = slices.DeleteFunc(s.ended, func(e EndedRow) bool { return e.Number <= poll.Ack })
	r := Report{Incarnation: 1, Clock: s.now.Sub(time.Unix(0, 0)), Ended: slices.Clone(s.ended)}
	for name, number := range s.running {
		r.Running = append(r.Running, RunningRow{Task: name, Run: number})
	}
	s.core.ApplyReport("a", r, s.now, s.now)
}

// turn plans, commits, starts, and ends the runs.
func (s *schedule) turn() {
	s.now = s.now.Add(10 * time.Millisecond)
	s.core.Plan(s.now)
	for s.core.HasChanges() {
		changes, err := s.core.TakeChanges(20, s.now)
		require.NoError(s.t, err)
		for _, r := range changes.Records {
			s.records[r.ID] = r.Value
			s.largest = max(s.largest, len(r.Value))
		}
		for _, command := range s.core.Committed(changes) {
			if call, ok := s.core.PrepareCall(command, s.now); ok {
				s.core.HandleAnswer(command, Result{Answer: AnswerDone, Clock: s.now.Sub(time.Unix(0, 0))}, s.now, s.now)
				s.runs[call.Task]++
				s.running[call.Task] = call.Run
			}
		}
	}
	s.now = s.now.Add(10 * time.Millisecond)
	for name, number := range s.running {
		if !s.holdBack(name) {
			delete(s.running, name)
			s.end(name, number, EndDone)
		}
	}
	s.report()
}

// end records the end of a run on the worker.
func (s *schedule) end(name TaskName, number int64, how EndKind) {
	s.lastEnd++
	s.ended = append(s.ended, EndedRow{Number: s.lastEnd, Task: name, Run: number, How: how})
}

// everyMinute returns a job of four steps, one after the other, of which all occurrences but the
// last are due.
func everyMinute(now time.Time, count int) Job {
	size := share.Resources{Processors: 1000, Memory: 1 << 20}
	return Job{
		ID: "0000000000000001", Queue: "review", Spec: "spec",
		Steps: []Step{
			{Tasks: 1, Size: size}, {Tasks: 1, Size: size, After: []int{0}}, {Tasks: 1, Size: size, After: []int{1}}, {Tasks: 1, Size: size, After: []int{2}},
		},
		Repeat: Repeat{Count: count, First: now.Add(-time.Duration(count-2) * time.Minute), Every: time.Minute},
	}
}

// Guards against a record that grows with each finished occurrence until the store refuses it, and
// against tasks that a new term runs again or forgets.
func TestRecordOfManyOccurrencesStaysSmall(t *testing.T) {
	const count = 8640
	s := newSchedule(t)
	j := everyMinute(s.now, count)
	require.NoError(t, s.core.Submit(j, s.now, nil))
	for turn := 0; len(s.runs) < 4*(count-1) || len(s.running) > 0; turn++ {
		require.Less(t, turn, 1000)
		s.turn()
		if turn%40 == 20 {
			s.takeOver()
		}
	}
	s.turn()
	require.LessOrEqual(t, s.largest, storeLimit)
	last := s.records[j.ID]
	require.Less(t, len(last), 1000, "the record of a job with finished occurrences only")
	require.Empty(t, s.core.jobs[j.ID].stages)
	s.takeOver()
	s.now = s.now.Add(time.Minute)
	for range 10 {
		s.turn()
	}
	s.requireRunOnce(j.ID, 4*count)
}

// requireRunOnce checks that a job with a number of tasks is completed, and that each of them had one run.
func (s *schedule) requireRunOnce(id string, tasks int) {
	s.t.Helper()
	require.Len(s.t, s.runs, tasks)
	for name, n := range s.runs {
		require.Equal(s.t, 1, n, "runs of %s", name)
	}
	state, known := s.core.State(id)
	require.True(s.t, known)
	require.Equal(s.t, Completed, state)
}

// Guards against occurrences that are left out of the record although they are not finished, if
// they finish in another order than they started.
func TestOccurrencesMayFinishInAnyOrder(t *testing.T) {
	for _, c := range []struct {
		name string
		// late are the occurrences whose second step does not end at first.
		late []int
	}{
		{name: "in order"},
		{name: "first one last", late: []int{0}},
		{name: "some last", late: []int{1, 4, 5}},
		{name: "all at once", late: []int{0, 1, 2, 3, 4, 5, 6, 7}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const count = 9
			s := newSchedule(t)
			j := everyMinute(s.now, count)
			late := map[int]bool{}
			for _, o := range c.late {
				late[o] = true
			}
			s.holdBack = func(n TaskName) bool { return late[n.Occurrence] && n.Step == 1 }
			require.NoError(t, s.core.Submit(j, s.now, nil))
			for range 8 {
				s.turn()
				s.takeOver()
			}
			require.Len(t, s.core.jobs[j.ID].stages, 4*len(c.late))
			clear(late)
			for range 8 {
				s.turn()
				s.takeOver()
			}
			require.Empty(t, s.core.jobs[j.ID].stages)
			s.now = s.now.Add(time.Minute)
			for range 8 {
				s.turn()
			}
			s.requireRunOnce(j.ID, 4*count)
		})
	}
}

// Guards against a record of an earlier version, which names every stage, that is not understood.
func TestRecordWithAllStagesIsRestored(t *testing.T) {
	s := newSchedule(t)
	const done = `{"stage":%d,"allDone":true}`
	stages := ""
	for i := range 8 {
		stages += fmt.Sprintf(done+",", i)
	}
	// Of the third occurrence, two steps have ended and the third one runs.
	stages += fmt.Sprintf(done+","+done, 8, 9) + `,{"stage":10,"tasks":[{"i":0,"n":1,"r":[{"n":1,"w":"a","b":1}]}]}`
	step := `{"tasks":1,"milliCores":1000%s}`
	steps := fmt.Sprintf(step+","+step+","+step+","+step, "", `,"after":[0]`, `,"after":[1]`, `,"after":[2]`)
	s.records["0000000000000001"] = []byte(`{"id":"0000000000000001","queue":"review","service":"pool","steps":[` + steps +
		`],"repeats":4,"firstMillis":1,"everyMillis":1,"acceptedMillis":1,"state":"active","occurrences":3,"stages":[` + stages + `]}`)
	s.running[TaskName{Job: "0000000000000001", Occurrence: 2, Step: 2}] = 1
	s.takeOver()
	require.Len(t, s.core.jobs["0000000000000001"].stages, 8, "the third and the fourth occurrence")
	for range 8 {
		s.turn()
	}
	want := map[TaskName]int{{Job: "0000000000000001", Occurrence: 2, Step: 3}: 1}
	for i := range 4 {
		want[TaskName{Job: "0000000000000001", Occurrence: 3, Step: i}] = 1
	}
	require.Equal(t, want, s.runs)
	state, _ := s.core.State("0000000000000001")
	require.Equal(t, Completed, state)
}

// Guards against late reports of a task in a finished occurrence that are never acknowledged, are
// acknowledged before the record is durable, or start the task again.
func TestLateEndInFinishedOccurrenceIsAcknowledged(t *testing.T) {
	s := newSchedule(t)
	j := everyMinute(s.now, 9)
	require.NoError(t, s.core.Submit(j, s.now, nil))
	for range 8 {
		s.turn()
	}
	require.Empty(t, s.core.jobs[j.ID].stages)
	runs := len(s.runs)
	for _, c := range []struct {
		name string
		how  EndKind
		run  int64
	}{
		{name: "an earlier run expired", how: EndExpired},
		{name: "an earlier run failed", how: EndFailed},
		{name: "a duplicate", how: EndDone, run: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			s.end(TaskName{Job: j.ID, Occurrence: 3, Step: 1}, c.run, c.how)
			s.report()
			require.False(t, s.core.IsSettled("a"), "acknowledged before the record is durable")
			s.turn()
			require.True(t, s.core.IsSettled("a"))
			require.Empty(t, s.ended, "not acknowledged")
			require.Len(t, s.runs, runs)
		})
	}
	s.running[TaskName{Job: j.ID, Occurrence: 3, Step: 1}] = 1
	s.report()
	require.Len(t, s.core.TakeCommands(), 1, "a run of a finished task is stopped")
}

// Guards against an earlier version that takes a record without the stages of finished occurrences
// for one of which nothing has run: it has to reject the record.
func TestEarlierVersionsRejectFoldedRecord(t *testing.T) {
	s := newSchedule(t)
	j := everyMinute(s.now, 9)
	require.NoError(t, s.core.Submit(j, s.now, nil))
	for range 8 {
		s.turn()
	}
	var fields map[string]any
	require.NoError(t, json.Unmarshal(s.records[j.ID], &fields))
	require.Contains(t, fields, "folded")
	// Earlier versions ignore fields that they do not know.
	delete(fields, "folded")
	value, err := json.Marshal(fields)
	require.NoError(t, err)
	require.Error(t, s.core.Restore(value, s.now))
	again, err := DecodeJob(s.records[j.ID])
	require.NoError(t, err)
	require.Len(t, again.Steps, 4)
}
