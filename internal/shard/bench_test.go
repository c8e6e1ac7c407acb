package shard

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	fleetWorkers   = 1200
	fleetInstances = 7
	fleetRun       = 5 * time.Second
	// startsPerSecond is the peak to design for, in jobs of jobTasks tasks.
	startsPerSecond = 330
	jobTasks        = 33
)

// BenchmarkStarts drives the task plane at its greatest rate of starts; one
// operation is one task.
func BenchmarkStarts(b *testing.B) {
	f := newFleet(b, fleetWorkers, fleetInstances, 10*time.Second, fleetRun)
	const warmUp = 40
	for n := range warmUp {
		f.submit(b, n, 8)
	}
	f.await(func() bool { return f.ledger.Finished() >= warmUp*8 })
	begun := f.ledger.Starts()
	counts, bytes, exchanges := f.store.Counts(), f.bytes.Load(), f.exchanges.Load()
	b.ResetTimer()
	start := time.Now()
	ticker := time.NewTicker(time.Second * jobTasks / startsPerSecond)
	defer ticker.Stop()
	for n := 0; n*jobTasks < b.N; n++ {
		<-ticker.C
		go f.submit(b, warmUp+n, jobTasks)
	}
	f.await(func() bool { return f.ledger.Starts() >= begun+b.N })
	took := time.Since(start).Seconds()
	b.StopTimer()
	after := f.store.Counts()
	b.ReportMetric(float64(b.N)/took, "starts/s")
	b.ReportMetric(float64(after.Writes-counts.Writes)/took, "storeWrites/s")
	b.ReportMetric(float64(after.WriteBytes-counts.WriteBytes)/took/1000, "storeKB/s")
	b.ReportMetric(float64(after.Reads-counts.Reads)/took, "storeReads/s")
	b.ReportMetric(float64(f.bytes.Load()-bytes)/float64(b.N), "workerBytes/start")
	b.ReportMetric(float64(f.bytes.Load()-bytes)/took/fleetWorkers, "bytes/s/worker")
	b.ReportMetric(float64(f.exchanges.Load()-exchanges)/took, "exchanges/s")
}

// shardTasks are the tasks of one shard of eight at the size to design for.
const shardTasks = 28_600 / 8

func fullCore(now time.Time) *Core {
	c := NewCore(DefaultTiming(), now, true)
	config := newWorld().config
	c.Configure(config, Quotas{})
	batch := journal.Batch{}
	for j := range shardTasks / 13 {
		id := fmt.Sprintf("0197a1b2c3d4e5f60718293a4b5c%04d~bajio.2", j)
		batch.Jobs = append(batch.Jobs, task.Job{Part: task.Part{ID: id, Neighbour: "n", Share: "s", Name: "batch", Tasks: 13}})
		for n := range 13 {
			batch.Tasks = append(batch.Tasks, task.Task{
				Job: id, Number: n, State: task.Running, Incarnation: 1, Worker: fmt.Sprintf("worker-%d", (j*13+n)%150),
				Size: share.Resources{Processors: 1000, Memory: 1 << 30}, Live: worker.Usage{Processor: time.Hour, MemoryTime: 1e12},
			})
		}
	}
	c.Restore([]journal.Batch{batch}, now)
	return c
}

// BenchmarkTakeOver reads back a full shard from its snapshot in the store.
func BenchmarkTakeOver(b *testing.B) {
	s := standin.NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	client := store.NewEtcd([]string{server.URL}, server.Client())
	now := time.Now()
	whole := fullCore(now).Whole()
	r, err := client.Commit(context.Background(), store.Txn{Then: []store.Op{store.Put("/holder", nil)}})
	if err != nil {
		b.Fatal(err)
	}
	open := func(id string) *journal.Log {
		return &journal.Log{
			Store: client, Writer: &store.Writer{Client: client, ID: id}, Prefix: "/s/",
			Fence: store.Condition{Key: "/holder", Revision: r.Revision},
		}
	}
	if err := open("a").Append(context.Background(), whole); err != nil {
		b.Fatal(err)
	}
	text, err := journal.Encode(whole)
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for b.Loop() {
		batches, err := open("b").Load(context.Background())
		if err != nil {
			b.Fatal(err)
		}
		c := NewCore(DefaultTiming(), now, true)
		c.Configure(newWorld().config, Quotas{})
		c.Restore(batches, now)
	}
	b.ReportMetric(float64(len(text))/float64(len(whole.Tasks)), "snapshotBytes/task")
}

