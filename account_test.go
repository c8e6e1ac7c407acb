package oriolepond_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// accounted returns the requests in the account of a share, asked at an instance.
func accounted(m *member, share string) int64 {
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

// answered makes a request until it is answered; refusals do not count.
func answered(t *testing.T, m *member) {
	t.Helper()
	require.Eventually(t, func() bool {
		status, _, _, err := m.request("floor-token", "/s/finish/gloss/check")
		return err == nil && status == http.StatusOK
	}, soon, 10*time.Millisecond)
}

// Requests at all instances are in the account, once, also after one has
// stopped and another was started under its id.
func TestRequestsAreAccountedOnce(t *testing.T) {
	p := newPond(t, 2)
	p.apply(t, p.example.Note)
	const each = 4
	for _, m := range p.instances {
		for range each {
			answered(t, m)
		}
	}
	is := func(want int64) func() bool {
		return func() bool { return accounted(p.instances[0], "finishing") == want }
	}
	require.Eventually(t, is(2*each), soon, 10*time.Millisecond)
	gone := p.instances[1]
	gone.server.Abort()
	<-gone.done
	p.instances = p.instances[:1]
	again := p.join(t, gone.id)
	require.Eventually(t, func() bool { return again.status("/readyz") == http.StatusOK }, soon, 10*time.Millisecond)
	answered(t, again)
	require.Eventually(t, is(2*each+1), soon, 10*time.Millisecond)
}
