package shard

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

func TestPace(t *testing.T) {
	const busy = time.Second
	quiet := DefaultTiming().Quiet
	tests := []struct {
		name   string
		change func(w *world, e *entry, on *workerEntry)
		want   time.Duration
	}{
		{"nothing is open", func(*world, *entry, *workerEntry) {}, quiet},
		{"a task is young", func(w *world, e *entry, _ *workerEntry) { e.placedAt = w.now.Add(-busy) }, busy},
		{"a task is of middle age", func(w *world, e *entry, _ *workerEntry) {
			e.placedAt = w.now.Add(-2 * busy * endDelayPart)
		}, 2 * busy},
		{"a task of a long family is young", func(w *world, e *entry, _ *workerEntry) {
			e.placedAt = w.now
			w.holders[0].core.runTimes.observe("batch", 2*busy*endDelayPart)
		}, 2 * busy},
		{"a task is to stop", func(_ *world, e *entry, _ *workerEntry) { e.State = task.Stopping }, busy},
		{"a task is throttled", func(_ *world, e *entry, _ *workerEntry) { e.ratio = 0.5 }, busy},
		{"a throttle is to be sent", func(_ *world, e *entry, on *workerEntry) { on.ratios[e.id] = 0.5 }, busy},
		{"an end is to be acknowledged", func(_ *world, _ *entry, on *workerEntry) {
			on.acks = append(on.acks, pendingAck{})
		}, busy},
		{"a stray runs", func(_ *world, _ *entry, on *workerEntry) { on.strays[worker.Ack{}] = true }, busy},
		{"an exchange is not answered", func(w *world, _ *entry, on *workerEntry) { on.askedAt = w.now }, busy},
		{"no answer has come yet", func(_ *world, _ *entry, on *workerEntry) { on.adopted = false }, busy},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, h := onlyWorker0()
			w.submit(h, "batch", 1)
			w.coast(2, 0)
			on := h.core.workers["w0"]
			require.Len(t, on.tasks, 1)
			for _, e := range on.tasks {
				e.placedAt = w.now.Add(-time.Hour)
				test.change(w, e, on)
			}
			require.Equal(t, test.want, h.core.Pace("w0", busy, w.now))
		})
	}
}

// The tasks of a holder that is lost just before it would have spoken to their
// worker again outlast its lease in the store and the take-over.
func TestTasksOutlastTheLossOfAQuietHolder(t *testing.T) {
	const ttl = 10 * time.Second
	w, h := onlyWorker0()
	w.submit(h, "batch", 1)
	w.coast(2, 0)
	pace := time.Duration(float64(w.timing.QuietLimit(ttl)) * (1 + paceSpread))
	for range 2 {
		w.advance(pace)
		w.round(h)
	}
	w.advance(pace)
	w.drop(h)
	w.advance(ttl + takeOverTime)
	w.epoch++
	w.take()
	w.coast(0, 0)
	w.coast(2, 0)
	require.Equal(t, 1, w.ledger.Starts())
	require.Equal(t, 1, pinned(w.holders[0], "w0"))
}

// A worker that leaves an exchange unanswered gets no new tasks, however long ago it was heard.
func TestSilentWorkerGetsNoTasks(t *testing.T) {
	w, h := onlyWorker0()
	on := h.core.workers["w0"]
	require.True(t, h.core.accepts(on, w.now))
	w.advance(w.timing.Quiet)
	require.True(t, h.core.accepts(on, w.now), "it was not asked")
	w.exchange(h, 0, lostSend)
	require.True(t, h.core.accepts(on, w.now))
	w.advance(w.timing.SilentAfter)
	require.False(t, h.core.accepts(on, w.now))
	w.exchange(h, 0, answered)
	require.True(t, h.core.accepts(on, w.now))
}

// The quiet pace keeps to what lets tasks outlast the loss of their holder; a
// lease in the store that leaves no room for one makes every worker busy.
func TestQuietPaceKeepsToTheLease(t *testing.T) {
	tests := []struct {
		ttl, asked, want time.Duration
	}{
		{ttl: 10 * time.Second, want: 3 * time.Second},
		{ttl: 10 * time.Second, asked: 2 * time.Second, want: 2 * time.Second},
		{ttl: 10 * time.Second, asked: time.Minute, want: DefaultTiming().QuietLimit(10 * time.Second)},
	}
	for _, test := range tests {
		k := &Keeper{TTL: test.ttl, IdleInterval: test.asked}
		require.Equal(t, test.want, k.timing().Quiet)
	}
	w, h := onlyWorker0()
	h.core.timing = (&Keeper{TTL: time.Minute}).timing()
	require.Equal(t, time.Second, h.core.Pace("w0", time.Second, w.now))
}

// A worker does not count as gone before the platform's list shows it.
func TestWorkersAreNotGoneWithinTheListsLag(t *testing.T) {
	require.Equal(t, time.Minute, (&Keeper{TTL: time.Second, ListLag: time.Minute}).timing().GoneAfter)
	require.Equal(t, DefaultTiming().GoneAfter, (&Keeper{TTL: time.Second, ListLag: time.Second}).timing().GoneAfter)
}
