package e2e

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/demo"
	"github.com/oriolepond/oriolepond/internal/settings"
	"github.com/oriolepond/oriolepond/internal/standin"
)

const (
	// warmUp is how long a pool runs before it is measured. Workers whose tasks have
	// run for a minute are polled at the idle interval.
	warmUp = 75 * time.Second
	// submitTime is the time over which the jobs are submitted.
	submitTime = 8 * time.Second
	// measuredTime is how long a pool is measured.
	measuredTime = 10 * time.Second
	// clockTicksPerSecond is the number of clock ticks per second in which /proc reports processor time.
	clockTicksPerSecond = 100
	// twoProcessors is an environment setting that lets an instance run as many threads at
	// once as a small machine has processors.
	twoProcessors = "GOMAXPROCS=2"
)

// BenchmarkIdle measures the resources that entry instances use, by the number of
// workers, while all tasks run and no caller sends requests.
func BenchmarkIdle(b *testing.B) {
	for _, workers := range []int{50, 150, 300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			size := idleSize(3, workers, 22)
			for b.Loop() {
				measurePool(b, size)
			}
		})
	}
}

// BenchmarkInstances measures the same resources by the number of entry instances.
func BenchmarkInstances(b *testing.B) {
	for _, instances := range []int{3, 7, 14} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			size := idleSize(instances, 100, 22)
			for b.Loop() {
				measurePool(b, size)
			}
		})
	}
}

// BenchmarkTasks measures the same resources by the number of tasks per worker.
func BenchmarkTasks(b *testing.B) {
	for _, tasks := range []int{5, 11, 22} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			size := idleSize(3, 150, tasks)
			for b.Loop() {
				measurePool(b, size)
			}
		})
	}
}

// submissionCount is the number of jobs that are submitted during the warm-up.
const submissionCount = 4

// idleSize returns the size of a pool without callers whose instances have the default
// settings and whose tasks run longer than the benchmark.
func idleSize(instances, workers, tasks int) demo.Size {
	return demo.Size{
		Instances:      instances,
		Workers:        workers,
		Runners:        workers,
		Callers:        -1,
		JobEvery:       submitTime / submissionCount,
		JobTasks:       workers * tasks / submissionCount,
		JobLimit:       submissionCount,
		Job:            demo.LightJob,
		RunTime:        time.Hour,
		LeaseTTL:       settings.DefaultLeaseTTL,
		ListInterval:   settings.DefaultListInterval,
		WorkerInterval: settings.DefaultWorkerInterval,
	}
}

// usage is the resource usage of a whole pool up to a point in time.
type usage struct {
	processor    time.Duration
	memoryBytes  int64
	store        standin.StoreCounts
	workerBytes  int64
	peerBytes    int64
	runningTasks int
}

// measurePool runs a pool of the given size and reports the resources that its entry
// instances use.
func measurePool(b *testing.B, size demo.Size) {
	e, ok := examples.Find("bajio")
	require.True(b, ok)
	var before, after usage
	d := &demo.Demo{
		Example: e,
		Length:  warmUp + measuredTime,
		Out:     io.Discard,
		Size:    size,
		NoWait:  true,
		Launch:  launcher(b, b.TempDir(), twoProcessors),
		Observe: func(ctx context.Context, v demo.View) {
			timer := time.NewTimer(warmUp)
			defer timer.Stop()
			<-timer.C
			before = currentUsage(v)
			<-ctx.Done()
			after = currentUsage(v)
		},
	}
	_, err := d.Run(context.Background())
	require.NoError(b, err)
	reportUsage(b, size, measuredTime, before, after)
}

// reportUsage reports the difference of two usages as rates; elapsed is the time between them.
func reportUsage(b *testing.B, size demo.Size, elapsed time.Duration, before, after usage) {
	seconds := elapsed.Seconds()
	instanceSeconds := seconds * float64(size.Instances)
	b.ReportMetric(100*(after.processor-before.processor).Seconds()/instanceSeconds, "%core/instance")
	b.ReportMetric(float64(after.memoryBytes)/float64(size.Instances)/1e6, "MB/instance")
	b.ReportMetric(float64(after.store.Reads-before.store.Reads)/seconds, "storeReads/s")
	b.ReportMetric(float64(after.store.Writes-before.store.Writes)/seconds, "storeWrites/s")
	b.ReportMetric(float64(after.store.LeaseCalls-before.store.LeaseCalls)/seconds, "leaseCalls/s")
	b.ReportMetric(float64(after.runningTasks), "tasks")
	b.ReportMetric(float64(after.store.OpenWatches), "openWatches")
	b.ReportMetric(float64(after.workerBytes-before.workerBytes)/seconds/float64(size.Workers), "B/s/worker")
	b.ReportMetric(float64(after.peerBytes-before.peerBytes)/instanceSeconds, "peerB/s/instance")
}

// currentUsage returns the resource usage of a running pool up to now.
func currentUsage(v demo.View) usage {
	u := usage{store: v.Cluster.Store.Counts(), runningTasks: v.Cluster.Tasks.Running()}
	for _, p := range v.Processes {
		processor, memory := processUsage(p.PID)
		u.processor += processor
		u.memoryBytes += memory
	}
	u.workerBytes = v.Network.BytesCarried(func(e string) bool { return strings.HasPrefix(e, "worker-") })
	u.peerBytes = v.Network.BytesCarried(func(e string) bool { return strings.HasPrefix(e, "peer:") })
	return u
}

// processUsage returns the processor time and the resident memory in bytes of a process.
func processUsage(pid int) (time.Duration, int64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0
	}
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	// fields begins with field 3 of the line. Fields 14 and 15 are user and system time in
	// clock ticks; 24 is the number of resident pages.
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	pages, _ := strconv.ParseInt(fields[21], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, pages * int64(os.Getpagesize())
}
