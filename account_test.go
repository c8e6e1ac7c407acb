package oriolepond_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accountedRequests returns the number of requests that an instance's account shows for
// a share, or -1 if the call fails.
func accountedRequests(m *member, share string) int64 {
	rows, _, err := m.operator().Account(context.Background())
	if err != nil {
		return -1
	}
	sum := int64(0)
	for _, r := range rows {
		if r.Share == share {
			sum += r.Requests
		}
	}
	return sum
}

// requestUntilAnswered repeats a request until it succeeds. Refused attempts are not accounted.
func requestUntilAnswered(t *testing.T, m *member) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, _, _, err := m.request("floor-token", "/s/finish/gloss/check")
		return err == nil && status == http.StatusOK
	}, eventTimeout, 10*time.Millisecond)
}

// Requests at several instances are accounted exactly once, also after an instance was
// aborted and another one was started under its ID.
func TestRequestsAreAccountedOnce(t *testing.T) {
	p := newDeployment(t, 2)
	p.apply(t, p.example.Note)
	const requestsPerInstance = 4
	for _, m := range p.instances {
		for range requestsPerInstance {
			requestUntilAnswered(t, m)
		}
	}
	accountIs := func(want int64) func() bool {
		return func() bool { return accountedRequests(p.instances[0], "finishing") == want }
	}
	require.Eventually(t, accountIs(2*requestsPerInstance), eventTimeout, 10*time.Millisecond)
	aborted := p.instances[1]
	aborted.server.Abort()
	<-aborted.done
	p.instances = p.instances[:1]
	restarted := p.startInstance(t, aborted.id)
	require.Eventually(t, func() bool { return restarted.status("/readyz") == http.StatusOK }, eventTimeout, 10*time.Millisecond)
	requestUntilAnswered(t, restarted)
	require.Eventually(t, accountIs(2*requestsPerInstance+1), eventTimeout, 10*time.Millisecond)
}
