package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
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

// Submissions are not held one after the other by a store that answers nothing.
func TestSilentStoreIsNotAskedForEachSubmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads, silent := 0, true
		m := &cellMember{keys: keysOfCell(0), scheduler: &Scheduler{Now: time.Now, Store: &store.Client{
			Read: func(ctx context.Context, _ string) (store.Entry, bool, error) {
				reads++
				if silent {
					<-ctx.Done()
					return store.Entry{}, false, &store.UnavailableError{Call: "read", Err: ctx.Err()}
				}
				return store.Entry{}, false, nil
			},
		}}}
		for range 5 {
			require.ErrorAs(t, m.checkStore(t.Context(), "1"), new(*UnavailableError))
		}
		require.Equal(t, 1, reads)
		silent = false
		time.Sleep(silencePause)
		require.NoError(t, m.checkStore(t.Context(), "1"))
	})
}
