package demo

import (
	"context"
	"fmt"
)

// The places of the instances that are hit.
const (
	stoppedPlace = 0
	crashedPlace = 1
	pausedPlace  = 2
)

// entryStop makes a planned stop of an instance and starts another in its place.
func (d *Demo) entryStop(ctx context.Context) error {
	i := d.running()[stoppedPlace]
	i.stopping.Store(true)
	i.process.Stop()
	select {
	case <-i.ended:
	case <-ctx.Done():
		return ctx.Err()
	}
	if i.err != nil {
		return fmt.Errorf("planned stop: %w", i.err)
	}
	return d.startInstance(ctx, stoppedPlace)
}

// entryCrash kills an instance and starts another in its place.
func (d *Demo) entryCrash(ctx context.Context) error {
	i := d.running()[crashedPlace]
	i.process.Kill()
	<-i.ended
	if err := pause(ctx, listChange); err != nil {
		return err
	}
	return d.startInstance(ctx, crashedPlace)
}

// leasePause freezes an instance for longer than its lease. Where a process
// cannot be frozen, the instance is cut off from everything instead.
func (d *Demo) leasePause(ctx context.Context) error {
	i := d.running()[pausedPlace]
	i.setCutOff(true)
	defer i.setCutOff(false)
	if i.process.Pause != nil {
		i.process.Pause()
		defer i.process.Resume()
		return pause(ctx, outage)
	}
	d.network.SetIsolated(true, i.address, "peer:"+i.id)
	defer d.network.SetIsolated(false, i.address, "peer:"+i.id)
	return pause(ctx, outage)
}
