package batch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// coreWithUnreadableJob returns the core of a leader that cannot load the record of job "j", whose only task was started by
// the call, and the record.
func coreWithUnreadableJob(t *testing.T, now time.Time) (*Core, Call, []byte) {
	t.Helper()
	first := fourWorkerCore(t, now)
	call := startOne(t, first, "", now)
	first.MarkDirty("j")
	_, records := commitAll(t, first, now)
	core := fourWorkerCore(t, now)
	core.SetUnreadableJob("j")
	return core, call, records[0]
}

// Guards against a task that runs again after an end as done that was acknowledged: the leader could not load the record of
// the task's job, and the next one could.
func TestEndOfUnreadableJobIsNotAcknowledged(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core, call, record := coreWithUnreadableJob(t, now)
	ended := []EndedRow{{Number: 1, Task: call.Task, Run: call.Run, How: EndDone}}
	core.ApplyReport(call.Worker, Report{Incarnation: 1, Clock: time.Hour, Ended: ended}, now, now)
	poll, ok := core.BeginPoll(call.Worker, now, true)
	require.True(t, ok)
	require.Zero(t, poll.Ack)

	next := fourWorkerCore(t, now)
	require.NoError(t, next.Restore(record, now))
	next.ApplyReport(call.Worker, Report{Incarnation: 1, Clock: time.Hour, Ended: ended}, now, now)
	next.Plan(now.Add(time.Minute))
	require.Empty(t, commitAndStart(t, next, now.Add(time.Minute)), "the task was started again")
	state, _ := next.State("j")
	require.Equal(t, Completed, state)
}

// Guards against a worker whose ends are never acknowledged again, because one of them is of a job whose record cannot be
// loaded: its reports list a limited number of them.
func TestEndsBehindUnreadableJobAreReleased(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name    string
		others  int
		wantAck int64
	}{
		{name: "few ends behind it", others: 10},
		{name: "as many as are held up", others: maxHeldUpEnds},
		{name: "one more", others: maxHeldUpEnds + 1, wantAck: maxHeldUpEnds + 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, call, _ := coreWithUnreadableJob(t, now)
			rep := Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{{Number: 1, Task: call.Task, Run: call.Run, How: EndDone}}}
			for i := range c.others {
				rep.Ended = append(rep.Ended, EndedRow{Number: int64(i) + 2, Task: TaskName{Job: "forgotten", Index: i}, Run: 1, How: EndDone})
			}
			core.ApplyReport(call.Worker, rep, now, now)
			poll, ok := core.BeginPoll(call.Worker, now, true)
			require.True(t, ok)
			require.Equal(t, c.wantAck, poll.Ack)
		})
	}
}

// Guards against a worker of which this leader learns nothing more, because the ends of runs of unreadable jobs fill its reports.
func TestEndsOfUnreadableJobsFillNoReport(t *testing.T) {
	const listed = 500
	now := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name       string
		unreadable int
	}{
		{name: "half", unreadable: listed / 2},
		{name: "most", unreadable: listed - 100},
		{name: "all", unreadable: listed},
	} {
		t.Run(c.name, func(t *testing.T) {
			core, call, _ := coreWithUnreadableJob(t, now)
			rep := Report{Incarnation: 1, Clock: time.Hour, MayOmitEnds: true}
			for i := range listed {
				task := TaskName{Job: "j", Index: i}
				if i >= c.unreadable {
					task.Job = "forgotten"
				}
				rep.Ended = append(rep.Ended, EndedRow{Number: int64(i) + 1, Task: task, Run: 1, How: EndDone})
			}
			core.ApplyReport(call.Worker, rep, now, now)
			poll, ok := core.BeginPoll(call.Worker, now, true)
			require.True(t, ok)
			require.Equal(t, int64(listed), poll.Ack)
		})
	}
}

// Guards against a record that is overwritten because this leader cannot load it.
func TestUnreadableJobIsNotAcceptedAnew(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	j := homeJob(t, 0, Step{Tasks: 1, Size: share.Resources{Processors: 1000}})
	submission, err := EncodeJob(j)
	require.NoError(t, err)
	_, _, delegated, _ := delegateTwo(t, now)
	delegation := delegated.Records[0].Delegation.Value
	delegatedJob := delegated.Records[0].ID
	for _, c := range []struct {
		name       string
		unreadable string
		accept     func(c *Core) error
	}{
		{name: "submission", unreadable: j.ID, accept: func(c *Core) error { return c.Submit(j, now, nil) }},
		{name: "inbox", unreadable: j.ID, accept: func(c *Core) error { return c.AcceptHandedOver(submission, now) }},
		{name: "delegation", unreadable: DelegatedID(delegatedJob), accept: func(c *Core) error {
			_, err := c.AcceptDelegation(delegation, now)
			return err
		}},
		{name: "delegation that returns", unreadable: delegatedJob, accept: func(c *Core) error {
			_, err := c.AcceptDelegation(delegation, now)
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := coreOfCell(t, 1, now)
			core.SetUnreadableJob(c.unreadable)
			var unreadable *UnreadableJobError
			require.ErrorAs(t, c.accept(core), &unreadable)
			require.Equal(t, c.unreadable, unreadable.ID)
			core.Plan(now)
			require.False(t, core.HasChanges())
		})
	}
}

// Guards against a panic at the end of a run, and a record that is overwritten, after a record was loaded in part.
func TestPartlyLoadedRecordLeavesNothing(t *testing.T) {
	for _, c := range []struct {
		name   string
		stages string
		// loaded means that the fault came after the job was added.
		loaded bool
	}{
		{name: "a later stage is not known", stages: `{"stage":0,"tasks":[{"i":0,"n":1,"r":[{"n":1,"w":"a","b":1}]}]},{"stage":7}`},
		{name: "fault after the record was decoded", stages: `{"stage":0,"tasks":[{"i":0,"n":1,"r":[{"n":1,"w":"a","b":1}]}]}`, loaded: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			value := `{"id":"j","queue":"check","state":"active","steps":[{"tasks":1,"milliCores":1000}],"occurrences":1,"stages":[` + c.stages + `]}`
			require.Equal(t, c.loaded, core.Restore([]byte(value), now) == nil)
			core.SetUnreadableJob("j")
			require.False(t, core.HasJob("j"))
			require.Empty(t, core.workers["a"].runs)
			ended := []EndedRow{{Number: 1, Task: TaskName{Job: "j"}, Run: 1, How: EndDone}}
			core.ApplyReport("a", Report{Incarnation: 1, Clock: time.Hour, Ended: ended}, now, now)
			poll, ok := core.BeginPoll("a", now, true)
			require.True(t, ok)
			require.Zero(t, poll.Ack)
			core.Plan(now.Add(time.Hour))
			require.False(t, core.HasChanges())
		})
	}
}
