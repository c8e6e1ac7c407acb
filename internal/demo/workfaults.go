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
	// noisySlowdown is by how much one noisy task prolongs the requests on the runners of
	// its worker, as a multiple of their undisturbed duration.
	noisySlowdown = 6
	tasksPerWave  = 200
	// noisyWaveCount is the number of waves of noisy tasks. The interval between waves
	// is the load's duration divided by wavesPerLength.
	noisyWaveCount       = 3
	wavesPerLength       = 8
	cancelledJobs        = 5
	tasksPerCancelledJob = 400
)

// Indices of the workers that faults affect.
const (
	crashedWorker = iota
	badWorker
)

// workerCrash kills a worker with its tasks, and removes it from the instance list after removalDelay.
func (d *Demo) workerCrash(ctx context.Context) error {
	id, w := d.cluster.Worker(crashedWorker)
	d.cluster.Kill(id)
	w.Crash()
	if err := sleep(ctx, removalDelay); err != nil {
		return err
	}
	d.cluster.Platform.Remove(id)
	return nil
}

// badWorker makes a worker fail every task that it starts.
func (d *Demo) badWorker(ctx context.Context) error {
	_, w := d.cluster.Worker(badWorker)
	w.SetBroken(true)
	defer w.SetBroken(false)
	return sleep(ctx, 2*misbehaviourTime)
}

// extraNote returns a release note that declares the job families noisyJob and LightJob.
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

// noisyWave submits waves of tasks that slow down the runners on their workers.
func (d *Demo) noisyWave(ctx context.Context) error {
	for n := range noisyWaveCount {
		if _, err := d.submit(ctx, noisyJob, fmt.Sprintf("noise-%d-%d", d.Seed, n), tasksPerWave); err != nil {
			return err
		}
		if err := sleep(ctx, d.noisyRunTime()); err != nil {
			return err
		}
	}
	return nil
}

// noisyRunTime returns the run time of an undisturbed noisy task, which is also the time between two waves.
func (d *Demo) noisyRunTime() time.Duration { return d.Length / wavesPerLength }

// cancelWave submits thousands of tasks in several jobs and cancels all of them at once.
func (d *Demo) cancelWave(ctx context.Context) error {
	ids := make([]string, cancelledJobs)
	for n := range ids {
		id, err := d.submit(ctx, noisyJob, fmt.Sprintf("cancel-%d-%d", d.Seed, n), tasksPerCancelledJob)
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
