package scheduler

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// Guards against a node that is ended while it waits for its turn to run for election, and then
// keeps a processor busy until the turn has come.
func TestElectionsEndWithTheirContext(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	s := &Scheduler{ID: "a/1", Address: "a", CPUShare: 1, Timing: batch.DefaultTiming(), Log: eventlog.Discard(), Now: func() time.Time { return now }}
	s.bestShare = 4
	s.SetTable(testTable())
	s.setCellCount(1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	ended := make(chan error, 1)
	go func() { ended <- s.homeMember("").runElections(ctx) }()
	select {
	case err := <-ended:
		require.NoError(t, err)
	case <-time.After(3 * time.Second):
		require.Fail(t, "the elections go on")
	}
}
