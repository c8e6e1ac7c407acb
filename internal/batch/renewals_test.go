package batch

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against two runs of a task, and against a wait that is longer than needed: a worker that a
// leader never reaches may run until the lease that was granted last has expired. Only on a worker
// that was young, or restarted, can a lease last for MaxLease.
func TestWaitForUnreachedWorkerFollowsItsLongestLease(t *testing.T) {
	for _, c := range []struct {
		name string
		// clock is the worker's clock when it reports for the first time, later the time until its next report.
		clock time.Duration
		later time.Duration
		// listed is the incarnation under which the next leader finds the worker; zero means that it is not listed.
		listed int64
		strip  bool
		// renews is how long an earlier leader may still renew leases.
		renews time.Duration
		long   bool
	}{
		{name: "worker long since started", clock: time.Hour},
		{name: "and listed", clock: time.Hour, listed: 1},
		{name: "young worker", clock: time.Second, long: true},
		{name: "worker that was young when the run was placed", clock: time.Second, later: time.Minute},
		{name: "worker that was young a little before", clock: time.Second, later: time.Second, long: true},
		{name: "worker that has restarted", clock: time.Hour, listed: 2, long: true},
		{name: "worker long since started, and an earlier leader renews", clock: time.Hour, listed: 1, renews: 13 * time.Second},
		{name: "worker that has restarted, and an earlier leader renews", clock: time.Hour, listed: 2, renews: 13 * time.Second, long: true},
		{name: "record of an earlier version", clock: time.Hour, strip: true, long: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Now()
			first := NewCore(DefaultTiming(), now, now)
			first.SetQueueConfig(simQueueConfig())
			info := WorkerInfo{ID: "w", Address: "w", Service: "pool", Incarnation: 1, Capacity: share.Resources{Processors: 8000, Memory: 1 << 34}}
			first.SetWorker(info, now)
			first.ApplyReport("w", Report{Incarnation: 1, Clock: c.clock}, now, now)
			require.NoError(t, first.Submit(Job{ID: "j", Queue: "check", Steps: []Step{
				{Tasks: 1, Size: share.Resources{Processors: 1000}, LongRunning: true},
			}}, now, nil))
			first.Plan(now)
			changes, err := first.TakeChanges(20, now)
			require.NoError(t, err)
			commands := first.Committed(changes)
			require.Len(t, commands, 1)
			record := changes.Records[0].Value
			call, ok := first.PrepareCall(commands[0], now)
			require.True(t, ok)
			first.HandleAnswer(commands[0], Result{Answer: AnswerDone, Clock: c.clock, Incarnation: 1}, now, now)
			if c.later > 0 {
				now = now.Add(c.later)
				first.ApplyReport("w", Report{Incarnation: 1, Clock: c.clock + c.later, Running: []RunningRow{{Task: call.Task, Run: call.Run}}}, now, now)
				if _, records := commitAll(t, first, now); len(records) > 0 {
					record = records[len(records)-1]
				}
			}
			if c.strip {
				record = stripAges(t, record)
			}
			second := NewCore(DefaultTiming(), now, now.Add(time.Minute))
			second.SetQueueConfig(simQueueConfig())
			require.NoError(t, second.Restore(record, now))
			second.LimitRenewals(now.Add(c.renews))
			if c.listed > 0 {
				info.Incarnation = c.listed
				second.SetWorker(info, now)
				second.LimitRenewals(now.Add(c.renews))
			}
			wait := second.workers["w"].leasesExpireAt.Sub(now.Add(c.renews))
			if c.long {
				require.Greater(t, wait, time.Duration(float64(second.timing.MaxLease)/minClockRate))
			} else {
				require.Greater(t, wait, time.Duration(float64(second.timing.Lease)/minClockRate))
				require.Less(t, wait, second.timing.Lease+600*time.Millisecond)
			}
		})
	}
}

