package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// benchStart is the arbitrary start of virtual time.
var benchStart = time.Unix(1_000_000_000, 0)

// benchCore returns a core with workers, each of which runs serving tasks of one of five images.
func benchCore(b testing.TB, workers int) *Core {
	b.Helper()
	now := benchStart
	c := NewCore(DefaultTiming(), now, now)
	c.SetQueueConfig(QueueConfig{Version: 1, Queues: map[string]Queue{
		"check":  {Name: "check", Service: "pool", Attempts: 3, Slack: 1.5, Target: 400 * time.Millisecond},
		"review": {Name: "review", Service: "pool", Priority: 2, Attempts: 3, Slack: 2, Target: time.Second},
		"watch":  {Name: "watch", Service: "pool", Attempts: 3, Slack: 2, Target: time.Second},
	}})
	for i := range workers {
		id := fmt.Sprintf("w-%04d", i)
		c.SetWorker(WorkerInfo{
			ID: id, Address: id, Service: "pool", Incarnation: 1, Rack: fmt.Sprintf("r-%d", i/8),
			Capacity: share.Resources{Processors: 32_000, Memory: 128 << 30},
		}, now)
		c.ApplyReport(id, Report{Incarnation: 1, Clock: time.Second}, now, now)
	}
	for i := range workers {
		c.accept(Job{ID: fmt.Sprintf("%016x", i), Queue: "watch", Steps: []Step{{
			Tasks: 4, Size: share.Resources{Processors: 6400, Memory: 13 << 30}, LongRunning: true,
			Image: fmt.Sprintf("s-%d", i%5), TailTarget: 150 * time.Millisecond,
		}}}, now, nil, nil)
	}
	c.Plan(now)
	benchCommit(b, c, now)
	return c
}

// benchCommit commits all changes and lets all start commands succeed.
func benchCommit(b testing.TB, c *Core, now time.Time) {
	b.Helper()
	for c.HasChanges() {
		changes, err := c.TakeChanges(20, now)
		if err != nil {
			b.Fatal(err)
		}
		for _, command := range c.Committed(changes) {
			if _, ok := c.PrepareCall(command, now); ok {
				c.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Second}, now, now)
			}
		}
	}
	c.TakeNotes()
}

func fillerJob(i int) Job {
	return Job{ID: fmt.Sprintf("%016x", 1<<40+i), Queue: "review", Steps: []Step{{
		Tasks: 8, Size: share.Resources{Processors: 3500, Memory: 1 << 30}, Estimate: 2 * time.Second,
		Image: fmt.Sprintf("f-%d", i%9), Filler: true, Checkpoints: true,
	}}}
}

// BenchmarkPlanFull measures a plan in a pool without free capacity, with 300 steps waiting.
func BenchmarkPlanFull(b *testing.B) {
	for _, workers := range []int{48, 350, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := benchCore(b, workers)
			for i := range workers + 300 {
				c.accept(fillerJob(i), benchStart, nil, nil)
			}
			now := benchStart.Add(100 * time.Millisecond)
			c.Plan(now)
			benchCommit(b, c, now)
			b.ReportAllocs()
			for b.Loop() {
				c.Plan(now)
			}
		})
	}
}

// BenchmarkPlaceTask measures the choice of a worker for a filler task in a pool that runs serving
// tasks.
func BenchmarkPlaceTask(b *testing.B) {
	for _, workers := range []int{48, 350, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := benchCore(b, workers)
			j := fillerJob(1)
			c.accept(j, benchStart, nil, nil)
			t := c.jobs[j.ID].stages[0].tasks[0]
			c.updateAccepting(benchStart)
			b.ReportAllocs()
			for b.Loop() {
				if c.take(c.searchStage(t, benchStart), t, benchStart) == nil {
					b.Fatal("no worker")
				}
			}
		})
	}
}

// BenchmarkJob measures jobs of 8 tasks from submission to completion: each is accepted, committed,
// started, polled once while running, ended and committed again. The metrics are per task.
func BenchmarkJob(b *testing.B) {
	for _, workers := range []int{48, 350, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			bench := jobBenchmark{core: benchCore(b, workers), now: benchStart, lastEnds: map[string]int64{}}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				bench.run(b, i)
				i++
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(8*i), "µs/task")
			b.ReportMetric(float64(bench.storedBytes)/float64(8*i), "stored-B/task")
		})
	}
}

