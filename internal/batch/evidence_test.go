package batch

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a second run of a task beside the first one, whose worker is behind a firewall that
// rejects: its entry expires and connections to it are refused, but its lease lasts.
func TestOnlyEvidenceEndsRuns(t *testing.T) {
	start := time.Unix(1_000_000_000, 0)
	silent := func(c *Core, w *worker, at time.Time) { c.PollFailed(w.ID, AnswerNone, at, at) }
	for _, c := range []struct {
		name string
		// observe is called twice a second; endsWithin is when the run counts as ended at the latest,
		// and not before outlasts.
		observe              func(c *Core, w *worker, at time.Time)
		outlasts, endsWithin time.Duration
	}{
		{"does not answer", silent, 5 * time.Second, 6 * time.Second},
		{"does not answer and is removed", func(c *Core, w *worker, at time.Time) {
			silent(c, w, at)
			c.RemoveWorker(w.ID)
		}, 5 * time.Second, 6 * time.Second},
		{"is removed from a listing", func(c *Core, w *worker, at time.Time) {
			silent(c, w, at)
			c.SetWorkers(otherWorkers(c, w.ID), nil, at)
		}, 5 * time.Second, 6 * time.Second},
		{"refuses the stop command", func(c *Core, w *worker, at time.Time) {
			silent(c, w, at)
			c.RemoveWorker(w.ID)
			for _, r := range sortedRuns(w.runs) {
				c.stopRun(r, "test", at)
			}
			for _, command := range c.TakeCommands() {
				if _, ok := c.PrepareCall(command, at); ok {
					c.HandleAnswer(command, Result{Answer: AnswerUnsent}, at, at)
				}
			}
		}, 5 * time.Second, 6 * time.Second},
		{"is replaced at its address", func(c *Core, w *worker, at time.Time) {
			c.RemoveWorker(w.ID)
			c.PollFailed(w.ID, AnswerWrongIncarnation, at, at)
		}, 0, time.Second},
		{"reports the run and restarts", func(c *Core, w *worker, at time.Time) {
			if w.Incarnation == 1 {
				c.ApplyReport(w.ID, reportOf(w), at, at)
				c.ApplyReport(w.ID, Report{Incarnation: 2, Clock: time.Second}, at, at)
			}
		}, 0, time.Second},
		{"restarts before it reports the run", func(c *Core, w *worker, at time.Time) {
			rep := Report{Incarnation: 2, Clock: time.Second}
			if w.Incarnation == rep.Incarnation {
				rep.Running = slices.DeleteFunc(reportOf(w).Running, func(r RunningRow) bool { return r.Run == 1 })
			}
			c.ApplyReport(w.ID, rep, at, at)
			for _, command := range c.TakeCommands() {
				if _, ok := c.PrepareCall(command, at); ok {
					c.HandleAnswer(command, Result{Answer: AnswerDone}, at, at)
				}
			}
		}, 1500 * time.Millisecond, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start
			core := fourWorkerCore(t, now)
			first := startOne(t, core, "", now)
			w := core.workers[first.Worker]
			started := false
			for now.Sub(start) <= c.endsWithin {
				now = now.Add(500 * time.Millisecond)
				c.observe(core, w, now)
				core.Plan(now)
				for _, call := range commitAndStart(t, core, now) {
					started = true
					require.EqualValues(t, 2, call.Run)
					require.GreaterOrEqual(t, now.Sub(start), c.outlasts, "the task was started again before the lease had expired")
				}
			}
			require.True(t, started, "the task was not started again")
		})
	}
}

// Guards against tasks that wait for good while their worker is listed and each poll is answered, but with a refusal: it
// has renewed no lease, so that the runs have ended.
func TestRefusedPollRenewsNoLease(t *testing.T) {
	for _, answer := range []Answer{AnswerNone, AnswerBusy, AnswerWrongIncarnation, AnswerInvalid} {
		t.Run(string(answer), func(t *testing.T) {
			start := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, start)
			first := startOne(t, core, "", start)
			core.ApplyReport(first.Worker, reportOf(core.workers[first.Worker]), start, start)
			started := time.Duration(0)
			for now := start.Add(500 * time.Millisecond); now.Sub(start) <= 7*time.Second && started == 0; now = now.Add(500 * time.Millisecond) {
				_, ok := core.BeginPoll(first.Worker, now, true)
				require.True(t, ok)
				core.PollFailed(first.Worker, answer, now, now)
				core.Plan(now)
				for _, call := range commitAndStart(t, core, now) {
					require.EqualValues(t, 2, call.Run)
					started = now.Sub(start)
				}
			}
			require.Greater(t, started, core.timing.Lease, "the task was started again before its lease had expired")
		})
	}
}

