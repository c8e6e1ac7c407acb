package meter_test

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

var payer = meter.Payer{Neighbour: "floor", Share: "finishing"}

type rig struct {
	t      *testing.T
	store  *standin.Store
	client *store.Client
	alive  map[string]bool
}

func newRig(t *testing.T) *rig {
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	return &rig{t: t, store: s, client: store.NewEtcd([]string{server.URL}, server.Client()), alive: map[string]bool{}}
}

func (r *rig) keeper(id string) *meter.Keeper {
	r.alive[id] = true
	return &meter.Keeper{
		Meter: meter.New(), Store: r.client, ID: id, Log: eventlog.Discard(),
		Alive: func(id string) bool { return r.alive[id] },
	}
}

// use counts requests at a keeper and writes them.
func (r *rig) use(k *meter.Keeper, requests int64) {
	k.Meter.Add(payer, meter.Traffic{Requests: requests, LinkBytes: 10 * requests})
	require.NoError(r.t, k.Flush(context.Background()))
}

func (r *rig) total(k *meter.Keeper) meter.Traffic {
	c, err := k.Totals(context.Background())
	require.NoError(r.t, err)
	return c[payer]
}

// Counts outlive their instance, and are folded once.
func TestCountsOfGoneInstanceAreFoldedOnce(t *testing.T) {
	r := newRig(t)
	a, b, c := r.keeper("a"), r.keeper("b"), r.keeper("c")
	r.use(a, 5)
	r.use(b, 7)
	r.use(c, 1)
	r.alive["a"] = false
	for _, k := range []*meter.Keeper{b, c, b} {
		require.NoError(t, k.Fold(context.Background()))
		require.Equal(t, meter.Traffic{Requests: 13, LinkBytes: 130}, r.total(k))
	}
}

// An instance that was taken for gone goes on counting, and nothing counts twice.
func TestFoldedInstanceThatLivesIsCountedOnce(t *testing.T) {
	r := newRig(t)
	a, b := r.keeper("a"), r.keeper("b")
	r.use(a, 5)
	r.alive["a"] = false
	require.NoError(t, b.Fold(context.Background()))
	r.use(a, 2) // Finds its key gone.
	r.use(a, 3)
	require.Equal(t, int64(10), r.total(b).Requests)
	require.NoError(t, b.Fold(context.Background()))
	r.use(a, 1)
	require.NoError(t, a.Flush(context.Background()))
	require.Equal(t, int64(11), r.total(b).Requests)
}

// A write whose answer was lost is not counted twice.
func TestLostAnswerCountsOnce(t *testing.T) {
	r := newRig(t)
	a := r.keeper("a")
	r.use(a, 5)
	r.store.SetLostAnswers(1, 1)
	a.Meter.Add(payer, meter.Traffic{Requests: 2})
	require.Error(t, a.Flush(context.Background()))
	r.store.SetLostAnswers(0, 0)
	a.Meter.Add(payer, meter.Traffic{Requests: 4})
	for range 2 {
		require.NoError(t, a.Flush(context.Background()))
	}
	require.Equal(t, int64(11), r.total(a).Requests)
}

// A write whose answer was lost, and which was then folded, is not counted twice.
func TestLostAnswerThenFoldCountsOnce(t *testing.T) {
	r := newRig(t)
	a, b := r.keeper("a"), r.keeper("b")
	r.use(a, 5)
	r.store.SetLostAnswers(1, 1)
	a.Meter.Add(payer, meter.Traffic{Requests: 2})
	require.Error(t, a.Flush(context.Background()))
	r.store.SetLostAnswers(0, 0)
	r.alive["a"] = false
	require.NoError(t, b.Fold(context.Background()))
	for range 2 {
		require.NoError(t, a.Flush(context.Background()))
	}
	require.Equal(t, int64(7), r.total(b).Requests)
}

// The same holds for the first write of an instance.
func TestLostFirstAnswerThenFoldCountsOnce(t *testing.T) {
	r := newRig(t)
	a, b := r.keeper("a"), r.keeper("b")
	r.store.SetLostAnswers(1, 1)
	a.Meter.Add(payer, meter.Traffic{Requests: 5})
	require.Error(t, a.Flush(context.Background()))
	r.store.SetLostAnswers(0, 0)
	r.alive["a"] = false
	require.NoError(t, b.Fold(context.Background()))
	for range 2 {
		require.NoError(t, a.Flush(context.Background()))
	}
	require.Equal(t, int64(5), r.total(b).Requests)
	a.Meter.Add(payer, meter.Traffic{Requests: 2})
	require.NoError(t, a.Flush(context.Background()))
	require.Equal(t, int64(7), r.total(b).Requests)
}
