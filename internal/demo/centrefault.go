package demo

import (
	"context"
	"fmt"

	"github.com/oriolepond/oriolepond/internal/roster"
)

// lostCentre is the data centre that is lost, by number.
const lostCentre = 1

// dataCentreLoss ends everything in a data centre at once and for good. The
// platform notes that later.
func (d *Demo) dataCentreLoss(ctx context.Context) error {
	name := d.Example.DataCentres[lostCentre].Name
	var lost []roster.Instance
	for _, i := range d.cluster.Platform.Shown() {
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
		d.loseInstance(i)
	}
	fmt.Fprintf(d.Out, "  %d instances of %s were lost\n", len(lost), name)
	if err := pause(ctx, listChange); err != nil {
		return err
	}
	for _, i := range lost {
		d.cluster.Platform.Remove(i.ID)
	}
	return nil
}

// loseInstance ends a runner, or a worker with its tasks.
func (d *Demo) loseInstance(i roster.Instance) {
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
