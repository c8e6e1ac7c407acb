package operate

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/meter"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Whatever was used is in one period, also when two instances write its end,
// an end is missed, or a total falls for a while.
func TestPeriodsSumToTheAccount(t *testing.T) {
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := store.NewEtcd([]string{server.URL}, server.Client())
	requests := int64(0)
	accounts := func(context.Context) ([]Account, error) {
		row := Account{Account: shard.Account{Neighbour: "floor", Share: "finishing"}, Traffic: meter.Traffic{Requests: requests}}
		return []Account{row}, nil
	}
	keeper := func() *Periods {
		return &Periods{Store: client, Interval: time.Hour, Accounts: accounts, Log: eventlog.Discard()}
	}
	a, b := keeper(), keeper()
	first := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	at := func(k *Periods, hour int, total int64) {
		requests = total
		require.NoError(t, k.keep(t.Context(), first.Add(time.Duration(hour)*time.Hour)))
	}
	at(a, 0, 10)
	at(b, 0, 11) // Later than a: not written.
	at(b, 2, 30) // The end of hour 1 was missed.
	at(a, 3, 25) // A new holder has not heard from all workers.
	requests = 40
	last, err := a.Last(t.Context(), 10)
	require.NoError(t, err)
	var used []int64
	for _, p := range last {
		used = append(used, p.Rows[0].Requests)
	}
	require.Equal(t, []int64{10, 20, 0, 10}, used)
	require.Equal(t, first, last[1].Start.UTC())
	require.Equal(t, first.Add(2*time.Hour), last[1].End.UTC())
	last, err = b.Last(t.Context(), 1)
	require.NoError(t, err)
	require.Len(t, last, 1)
}
