// Package demo runs entry instances with stand-ins for all systems around them, under a
// bounded load and with injected faults, and reports what the stand-ins and the callers
// saw.
//
// A Demo describes one run: its Size sets the load, and its Faults are injected one after
// the other. Report.Broken lists the rules that the run broke.
//
// # Usage
//
//	d := &demo.Demo{Example: example, Length: 10 * time.Second, Seed: 1, Out: os.Stdout}
//	report, err := d.Run(ctx)
package demo

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// taskRunTime is the run time of an undisturbed task.
	taskRunTime = 2 * time.Second
	// instanceCount is the default number of entry instances.
	instanceCount = 3
	// meanServiceTime is the mean duration of a request on a runner.
	meanServiceTime = 5 * time.Millisecond
	// startTimeout bounds the wait until an instance is ready, and until all instances serve callers.
	startTimeout = 20 * time.Second
	// tasksTimeout bounds the wait for unfinished tasks after the load has ended.
	tasksTimeout = 3 * time.Minute
	// progressInterval is how often a progress line is printed.
	progressInterval = time.Second
	// listLag is the delay until a change shows on the instance list.
	listLag = 500 * time.Millisecond
	// One-way latencies between data centres of a region, and between regions.
	dataCentreLatency = 500 * time.Microsecond
	regionLatency     = 12 * time.Millisecond
	// linkBitsPerSecond is the bandwidth of the link between regions, in each direction.
	linkBitsPerSecond = 30_000_000
)

// Demo is one demonstration run.
type Demo struct {
	Example examples.Example
	Length  time.Duration
	Seed    uint64
	Faults  []Fault
	// Out need not be safe for concurrent use.
	Out io.Writer
	// Launch starts an entry instance; nil runs it within this process.
	Launch Launch
	// Size sets the number of instances, the load and some settings; the zero value takes the defaults.
	Size Size
	// NoWait ends the run together with the load, without waiting for unfinished tasks.
	// The report is then empty.
	NoWait bool
	// Observe, if not nil, runs during the load until its context ends.
	Observe func(ctx context.Context, v View)

	cluster *standin.Cluster
	network *standin.Network
	counts  *counts

	startCount atomic.Int64

	outMu sync.Mutex // Guards Out.

	mu sync.Mutex
	// current holds the newest instance of each position; one that is started in place of
	// another has the same position. startedInstances holds all that were started.
	current          []*instance
	startedInstances []*instance
}

// Size sets how much a demonstration runs; a zero field takes the default.
type Size struct {
	Instances int
	Runners   int
	Workers   int
	// Callers is the number of concurrent callers; a negative number means none.
	Callers int
	// JobEvery is the interval between submissions of a job with JobTasks tasks.
	JobEvery time.Duration
	JobTasks int
	// Job is the job family that is submitted; if empty, the example's.
	Job string
	// JobLimit bounds the number of jobs; zero means no bound.
	JobLimit int
	// RunTime is the run time of an undisturbed task.
	RunTime time.Duration
	// LeaseTTL, ListInterval and WorkerInterval are settings of the entry instances.
	LeaseTTL       time.Duration
	ListInterval   time.Duration
	WorkerInterval time.Duration
}

// withDefaults returns the size with defaults in place of zero values.
func (s Size) withDefaults() Size {
	s.Instances = cmp.Or(s.Instances, instanceCount)
	s.Callers = cmp.Or(s.Callers, callerCount)
	s.JobEvery = cmp.Or(s.JobEvery, submitInterval)
	s.JobTasks = cmp.Or(s.JobTasks, jobTasks)
	s.RunTime = cmp.Or(s.RunTime, taskRunTime)
	s.LeaseTTL = cmp.Or(s.LeaseTTL, leaseTTL)
	s.ListInterval = cmp.Or(s.ListInterval, listInterval)
	s.WorkerInterval = cmp.Or(s.WorkerInterval, workerInterval)
	return s
}

// View gives an observer access to a running demonstration.
type View struct {
	// IDs are the instances' IDs, Admins their addresses for operators, and Token is the operator token.
	IDs       []string
	Admins    []string
	Token     string
	Processes []*Process
	Cluster   *standin.Cluster
	Network   *standin.Network
	// Offered returns the number of tasks that have been offered, including those of a
	// submission in progress.
	Offered func() int64
}

