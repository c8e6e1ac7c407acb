package scheduler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/store"
)

func TestRetryDelayFollowsOutageAndCaller(t *testing.T) {
	for _, c := range []struct {
		name            string
		away, remaining time.Duration
		share           float64
		want            time.Duration
	}{
		{"the outage has just begun", 0, time.Minute, 0, time.Second},
		{"the caller has little time", 20 * time.Second, 2900 * time.Millisecond, 1, time.Second},
		{"the caller has some time", 20 * time.Second, 9 * time.Second, 0, 3 * time.Second},
		{"half of the outage", 12 * time.Second, time.Minute, 0, 6 * time.Second},
		{"spread", 12 * time.Second, time.Minute, 1, 9 * time.Second},
		{"a long outage", time.Hour, time.Hour, 1, 15 * time.Second},
		{"the caller's time is over", time.Hour, -time.Second, 1, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, retryDelay(c.away, c.remaining, c.share))
		})
	}
}

func TestOutageEndsWithAnswersOrWithoutFailures(t *testing.T) {
	start, failed := time.Unix(1_000_000_000, 0), &store.RefusedError{Call: "read", Status: 503}
	type call struct {
		at  time.Duration
		err error
	}
	for _, c := range []struct {
		name  string
		calls []call
		want  time.Duration
	}{
		{"no call", nil, time.Second},
		{"lasts", []call{{0, failed}, {4 * time.Second, failed}, {8 * time.Second, failed}}, 4 * time.Second},
		{"answered", []call{{0, failed}, {4 * time.Second, nil}, {8 * time.Second, failed}}, time.Second},
		{"an earlier one", []call{{0, failed}, {8 * time.Second, failed}}, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var o storeOutage
			for _, call := range c.calls {
				o.observe(call.err, start.Add(call.at))
			}
			got := o.retryAfter(start.Add(8*time.Second), time.Hour)
			require.GreaterOrEqual(t, got, c.want)
			require.LessOrEqual(t, got, c.want+c.want/2)
		})
	}
}
