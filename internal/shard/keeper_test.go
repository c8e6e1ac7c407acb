package shard

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/task"
)

// waitLimit bounds waits for events that are expected much earlier.
const waitLimit = 60 * time.Second

// awaitFinished waits until the given number of tasks have finished. It fails if a task ran twice,
// a worker was over its capacity, or a checkpoint was resumed twice.
func (f *fleet) awaitFinished(t *testing.T, tasks int) {
	t.Helper()
	require.Eventually(t, func() bool { return f.ledger.Finished() >= tasks }, waitLimit, 10*time.Millisecond)
	require.Zero(t, f.ledger.DoubleRuns())
	require.Zero(t, f.ledger.Overcommits())
	require.Zero(t, f.ledger.DuplicateResumes())
}

// Accepted jobs must not be lost and no task may run twice when the store or the instances that
// lead the shards fail.
func TestJobsSurviveStoreAndInstanceFailures(t *testing.T) {
	tests := []struct {
		name string
		fail func(t *testing.T, f *fleet)
	}{
		{"planned stop of an instance", func(t *testing.T, f *fleet) {
			f.setMembers([]Member{{ID: "e1", Region: "r1"}, {ID: "e2", Region: "r0"}})
			f.stop(0)
			require.Eventually(t, func() bool { return f.shardsLedBy("e0") == 0 }, waitLimit, 10*time.Millisecond)
		}},
		{"every lease expires", func(_ *testing.T, f *fleet) { f.store.ExpireLeases() }},
		{"responses are lost", func(_ *testing.T, f *fleet) { f.store.SetLostAnswers(0.3, 5) }},
		{"store is slow", func(_ *testing.T, f *fleet) { f.store.SetDelay(300 * time.Millisecond) }},
		{"store is down past every lease", func(t *testing.T, f *fleet) {
			f.store.SetDown(true)
			f.store.ExpireLeases()
			require.Eventually(t, func() bool { return !f.keepers[0].mayStart(time.Now()) }, waitLimit, 10*time.Millisecond)
			f.store.SetDown(false)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 16, 3, 2*time.Second, 300*time.Millisecond)
			const tasks = 40
			for n := range 2 {
				f.submit(t, n, tasks)
			}
			test.fail(t, f)
			for n := 2; n < 4; n++ {
				f.submit(t, n, tasks)
			}
			f.awaitFinished(t, 4*tasks)
		})
	}
}

// Guards against a shard that nobody leads although all instances and the store work: its leader's key remained in the store,
// since the write that was to delete it was lost, and the instance went on renewing the key's lease.
func TestShardIsLedAgainAfterLostRelease(t *testing.T) {
	lost := &store.UnavailableError{Call: "commit", Err: errors.New("no answer")}
	for _, c := range []struct {
		name string
		// journal is set if the first leadership ends because its journal cannot be read.
		journal bool
		end     func(f *fleet)
	}{
		{name: "reassigned", end: func(f *fleet) { f.setMembers([]Member{{ID: "e1", Region: "r1"}, {ID: "e2", Region: "r0"}}) }},
		{name: "journal not read", journal: true, end: func(*fleet) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			var releases, reads sync.Map
			f := newFleet(t, 16, 3, 2*time.Second, 300*time.Millisecond, func(k *Keeper) {
				if k.ID != "e0" {
					return
				}
				inner := *k.Store
				cut := inner
				// The first release of each shard is lost, and with journal set the first read of each journal.
				cut.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
					for _, op := range txn.Then {
						if _, known := releases.Load(op.Key); op.Kind == store.OpDelete && strings.HasPrefix(op.Key, MapPrefix) && !known {
							releases.Store(op.Key, true)
							return store.Result{}, lost
						}
					}
					return inner.Commit(ctx, txn)
				}
				cut.List = func(ctx context.Context, prefix string) (store.Snapshot, error) {
					if _, known := reads.Load(prefix); c.journal && prefix != MapPrefix && !known {
						reads.Store(prefix, true)
						return store.Snapshot{}, lost
					}
					return inner.List(ctx, prefix)
				}
				k.Store = &cut
			})
			const tasks = 40
			if !c.journal {
				f.submit(t, 0, tasks)
				f.awaitFinished(t, tasks)
			}
			c.end(f)
			isLost := func() bool {
				n := 0
				releases.Range(func(any, any) bool { n++; return true })
				return n > 0
			}
			require.Eventually(t, isLost, waitLimit, 10*time.Millisecond)
			before := f.ledger.Finished()
			for n := 1; n < 3; n++ {
				f.submitWithin(t, n, tasks, waitLimit/4)
			}
			require.False(t, t.Failed())
			f.awaitFinished(t, before+2*tasks)
		})
	}
}

