package oriolepond_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leaseLimit bounds the wait for something that follows from a lapsed lease.
const leaseLimit = 30 * time.Second

// An instance that has lost the store and its only peer may not use its part,
// and callers are not sent to it, until the store is back.
func TestInstanceThatMayNotUseItsPartIsNotReady(t *testing.T) {
	p := newPond(t, 2)
	p.cluster.Store.SetDown(true)
	p.instances[1].server.Abort()
	<-p.instances[1].done
	status := func(want int) func() bool {
		return func() bool { return p.instances[0].status("/readyz") == want }
	}
	require.Eventually(t, status(http.StatusServiceUnavailable), leaseLimit, 10*time.Millisecond)
	p.cluster.Store.SetDown(false)
	require.Eventually(t, status(http.StatusOK), leaseLimit, 10*time.Millisecond)
}