// BenchmarkMemory measures what one running task takes in a holder.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	var kept []*Core
	runtime.GC()
	runtime.ReadMemStats(&before)
	for b.Loop() {
		kept = append(kept, fullCore(time.Now()))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(kept))/shardTasks, "heapBytes/task")
	runtime.KeepAlive(kept)
}

// BenchmarkExchangeBytes measures the bodies between a holder and a worker of
// 22 running tasks over one period between two full reports, at the quiet pace.
func BenchmarkExchangeBytes(b *testing.B) {
	const tasks = 22
	now := time.Now()
	w := &standin.Worker{
		ID: "worker-1", Capacity: share.Resources{Processors: 64_000, Memory: 1 << 40}, Ledger: standin.NewTaskLedger(),
		Now: func() time.Time { return now },
		Work: func(string) standin.Work {
			return standin.Work{RunTime: time.Hour, Size: share.Resources{Processors: 900}}
		},
	}
	bytes, sequence, boot, stamp := 0, int64(0), "", time.Duration(0)
	exchange := func(full bool, commands []worker.Command) {
		sequence++
		e := worker.Exchange{
			Leader: "entry-1", Epoch: 123_456, Sequence: sequence, Boot: boot, Stamp: stamp,
			Lease: DefaultTiming().Lease, Full: full, Commands: commands,
		}
		out, _ := worker.EncodeExchange(e)
		r, _ := w.Exchange(e)
		back, _ := worker.EncodeReport(r)
		boot, stamp = r.Boot, r.Stamp
		bytes += len(out) + len(back)
	}
	exchange(true, nil)
	for i := range tasks {
		id := fmt.Sprintf("0197a1b2c3d4e5f60718293a4b5c6d7e~bajio.2-%d", i)
		exchange(false, []worker.Command{{Kind: worker.Start, Task: id, Incarnation: 1, Job: "flatness-review"}})
	}
	pace, between := DefaultTiming().Quiet, DefaultTiming().FullEvery
	perPeriod := int((between + pace - 1) / pace)
	bytes = 0
	for b.Loop() {
		for n := range perPeriod {
			now = now.Add(pace)
			exchange(n == 0, nil)
		}
	}
	b.ReportMetric(float64(bytes)/(float64(b.N*perPeriod)*pace.Seconds()), "bytes/s")
}

// BenchmarkVanishedRacks measures, in virtual time, how long the queued tasks
// of a shard whose racks vanish wait until others have them, and the store
// writes of their transfers.
func BenchmarkVanishedRacks(b *testing.B) {
	for _, busy := range []bool{false, true} {
		b.Run(fmt.Sprintf("othersBusy=%t", busy), func(b *testing.B) {
			var v vanished
			for b.Loop() {
				v = measureVanished(busy)
			}
			b.ReportMetric(v.firstRuns, "firstRuns-s")
			b.ReportMetric(v.allMoved, "allMoved-s")
			b.ReportMetric(float64(v.writes)/vanishedTasks*1000, "writes/1000tasks")
		})
	}
}

// vanishedTasks are queued in the shard whose racks vanish.
const vanishedTasks = 1000

type vanished struct {
	// firstRuns and allMoved are the seconds until a task runs elsewhere, and until all are there.
	firstRuns, allMoved float64
	writes              int
}

func measureVanished(busy bool) vanished {
	p := newPool(4)
	gone := p.worlds[0]
	p.coast(3)
	if busy {
		for _, w := range p.worlds[1:] {
			w.submit(w.holders[0], "batch", 60)
		}
		p.coast(3)
	}
	gone.racksGone()
	h := gone.holders[0]
	gone.submit(h, "batch", vanishedTasks)
	gone.commit(h, false)
	before := p.transferWrites()
	var v vanished
	for second := 1.0; (v.allMoved == 0 || v.firstRuns == 0) && second < 300; second++ {
		p.coast(1)
		if v.firstRuns == 0 && gone.states()[task.Running] > 0 {
			v.firstRuns = second
		}
		if v.allMoved == 0 && gone.moved()+gone.states()[task.Finished] == vanishedTasks {
			v.allMoved = second
		}
	}
	v.writes = p.transferWrites() - before
	return v
}

// transferWrites returns the number of commits that send or take a transfer.
func (p *pool) transferWrites() int {
	n := 0
	for _, w := range p.worlds {
		for _, batch := range w.batches {
			if len(batch.Links) > 0 {
				n++
			}
		}
	}
	return n
}