// Run starts everything, applies the load and the faults, and returns a report.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	d.counts = newCounts()
	d.Size = d.Size.withDefaults()
	d.current = make([]*instance, d.Size.Instances)
	d.network = standin.NewNetwork()
	d.network.Latency = latency
	d.network.LinkBitsPerSecond = linkBitsPerSecond
	d.cluster = &standin.Cluster{
		Example:     d.Example,
		Network:     d.network,
		RunnerCount: d.Size.Runners,
		WorkerCount: d.Size.Workers,
		ServiceTime: meanServiceTime,
		ListLag:     listLag,
		Work:        d.work,
	}
	if err := d.cluster.Start(); err != nil {
		return Report{}, err
	}
	defer d.network.Close()
	defer d.cluster.Close()
	defer d.endInstances()
	if err := d.startInstances(ctx); err != nil {
		return Report{}, err
	}
	d.printf("%d instances, %d runners and %d workers on loopback\n",
		d.Size.Instances, len(d.cluster.Runners()), len(d.cluster.Workers()))
	d.printf("operators at %s with the token %s\n", d.anyReady(0).admin(), operatorToken)
	if err := d.applyNote(ctx, d.Example.Note); err != nil {
		return Report{}, err
	}
	if err := d.awaitConfig(ctx); err != nil {
		return Report{}, err
	}
	if err := d.applyNote(ctx, d.extraNote()); err != nil {
		return Report{}, err
	}
	loadCtx, cancel := context.WithTimeout(ctx, d.Length)
	defer cancel()
	d.runLoad(loadCtx)
	if d.NoWait {
		return Report{}, ctx.Err()
	}
	d.awaitTasks(ctx)
	return d.report(ctx), ctx.Err()
}

// printf prints to Out.
func (d *Demo) printf(format string, args ...any) {
	d.outMu.Lock()
	defer d.outMu.Unlock()
	fmt.Fprintf(d.Out, format, args...)
}

// latency returns the one-way latency between two sites.
func latency(from, to standin.Site) time.Duration {
	switch {
	case from.Region != to.Region:
		return regionLatency
	case from.DataCentre != to.DataCentre:
		return dataCentreLatency
	}
	return 0
}

// work returns the actual run time and resource use of the tasks of a job family.
func (d *Demo) work(job string) standin.Work {
	size := share.Resources{Processors: 3_000, Memory: 6e9}
	if job == LightJob {
		return standin.Work{RunTime: d.Size.RunTime, Size: share.Resources{Processors: 90, Memory: 180e6}}
	}
	if job == noisyJob {
		return standin.Work{RunTime: d.noisyRunTime(), Size: size, Noise: noisySlowdown}
	}
	return standin.Work{RunTime: d.Size.RunTime, Size: size}
}

// applyNote applies a release note through the first ready instance.
func (d *Demo) applyNote(ctx context.Context, note []byte) error {
	client := operate.Client{Address: d.anyReady(0).admin(), Token: operatorToken}
	report, _, err := client.Apply(ctx, note)
	if err != nil {
		return fmt.Errorf("apply a release note: %w", err)
	}
	d.printf("release note %s: revision %d, %d entries\n", report.Note, report.Revision, len(report.Entries))
	return nil
}

// anyReady returns the first ready instance at or after position from, which wraps
// around, or the one at that position if none is ready.
func (d *Demo) anyReady(from int) *instance {
	all := d.running()
	for n := range all {
		if i := all[(from+n)%len(all)]; i.ready.Load() {
			return i
		}
	}
	return all[from%len(all)]
}

// awaitConfig waits until each instance answers every kind of call of the first note.
func (d *Demo) awaitConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range d.running() {
		for _, call := range d.Example.Calls {
			if err := d.awaitServed(ctx, i, call); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitServed waits until an instance answers a kind of call. The first instances of a
// pool accept keyed calls only once it is certain that no earlier home can have run
// them.
func (d *Demo) awaitServed(ctx context.Context, i *instance, call examples.Call) error {
	for n := 0; ; n++ {
		key := ""
		if call.Keyed {
			key = uuid.Must(uuid.NewV7()).String()
		}
		status, text, err := d.post(ctx, i, call, fmt.Sprintf("probe-%s-%d", i.id, n), "1", "probe", key)
		if err == nil && status < http.StatusBadRequest {
			return nil
		}
		if sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("instance %s does not serve: status %d, %s, %w", i.id, status, text, err)
		}
	}
}