func (f *fleet) shardsLedBy(id string) int {
	led := 0
	for _, s := range f.keepers[1].Shards() {
		if f.keepers[1].LeaderOf(s) == id {
			led++
		}
	}
	return led
}

// When all racks of a shard are removed for good, its running and its queued tasks must run in
// other shards, and the job's status must count each task once.
func TestTasksOfRemovedRacksFinishOnce(t *testing.T) {
	f := newFleet(t, 64, 3, 2*time.Second, time.Second, func(k *Keeper) {
		k.Timing = DefaultTiming()
		k.Timing.Lease, k.Timing.Grace, k.Timing.RemovedAfter = 2*time.Second, 2*time.Second, 3*time.Second
		k.Timing.MoveAfter, k.Timing.StrandedAfter = 500*time.Millisecond, 2*time.Second
	})
	const tasks = 200
	s := task.Submission{Neighbour: "n0", Job: "n0", Tasks: tasks, Key: "key"}
	status, err := f.routers[0].Submit(t.Context(), s)
	require.NoError(t, err)
	emptied := f.largestShard("r0")
	require.Contains(t, ShardsOf(status.ID), emptied)
	f.removeRacks(emptied)
	f.awaitFinished(t, tasks)
	require.Eventually(t, func() bool {
		status, err = f.routers[1].Describe(t.Context(), "n0", status.ID)
		return err == nil && status.States[task.Finished] == tasks
	}, waitLimit, 10*time.Millisecond)
	require.Len(t, status.States, 1, "each task must be counted once: %v", status.States)
}

// A repeat of a submission with the same key must return the same job, and a different submission
// with that key must be refused.
func TestIdempotencyKeyNamesOneJob(t *testing.T) {
	f := newFleet(t, 16, 3, 2*time.Second, time.Millisecond)
	s := task.Submission{Neighbour: "n0", Job: "n0", Tasks: 3, Key: "key"}
	ids := map[string]bool{}
	for i := range 6 {
		status, err := f.routers[i%3].Submit(t.Context(), s)
		require.NoError(t, err)
		ids[status.ID] = true
	}
	require.Len(t, ids, 1)
	s.Tasks = 4
	_, err := f.routers[0].Submit(t.Context(), s)
	var refused *task.RefusedError
	require.ErrorAs(t, err, &refused)
	f.awaitFinished(t, 3)
}

func TestAssignIsEvenAndStable(t *testing.T) {
	var shards []string
	for i := range 8 {
		shards = append(shards, fmt.Sprintf("r%d.%d", i/4, i%4))
	}
	members := []Member{{"a", "r0"}, {"b", "r0"}, {"c", "r0"}, {"d", "r1"}}
	before := Assign(shards, members)
	counts := map[string]int{}
	for id, m := range before {
		counts[m]++
		if RegionOf(id) == "r1" {
			require.Equal(t, "d", m)
		}
	}
	for _, m := range members[:3] {
		require.LessOrEqual(t, counts[m.ID], 2)
		require.Positive(t, counts[m.ID]+1)
	}
	after := Assign(shards, members[:3])
	for id, m := range after {
		require.NotEqual(t, "d", m)
		if RegionOf(id) == "r0" {
			require.Equal(t, before[id], m, "a change of members in another region must not reassign shards here")
		}
	}
}

func TestJobIDNamesItsShards(t *testing.T) {
	tests := [][]string{
		{"bajio.0"},
		{"bajio.3", "bajio.0", "bajio.1"},
		{"eu.west.2", "eu.west.3", "norte.1"},
		{"zone.9.1"},
	}
	for _, shards := range tests {
		require.Equal(t, shards, ShardsOf(JobID("0197", shards)))
	}
	require.Empty(t, ShardsOf("nonsense"))
	require.Empty(t, ShardsOf("a~b"))
}
