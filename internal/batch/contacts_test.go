package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Guards against two runs of a task, and against a wait that is longer than needed: a lease on a young
// worker may have a deadline that was meant for an earlier incarnation, if any leader may have called one.
func TestYoungWorkerMayHaveLongLeaseOnlyAfterEarlierIncarnation(t *testing.T) {
	for _, c := range []struct {
		name string
		// before lets the earlier leader know workers, and returns the time when its term ends.
		before func(c *Core, info WorkerInfo, now time.Time) time.Time
		// unknown means that the earlier leader's contacts are not handed on.
		unknown bool
		// after is how long the next leader's term has lasted when the worker becomes known to it.
		after time.Duration
		want  bool
	}{
		{name: "worker that is new to both leaders", before: stay},
		{name: "the same, contacts unknown", before: stay, unknown: true, want: true},
		{name: "contacts unknown, but any call to an earlier incarnation has passed", before: stay, unknown: true, after: 31 * time.Second},
		{name: "contacts unknown, and a call to an earlier incarnation may have an effect", before: stay, unknown: true, after: 19 * time.Second, want: true},
		{name: "same incarnation", before: func(c *Core, info WorkerInfo, now time.Time) time.Time {
			info.Incarnation = 2
			c.SetWorker(info, now)
			return now
		}},
		{name: "other incarnation", before: func(c *Core, info WorkerInfo, now time.Time) time.Time {
			c.SetWorker(info, now)
			return now
		}, want: true},
		{name: "restarted under the earlier leader", before: func(c *Core, info WorkerInfo, now time.Time) time.Time {
			c.SetWorker(info, now)
			info.Incarnation = 2
			c.SetWorker(info, now)
			return now
		}, want: true},
		{name: "other incarnation, forgotten", before: func(c *Core, info WorkerInfo, now time.Time) time.Time {
			c.SetWorker(info, now)
			return forgotten(c, info, now, 19*time.Second)
		}, want: true},
		{name: "other incarnation, forgotten long ago", before: func(c *Core, info WorkerInfo, now time.Time) time.Time {
			c.SetWorker(info, now)
			return forgotten(c, info, now, time.Minute)
		}},
		{name: "incarnation that the list does not tell", before: func(c *Core, info WorkerInfo, now time.Time) time.Time {
			info.Incarnation = 0
			c.SetWorker(info, now)
			return now
		}, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Unix(1_000_000_000, 0)
			info := WorkerInfo{ID: "w", Address: "w", Service: "pool", Incarnation: 1, Capacity: share.Resources{Processors: 8000, Memory: 1 << 34}}
			first := NewCore(DefaultTiming(), now, now)
			first.SetFirstTerm()
			now = c.before(first, info, now)
			second := NewCore(DefaultTiming(), now, now)
			known, complete := first.Contacts(now)
			require.True(t, complete)
			if !c.unknown {
				second.SetContacts(known)
			}
			second.LimitRenewals(now)
			_, complete = second.Contacts(now)
			require.Equal(t, !c.unknown, complete)
			now = now.Add(c.after)
			info.Incarnation = 2
			second.SetWorker(info, now)
			second.ApplyReport("w", Report{Incarnation: 2, Clock: time.Second}, now, now)
			wait := second.workers["w"].leasesExpireAt.Sub(now)
			require.Equal(t, c.want, wait > second.timing.MaxLease, "%v", wait)
		})
	}
}

func stay(_ *Core, _ WorkerInfo, now time.Time) time.Time { return now }

// forgotten removes a worker and lets the leader plan for some time.
func forgotten(c *Core, info WorkerInfo, now time.Time, d time.Duration) time.Time {
	c.RemoveWorker(info.ID)
	for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
		c.Plan(now)
	}
	return now
}

// inheritContacts tells a new leader what its predecessor knows of the calls to workers.
func (sim *simWorld) inheritContacts(previous *Core) {
	if !sim.faults.inherit || previous == nil {
		return
	}
	known, complete := previous.Contacts(sim.now)
	require.True(sim.t, complete)
	sim.core.SetContacts(known)
}

