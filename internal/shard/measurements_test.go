package shard

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// singleWorkerShard simulates a shard with one worker that executes every command at once.
type singleWorkerShard struct {
	core    *Core
	config  release.Config
	listing Listing
	// batches is the content of the journal.
	batches []journal.Batch
	now     time.Time
	tasks   map[string]worker.TaskReport
	started map[string]share.Resources
	// trueSize is what every task really uses, and baseTail the 99th percentile of the service's
	// latency without tasks.
	trueSize share.Resources
	baseTail time.Duration
	// taskNoise is what a task at full speed adds to the tail latency, and reportLag the age of the
	// measurements in reports.
	taskNoise time.Duration
	reportLag time.Duration
	// tails are the true tail latencies, one for each second. evictions counts the checkpoint
	// commands to running tasks.
	tails     []time.Duration
	evictions int
}

func gib(n int64) share.Resources {
	return share.Resources{Processors: share.MilliCores(n * 1000), Memory: share.Bytes(n << 30)}
}

func newSingleWorkerShard() *singleWorkerShard {
	a := &singleWorkerShard{
		now:      time.Unix(1_000_000, 0),
		tasks:    map[string]worker.TaskReport{},
		started:  map[string]share.Resources{},
		trueSize: gib(2),
		baseTail: 50 * time.Millisecond,
	}
	config := release.Config{Revision: 1, Declarations: release.Declarations{
		Neighbours: []share.Neighbour{{Name: "n"}},
		Shares:     []share.Share{{Name: "batch", Neighbour: "n", Weight: 1, Quota: gib(64)}, {Name: "front", Neighbour: "n", Weight: 1}},
		Services: []release.Service{{
			Name: "finish", Neighbour: "n", Share: "front", Runner: gib(4),
			Objective: release.Objective{Latency: 100 * time.Millisecond, Ratio: 0.99},
		}},
		Jobs: []release.Job{{Name: "scan", Neighbour: "n", Share: "batch", Size: gib(1), Checkpoints: true, MaxStarts: 3}},
		YieldRules: []share.YieldRule{{
			Name: "r", Yields: "batch", To: "front", Limit: share.YieldEvict, EvictionsPerHour: 60, TailWeight: 1,
		}},
	}}
	workers := []roster.Instance{{ID: "w", Kind: roster.KindWorker, State: roster.Live, Address: "a", Capacity: gib(32)}}
	runners := []roster.Instance{{ID: "r", Kind: roster.KindRunner, Service: "finish", Worker: "w"}}
	a.config = config
	a.listing = Listing{Workers: workers, Runners: runners}
	a.takeOver()
	return a
}

// takeOver replaces the leader by a new one.
func (a *singleWorkerShard) takeOver() {
	a.core = NewCore(DefaultTiming(), a.now, true)
	a.core.Configure(a.config, NewQuotas("s.0", map[string][]roster.Instance{"s.0": a.listing.Workers}, a.config))
	a.core.SetListing(a.listing, a.now)
	a.core.Restore(a.batches, a.now)
}

func (a *singleWorkerShard) submit(id string, tasks int) error {
	_, err := a.core.Submit(task.Part{ID: id, Neighbour: "n", Share: "batch", Name: "scan", Tasks: tasks}, a.now)
	return err
}

// step advances the time by a second and makes one exchange.
func (a *singleWorkerShard) step() {
	a.now = a.now.Add(time.Second)
	a.core.Plan(a.now)
	a.commit()
	e, _ := a.core.NextExchange("w", true, a.now)
	for _, c := range e.Commands {
		a.executeCommand(c)
	}
	for _, ack := range e.Acks {
		delete(a.tasks, ack.Task)
	}
	r := worker.Report{Worker: "w", Boot: "b", Stamp: a.now.Sub(time.Unix(0, 0)), Full: true}
	r.Tails = []worker.TailReport{{Service: "finish", P99: a.measuredTail(), Samples: 100}}
	r.MeasuredAge = a.reportLag
	for _, row := range a.tasks {
		r.Tasks = append(r.Tasks, row)
	}
	a.core.ApplyReport(r, a.now)
}

// commit commits the open batch in the encoding of the journal.
func (a *singleWorkerShard) commit() {
	batch, number := a.core.TakeBatch()
	text, err := journal.Encode(batch)
	if err != nil {
		panic(err)
	}
	stored, err := journal.Decode(text)
	if err != nil {
		panic(err)
	}
	a.batches = append(a.batches, stored)
	a.core.Committed(number)
}

// measuredTail appends the current tail latency to tails, and returns the mean over the window that
// the report covers.
func (a *singleWorkerShard) measuredTail() time.Duration {
	tail := a.baseTail
	for _, row := range a.tasks {
		if isRunning(row) {
			tail += time.Duration(row.Ratio * float64(a.taskNoise))
		}
	}
	a.tails = append(a.tails, tail)
	end := max(1, len(a.tails)-int(a.reportLag/time.Second))
	window := a.tails[max(0, end-int(measureWindow/time.Second)):end]
	sum := time.Duration(0)
	for _, t := range window {
		sum += t
	}
	return sum / time.Duration(len(window))
}

