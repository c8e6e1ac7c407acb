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

// TestPeriodsSumToTheAccount checks that all usage belongs to exactly one period, even
// if two instances write the same period, a period is missed or a total drops
// temporarily.
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
	newPeriods := func() *Periods {
		return &Periods{Store: client, Interval: time.Hour, Accounts: accounts, Log: eventlog.Discard()}
	}
	a, b := newPeriods(), newPeriods()
	first := time.Date(2026, 1, 1, 8, 0, 0, 0, time.UTC)
	writeAt := func(k *Periods, hour int, total int64) {
		requests = total
		require.NoError(t, k.writePeriod(t.Context(), first.Add(time.Duration(hour)*time.Hour)))
	}
	writeAt(a, 0, 10)
	writeAt(b, 0, 11) // Later than a: not written.
	writeAt(b, 2, 30) // No instance wrote hour 1.
	writeAt(a, 3, 25) // A new leader has not received reports from all workers.
	requests = 40
	periods, err := a.Last(t.Context(), 10)
	require.NoError(t, err)
	var used []int64
	for _, p := range periods {
		used = append(used, p.Rows[0].Requests)
	}
	require.Equal(t, []int64{10, 20, 0, 10}, used)
	require.Equal(t, first, periods[1].Start.UTC())
	require.Equal(t, first.Add(2*time.Hour), periods[1].End.UTC())
	periods, err = b.Last(t.Context(), 1)
	require.NoError(t, err)
	require.Len(t, periods, 1)
}