// repeatPollLate makes a worker, or its next incarnation, execute some polls a second time.
func (sim *simWorld) repeatPollLate(w *simWorker, poll Poll, token int64) {
	if sim.faults.latePoll == 0 || !sim.chance(sim.faults.latePoll) {
		return
	}
	sim.after(2*time.Second+time.Duration(sim.random.Int64N(int64(8*time.Second))), func() {
		sim.passTime(w)
		if token >= w.token && !sim.now.Before(w.incarnationStart) {
			w.token = token
			sim.grant(w, poll.Deadline)
		}
	})
}

// Guards against two runs of a task while workers restart, and become unresponsive soon after, polls that
// were meant for an earlier incarnation reach them late, and leaders are replaced that tell each other which
// workers they have called.
func TestLateRenewalsReachOnlyWorkersKnownToBeYoung(t *testing.T) {
	for seed := range 60 {
		sim := newSimWorld(t, uint64(seed), 10, simFaults{
			latePoll: 0.1, inherit: true, crash: time.Second, outage: time.Second, takeover: 2 * time.Second,
		})
		for i := range 6 {
			sim.submit(Job{ID: fmt.Sprintf("%016x", 1000+i), Queue: "review", Spec: "spec", Steps: []Step{{
				Tasks: 4, Size: share.Resources{Processors: 2000, Memory: 1 << 30}, LongRunning: true,
			}}})
		}
		sim.injectFaults(sim.now.Add(60 * time.Second))
		sim.run(90 * time.Second)
		require.Empty(t, sim.violations, "seed %d", seed)
	}
}

// Guards against two runs of a task after a worker has restarted and is lost soon after: a poll that the same
// leader meant for the earlier incarnation is executed late, and grants a lease of which the leader knows nothing.
func TestLateRenewalOfSameLeaderIsWaitedFor(t *testing.T) {
	for seed := range 60 {
		sim := newSimWorld(t, uint64(seed), 10, simFaults{latePoll: 0.1, crash: time.Second, outage: time.Second})
		for i := range 6 {
			sim.submit(Job{ID: fmt.Sprintf("%016x", 1000+i), Queue: "review", Spec: "spec", Steps: []Step{{
				Tasks: 4, Size: share.Resources{Processors: 2000, Memory: 1 << 30}, LongRunning: true,
			}}})
		}
		sim.injectFaults(sim.now.Add(60 * time.Second))
		sim.run(90 * time.Second)
		require.Empty(t, sim.violations, "seed %d", seed)
	}
}

// Guards against two runs of a task after a worker has restarted and is lost together with its leader: a poll that the
// former leader meant for the earlier incarnation is executed late, and grants a lease of which the next leader knows nothing.
func TestLateRenewalsOfFormerLeaderAreWaitedFor(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := fourWorkerCore(t, now)
	info := core.workers["a"].WorkerInfo
	info.Incarnation = 2
	core.SetWorker(info, now)
	core.ApplyReport("a", Report{Incarnation: 2, Clock: time.Second}, now, now)
	startOne(t, core, "kind-a", now)
	core.MarkDirty("j")
	changes, err := core.TakeChanges(20, now)
	require.NoError(t, err)
	timing := DefaultTiming()
	next := NewCore(timing, now, now.Add(timing.MaxLease))
	next.SetQueueConfig(simQueueConfig())
	next.SetContacts(Contacts{Seen: Witnesses{idHash("a")}})
	require.NoError(t, next.Restore(changes.Records[0].Value, now))
	next.LimitRenewals(now)
	next.SetWorkers([]WorkerInfo{info}, nil, now)
	require.GreaterOrEqual(t, next.workers["a"].leasesExpireAt.Sub(now), maxLateness*timing.MaxLease+timing.MaxLease)
	require.NoError(t, next.RestoreUnresponsive([]byte(`[{"worker":"a","leftMillis":3000}]`), now))
	require.Less(t, next.workers["a"].leasesExpireAt.Sub(now), 4*time.Second, "a former leader has waited for them")
}
