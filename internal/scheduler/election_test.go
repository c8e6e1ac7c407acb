package scheduler

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// Guards against a node that never ends, and uses all processor time meanwhile, because it is stopped
// while it waits for its turn to run for election.
func TestNodeEndsWhileItWaitsForElection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Scheduler{ID: "a/1", Address: "a", CPUShare: 1, Log: eventlog.Discard(), Now: time.Now, rtt: time.Second}
		s.SetTable(testTable())
		s.setCellCount(1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- s.member(0).runElections(ctx) }()
		time.Sleep(time.Second)
		cancel()
		select {
		case err := <-ended:
			require.NoError(t, err)
		case <-time.After(time.Second):
			require.Fail(t, "the node still runs for election")
		}
	})
}
