package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// A worker must be contacted at the shortest interval if it needs attention or one of its tasks is
// about to change, and at a longer one otherwise.
func TestWorkersWithOpenWorkAreContactedSooner(t *testing.T) {
	const busy = time.Second
	idle := DefaultTiming().IdleInterval
	tests := []struct {
		name   string
		change func(w *simulation, e *taskEntry, entry *workerEntry)
		want   time.Duration
	}{
		{"nothing to do", func(*simulation, *taskEntry, *workerEntry) {}, idle},
		{"a task has just started", func(w *simulation, e *taskEntry, _ *workerEntry) { e.placedAt = w.now.Add(-busy) }, busy},
		{"a task has run for a while", func(w *simulation, e *taskEntry, _ *workerEntry) {
			e.placedAt = w.now.Add(-2 * busy * endDelayDivisor)
		}, 2 * busy},
		{"a task of a long-running family has just started", func(w *simulation, e *taskEntry, _ *workerEntry) {
			e.placedAt = w.now
			w.leaders[0].core.runTimes.observe("batch", 2*busy*endDelayDivisor)
		}, 2 * busy},
		{"a task must stop", func(_ *simulation, e *taskEntry, _ *workerEntry) { e.State = task.Stopping }, busy},
		{"a task is throttled", func(_ *simulation, e *taskEntry, _ *workerEntry) { e.throttleRatio = 0.5 }, busy},
		{"a throttle is not confirmed", func(_ *simulation, e *taskEntry, entry *workerEntry) { entry.pendingThrottles[e.id] = 0.5 }, busy},
		{"an end is not acknowledged", func(_ *simulation, _ *taskEntry, entry *workerEntry) {
			entry.acks = append(entry.acks, pendingAck{})
		}, busy},
		{"an orphaned run", func(_ *simulation, _ *taskEntry, entry *workerEntry) { entry.orphans[worker.Ack{}] = true }, busy},
		{"an exchange has no response", func(w *simulation, _ *taskEntry, entry *workerEntry) { entry.unansweredSince = w.now }, busy},
		{"the worker has never responded", func(_ *simulation, _ *taskEntry, entry *workerEntry) { entry.fenced = false }, busy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, leader := newOneWorkerSimulation()
			w.submit(leader, "batch", 1)
			w.run(2, 0)
			entry := leader.core.workers["w0"]
			require.Len(t, entry.tasks, 1)
			for _, e := range entry.tasks {
				e.placedAt = w.now.Add(-time.Hour)
				test.change(w, e, entry)
			}
			require.Equal(t, test.want, leader.core.ExchangeInterval("w0", busy, w.now))
		})
	}
}

// Guards against tasks that stop when their leader fails just before the next exchange at the idle
// interval is due. The leases of its tasks must outlast its lease in the store and the takeover.
func TestTasksOutlastLossOfLeaderAtIdleInterval(t *testing.T) {
	const ttl = 10 * time.Second
	w, leader := newOneWorkerSimulation()
	w.submit(leader, "batch", 1)
	w.run(2, 0)
	interval := time.Duration(float64(w.timing.IdleIntervalLimit(ttl)) * (1 + intervalJitter))
	for range 2 {
		w.advance(interval)
		w.leaderRound(leader)
	}
	w.advance(interval)
	w.removeLeader(leader)
	w.advance(ttl + takeoverTime)
	w.epoch++
	w.takeOver()
	w.run(0, 0)
	w.run(2, 0)
	require.Equal(t, 1, w.ledger.Starts())
	require.Equal(t, 1, taskCount(w.leaders[0], "w0"))
}

// A worker that doesn't respond to an exchange gets no new tasks, however recent its last report
// is.
func TestUnresponsiveWorkerGetsNoTasks(t *testing.T) {
	w, leader := newOneWorkerSimulation()
	entry := leader.core.workers["w0"]
	require.True(t, leader.core.acceptsTasks(entry, w.now))
	w.advance(w.timing.IdleInterval)
	require.True(t, leader.core.acceptsTasks(entry, w.now), "no exchange is unanswered")
	w.exchange(leader, 0, lostSend)
	require.True(t, leader.core.acceptsTasks(entry, w.now))
	w.advance(w.timing.UnresponsiveAfter)
	require.False(t, leader.core.acceptsTasks(entry, w.now))
	w.exchange(leader, 0, answered)
	require.True(t, leader.core.acceptsTasks(entry, w.now))
}

// The idle interval is limited so that tasks outlast the failure of their leader. If the lease in
// the store is too long for any idle interval, every worker is contacted at the shortest interval.
func TestIdleIntervalIsLimitedByLease(t *testing.T) {
	tests := []struct {
		ttl, asked, want time.Duration
	}{
		{ttl: 10 * time.Second, want: 3 * time.Second},
		{ttl: 10 * time.Second, asked: 2 * time.Second, want: 2 * time.Second},
		{ttl: 10 * time.Second, asked: time.Minute, want: DefaultTiming().IdleIntervalLimit(10 * time.Second)},
	}
	for _, test := range tests {
		k := &Keeper{TTL: test.ttl, IdleInterval: test.asked}
		require.Equal(t, test.want, k.timing().IdleInterval)
	}
	w, leader := newOneWorkerSimulation()
	leader.core.timing = (&Keeper{TTL: time.Minute}).timing()
	require.Equal(t, time.Second, leader.core.ExchangeInterval("w0", time.Second, w.now))
}

// A worker must not count as removed while the platform's list may still lag.
func TestWorkerIsNotRemovedWithinListLag(t *testing.T) {
	require.Equal(t, time.Minute, (&Keeper{TTL: time.Second, ListLag: time.Minute}).timing().RemovedAfter)
	require.Equal(t, DefaultTiming().RemovedAfter, (&Keeper{TTL: time.Second, ListLag: time.Second}).timing().RemovedAfter)
}
