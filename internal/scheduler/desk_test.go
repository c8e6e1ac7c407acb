package scheduler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

func TestJobRunsThroughItsSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second, "w1", "w2")
		defer w.end()
		a, b := w.add("a"), w.add("b")
		time.Sleep(2 * time.Second)
		j := testJob(1, 6)
		began := time.Now()
		require.NoError(t, submit(a, j))
		require.Less(t, time.Since(began), 100*time.Millisecond)
		require.NoError(t, submit(b, j), "a repeat is the same job")
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, batch.Active, state(t, b, j.ID))
		time.Sleep(2 * time.Second)
		require.Equal(t, batch.Completed, state(t, a, j.ID))
		require.Equal(t, 7, w.workers.count())
	})
}

// A term that is lost while a commit is under way must not take the commit for
// done: a caller was told that a job was accepted which the store never saw.
func TestTermThatEndsAmidACommitAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second, "w1")
		defer w.end()
		a := w.add("a")
		time.Sleep(2 * time.Second)
		name, h := w.holder()
		require.Equal(t, "a", name)
		w.store.set(func(s *fakeStore) { s.silent = true })
		result := make(chan error, 1)
		go func() { result <- submit(a, testJob(1, 1)) }()
		time.Sleep(300 * time.Millisecond)
		h.lose("test")
		require.Error(t, <-result)
		w.store.set(func(s *fakeStore) { s.silent = false })
		time.Sleep(5 * time.Second)
		require.False(t, w.store.has(keysOf(0).jobs+testJob(1, 1).ID))
	})
}

// A commit may be carried out without an answer, or seconds later.
func TestCommitsWithoutAnAnswerAreResolved(t *testing.T) {
	for _, c := range []struct {
		name string
		late time.Duration
	}{
		{name: "carried out at once"},
		{name: "carried out later", late: 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, time.Second, "w1", "w2")
				defer w.end()
				a := w.add("a")
				time.Sleep(2 * time.Second)
				n := 0
				w.store.set(func(s *fakeStore) {
					s.lose = func(store.Txn) (bool, time.Duration) {
						n++
						return n%3 == 0, c.late
					}
				})
				for i := range 10 {
					require.NoError(t, submit(a, testJob(i, 3)))
					time.Sleep(100 * time.Millisecond)
				}
				time.Sleep(20 * time.Second)
				for i := range 10 {
					require.Equal(t, batch.Completed, state(t, a, testJob(i, 3).ID))
				}
				require.Equal(t, 40, w.workers.count(), "no task runs again")
			})
		})
	}
}

// After the loss of all nodes many submissions wait in the inbox; a commit with
// all of them and their keys is above what the store takes.
func TestFullInboxIsTakenIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second, "w1", "w2")
		defer w.end()
		for i := range 60 {
			value, err := batch.EncodeJob(testJob(i, 1))
			require.NoError(t, err)
			w.store.put(keysOf(0).inbox+testJob(i, 1).ID, value)
			if i%2 == 0 {
				w.store.put(keysOf(0).inbox+testJob(i, 1).ID+cancelSuffix, []byte("{}"))
			}
		}
		a := w.add("a")
		time.Sleep(15 * time.Second)
		for i := range 60 {
			want := batch.Completed
			if i%2 == 0 {
				want = batch.Cancelled
			}
			require.Equal(t, want, state(t, a, testJob(i, 1).ID), "job %d", i)
			require.False(t, w.store.has(keysOf(0).inbox+testJob(i, 1).ID))
		}
	})
}

// While the store serves nobody, submissions are refused at once, truthfully;
// what runs goes on.
// A holder that lost the store, and was replaced without knowing it, shows no
// state that may be out of date.
// A holder whose calls stand still goes on with what it was about to do: orders
// and commits that it had decided upon leave late, after another one has taken over.
// While a job's state is read, the holder moves the job from the inbox to its own place.
func TestJobThatLeavesTheInboxStaysKnown(t *testing.T) {
	j := testJob(1, 1)
	value, err := batch.EncodeJob(j)
	require.NoError(t, err)
	moved := false
	d := &Desk{keys: keysOf(0), plane: &Scheduler{Store: &store.Client{Read: func(_ context.Context, key string) (store.Entry, bool, error) {
		if key == keysOf(0).inbox+j.ID {
			moved = true
			return store.Entry{}, false, nil
		}
		return store.Entry{Key: key, Value: value}, moved, nil
	}}}}
	_, known, err := d.stored(context.Background(), j.ID)
	require.NoError(t, err)
	require.True(t, known)
}

