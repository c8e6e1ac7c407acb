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

// inForceWithin is the bound on the time from acceptance to in force everywhere.
const inForceWithin = 5 * time.Second

// fleet is a number of keepers on one store.
type fleet struct {
	store *standin.Store
	url   string
	// mu guards keepers, which running keepers look through.
	mu      sync.Mutex
	keepers []*config.Keeper
	// cut holds the keepers that do not reach the store.
	cut [64]atomic.Bool
	// parted reports whether two keepers do not reach one another.
	parted func(a, b int) bool
}

func newFleet(t testing.TB, n int) *fleet {
	t.Helper()
	f := &fleet{store: standin.NewStore(), parted: func(int, int) bool { return false }}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.url = server.URL
	for range n {
		f.join(t)
	}
	return f
}

// join adds a keeper that has nothing yet.
func (f *fleet) join(t testing.TB) *config.Keeper {
	i := len(f.keepers)
	k := &config.Keeper{ID: fmt.Sprintf("entry-%d", i), Log: eventlog.Discard()}
	k.Store = f.client(i)
	k.Peers = func() []config.Peer { return f.peersOf(i) }
	f.mu.Lock()
	defer f.mu.Unlock()
	f.keepers = append(f.keepers, k)
	return k
}

// run runs a keeper until the test ends.
func run(t testing.TB, keepers ...*config.Keeper) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for _, k := range keepers {
		group.Go(func() { _ = k.Run(ctx) })
	}
	t.Cleanup(func() { cancel(); group.Wait() })
}

