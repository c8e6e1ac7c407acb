package oriolepond

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// stopState is how far a planned stop has come.
type stopState struct {
	// leaving instances are not ready, and end each connection with its next answer.
	leaving atomic.Bool
	// draining instances refuse new work.
	draining atomic.Bool
}

// drain makes a planned stop. For StopDelay the instance still serves while
// the balancer learns that it is not ready; then it refuses new work and waits
// for the requests in flight.
func (i *Instance) drain(front *http.Server) error {
	i.stop.leaving.Store(true)
	i.Log.Emit(eventlog.InstanceStopping)
	ctx, cancel := context.WithTimeout(context.Background(), i.Settings.StopTimeout)
	defer cancel()
	select {
	case <-time.After(i.Settings.StopDelay):
	case <-i.aborted():
		return nil
	}
	i.stop.draining.Store(true)
	handOver := time.AfterFunc(i.longestDeadline(), func() { i.leave(ctx) })
	defer handOver.Stop()
	if err := front.Shutdown(ctx); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	if err := i.requests.Drain(ctx); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	i.leave(ctx)
	i.Log.Emit(eventlog.InstanceStopped)
	return nil
}
