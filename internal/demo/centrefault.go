package demo

import (
	"context"

	"github.com/oriolepond/oriolepond/internal/roster"
)

// lostDataCentre is the index of the data centre that is lost.
const lostDataCentre = 1

// dataCentreLoss kills all instances of a data centre at once and for good. The
// platform's list shows this after removalDelay.
func (d *Demo) dataCentreLoss(ctx context.Context) error {
	name := d.Example.DataCentres[lostDataCentre].Name
	var lost []roster.Instance
	for _, i := range d.cluster.Platform.Listed() {
		if i.DataCentre == name {
			lost = append(lost, i)
		}
	}
	for _, i := range d.running() {
		if i.site.DataCentre == name {
			i.process.Kill()
		}
	}
	for _, i := range lost {
		d.killInstance(i)
	}
	d.printf("  %d instances of %s were lost\n", len(lost), name)
	if err := sleep(ctx, removalDelay); err != nil {
		return err
	}
	for _, i := range lost {
		d.cluster.Platform.Remove(i.ID)
	}
	return nil
}

// killInstance kills a runner, or a worker with its tasks.
func (d *Demo) killInstance(i roster.Instance) {
	d.cluster.Kill(i.ID)
	if i.Kind != roster.KindWorker {
		return
	}
	for n, id := range d.cluster.Workers() {
		if id == i.ID {
			_, w := d.cluster.Worker(n)
			w.Crash()
		}
	}
}
