package oriolepond_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/operate"
)

// burnOf returns the burn report of an instance, and the number of requests of the finish service in it.
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

// The burn report keeps the counts of an aborted instance, whichever instance is asked.
// While the store is down, the report covers only what running instances hold in
// memory.
func TestBurnReportKeepsCountsOfAbortedInstances(t *testing.T) {
	p := newDeployment(t, 2)
	p.apply(t, p.example.Note)
	for _, m := range p.instances {
		requestUntilAnswered(t, m)
	}
	a, b := p.instances[0], p.instances[1]
	// Each instance counts at least one request. The total may be higher than two, because
	// attempts that were refused and repeated count as well.
	_, before := burnOf(t, a)
	require.GreaterOrEqual(t, before, int64(2))
	_, other := burnOf(t, b)
	require.Equal(t, before, other)
	b.server.Abort()
	<-b.done
	p.instances = p.instances[:1]
	wire, after := burnOf(t, a)
	require.Equal(t, before, after)
	require.Empty(t, wire.Lost)
	joined := p.startInstance(t, "entry-9")
	require.Eventually(t, func() bool { return joined.status("/readyz") == 200 }, eventTimeout, 10*time.Millisecond)
	_, after = burnOf(t, joined)
	require.Equal(t, before, after)
	p.cluster.Store.SetDown(true)
	wire, inMemory := burnOf(t, a)
	require.True(t, wire.MemoryOnly)
	require.Less(t, inMemory, before)
	require.Positive(t, inMemory)
}