// Guards against a second run of a task: a late answer from the address that its worker had before a restart.
func TestAnswerAtFormerAddressEndsNoRun(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	sent := now
	now = now.Add(time.Second)
	info := core.workers["a"].WorkerInfo
	info.Incarnation, info.Address = 2, "new address"
	core.SetWorker(info, now)
	core.ApplyReport("a", Report{Incarnation: 2, Clock: time.Second}, now, now)
	startOne(t, core, "kind-a", now)
	now = now.Add(time.Second)
	core.RemoveWorker("a")
	core.PollFailed("a", AnswerWrongIncarnation, sent, now)
	require.Len(t, core.workers["a"].runs, 1, "the answer is from the former address")
	core.PollFailed("a", AnswerWrongIncarnation, now, now)
	require.Empty(t, core.workers["a"].runs)
}

// Guards against a second run of a task whose end its worker has not listed yet, because more runs have ended
// there than a report lists.
func TestRunThatReportMayOmitIsNotLost(t *testing.T) {
	for _, c := range []struct {
		name string
		// stopped means that the run was stopped, and the worker has confirmed that.
		stopped bool
	}{
		{name: "running"},
		{name: "stopped", stopped: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			first := startOne(t, core, "", now)
			if c.stopped {
				for _, r := range core.workers[first.Worker].runs {
					core.stopRun(r, "test", now)
					core.stopAnswered(r, Result{Answer: AnswerDone}, now)
				}
			}
			now = now.Add(time.Second)
			report := Report{Incarnation: 1, Clock: time.Hour, MayOmitEnds: true}
			core.ApplyReport(first.Worker, report, now, now)
			core.Plan(now)
			require.Empty(t, commitAndStart(t, core, now), "the task was started again")
			report = Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{{Number: 501, Task: first.Task, Run: first.Run, How: EndDone}}}
			core.ApplyReport(first.Worker, report, now, now)
			require.Empty(t, commitAndStart(t, core, now))
			state, _ := core.State("j")
			require.Equal(t, Completed, state)
		})
	}
}

// Guards against a second run of a task that the new incarnation of its worker has started before this leader knew
// of it: answers to commands do not tell which incarnation has carried them out.
func TestRunOfNewIncarnationIsKept(t *testing.T) {
	for _, c := range []struct {
		name string
		// knownBy makes the core learn of the new incarnation.
		knownBy func(core *Core, w *worker, rep Report, now time.Time)
	}{
		{"its report", func(core *Core, w *worker, rep Report, now time.Time) { core.ApplyReport(w.ID, rep, now, now) }},
		{"its entry", func(core *Core, w *worker, rep Report, now time.Time) {
			info := w.WorkerInfo
			info.Incarnation = rep.Incarnation
			core.SetWorker(info, now)
			core.Plan(now)
			later := now.Add(100 * time.Millisecond)
			core.ApplyReport(w.ID, rep, later, later)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			first := startOne(t, core, "", now)
			w := core.workers[first.Worker]
			now = now.Add(200 * time.Millisecond)
			rep := Report{Incarnation: 2, Clock: time.Second, Running: []RunningRow{{Task: first.Task, Run: first.Run}}}
			c.knownBy(core, w, rep, now)
			now = now.Add(time.Second)
			core.Plan(now)
			require.Empty(t, commitAndStart(t, core, now), "the task was started again")
			for _, command := range core.TakeCommands() {
				require.NotEqual(t, CommandStop, command.Kind)
			}
			require.Zero(t, core.jobs["j"].stages[0].tasks[0].crashes.total, "the run began after the crash")
		})
	}
}

