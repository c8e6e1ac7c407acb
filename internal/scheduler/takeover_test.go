package scheduler

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
)

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
			lose: func(w *world, holder string) { w.nodes[holder].StepDown() },
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
				var other *Scheduler
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
				hand := func(d *Scheduler, id int) {
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
		var last *Scheduler
		for _, d := range w.nodes {
			last = d
		}
		for state(t, last, j.ID) != batch.Completed {
			time.Sleep(500 * time.Millisecond)
			require.Less(t, time.Since(lost), last.home(j.ID).unheard()+10*time.Second)
		}
	})
}

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

func TestAllFormerHoldersAreAsked(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	retired := map[string]bool{}
	p := &Scheduler{
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
