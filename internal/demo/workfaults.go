package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// noisyJob is the job family of noisy and of cancelled tasks.
	noisyJob = "noisy"
	// LightJob is a job family of small urgent tasks.
	LightJob = "light"
)

const (
	// noisySlowdown is what one noisy task adds to the runners beside it.
	noisySlowdown = 6
	noisyTasks    = 200
	// noisyWaves is how many waves of noisy tasks come, and noisyParts how
	// many waves the load's length would hold.
	noisyWaves    = 3
	noisyParts    = 8
	cancelledJobs = 5
	cancelTasks   = 400
)

// The workers that are hit, by number.
const (
	crashedWorker = iota
	badWorker
)

// workerCrash kills a worker with its tasks and lists its end later.
func (d *Demo) workerCrash(ctx context.Context) error {
	id, w := d.cluster.Worker(crashedWorker)
	d.cluster.Kill(id)
	w.Crash()
	if err := pause(ctx, listChange); err != nil {
		return err
	}
	d.cluster.Platform.Remove(id)
	return nil
}

// badWorker makes a worker fail everything that it starts.
func (d *Demo) badWorker(ctx context.Context) error {
	_, w := d.cluster.Worker(badWorker)
	w.SetBroken(true)
	defer w.SetBroken(false)
	return pause(ctx, 2*misbehaviour)
}

// extraNote declares what the faults need beside the example's own note.
func (d *Demo) extraNote() []byte {
	n, err := release.Parse(d.Example.Name, d.Example.Note)
	if err != nil {
		return nil
	}
	job, _ := release.Config{Declarations: n.Added}.Job(d.Example.Job)
	return fmt.Appendf(nil, `{
		"name": "demo-extra",
		"added": {"jobs": [{
			"name": %q, "neighbour": %q, "share": %q,
			"size": {"processors": 4, "memory": "8GB"}, "runTime": "1s", "checkpoints": true
		}, {
			"name": %q, "neighbour": %q, "share": %q,
			"size": {"processors": 0.1, "memory": "200MB"}, "runTime": "1s", "urgent": true
		}]}
	}`, noisyJob, job.Neighbour, job.Share, LightJob, job.Neighbour, job.Share)
}

// noisyWave submits waves of tasks that slow the runners beside them.
func (d *Demo) noisyWave(ctx context.Context) error {
	for n := range noisyWaves {
		if _, err := d.submit(ctx, noisyJob, fmt.Sprintf("noise-%d-%d", d.Seed, n), noisyTasks); err != nil {
			return err
		}
		if err := pause(ctx, d.noisyTime()); err != nil {
			return err
		}
	}
	return nil
}

// noisyTime is how long an undisturbed noisy task runs, and the time between two waves.
func (d *Demo) noisyTime() time.Duration { return d.Length / noisyParts }

// cancelWave submits thousands of tasks and cancels them all at once.
func (d *Demo) cancelWave(ctx context.Context) error {
	ids := make([]string, cancelledJobs)
	for n := range ids {
		id, err := d.submit(ctx, noisyJob, fmt.Sprintf("cancel-%d-%d", d.Seed, n), cancelTasks)
		if err != nil {
			return err
		}
		ids[n] = id
	}
	var group sync.WaitGroup
	failures := make(chan error, len(ids))
	for _, id := range ids {
		group.Go(func() { failures <- d.cancel(ctx, id) })
	}
	group.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return err
		}
	}
	return nil
}
