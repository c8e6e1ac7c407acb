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
	fleetWorkers     = 1200
	fleetInstances   = 7
	fleetTaskRunTime = 5 * time.Second
	// startsPerSecond is the design peak of task starts, submitted in jobs of jobTasks tasks.
	startsPerSecond = 330
	jobTasks        = 33
)

// BenchmarkStarts submits jobs at the design peak of task starts. One operation is one task.
func BenchmarkStarts(b *testing.B) {
	f := newFleet(b, fleetWorkers, fleetInstances, 10*time.Second, fleetTaskRunTime)
	const warmUp = 40
	for n := range warmUp {
		f.submit(b, n, 8)
	}
	f.waitUntil(func() bool { return f.ledger.Finished() >= warmUp*8 })
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
	f.waitUntil(func() bool { return f.ledger.Starts() >= begun+b.N })
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

// shardTasks is the number of tasks of one of eight shards at the design size.
const shardTasks = 28_600 / 8

// fullCore returns the core of a shard with shardTasks running tasks on 150 workers.
func fullCore(now time.Time) *Core {
	c := NewCore(DefaultTiming(), now, true)
	config := newSimulation().config
	c.Configure(config, Quotas{})
	batch := journal.Batch{}
	for j := range shardTasks / 13 {
		id := fmt.Sprintf("0197a1b2c3d4e5f60718293a4b5c%04d~bajio.2", j)
		batch.Jobs = append(batch.Jobs, task.Job{Part: task.Part{ID: id, Neighbour: "n", Share: "s", Name: "batch", Tasks: 13}})
		for n := range 13 {
			batch.Tasks = append(batch.Tasks, task.Task{
				Job: id, Number: n, State: task.Running, Incarnation: 1, Worker: fmt.Sprintf("worker-%d", (j*13+n)%150),
				Size: share.Resources{Processors: 1000, Memory: 1 << 30}, LiveUsage: worker.Usage{Processor: time.Hour, MemoryTime: 1e12},
			})
		}
	}
	c.Restore([]journal.Batch{batch}, now)
	return c
}

// BenchmarkTakeOver restores a full shard from its snapshot in the store.
func BenchmarkTakeOver(b *testing.B) {
	s := standin.NewStore()
	server := httptest.NewServer(s)
	defer server.Close()
	client := store.NewEtcd([]string{server.URL}, server.Client())
	now := time.Now()
	state := fullCore(now).Snapshot()
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
	if err := open("a").Append(context.Background(), state); err != nil {
		b.Fatal(err)
	}
	text, err := journal.Encode(state)
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
		c.Configure(newSimulation().config, Quotas{})
		c.Restore(batches, now)
	}
	b.ReportMetric(float64(len(text))/float64(len(state.Tasks)), "snapshotBytes/task")
}

// BenchmarkMemory measures the memory that a leader needs for one running task.
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

// BenchmarkExchangeBytes measures the size of the bodies between a leader and a worker with 22
// running tasks, over one period between two full reports, at the idle interval.
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
	interval, between := DefaultTiming().IdleInterval, DefaultTiming().FullEvery
	perPeriod := int((between + interval - 1) / interval)
	bytes = 0
	for b.Loop() {
		for n := range perPeriod {
			now = now.Add(interval)
			exchange(n == 0, nil)
		}
	}
	b.ReportMetric(float64(bytes)/(float64(b.N*perPeriod)*interval.Seconds()), "bytes/s")
}

// BenchmarkVanishedRacks measures, in virtual time, how long it takes until the queued tasks of a
// shard whose racks were removed are handed over to other shards, and the store writes of their
// transfers.
func BenchmarkVanishedRacks(b *testing.B) {
	for _, busy := range []bool{false, true} {
		b.Run(fmt.Sprintf("othersBusy=%t", busy), func(b *testing.B) {
			var v rackRemoval
			for b.Loop() {
				v = measureRackRemoval(busy)
			}
			b.ReportMetric(v.firstRunAfter, "firstRuns-s")
			b.ReportMetric(v.allMovedAfter, "allMoved-s")
			b.ReportMetric(float64(v.writes)/rackRemovalTasks*1000, "writes/1000tasks")
		})
	}
}

// rackRemovalTasks is the number of queued tasks in the shard whose racks are removed.
const rackRemovalTasks = 1000

// rackRemoval is the result of measureRackRemoval.
type rackRemoval struct {
	// firstRunAfter is the time in seconds from the removal of the racks until a task runs in
	// another shard, and allMovedAfter that until all tasks were handed over.
	firstRunAfter, allMovedAfter float64
	writes                       int
}

func measureRackRemoval(busy bool) rackRemoval {
	p := newShardPool(4)
	emptied := p.shards[0]
	p.run(3)
	if busy {
		for _, w := range p.shards[1:] {
			w.submit(w.leaders[0], "batch", 60)
		}
		p.run(3)
	}
	emptied.toggleAllWorkers()
	leader := emptied.leaders[0]
	emptied.submit(leader, "batch", rackRemovalTasks)
	emptied.commit(leader, false)
	before := p.transferWrites()
	var v rackRemoval
	for second := 1.0; (v.allMovedAfter == 0 || v.firstRunAfter == 0) && second < 300; second++ {
		p.run(1)
		if v.firstRunAfter == 0 && emptied.states()[task.Running] > 0 {
			v.firstRunAfter = second
		}
		if v.allMovedAfter == 0 && emptied.movedTasks()+emptied.states()[task.Finished] == rackRemovalTasks {
			v.allMovedAfter = second
		}
	}
	v.writes = p.transferWrites() - before
	return v
}

// transferWrites returns the number of commits that send or accept a transfer.
func (p *shardPool) transferWrites() int {
	n := 0
	for _, w := range p.shards {
		for _, batch := range w.batches {
			if len(batch.Links) > 0 {
				n++
			}
		}
	}
	return n
}
