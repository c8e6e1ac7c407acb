package oriolepond

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/home"
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
	if !i.linger(i.Settings.StopDelay) {
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
	// New homes ask this instance about keys that it may have begun.
	i.linger(homeLinger)
	i.Log.Emit(eventlog.InstanceStopped)
	return nil
}

// homeLinger is how long after it handed its keys over an instance still
// answers for them: until keys of that time are past the clock bounds, and the
// others have settled the new table.
const homeLinger = 2*home.ClockBound + time.Second

// linger waits, and reports whether the instance was not aborted meanwhile.
func (i *Instance) linger(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-i.aborted():
		return false
	}
}
