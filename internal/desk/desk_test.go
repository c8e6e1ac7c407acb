package desk

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
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

func TestAnotherNodeTakesOver(t *testing.T) {
	for _, c := range []struct {
		name string
		// lose takes the holder away; within is how soon another one has to start tasks.
		lose   func(w *world, holder string)
		within time.Duration
	}{
		{
			name: "killed", within: 2500 * time.Millisecond,
			lose: func(w *world, holder string) { w.kill(holder) },
		},
		{
			name: "planned stop", within: time.Second,
			lose: func(w *world, holder string) { w.nodes[holder].Leave() },
		},
		{
			name: "refused by the store", within: 3 * time.Second,
			lose: func(w *world, holder string) {
				w.store.set(func(s *fakeStore) { s.refused[holder] = true })
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 4*time.Second, "w1", "w2", "w3")
				defer w.end()
				for _, name := range []string{"a", "b", "c"} {
					w.add(name)
				}
				time.Sleep(2 * time.Second)
				first, _ := w.holder()
				require.NoError(t, submit(w.nodes[first], testJob(1, 8)))
				time.Sleep(time.Second)
				starts := w.workers.count()
				require.Equal(t, 8, starts)
				c.lose(w, first)
				var other *Plane
				for name, d := range w.nodes {
					if name != first {
						other = d
					}
				}
				began := time.Now()
				require.NoError(t, submit(other, testJob(2, 2)), "accepted without a holder")
				for w.workers.count() < starts+2 {
					time.Sleep(10 * time.Millisecond)
					require.Less(t, time.Since(began), c.within)
				}
				time.Sleep(15 * time.Second)
				require.Equal(t, batch.Completed, state(t, other, testJob(1, 8).ID))
				require.Equal(t, batch.Completed, state(t, other, testJob(2, 2).ID))
				require.Equal(t, 12, w.workers.count(), "what ran goes on")
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
func TestStoreAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3*time.Second, "w1", "w2")
		defer w.end()
		a := w.add("a")
		time.Sleep(2 * time.Second)
		require.NoError(t, submit(a, testJob(1, 4)))
		time.Sleep(500 * time.Millisecond)
		w.store.set(func(s *fakeStore) { s.down = true })
		time.Sleep(2 * time.Second)
		began := time.Now()
		var refused *UnavailableError
		require.ErrorAs(t, submit(a, testJob(2, 1)), &refused)
		require.Positive(t, refused.RetryAfter)
		require.Less(t, time.Since(began), time.Second)
		time.Sleep(6 * time.Second)
		w.store.set(func(s *fakeStore) { s.down = false })
		time.Sleep(10 * time.Second)
		require.Equal(t, batch.Completed, state(t, a, testJob(1, 4).ID))
		require.Equal(t, 5, w.workers.count(), "leases outlast the store's outage")
		require.False(t, w.store.has(keysOf(0).jobs+testJob(2, 1).ID))
	})
}

// A holder that lost the store, and was replaced without knowing it, shows no
// state that may be out of date.
func TestDeposedHolderShowsNoOldState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3*time.Second, "w1")
		defer w.end()
		a, b := w.add("a"), w.add("b")
		time.Sleep(3 * time.Second)
		holder, _ := w.holder()
		old, next := a, b
		if holder == "b" {
			old, next = b, a
		}
		j := testJob(1, 1)
		require.NoError(t, submit(old, j))
		time.Sleep(time.Second)
		require.Equal(t, batch.Active, state(t, old, j.ID))
		w.store.set(func(s *fakeStore) { s.unheard[holder] = true })
		w.cutOff(holder)
		shown := batch.Active
		for range 60 {
			time.Sleep(200 * time.Millisecond)
			if s := state(t, next, j.ID); s != shown {
				shown = s
			}
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			s, known, err := old.State(ctx, j.ID)
			cancel()
			if err != nil {
				require.ErrorAs(t, err, new(*UnavailableError))
				continue
			}
			require.True(t, known)
			if shown.Final() {
				require.Equal(t, shown, s)
			}
		}
		require.Equal(t, batch.Completed, shown)
	})
}

