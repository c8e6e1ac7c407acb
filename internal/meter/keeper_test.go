package meter_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

var payer = meter.Payer{Neighbour: "floor", Share: "finishing"}

// harness runs keepers on an in-memory store. A test sets which instances are alive.
type harness struct {
	t      *testing.T
	store  *standin.Store
	client *store.Client
	alive  map[string]bool
}

func newHarness(t *testing.T) *harness {
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return &harness{t: t, store: s, client: store.NewEtcd([]string{server.URL}, server.Client()), alive: map[string]bool{}}
}

// keeper returns a new keeper and marks it as alive.
func (h *harness) keeper(id string) *meter.Keeper {
	h.alive[id] = true
	return &meter.Keeper{
		Meter: meter.New(), Store: h.client, ID: id, Log: eventlog.Discard(),
		Alive: func(id string) bool { return h.alive[id] },
	}
}

// count adds requests at a keeper and writes its counts.
func (h *harness) count(k *meter.Keeper, requests int64) {
	k.Meter.Add(payer, meter.Traffic{Requests: requests, LinkBytes: 10 * requests})
	require.NoError(h.t, k.Flush(context.Background()))
}

// total returns the stored traffic of payer over all instances.
func (h *harness) total(k *meter.Keeper) meter.Traffic {
	c, err := k.Totals(context.Background())
	require.NoError(h.t, err)
	return c[payer]
}

// TestTerminatedInstanceIsFoldedOnce checks that the counts of a terminated instance
// are kept, and are added to the total only once although several keepers fold it.
func TestTerminatedInstanceIsFoldedOnce(t *testing.T) {
	h := newHarness(t)
	a, b, c := h.keeper("a"), h.keeper("b"), h.keeper("c")
	h.count(a, 5)
	h.count(b, 7)
	h.count(c, 1)
	h.alive["a"] = false
	for _, k := range []*meter.Keeper{b, c, b} {
		require.NoError(t, k.Fold(context.Background()))
		require.Equal(t, meter.Traffic{Requests: 13, LinkBytes: 130}, h.total(k))
	}
}

// TestFoldedLiveInstanceIsCountedOnce guards against counting requests twice if an
// instance is folded by mistake and goes on counting.
func TestFoldedLiveInstanceIsCountedOnce(t *testing.T) {
	h := newHarness(t)
	a, b := h.keeper("a"), h.keeper("b")
	h.count(a, 5)
	h.alive["a"] = false
	require.NoError(t, b.Fold(context.Background()))
	h.count(a, 2) // The write finds its key deleted.
	h.count(a, 3)
	require.Equal(t, int64(10), h.total(b).Requests)
	require.NoError(t, b.Fold(context.Background()))
	h.count(a, 1)
	require.NoError(t, a.Flush(context.Background()))
	require.Equal(t, int64(11), h.total(b).Requests)
}

// TestLostResponseCountsOnce guards against counting requests twice if the response
// to a write was lost.
func TestLostResponseCountsOnce(t *testing.T) {
	h := newHarness(t)
	a := h.keeper("a")
	h.count(a, 5)
	h.store.SetLostAnswers(1, 1)
	a.Meter.Add(payer, meter.Traffic{Requests: 2})
	require.Error(t, a.Flush(context.Background()))
	h.store.SetLostAnswers(0, 0)
	a.Meter.Add(payer, meter.Traffic{Requests: 4})
	for range 2 {
		require.NoError(t, a.Flush(context.Background()))
	}
	require.Equal(t, int64(11), h.total(a).Requests)
}

// TestLostResponseThenFoldCountsOnce guards against counting requests twice if the
// response to a write was lost and the write was folded before the next one.
func TestLostResponseThenFoldCountsOnce(t *testing.T) {
	h := newHarness(t)
	a, b := h.keeper("a"), h.keeper("b")
	h.count(a, 5)
	h.store.SetLostAnswers(1, 1)
	a.Meter.Add(payer, meter.Traffic{Requests: 2})
	require.Error(t, a.Flush(context.Background()))
	h.store.SetLostAnswers(0, 0)
	h.alive["a"] = false
	require.NoError(t, b.Fold(context.Background()))
	for range 2 {
		require.NoError(t, a.Flush(context.Background()))
	}
	require.Equal(t, int64(7), h.total(b).Requests)
}

// TestLostFirstResponseThenFoldCountsOnce guards against counting requests twice if
// the response to an instance's first write, which creates its key, was lost and the
// write was folded before the next one.
func TestLostFirstResponseThenFoldCountsOnce(t *testing.T) {
	h := newHarness(t)
	a, b := h.keeper("a"), h.keeper("b")
	h.store.SetLostAnswers(1, 1)
	a.Meter.Add(payer, meter.Traffic{Requests: 5})
	require.Error(t, a.Flush(context.Background()))
	h.store.SetLostAnswers(0, 0)
	h.alive["a"] = false
	require.NoError(t, b.Fold(context.Background()))
	for range 2 {
		require.NoError(t, a.Flush(context.Background()))
	}
	require.Equal(t, int64(5), h.total(b).Requests)
	a.Meter.Add(payer, meter.Traffic{Requests: 2})
	require.NoError(t, a.Flush(context.Background()))
	require.Equal(t, int64(7), h.total(b).Requests)
}

// Guards against a planned stop that loses counts because the response to the write before its own was lost, or that the instance
// was folded by mistake.
func TestPlannedStopWritesAllCounts(t *testing.T) {
	for _, c := range []struct {
		name   string
		before func(h *harness, a, b *meter.Keeper)
	}{
		{name: "response lost", before: func(h *harness, a, _ *meter.Keeper) {
			h.store.SetLostAnswers(1, 1)
			require.Error(h.t, a.Flush(h.t.Context()))
			h.store.SetLostAnswers(0, 0)
		}},
		{name: "folded by mistake", before: func(h *harness, _, b *meter.Keeper) {
			h.alive["a"] = false
			require.NoError(h.t, b.Fold(h.t.Context()))
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			a, b := h.keeper("a"), h.keeper("b")
			a.Interval = time.Hour
			h.count(a, 5)
			a.Meter.Add(payer, meter.Traffic{Requests: 2})
			c.before(h, a, b)
			a.Meter.Add(payer, meter.Traffic{Requests: 4})
			ctx, stop := context.WithCancel(t.Context())
			stop()
			require.NoError(t, a.Run(ctx))
			require.Equal(t, int64(11), h.total(b).Requests)
		})
	}
}