func (a *singleWorkerShard) executeCommand(c worker.Command) {
	row := a.tasks[c.Task]
	switch c.Kind {
	case worker.Start:
		a.started[c.Task] = c.Size
		row = worker.TaskReport{
			Task: c.Task, Incarnation: c.Incarnation, Job: c.Job,
			State: worker.TaskRunning, Size: a.trueSize, Speed: 1, Ratio: 1,
		}
	case worker.Throttle:
		row.Ratio = c.Ratio
		row.Speed = c.Ratio
	case worker.Checkpoint:
		if isRunning(row) {
			a.evictions++
		}
		row.State = worker.TaskCheckpointed
		row.Checkpoint = fmt.Sprint("checkpoint ", c.Incarnation)
	}
	a.tasks[c.Task] = row
}

// finish makes all tasks finish.
func (a *singleWorkerShard) finish() {
	for id, row := range a.tasks {
		row.State = worker.TaskFinished
		a.tasks[id] = row
	}
}

// stepUntil steps until a condition holds, and fails after 300 steps.
func (a *singleWorkerShard) stepUntil(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for range 300 {
		if condition() {
			return
		}
		a.step()
	}
	require.Fail(t, failure)
}

func (a *singleWorkerShard) count(matches func(worker.TaskReport) bool) int {
	n := 0
	for _, row := range a.tasks {
		if matches(row) {
			n++
		}
	}
	return n
}

func isRunning(row worker.TaskReport) bool { return row.State == worker.TaskRunning }

// Guards against overcommitted workers: task sizes are learned from reports, so a declared size
// that is too small must not overcommit the worker.
func TestLearnedSizesPreventOvercommit(t *testing.T) {
	a := newSingleWorkerShard()
	require.NoError(t, a.submit("j", 100))
	maxRunning := 0
	for second := range 120 {
		if second > 0 && second%30 == 0 {
			a.finish()
		}
		a.step()
		maxRunning = max(maxRunning, a.count(isRunning))
		require.LessOrEqual(t, a.count(isRunning)*2, 28, "tasks use more than the worker has")
	}
	// With the margin for a family without measurements, the 28 cores hold 7 tasks.
	require.Greater(t, maxRunning, 7)
	sizes := map[string]bool{}
	for _, size := range a.started {
		sizes[size.String()] = true
		require.True(t, a.trueSize.Fits(size))
	}
	require.Greater(t, len(sizes), 1, "the reserved size must change once it is learned")
}

// When the tail latency of a service exceeds its objective, tasks are throttled before any is
// evicted. The throttles are lifted once the tail latency is low again.
func TestTasksAreThrottledBeforeEvicted(t *testing.T) {
	a := newSingleWorkerShard()
	require.NoError(t, a.submit("j", 4))
	a.stepUntil(t, "the tasks do not run", func() bool { return a.count(isRunning) == 4 })
	throttled := func(row worker.TaskReport) bool { return isRunning(row) && row.Ratio < 1 }
	a.baseTail = 150 * time.Millisecond
	a.stepUntil(t, "nothing is throttled", func() bool { return a.count(throttled) > 0 })
	require.Equal(t, 4, a.count(isRunning), "a task was evicted before any was throttled")
	a.stepUntil(t, "nothing is evicted", func() bool { return a.count(isRunning) < 4 })
	a.baseTail = 20 * time.Millisecond
	a.stepUntil(t, "throttles are not lifted", func() bool { return a.count(throttled) == 0 && a.count(isRunning) == 4 })
}

// Operators must be notified of every yield, and only once of a job family that can never run.
func TestYieldsAndUnschedulableFamiliesAreReported(t *testing.T) {
	a := newSingleWorkerShard()
	require.NoError(t, a.submit("j", 2))
	a.stepUntil(t, "the tasks do not run", func() bool { return a.count(isRunning) == 2 })
	a.core.TakeNotices()
	a.baseTail = 150 * time.Millisecond
	counts := map[eventlog.Number]int{}
	for range 60 {
		a.step()
		for _, n := range a.core.TakeNotices() {
			counts[n.Event.Number]++
			require.NotEmpty(t, n.Task)
		}
	}
	require.Positive(t, counts[eventlog.TaskYielded.Number])
	config := a.core.config
	config.Revision++
	config.Jobs = slices.Clone(config.Jobs)
	config.Jobs[0].Size = gib(40)
	a.core.Configure(config, NewQuotas("s.0", map[string][]roster.Instance{"s.0": {{Capacity: gib(32)}}}, config))
	a.core.planner.Sizes = placement.NewSizes()
	require.NoError(t, a.submit("k", 20))
	for range 20 {
		a.step()
		for _, n := range a.core.TakeNotices() {
			counts[n.Event.Number]++
		}
	}
	require.Equal(t, 1, counts[eventlog.TaskUnschedulable.Number])
}
