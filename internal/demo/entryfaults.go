package demo

import (
	"context"
	"fmt"
)

// Indices in Demo.current of the instances that faults affect.
const (
	stoppedPosition = 0
	crashedPosition = 1
	pausedPosition  = 2
)

// entryStop makes a planned stop of an instance and starts another one at its position.
func (d *Demo) entryStop(ctx context.Context) error {
	i := d.running()[stoppedPosition]
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
	return d.startInstance(ctx, stoppedPosition)
}

// entryCrash kills an instance and starts another one at its position.
func (d *Demo) entryCrash(ctx context.Context) error {
	i := d.running()[crashedPosition]
	i.process.Kill()
	<-i.ended
	if err := sleep(ctx, removalDelay); err != nil {
		return err
	}
	return d.startInstance(ctx, crashedPosition)
}

// leasePause freezes an instance for longer than its lease. An instance in this process
// cannot be frozen; its network traffic is dropped instead.
func (d *Demo) leasePause(ctx context.Context) error {
	i := d.running()[pausedPosition]
	i.setCutOff(true)
	defer i.setCutOff(false)
	if i.process.Pause != nil {
		i.process.Pause()
		defer i.process.Resume()
		return sleep(ctx, outageTime)
	}
	d.network.SetIsolated(true, i.address, "peer:"+i.id)
	defer d.network.SetIsolated(false, i.address, "peer:"+i.id)
	return sleep(ctx, outageTime)
}