// A node that the store turns away, and which reaches no holder that the store
// serves, asks another node before it refuses.
func TestRefusedNodeRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second, "w1")
		defer w.end()
		a, b := w.add("a"), w.add("b")
		time.Sleep(3 * time.Second)
		holder, _ := w.holder()
		refused, other := a, b
		if holder == "b" {
			refused, other = b, a
		}
		refused.Peers = []string{"a", "b"}
		w.store.set(func(s *fakeStore) { s.refused[holder] = true })
		time.Sleep(time.Second)
		require.NoError(t, submit(refused, testJob(1, 1)))
		time.Sleep(8 * time.Second)
		require.Equal(t, batch.Completed, state(t, other, testJob(1, 1).ID))
	})
}

// While the store is silent, what no commit has carried yet is refused at once
// and truthfully; only what is under way may be unknown.
func TestSilentStoreRefusesWhatWasNotCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second, "w1")
		defer w.end()
		a := w.add("a")
		time.Sleep(4 * time.Second)
		w.store.set(func(s *fakeStore) { s.silent = true })
		results := make(chan error, 20)
		for i := range 20 {
			go func() { results <- submit(a, testJob(i, 1)) }()
			time.Sleep(20 * time.Millisecond)
		}
		began := time.Now()
		refused := 0
		for range 19 {
			var unavailable *UnavailableError
			if errors.As(<-results, &unavailable) {
				refused++
			}
			if refused == 19 {
				require.Less(t, time.Since(began), 1500*time.Millisecond)
			}
		}
		require.GreaterOrEqual(t, refused, 18, "one commit was under way")
		w.store.set(func(s *fakeStore) { s.silent = false })
		time.Sleep(10 * time.Second)
		stored := 0
		for i := range 20 {
			if w.store.has(keysOf(0).jobs + testJob(i, 1).ID) {
				stored++
			}
		}
		require.LessOrEqual(t, stored, 20-refused, "what was refused never runs")
	})
}

// A holder that the store turns away does not know what waits in the inbox:
// nobody may be told that such a job does not exist.
func TestJobInTheInboxIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, time.Second, "w1")
		defer w.end()
		a, b := w.add("a"), w.add("b")
		time.Sleep(3 * time.Second)
		holder, _ := w.holder()
		other, own := b, a
		if holder == "b" {
			other, own = a, b
		}
		w.store.set(func(s *fakeStore) { s.refused[holder] = true })
		time.Sleep(450 * time.Millisecond)
		j := testJob(1, 1)
		value, err := batch.EncodeJob(j)
		require.NoError(t, err)
		w.store.put(keysOf(0).inbox+j.ID, value)
		require.Equal(t, batch.Queued, state(t, other, j.ID))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, known, err := own.State(ctx, j.ID)
		require.True(t, known || err != nil, "the node that is turned away cannot tell")
		known, err = other.Cancel(ctx, j.ID)
		require.NoError(t, err)
		require.True(t, known)
		time.Sleep(8 * time.Second)
		require.Equal(t, batch.Cancelled, state(t, other, j.ID))
	})
}

// A connection to the holder that is silent for good is made anew, and one on
// which a single call was slow is kept.
func TestSilentConnectionIsEnded(t *testing.T) {
	for _, c := range []struct {
		name   string
		heard  bool
		silent bool
		want   int
	}{
		{name: "silent", silent: true, want: 1},
		{name: "another call was answered meanwhile", silent: true, heard: true},
		{name: "answered"},
	} {
		t.Run(c.name, func(t *testing.T) {
			forgotten := 0
			now := time.Unix(1_000_000_000, 0)
			d := &Desk{Log: eventlog.Discard(), plane: &Scheduler{
				Address: "a", Now: func() time.Time { return now },
				DropConnection: func(address string) {
					require.Equal(t, "b", address)
					forgotten++
				},
			}}
			asked := now
			now = now.Add(time.Second)
			if c.heard {
				d.noteAnswer("b", asked, false)
			}
			d.noteAnswer("b", asked, c.silent)
			require.Equal(t, c.want, forgotten)
		})
	}
}

// What runs on a worker that is gone has to lapse, however often it is looked at.
func TestSilentWorkerLapses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 8*time.Second, "w1", "w2")
		defer w.end()
		a := w.add("a")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(a, testJob(1, 8)))
		time.Sleep(time.Second)
		w.workers.set(func(f *fakeWorkers) { f.workers["w1"].silent = true })
		time.Sleep(9 * time.Second)
		w.workers.set(func(f *fakeWorkers) {
			require.Len(t, f.workers["w2"].running, 4, "tasks of the silent worker run elsewhere")
		})
		time.Sleep(25 * time.Second)
		require.Equal(t, batch.Completed, state(t, a, testJob(1, 8).ID))
	})
}

// The tasks of a worker that is lost with the holder wait until its lease has
// surely lapsed; the loss of the next holder does not let that time begin anew.
// A holder that the store turns away is asked again until it has stopped, so that
// the tasks of a worker which is lost meanwhile wait no longer than its lease.
// A holder that was replaced twice over may still renew: the answer of its
// successor does not speak for it.