// A holder whose calls stand still goes on with what it was about to do: orders
// and commits that it had decided upon leave late, after another one has taken over.
func TestStalledHolderStartsNothingTwice(t *testing.T) {
	for _, c := range []struct {
		name  string
		still time.Duration
	}{
		{"for less than its lease", 900 * time.Millisecond},
		{"for longer than its lease", 3 * time.Second},
		{"for longer than the lease of runs", 8 * time.Second},
		{"for longer than any lease", 30 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newWorld(t, 800*time.Millisecond, "w1", "w2", "w3")
				defer w.end()
				for _, name := range []string{"a", "b", "c"} {
					w.add(name)
				}
				time.Sleep(2 * time.Second)
				var (
					mu   sync.Mutex
					jobs []string
				)
				hand := func(d *Plane, id int) {
					if submit(d, testJob(id, 3)) == nil {
						mu.Lock()
						defer mu.Unlock()
						jobs = append(jobs, testJob(id, 3).ID)
					}
				}
				// It stops amid submissions, with commits and orders under way.
				for turn := range 3 {
					name, h := w.holder()
					for h == nil {
						time.Sleep(100 * time.Millisecond)
						name, h = w.holder()
					}
					for i := range 5 {
						hand(w.nodes[name], 100*turn+i)
						time.Sleep(time.Duration(7*turn+13) * time.Millisecond)
					}
					go hand(w.nodes[name], 100*turn+90)
					time.Sleep(time.Duration(turn) * time.Millisecond)
					thaw := w.freeze(name)
					time.Sleep(c.still / 2)
					other := "a"
					if name == other {
						other = "b"
					}
					hand(w.nodes[other], 100*turn+50)
					time.Sleep(c.still / 2)
					thaw()
					time.Sleep(3 * time.Second)
				}
				time.Sleep(20 * time.Second)
				require.NotEmpty(t, jobs)
				for _, id := range jobs {
					require.Equal(t, batch.Completed, state(t, w.nodes["a"], id), id)
				}
			})
		})
	}
}

// While a job's state is read, the holder moves the job from the inbox to its own place.
func TestJobThatLeavesTheInboxStaysKnown(t *testing.T) {
	j := testJob(1, 1)
	value, err := batch.EncodeJob(j)
	require.NoError(t, err)
	moved := false
	d := &Desk{keys: keysOf(0), plane: &Plane{Store: &store.Client{Read: func(_ context.Context, key string) (store.Entry, bool, error) {
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
			d := &Desk{Log: eventlog.Discard(), plane: &Plane{
				Address: "a", Now: func() time.Time { return now },
				Forget: func(address string) {
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
func TestLostWorkerIsNotWaitedForAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3*time.Second, "w1", "w2")
		defer w.end()
		for _, name := range []string{"a", "b", "c"} {
			w.add(name)
		}
		time.Sleep(2 * time.Second)
		j := testJob(1, 8)
		first, _ := w.holder()
		require.NoError(t, submit(w.nodes[first], j))
		time.Sleep(500 * time.Millisecond)
		w.workers.set(func(f *fakeWorkers) { f.workers["w1"].silent = true })
		w.store.remove(testPrefix + "w1")
		w.kill(first)
		lost := time.Now()
		time.Sleep(15 * time.Second)
		second, _ := w.holder()
		w.kill(second)
		var last *Plane
		for _, d := range w.nodes {
			last = d
		}
		for state(t, last, j.ID) != batch.Completed {
			time.Sleep(500 * time.Millisecond)
			require.Less(t, time.Since(lost), last.home(j.ID).unheard()+10*time.Second)
		}
	})
}

// A holder that the store turns away is asked again until it has stopped, so that
// the tasks of a worker which is lost meanwhile wait no longer than its lease.
func TestFormerHolderIsAskedUntilItHasStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 3*time.Second, "w1", "w2")
		defer w.end()
		w.add("a")
		w.add("b")
		time.Sleep(20 * time.Second)
		former, _ := w.holder()
		j := testJob(1, 8)
		require.NoError(t, submit(w.nodes[former], j))
		time.Sleep(500 * time.Millisecond)
		w.workers.set(func(f *fakeWorkers) { f.workers["w1"].silent = true })
		w.store.remove(testPrefix + "w1")
		w.store.set(func(s *fakeStore) { s.refused[former] = true })
		other := "a"
		if former == other {
			other = "b"
		}
		time.Sleep(lease.Longer(batch.DefaultTiming().MaxLease) + holderTTL + 10*time.Second)
		require.Equal(t, batch.Completed, state(t, w.nodes[other], j.ID))
	})
}

// A holder that was replaced twice over may still renew: the answer of its
// successor does not speak for it.
func TestAllFormerHoldersAreAsked(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	retired := map[string]bool{}
	p := &Plane{
		ID: "c/1", Address: "c", Timing: batch.DefaultTiming(), Log: eventlog.Discard(), Now: func() time.Time { return now },
		Peer: func(address string, _ int) (*Calls, error) {
			return &Calls{Retired: func(context.Context, int64) (bool, error) { return retired[address], nil }}, nil
		},
	}
	p.open(1)
	d := p.home("")
	for i, name := range []string{"a", "b"} {
		d.setHolder(holderRef{ID: name, Address: name, Token: int64(i + 1)})
		d.setHolder(holderRef{})
		now = now.Add(2 * time.Second)
	}
	retired["b"] = true
	require.False(t, d.formersRetired(context.Background(), 3), "b does not speak for a")
	retired["a"] = true
	require.True(t, d.formersRetired(context.Background(), 3))
	retired["a"] = false
	now = now.Add(p.renewsFor())
	require.True(t, d.formersRetired(context.Background(), 3), "its time to renew is over")
}
