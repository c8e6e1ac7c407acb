// Package demo runs entry instances with stand-ins for all systems around
// them, under a bounded load, and reports what the stand-ins saw.
//
// # Usage
//
//	d := &demo.Demo{Example: example, Length: 10 * time.Second, Seed: 1, Out: os.Stdout}
//	report, err := d.Run(ctx)
package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// instanceCount is how many entry instances a demonstration runs.
	instanceCount = 3
	// meanServiceTime is how long a request takes on a runner.
	meanServiceTime = 5 * time.Millisecond
	// startTimeout bounds the start of all instances.
	startTimeout = 20 * time.Second
	// settleTimeout bounds the wait for the last tasks.
	settleTimeout = 90 * time.Second
	// progressEvery is how often a progress line is written.
	progressEvery = time.Second
	// listLag is how far the instance list lags.
	listLag = 500 * time.Millisecond
)

// Demo is one demonstration.
type Demo struct {
	Example examples.Example
	Length  time.Duration
	Seed    uint64
	Faults  []Fault
	Out     io.Writer

	cluster   *standin.Cluster
	instances []*instance
	counts    *counts
}

// Run starts everything, applies the load and the faults, and reports.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	d.counts = newCounts()
	d.cluster = &standin.Cluster{
		Example:     d.Example,
		ServiceTime: meanServiceTime,
		ListLag:     listLag,
		Work:        d.work,
	}
	if err := d.cluster.Start(); err != nil {
		return Report{}, err
	}
	defer d.cluster.Close()
	defer d.stopInstances()
	if err := d.startInstances(ctx); err != nil {
		return Report{}, err
	}
	fmt.Fprintf(d.Out, "%d instances, %d runners and %d workers on loopback\n",
		instanceCount, d.Example.Runners, d.Example.Workers)
	if err := d.applyNote(ctx); err != nil {
		return Report{}, err
	}
	loaded, cancel := context.WithTimeout(ctx, d.Length)
	defer cancel()
	d.load(loaded)
	d.settle(ctx)
	return d.report(ctx), ctx.Err()
}

// work returns what a task of a job family truly takes.
func (d *Demo) work(string) standin.Work {
	size := share.Resources{Processors: 3_000, Memory: 6e9}
	return standin.Work{RunTime: 2 * time.Second, Size: size}
}

// applyNote applies the example's first release note.
func (d *Demo) applyNote(ctx context.Context) error {
	client := operate.Client{Address: d.instances[0].addresses.Admin, Token: operatorToken}
	report, _, err := client.Apply(ctx, d.Example.Note)
	if err != nil {
		return fmt.Errorf("apply the first release note: %w", err)
	}
	fmt.Fprintf(d.Out, "release note %s: revision %d, %d entries\n", report.Note, report.Revision, len(report.Entries))
	return d.awaitConfig(ctx)
}

// awaitConfig waits until each instance knows the callers' tokens.
func (d *Demo) awaitConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range d.instances {
		call := d.Example.Calls[0]
		for {
			status, _, err := d.post(ctx, i, call, "probe", "probe")
			if err == nil && status < 400 {
				break
			}
			if err := pause(ctx, pollEvery); err != nil {
				return fmt.Errorf("instance %s does not serve: status %d", i.id, status)
			}
		}
	}
	return nil
}
