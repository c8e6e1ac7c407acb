package oriolepond_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/operate"
)

// burnOf returns the burn report of an instance, and the requests of the finish service in it.
func burnOf(t *testing.T, m *member) (operate.WireBurn, int64) {
	t.Helper()
	wire, _, err := m.operator().Burn(t.Context())
	require.NoError(t, err)
	for _, row := range wire.Rows {
		if row.Service == "finish" && row.Neighbour == "" {
			return wire, row.Windows[len(row.Windows)-1].Total
		}
	}
	return wire, 0
}

// Counts of objectives outlive their instance, whichever instance is asked;
// while the store is down the instances tell what they hold in memory.
func TestBurnOutlivesInstances(t *testing.T) {
	p := newPond(t, 2)
	p.apply(t, p.example.Note)
	for _, m := range p.instances {
		answered(t, m)
	}
	a, b := p.instances[0], p.instances[1]
	// Requests that were refused at first count, too.
	_, before := burnOf(t, a)
	require.GreaterOrEqual(t, before, int64(2))
	_, same := burnOf(t, b)
	require.Equal(t, before, same)
	b.server.Abort()
	<-b.done
	p.instances = p.instances[:1]
	wire, after := burnOf(t, a)
	require.Equal(t, before, after)
	require.Empty(t, wire.Lost)
	again := p.join(t, "entry-9")
	require.Eventually(t, func() bool { return again.status("/readyz") == 200 }, soon, 10*time.Millisecond)
	_, after = burnOf(t, again)
	require.Equal(t, before, after)
	p.cluster.Store.SetDown(true)
	wire, alone := burnOf(t, a)
	require.True(t, wire.MemoryOnly)
	require.Less(t, alone, before)
	require.Positive(t, alone)
}