// Guards against a run that is given up too early: how long earlier leaders renew leases says nothing
// about the leases that this leader has granted.
func TestLeasesOfOwnTermAreNotShortened(t *testing.T) {
	now := time.Now()
	c := fourWorkerCore(t, now)
	w := c.workers["a"]
	w.grantDeadline(time.Minute, now)
	c.LimitRenewals(now)
	require.Greater(t, w.leasesExpireAt.Sub(now), time.Minute)
}

// Guards against a lease that lasts longer than later leaders expect: a worker whose clock was read
// long ago, and is slow, must not be granted more than the lease.
func TestGrantedLeaseIsNotLongerOnSlowClock(t *testing.T) {
	now := time.Now()
	w := &worker{clock: time.Hour, clockAt: now}
	for _, age := range []time.Duration{0, time.Second, time.Minute} {
		at := w.grantDeadline(5*time.Second, now.Add(age))
		clock := time.Hour + time.Duration(float64(age)*minClockRate)
		require.LessOrEqual(t, at, clock+5*time.Second)
		require.GreaterOrEqual(t, at, clock+5*time.Second-age/50)
	}
}

// Guards against a start that an idle worker refuses because its lease has already expired, and against
// a lease that does not outlast a takeover: the worker's clock was read too long ago.
func TestFirstLeaseAfterIdleTimeIsLongEnough(t *testing.T) {
	for _, idle := range []time.Duration{0, 10 * time.Second, time.Minute, 10 * time.Minute, time.Hour} {
		t.Run(idle.String(), func(t *testing.T) {
			start := time.Unix(1_000_000_000, 0)
			core := fourWorkerCore(t, start)
			now := start
			for now.Sub(start) < idle {
				now = now.Add(time.Second)
				for _, id := range core.WorkerIDs() {
					if core.NeedsPoll(id, now) {
						core.ApplyReport(id, Report{Incarnation: 1, Clock: time.Hour + now.Sub(start)}, now, now)
					}
				}
			}
			require.NoError(t, core.Submit(Job{ID: "j", Queue: "check", Steps: []Step{{Tasks: 1, Size: share.Resources{Processors: 1000}}}}, now, nil))
			core.Plan(now)
			call := commitAndStart(t, core, now)[TaskName{Job: "j"}]
			require.Greater(t, call.Deadline-time.Hour-now.Sub(start), 4*time.Second)
		})
	}
}

// stripAges returns a record as earlier versions wrote it.
func stripAges(t *testing.T, record []byte) []byte {
	t.Helper()
	const ages = `,"ages":true`
	require.Contains(t, string(record), ages)
	return []byte(strings.ReplaceAll(string(record), ages, ""))
}

// Guards against two runs of a task: in the first term of a cell a lease may still have a deadline that
// was meant for an earlier incarnation, if the worker has restarted in this term.
func TestRestartedWorkerIsYoungInFirstTerm(t *testing.T) {
	for _, c := range []struct {
		name    string
		restart func(c *Core, info WorkerInfo, now time.Time)
		long    bool
	}{
		{"has not restarted", func(*Core, WorkerInfo, time.Time) {}, false},
		{"while it was listed", func(c *Core, info WorkerInfo, now time.Time) { c.SetWorker(info, now) }, true},
		{"after it was forgotten", func(c *Core, info WorkerInfo, now time.Time) {
			c.RemoveWorker(info.ID)
			c.Plan(now)
			c.SetWorker(info, now)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			core := NewCore(DefaultTiming(), now, now)
			core.SetFirstTerm()
			info := WorkerInfo{ID: "w", Address: "w", Service: "pool", Incarnation: 1, Capacity: share.Resources{Processors: 8000, Memory: 1 << 34}}
			core.SetWorker(info, now)
			core.ApplyReport("w", Report{Incarnation: 1, Clock: time.Second}, now, now)
			info.Incarnation = 2
			c.restart(core, info, now)
			core.ApplyReport("w", Report{Incarnation: core.workers["w"].Incarnation, Clock: time.Second}, now, now)
			wait := core.workers["w"].leasesExpireAt.Sub(now)
			require.Equal(t, c.long, wait > core.timing.MaxLease, "%v", wait)
		})
	}
}
