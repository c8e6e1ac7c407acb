package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Guards against a term that ends, or leases at workers that expire, because the renewals wait while
// the core plans.
func TestLeaseIsRenewedWhileCoreIsBusy(t *testing.T) {
	l := &Leader{Timing: batch.DefaultTiming()}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	renewed := make(chan bool, 1)
	go func() {
		l.leaseRenewed(now)
		renewed <- l.isLeaseValid(now) && l.renewalsEnd().After(now)
	}()
	select {
	case valid := <-renewed:
		require.True(t, valid)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the renewal waits for the core")
	}
}

// Guards against plans that take all of the leader's time, so that leases at workers expire and
// nothing is committed.
func TestPlansLeaveTimeForOtherWork(t *testing.T) {
	cases := []struct {
		name    string
		planned time.Duration
		want    time.Duration
	}{
		{"nothing waits", 100 * time.Microsecond, minPlanInterval},
		{"a quarter of the usual interval", 2 * time.Millisecond, 8 * time.Millisecond},
		{"many steps wait", 30 * time.Millisecond, 120 * time.Millisecond},
		{"a plan as long as the pause may be at most", 333 * time.Millisecond, 1332 * time.Millisecond},
		{"the process was suspended", 4 * time.Second, 5 * time.Second},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			require.Equal(t, tc.want, planInterval(tc.planned))
		})
	}
}
