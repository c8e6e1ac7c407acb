package config_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// inForceTimeout is the longest time from the acceptance of a note until it is in force on every
// instance.
const inForceTimeout = 5 * time.Second

// fleet is a set of keepers that share one store.
type fleet struct {
	store *standin.Store
	url   string
	// mu guards keepers, which running keepers read as their peers.
	mu      sync.Mutex
	keepers []*config.Keeper
	// cutFromStore marks, by index, the keepers whose reads of the store fail.
	cutFromStore [64]atomic.Bool
	// partitioned reports whether the keepers at two indices cannot reach each other.
	partitioned func(a, b int) bool
}

func newFleet(t testing.TB, n int) *fleet {
	t.Helper()
	f := &fleet{store: standin.NewStore(), partitioned: func(int, int) bool { return false }}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.url = server.URL
	for range n {
		f.addKeeper(t)
	}
	return f
}

// addKeeper adds a keeper without a configuration.
func (f *fleet) addKeeper(t testing.TB) *config.Keeper {
	i := len(f.keepers)
	k := &config.Keeper{ID: fmt.Sprintf("entry-%d", i), Log: eventlog.Discard()}
	k.Store = f.client(i)
	k.Peers = func() []config.Peer { return f.peersOf(i) }
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers = append(f.keepers, k)
	return k
}