// Guards against a second run of a task: an answer or an entry of a worker's former incarnation arrives after the
// leader has learned of the present one, and is taken for another restart.
func TestLateAnswerOfFormerIncarnationEndsNoRun(t *testing.T) {
	for _, c := range []struct {
		name string
		// arrive makes something of the former incarnation, 1, arrive that was sent at a time.
		arrive func(core *Core, w *worker, entry WorkerInfo, sent, now time.Time)
	}{
		{"report", func(core *Core, w *worker, _ WorkerInfo, sent, now time.Time) {
			core.ApplyReport(w.ID, Report{Incarnation: 1, Clock: time.Hour}, sent, now)
		}},
		{"report that names no incarnation", func(core *Core, w *worker, _ WorkerInfo, sent, now time.Time) {
			core.ApplyReport(w.ID, Report{Clock: time.Hour}, sent, now)
		}},
		{"report of a busy worker", func(core *Core, w *worker, _ WorkerInfo, sent, now time.Time) {
			core.PollFailed(w.ID, AnswerBusy, sent, now)
		}},
		{"no answer", func(core *Core, w *worker, _ WorkerInfo, sent, now time.Time) {
			core.PollFailed(w.ID, AnswerNone, sent, now)
		}},
		{"answer to a command", func(core *Core, w *worker, _ WorkerInfo, sent, now time.Time) {
			core.HandleAnswer(Command{worker: w}, Result{Answer: AnswerDone, Incarnation: 1, Clock: time.Hour}, sent, now)
		}},
		{"answer to the stop of the run", func(core *Core, w *worker, _ WorkerInfo, sent, now time.Time) {
			for _, r := range sortedRuns(w.runs) {
				core.HandleAnswer(Command{Kind: CommandStop, worker: w, run: r}, Result{Answer: AnswerWrongIncarnation}, sent, now)
			}
		}},
		{"entry", func(core *Core, _ *worker, entry WorkerInfo, _, now time.Time) { core.SetWorker(entry, now) }},
		{"entry after a removal", func(core *Core, w *worker, entry WorkerInfo, _, now time.Time) {
			core.RemoveWorker(w.ID)
			core.SetWorker(entry, now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			w := core.workers["a"]
			entry, sent := w.WorkerInfo, now
			now = now.Add(time.Second)
			core.ApplyReport("a", Report{Incarnation: 2, Clock: time.Second}, now, now)
			now = now.Add(10 * time.Millisecond)
			core.ApplyReport("a", Report{Incarnation: 2, Clock: time.Second}, now, now)
			startOne(t, core, "kind-a", now)
			now = now.Add(100 * time.Millisecond)
			core.ApplyReport("a", reportOf(w), now, now)
			clock := w.clock
			now = now.Add(100 * time.Millisecond)
			c.arrive(core, w, entry, sent, now)
			core.Plan(now)
			require.Empty(t, commitAndStart(t, core, now), "the task was started again")
			require.Len(t, w.runs, 1)
			require.EqualValues(t, 2, w.Incarnation)
			require.Equal(t, clock, w.clock)
			require.Zero(t, w.unresponsiveSince)
			require.Zero(t, w.backoffUntil)
		})
	}
}

// Guards against ends that a worker forgets before the leader has seen them: it has restarted under its ID and takes
// the number that the leader acknowledges for one of its own.
func TestEndsAreAcknowledgedToTheirIncarnation(t *testing.T) {
	for _, c := range []struct {
		name string
		// then happens after the ends have become durable.
		then    func(core *Core, now time.Time)
		wantAck int64
	}{
		{"the ends are listed", func(*Core, time.Time) {}, 1},
		{"they are acknowledged", func(core *Core, now time.Time) {
			core.ApplyReport("a", Report{Incarnation: 1, Clock: time.Hour}, now, now)
		}, 0},
		{"a poll fails", func(core *Core, now time.Time) { core.PollFailed("a", AnswerNone, now, now) }, 0},
		{"a poll fails that was sent before the last contact", func(core *Core, now time.Time) {
			core.PollFailed("a", AnswerNone, now.Add(-time.Second), now)
		}, 0},
		{"a poll that was sent before a failure answers after it", func(core *Core, now time.Time) {
			core.PollFailed("a", AnswerNone, now, now)
			ended := Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{{Number: 1, Task: TaskName{Job: "j"}, Run: 1, How: EndDone}}}
			core.ApplyReport("a", ended, now.Add(-time.Millisecond), now.Add(time.Millisecond))
		}, 0},
		{"a command fails", func(core *Core, now time.Time) {
			core.HandleAnswer(Command{worker: core.workers["a"]}, Result{Answer: AnswerNone}, now, now)
		}, 0},
		{"it restarts", func(core *Core, now time.Time) {
			core.ApplyReport("a", Report{Incarnation: 2, Clock: time.Second}, now, now)
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, now)
			startOne(t, core, "kind-a", now)
			now = now.Add(time.Second)
			ended := Report{Incarnation: 1, Clock: time.Hour, Ended: []EndedRow{{Number: 1, Task: TaskName{Job: "j"}, Run: 1, How: EndDone}}}
			core.ApplyReport("a", ended, now, now)
			commitAndStart(t, core, now)
			c.then(core, now)
			poll, ok := core.BeginPoll("a", now, true)
			require.True(t, ok)
			require.Equal(t, c.wantAck, poll.Ack)
		})
	}
}

// otherWorkers returns the listed workers but one.
func otherWorkers(c *Core, id string) []WorkerInfo {
	var others []WorkerInfo
	for _, w := range c.workers {
		if w.ID != id && w.listed {
			others = append(others, w.WorkerInfo)
		}
	}
	return others
}
