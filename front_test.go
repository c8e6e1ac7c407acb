package oriolepond_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// leaseExpiryTimeout bounds the wait for an effect of an expired lease.
const leaseExpiryTimeout = 30 * time.Second

// An instance that has lost the store and its only peer may not use its allocation. It
// is not ready until the store has recovered.
func TestInstanceWithoutUsableAllocationIsNotReady(t *testing.T) {
	p := newDeployment(t, 2)
	p.cluster.Store.SetDown(true)
	p.instances[1].server.Abort()
	<-p.instances[1].done
	status := func(want int) func() bool {
		return func() bool { return p.instances[0].status("/readyz") == want }
	}
	require.Eventually(t, status(http.StatusServiceUnavailable), leaseExpiryTimeout, 10*time.Millisecond)
	p.cluster.Store.SetDown(false)
	require.Eventually(t, status(http.StatusOK), leaseExpiryTimeout, 10*time.Millisecond)
}