// run runs keepers until the test ends.
func run(t testing.TB, keepers ...*config.Keeper) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, k := range keepers {
		group.Go(func() { _ = k.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
}

// client returns a store client whose reads fail while cutFromStore is set for the keeper.
func (f *fleet) client(i int) *store.Client {
	inner := store.NewEtcd([]string{f.url}, storeClient)
	c := *inner
	c.Read = func(ctx context.Context, key string) (store.Entry, bool, error) {
		if f.cutFromStore[i].Load() {
			return store.Entry{}, false, errCutOff
		}
		return inner.Read(ctx, key)
	}
	c.List = func(ctx context.Context, prefix string) (store.Snapshot, error) {
		if f.cutFromStore[i].Load() {
			return store.Snapshot{}, errCutOff
		}
		return inner.List(ctx, prefix)
	}
	return &c
}

func (f *fleet) peersOf(i int) []config.Peer {
	f.mu.Lock()
	keepers := slices.Clone(f.keepers)
	f.mu.Unlock()
	var all []config.Peer
	for j, other := range keepers {
		if i == j {
			continue
		}
		all = append(all, config.Peer{
			ID: other.ID,
			Announce: func(_ context.Context, id string, revision int64) (int64, error) {
				if f.partitioned(i, j) {
					return 0, errCutOff
				}
				return other.HandleAnnouncement(id, revision), nil
			},
			FetchNewer: func(_ context.Context, have config.Snapshot) (config.Snapshot, bool, error) {
				if f.partitioned(i, j) {
					return config.Snapshot{}, false, errCutOff
				}
				c, newer := other.NewerThan(have.Head().Revision)
				return c, newer, nil
			},
		})
	}
	return all
}

func note(t testing.TB, name, body string) release.Note {
	t.Helper()
	n, err := release.Parse(name, fmt.Appendf(nil, `{"name": %q, %s}`, name, body))
	require.NoError(t, err)
	return n
}

// shareBody returns the declarations of one share of the neighbour "floor".
func shareBody(name string, cores int) string {
	return fmt.Sprintf(`{"shares": [{"name": %q, "neighbour": "floor", "quota": {"processors": %d}}]}`, name, cores)
}

// floorBody is the body of a note that adds the neighbour "floor" with the shares "one" and "two".
const floorBody = `"added": {"neighbours": [{"name": "floor", "region": "r", "tokenHash": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}],
	"shares": [{"name": "one", "neighbour": "floor", "quota": {"processors": 1}}, {"name": "two", "neighbour": "floor", "quota": {"processors": 1}}]}`

func mustApply(t testing.TB, k *config.Keeper, n release.Note) release.Report {
	t.Helper()
	report, err := k.Apply(t.Context(), n, 0)
	require.NoError(t, err)
	require.False(t, report.Refused(), "%+v", report)
	return report
}

func requireRevision(t testing.TB, k *config.Keeper, revision int64) {
	t.Helper()
	require.Eventually(t, func() bool { return k.Current().Revision >= revision }, inForceTimeout, time.Millisecond,
		"%s did not reach revision %d within %v", k.ID, revision, inForceTimeout)
}

func TestAppliedNoteIsInForceOnEveryInstance(t *testing.T) {
	f := newFleet(t, 7)
	run(t, f.keepers...)
	report := mustApply(t, f.keepers[0], note(t, "first", floorBody))
	for _, k := range f.keepers {
		requireRevision(t, k, report.Revision)
	}
	status, err := f.keepers[3].Status(t.Context(), "first")
	require.NoError(t, err)
	require.False(t, status.Pending(), "%+v", status)
}

func TestRepeatedNoteTakesEffectOnce(t *testing.T) {
	f := newFleet(t, 2)
	first := mustApply(t, f.keepers[0], note(t, "first", floorBody))
	again := mustApply(t, f.keepers[1], note(t, "first", floorBody))
	require.Equal(t, first, again)
	_, err := f.keepers[0].Apply(t.Context(), note(t, "first", `"withdrawn": {"shares": ["one"]}`), 0)
	var taken *config.NameTakenError
	require.ErrorAs(t, err, &taken)
}

// Each note takes effect exactly once although the responses to 40% of the store calls are lost.
func TestNotesTakeEffectOnceDespiteLostResponses(t *testing.T) {
	f := newFleet(t, 2)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	f.store.SetLostAnswers(0.4, 11)
	for i := range 20 {
		report := mustApply(t, f.keepers[i%2], note(t, fmt.Sprintf("n%d", i), `"changed": `+shareBody("one", i+2)))
		require.EqualValues(t, i+2, report.Revision)
	}
	f.store.SetLostAnswers(0, 0)
	history, err := f.keepers[0].History(t.Context(), 100)
	require.NoError(t, err)
	require.Len(t, history, 21)
}

// Concurrent notes on different entries all succeed. Of those on the same entry one succeeds, and
// the others fail with a conflict that names it.
func TestConcurrentNotesConflictOnlyOnTheSameEntry(t *testing.T) {
	f := newFleet(t, 4)
	run(t, f.keepers...)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	for _, k := range f.keepers {
		requireRevision(t, k, 1)
	}
	var group sync.WaitGroup
	errs := make([]error, 4)
	for i, k := range f.keepers {
		group.Go(func() {
			_, errs[i] = k.Apply(t.Context(), note(t, fmt.Sprintf("add-%d", i), `"added": `+shareBody(fmt.Sprintf("s%d", i), 1)), 1)
		})
	}
	group.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	for i, k := range f.keepers {
		group.Go(func() {
			_, errs[i] = k.Apply(t.Context(), note(t, fmt.Sprintf("change-%d", i), `"changed": `+shareBody("one", i+5)), 5)
		})
	}
	group.Wait()
	succeeded := 0
	for _, err := range errs {
		if err == nil {
			succeeded++
			continue
		}
		var conflict *config.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "one", conflict.Conflicts[0].Entry.Name)
		require.Contains(t, conflict.Conflicts[0].Other, "change-")
	}
	require.Equal(t, 1, succeeded)
}

// A note that changes a declaration that another note has withdrawn meanwhile is refused, and the
// error names the other note.
func TestNoteOnWithdrawnDeclarationIsRefused(t *testing.T) {
	f := newFleet(t, 1)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	mustApply(t, f.keepers[0], note(t, "gone", `"withdrawn": {"shares": ["one"]}`))
	report, err := f.keepers[0].Apply(t.Context(), note(t, "late", `"changed": `+shareBody("one", 3)), 1)
	if err == nil {
		require.True(t, report.Refused())
		return
	}
	require.ErrorContains(t, err, `touched by note "gone"`)
}

// Loaded reports true once the store has reported that there is no configuration, or once the newest
// one is in force, but not while its chunks are still being read.
func TestLoadedOnlyOnceConfigurationIsRead(t *testing.T) {
	f := newFleet(t, 1)
	require.False(t, f.keepers[0].Loaded())
	run(t, f.keepers...)
	require.Eventually(t, f.keepers[0].Loaded, inForceTimeout, time.Millisecond)
	require.Zero(t, f.keepers[0].Current().Revision)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	f.store.SetDelay(50 * time.Millisecond)
	late := f.addKeeper(t)
	late.Peers = nil
	run(t, late)
	require.Eventually(t, late.Loaded, inForceTimeout, time.Millisecond)
	require.EqualValues(t, 1, late.Current().Revision)
}

func TestNewInstanceIsUpdatedByPeersDuringStoreOutage(t *testing.T) {
	f := newFleet(t, 3)
	run(t, f.keepers...)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	for _, k := range f.keepers {
		requireRevision(t, k, 1)
	}
	f.store.SetDown(true)
	late := f.addKeeper(t)
	run(t, late)
	requireRevision(t, late, 1)
}

// A region that is cut off from the store and from the other region still gets a new configuration
// if one of its instances reaches one peer in the other region.
func TestPartitionedRegionIsUpdatedThroughOnePeer(t *testing.T) {
	f := newFleet(t, 14)
	f.partitioned = func(a, b int) bool { return a/7 != b/7 && (min(a, b) != 6 || max(a, b) != 7) }
	for i := 7; i < 14; i++ {
		f.cutFromStore[i].Store(true)
	}
	run(t, f.keepers...)
	report := mustApply(t, f.keepers[0], note(t, "first", floorBody))
	for _, k := range f.keepers {
		requireRevision(t, k, report.Revision)
	}
}

// The report of a note names an unreachable instance as pending. When the instance is reachable
// again, it loads the newest revision.
func TestReportNamesLaggingInstances(t *testing.T) {
	f := newFleet(t, 3)
	var partitioned atomic.Bool
	partitioned.Store(true)
	f.partitioned = func(a, b int) bool { return partitioned.Load() && (a == 2 || b == 2) }
	f.cutFromStore[2].Store(true)
	run(t, f.keepers...)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	requireRevision(t, f.keepers[1], 1)
	status, err := f.keepers[1].Status(t.Context(), "first")
	require.NoError(t, err)
	for _, e := range status.Entries {
		require.Equal(t, release.Pending, e.Outcome)
		require.Equal(t, []string{"entry-2"}, e.PendingOn)
	}
	partitioned.Store(false)
	f.cutFromStore[2].Store(false)
	requireRevision(t, f.keepers[2], 1)
	status, err = f.keepers[1].Status(t.Context(), "first")
	require.NoError(t, err)
	require.False(t, status.Pending())
}

// An instance never returns to a lower revision, neither through an older snapshot from a peer nor
// through a store that was restored from a backup.
func TestNeverReverts(t *testing.T) {
	f := newFleet(t, 2)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	older := f.keepers[0].Snapshot()
	mustApply(t, f.keepers[0], note(t, "second", `"changed": `+shareBody("one", 9)))
	newer := f.keepers[0].Snapshot()

	k := f.keepers[1]
	var seen []int64
	k.OnChange = func(c release.Config) { seen = append(seen, c.Revision) }
	require.True(t, k.Set(older))
	require.True(t, k.Set(newer))
	require.False(t, k.Set(older))
	require.Equal(t, []int64{1, 2}, seen)

	restored := newFleet(t, 1).keepers[0]
	require.True(t, restored.Set(newer))
	_, err := restored.Apply(t.Context(), note(t, "third", floorBody), 0)
	var stale *config.StaleStoreError
	require.ErrorAs(t, err, &stale)
}

// The store holds exactly the chunks that the newest head lists.
func TestUnusedChunksAreDeleted(t *testing.T) {
	f := newFleet(t, 2)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	for i := range 30 {
		mustApply(t, f.keepers[i%2], note(t, fmt.Sprintf("n%d", i), `"changed": `+shareBody("one", i+2)))
	}
	s, err := f.keepers[0].Store.List(t.Context(), config.ChunkPrefix)
	require.NoError(t, err)
	stored := map[string]bool{}
	for _, e := range s.Entries {
		stored[e.Key[len(config.ChunkPrefix):]] = true
	}
	listed := map[string]bool{}
	for _, hash := range f.keepers[1].Snapshot().Hashes() {
		listed[hash] = true
	}
	require.Equal(t, listed, stored)
}

// Guards against a note that is reported as refused although an earlier attempt of the same call, whose answer was lost, has
// been accepted: the attempt after it saw the result without the note's record.
func TestNoteThatArrivesLateIsNotRefused(t *testing.T) {
	for _, c := range []struct {
		name, body string
		// other is accepted after the note and before the next attempt goes on.
		other string
	}{
		{name: "withdrawn", body: `"withdrawn": {"shares": ["two"]}`},
		{name: "added", body: `"added": ` + shareBody("three", 3)},
		{name: "changed", body: `"changed": ` + shareBody("one", 5)},
		{name: "superseded", body: `"changed": ` + shareBody("one", 5), other: `"changed": ` + shareBody("one", 6)},
	} {
		for _, before := range []string{config.HeadKey, config.NotePrefix + "late"} {
			t.Run(c.name+", arrives before the read of "+before, func(t *testing.T) {
				f := newFleet(t, 2)
				mustApply(t, f.keepers[0], note(t, "first", floorBody))
				k := f.keepers[0]
				inner := *k.Store
				var late *store.Txn
				attempts := 0
				k.Store.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
					if attempts++; attempts > 1 {
						return inner.Commit(ctx, txn)
					}
					late = &txn
					return store.Result{}, &store.UnavailableError{Call: "commit", Err: errCutOff}
				}
				k.Store.Read = func(ctx context.Context, key string) (store.Entry, bool, error) {
					if key == before && late != nil {
						result, err := inner.Commit(ctx, *late)
						require.NoError(t, err)
						require.True(t, result.Done)
						late = nil
						if c.other != "" {
							mustApply(t, f.keepers[1], note(t, "other", c.other))
						}
					}
					return inner.Read(ctx, key)
				}
				report := mustApply(t, k, note(t, "late", c.body))
				require.EqualValues(t, 2, report.Revision)
			})
		}
	}
}
