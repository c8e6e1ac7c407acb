package oriolepond

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/shutdown"
)

// stopState records the progress of a planned stop.
type stopState struct {
	// leaving is set when the stop begins. The instance is not ready and closes each
	// connection after its next response.
	leaving atomic.Bool
	// draining is set when StopDelay has passed since the stop began. From then on the
	// instance refuses new work.
	draining atomic.Bool
}

// drain makes a planned stop. For StopDelay the instance still serves while the load
// balancer learns that it is not ready. Then it refuses new work and waits for the
// requests in flight.
func (i *Instance) drain(tracker *shutdown.Tracker, front *http.Server) error {
	i.stop.leaving.Store(true)
	i.Log.Emit(eventlog.InstanceStopping)
	ctx, cancel := context.WithTimeout(context.Background(), i.Settings.StopTimeout)
	defer cancel()
	if !i.waitUnlessAborted(i.Settings.StopDelay) {
		return nil
	}
	i.stop.draining.Store(true)
	handOver := time.AfterFunc(i.longestDeadline(), func() { i.leaveMembership(ctx) })
	defer handOver.Stop()
	if err := tracker.Drain(ctx, front); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	if err := i.requests.Drain(ctx); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	i.leaveMembership(ctx)
	// The new homes of the keys that this instance handed over still ask whether it has
	// registered them.
	i.waitUnlessAborted(keyStatementPeriod)
	i.Log.Emit(eventlog.InstanceStopped)
	return nil
}

// keyStatementPeriod is how long an instance still answers queries about its keys after
// it has handed them over. By its end, keys with a timestamp from before the hand-over
// are older than the clock bounds, and the other instances use the new grant table.
const keyStatementPeriod = 2*home.ClockBound + time.Second

// waitUnlessAborted waits for d. It returns false as soon as the instance is aborted.
func (i *Instance) waitUnlessAborted(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-i.aborted():
		return false
	}
}