// client returns a client whose calls fail while the keeper is cut off.
func (f *fleet) client(i int) *store.Client {
	inner := store.NewEtcd([]string{f.url}, standinClient)
	c := *inner
	c.Read = func(ctx context.Context, key string) (store.Entry, bool, error) {
		if f.cut[i].Load() {
			return store.Entry{}, false, errCut
		}
		return inner.Read(ctx, key)
	}
	c.List = func(ctx context.Context, prefix string) (store.Snapshot, error) {
		if f.cut[i].Load() {
			return store.Snapshot{}, errCut
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
				if f.parted(i, j) {
					return 0, errCut
				}
				return other.HandleAnnouncement(id, revision), nil
			},
			FetchNewer: func(_ context.Context, have config.Snapshot) (config.Snapshot, bool, error) {
				if f.parted(i, j) {
					return config.Snapshot{}, false, errCut
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

// share returns a list of one share of a neighbour named floor.
func share(name string, cores int) string {
	return fmt.Sprintf(`{"shares": [{"name": %q, "neighbour": "floor", "quota": {"processors": %d}}]}`, name, cores)
}

const floor = `"added": {"neighbours": [{"name": "floor", "region": "r", "tokenHash": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}],
	"shares": [{"name": "one", "neighbour": "floor", "quota": {"processors": 1}}, {"name": "two", "neighbour": "floor", "quota": {"processors": 1}}]}`

func mustApply(t testing.TB, k *config.Keeper, n release.Note) release.Report {
	t.Helper()
	report, err := k.Apply(t.Context(), n, 0)
	require.NoError(t, err)
	require.False(t, report.Refused(), "%+v", report)
	return report
}

func reach(t testing.TB, k *config.Keeper, revision int64) {
	t.Helper()
	require.Eventually(t, func() bool { return k.Current().Revision >= revision }, inForceWithin, time.Millisecond,
		"%s is not at revision %d within %v", k.ID, revision, inForceWithin)
}

func TestNoteIsInForceEverywhere(t *testing.T) {
	f := newFleet(t, 7)
	run(t, f.keepers...)
	report := mustApply(t, f.keepers[0], note(t, "first", floor))
	for _, k := range f.keepers {
		reach(t, k, report.Revision)
	}
	status, err := f.keepers[3].Status(t.Context(), "first")
	require.NoError(t, err)
	require.False(t, status.Pending(), "%+v", status)
}

func TestRepeatTakesEffectOnce(t *testing.T) {
	f := newFleet(t, 2)
	first := mustApply(t, f.keepers[0], note(t, "first", floor))
	again := mustApply(t, f.keepers[1], note(t, "first", floor))
	require.Equal(t, first, again)
	_, err := f.keepers[0].Apply(t.Context(), note(t, "first", `"withdrawn": {"shares": ["one"]}`), 0)
	var taken *config.NameTakenError
	require.ErrorAs(t, err, &taken)
}

// Every note takes effect once although many answers are lost.
func TestLostAnswers(t *testing.T) {
	f := newFleet(t, 2)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	f.store.SetLostAnswers(0.4, 11)
	for i := range 20 {
		report := mustApply(t, f.keepers[i%2], note(t, fmt.Sprintf("n%d", i), `"changed": `+share("one", i+2)))
		require.EqualValues(t, i+2, report.Revision)
	}
	f.store.SetLostAnswers(0, 0)
	history, err := f.keepers[0].History(t.Context(), 100)
	require.NoError(t, err)
	require.Len(t, history, 21)
}

// Operators that race on other entries all succeed; of those that race on one
// entry, the later ones learn who came first.
func TestRacingOperators(t *testing.T) {
	f := newFleet(t, 4)
	run(t, f.keepers...)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	for _, k := range f.keepers {
		reach(t, k, 1)
	}
	var group sync.WaitGroup
	errs := make([]error, 4)
	for i, k := range f.keepers {
		group.Go(func() {
			_, errs[i] = k.Apply(t.Context(), note(t, fmt.Sprintf("add-%d", i), `"added": `+share(fmt.Sprintf("s%d", i), 1)), 1)
		})
	}
	group.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	for i, k := range f.keepers {
		group.Go(func() {
			_, errs[i] = k.Apply(t.Context(), note(t, fmt.Sprintf("change-%d", i), `"changed": `+share("one", i+5)), 5)
		})
	}
	group.Wait()
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		var conflict *config.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.Equal(t, "one", conflict.Conflicts[0].Entry.Name)
		require.Contains(t, conflict.Conflicts[0].Other, "change-")
	}
	require.Equal(t, 1, won)
}

// A note that rested on something withdrawn meanwhile is refused by name.
func TestRaceThroughReference(t *testing.T) {
	f := newFleet(t, 1)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	mustApply(t, f.keepers[0], note(t, "gone", `"withdrawn": {"shares": ["one"]}`))
	report, err := f.keepers[0].Apply(t.Context(), note(t, "late", `"changed": `+share("one", 3)), 1)
	if err == nil {
		require.True(t, report.Refused())
		return
	}
	require.ErrorContains(t, err, `touched by note "gone"`)
}

// An instance knows its configuration once the store has said that there is
// none, or the newest one is in force; not while it still reads the chunks.
func TestKnown(t *testing.T) {
	f := newFleet(t, 1)
	require.False(t, f.keepers[0].Loaded())
	run(t, f.keepers...)
	require.Eventually(t, f.keepers[0].Loaded, inForceWithin, time.Millisecond)
	require.Zero(t, f.keepers[0].Current().Revision)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	f.store.SetDelay(50 * time.Millisecond)
	late := f.join(t)
	late.Peers = nil
	run(t, late)
	require.Eventually(t, late.Loaded, inForceWithin, time.Millisecond)
	require.EqualValues(t, 1, late.Current().Revision)
}

func TestJoinInStoreOutage(t *testing.T) {
	f := newFleet(t, 3)
	run(t, f.keepers...)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	for _, k := range f.keepers {
		reach(t, k, 1)
	}
	f.store.SetDown(true)
	late := f.join(t)
	run(t, late)
	reach(t, late, 1)
}

// A region that lost the store and the other region, but for one instance that
// still reaches a peer, gets newer configurations from that peer.
func TestPartedRegionGetsNewsThroughOnePeer(t *testing.T) {
	f := newFleet(t, 14)
	f.parted = func(a, b int) bool { return a/7 != b/7 && (min(a, b) != 6 || max(a, b) != 7) }
	for i := 7; i < 14; i++ {
		f.cut[i].Store(true)
	}
	run(t, f.keepers...)
	report := mustApply(t, f.keepers[0], note(t, "first", floor))
	for _, k := range f.keepers {
		reach(t, k, report.Revision)
	}
}

// While an instance is out of reach the report names it; when it is back it
// takes the newest revision only.
func TestReportNamesInstancesThatAreBehind(t *testing.T) {
	f := newFleet(t, 3)
	var parted atomic.Bool
	parted.Store(true)
	f.parted = func(a, b int) bool { return parted.Load() && (a == 2 || b == 2) }
	f.cut[2].Store(true)
	run(t, f.keepers...)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	reach(t, f.keepers[1], 1)
	status, err := f.keepers[1].Status(t.Context(), "first")
	require.NoError(t, err)
	for _, e := range status.Entries {
		require.Equal(t, release.Pending, e.Outcome)
		require.Equal(t, []string{"entry-2"}, e.PendingOn)
	}
	parted.Store(false)
	f.cut[2].Store(false)
	reach(t, f.keepers[2], 1)
	status, err = f.keepers[1].Status(t.Context(), "first")
	require.NoError(t, err)
	require.False(t, status.Pending())
}

// An instance that restarts with peers' older copy, or meets a store that was
// restored from an old copy, never goes back.
func TestNeverReverts(t *testing.T) {
	f := newFleet(t, 2)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	older := f.keepers[0].Snapshot()
	mustApply(t, f.keepers[0], note(t, "second", `"changed": `+share("one", 9)))
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
	_, err := restored.Apply(t.Context(), note(t, "third", floor), 0)
	var stale *config.StaleStoreError
	require.ErrorAs(t, err, &stale)
}

// Chunks that no head names are removed, and all that a head names are there.
func TestChunksAreCollected(t *testing.T) {
	f := newFleet(t, 2)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	for i := range 30 {
		mustApply(t, f.keepers[i%2], note(t, fmt.Sprintf("n%d", i), `"changed": `+share("one", i+2)))
	}
	s, err := f.keepers[0].Store.List(t.Context(), config.ChunkPrefix)
	require.NoError(t, err)
	there := map[string]bool{}
	for _, e := range s.Entries {
		there[e.Key[len(config.ChunkPrefix):]] = true
	}
	named := map[string]bool{}
	for _, hash := range f.keepers[1].Snapshot().Hashes() {
		named[hash] = true
	}
	require.Equal(t, named, there)
}