// jobBenchmark holds a core that runs jobs one after the other.
type jobBenchmark struct {
	core        *Core
	now         time.Time
	lastEnds    map[string]int64 // By worker, the number of the last end.
	storedBytes int
}

func (bench *jobBenchmark) run(b *testing.B, i int) {
	b.Helper()
	c := bench.core
	bench.now = bench.now.Add(time.Millisecond) // Too short for a lease to expire.
	j := Job{ID: fmt.Sprintf("%016x", 1<<40+i), Queue: "check", Spec: "spec", Steps: []Step{{
		Tasks: 8, Size: share.Resources{Processors: 2000, Memory: 1 << 30}, Estimate: time.Second,
	}}}
	if err := c.Submit(j, bench.now, nil); err != nil {
		b.Fatal(err)
	}
	c.Plan(bench.now)
	bench.commit(b)
	running := map[string][]*run{}
	for _, t := range c.jobs[j.ID].stages[0].tasks {
		for _, r := range t.runs {
			running[r.worker.ID] = append(running[r.worker.ID], r)
		}
	}
	for id, runs := range running {
		bench.poll(id, runs, false)
	}
	for id, runs := range running {
		bench.poll(id, runs, true)
	}
	bench.commit(b)
	if s, _ := c.State(j.ID); s != Completed {
		b.Fatalf("job is %s", s)
	}
}

// poll polls a worker, which reports its runs as running. If ended is set, the worker reports the
// given runs as ended instead, and only its long-running runs as running.
func (bench *jobBenchmark) poll(id string, runs []*run, ended bool) {
	if _, ok := bench.core.BeginPoll(id, bench.now, true); !ok {
		return
	}
	rep := Report{Incarnation: 1, Clock: time.Second}
	for _, r := range bench.core.workers[id].runs {
		if !ended || r.task.stage.step.LongRunning {
			rep.Running = append(rep.Running, RunningRow{Task: r.task.name(), Run: r.number, Percent: 100})
		}
	}
	for _, r := range runs {
		if ended {
			bench.lastEnds[id]++
			rep.Ended = append(rep.Ended, EndedRow{Number: bench.lastEnds[id], Task: r.task.name(), Run: r.number, How: EndDone})
		}
	}
	bench.core.ApplyReport(id, rep, bench.now, bench.now)
}

// commit commits all changes as the leader does, and lets all start commands succeed.
func (bench *jobBenchmark) commit(b *testing.B) {
	b.Helper()
	for bench.core.HasChanges() {
		changes, err := bench.core.TakeChanges(20, bench.now)
		if err != nil {
			b.Fatal(err)
		}
		for _, item := range changes.Records {
			bench.storedBytes += len(item.Value)
		}
		for _, command := range bench.core.Committed(changes) {
			if _, ok := bench.core.PrepareCall(command, bench.now); ok {
				bench.core.HandleAnswer(command, Result{Answer: AnswerDone, Clock: time.Second}, bench.now, bench.now)
			}
		}
	}
	bench.core.TakeNotes()
}

// BenchmarkEstimatePlacement measures the estimates for filler tasks of 20 images on a worker with
// serving tasks after a change there.
func BenchmarkEstimatePlacement(b *testing.B) {
	c := benchCore(b, 48)
	w := c.workers["w-0000"]
	var images []int
	for i := range 20 {
		images = append(images, c.imageID(fmt.Sprintf("f-%d", i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		w.groupsStale = true
		for _, image := range images {
			if c.missFreeProbability(image, 0.1, w) >= minMissFreeProbability {
				c.estimatePlacement(image, 0.1, w)
			}
		}
	}
}

// BenchmarkWitnesses measures what a leader spends on its witnesses: comparing the set, four times a second, and
// counting the answers of workers in an outage of the store, about once a second.
func BenchmarkWitnesses(b *testing.B) {
	for _, workers := range []int{48, 350, 1200} {
		core := benchCore(b, workers)
		stored := core.Witnesses()
		b.Run(fmt.Sprintf("compare/%d", workers), func(b *testing.B) {
			for b.Loop() {
				core.Witnesses().Difference(stored)
			}
		})
		b.Run(fmt.Sprintf("count/%d", workers), func(b *testing.B) {
			for b.Loop() {
				core.AnsweredSince(stored, (len(stored)+1)/2)
			}
		})
	}
}
