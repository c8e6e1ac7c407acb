package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// benchStart is any time.
var benchStart = time.Unix(1_000_000_000, 0)

// benchCore returns a core with adopted workers, of which each serves tasks of one of five images.
func benchCore(b *testing.B, workers int) *Core {
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
		c.take(Job{ID: fmt.Sprintf("%016x", i), Queue: "watch", Steps: []Step{{
			Tasks: 4, Size: share.Resources{Processors: 6400, Memory: 13 << 30}, LongRunning: true,
			Image: fmt.Sprintf("s-%d", i%5), TailTarget: 150 * time.Millisecond,
		}}}, now, nil, nil)
	}
	c.Plan(now)
	benchRun(b, c, now)
	return c
}

// benchRun makes all changes durable and lets all starts succeed.
func benchRun(b *testing.B, c *Core, now time.Time) {
	b.Helper()
	for c.HasChanges() {
		changes, err := c.TakeChanges(20, now)
		if err != nil {
			b.Fatal(err)
		}
		for _, o := range c.Committed(changes) {
			if _, ok := c.PrepareCall(o, now); ok {
				c.HandleAnswer(o, Result{Answer: AnswerDone, Clock: time.Second}, now, now)
			}
		}
	}
	c.TakeNotes()
}

func benchReview(i int) Job {
	return Job{ID: fmt.Sprintf("%016x", 1<<40+i), Queue: "review", Steps: []Step{{
		Tasks: 8, Size: share.Resources{Processors: 3500, Memory: 1 << 30}, Estimate: 2 * time.Second,
		Image: fmt.Sprintf("f-%d", i%9), Filler: true, Checkpoints: true,
	}}}
}

// BenchmarkPlanFull lets time pass over a pool without room, with 300 steps waiting.
func BenchmarkPlanFull(b *testing.B) {
	for _, workers := range []int{48, 350, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := benchCore(b, workers)
			for i := range workers + 300 {
				c.take(benchReview(i), benchStart, nil, nil)
			}
			now := benchStart.Add(100 * time.Millisecond)
			c.Plan(now)
			benchRun(b, c, now)
			b.ReportAllocs()
			for b.Loop() {
				c.Plan(now)
			}
		})
	}
}

// BenchmarkPlaceTask places one task of a step beside others.
func BenchmarkPlaceTask(b *testing.B) {
	for _, workers := range []int{48, 350, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			c := benchCore(b, workers)
			j := benchReview(1)
			c.take(j, benchStart, nil, nil)
			t := c.jobs[j.ID].stages[0].tasks[0]
			c.findOpen(benchStart)
			b.ReportAllocs()
			for b.Loop() {
				if c.choose(t, nil, benchStart) == nil {
					b.Fatal("no worker")
				}
			}
		})
	}
}

// BenchmarkJob takes a job of 8 tasks through its life: accepted, committed,
// started, looked at once while it runs, ended and committed again. The
// metrics are for each task.
func BenchmarkJob(b *testing.B) {
	for _, workers := range []int{48, 350, 1200} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := benchLife{c: benchCore(b, workers), now: benchStart, ends: map[string]int64{}}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				l.run(b, i)
				i++
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(8*i), "µs/task")
			b.ReportMetric(float64(l.bytes)/float64(8*i), "stored-B/task")
		})
	}
}

// benchLife runs jobs one after the other.
type benchLife struct {
	c     *Core
	now   time.Time
	ends  map[string]int64 // By worker, the number of the last end.
	bytes int
}

func (l *benchLife) run(b *testing.B, i int) {
	b.Helper()
	c := l.c
	l.now = l.now.Add(time.Millisecond) // No lease lapses meanwhile.
	j := Job{ID: fmt.Sprintf("%016x", 1<<40+i), Queue: "check", Spec: "spec", Steps: []Step{{
		Tasks: 8, Size: share.Resources{Processors: 2000, Memory: 1 << 30}, Estimate: time.Second,
	}}}
	if err := c.Submit(j, l.now, nil); err != nil {
		b.Fatal(err)
	}
	c.Plan(l.now)
	l.commit(b)
	running := map[string][]*run{}
	for _, t := range c.jobs[j.ID].stages[0].tasks {
		for _, r := range t.runs {
			running[r.worker.ID] = append(running[r.worker.ID], r)
		}
	}
	for id, runs := range running {
		l.look(id, runs, false)
	}
	for id, runs := range running {
		l.look(id, runs, true)
	}
	l.commit(b)
	if s, _ := c.State(j.ID); s != Completed {
		b.Fatalf("job is %s", s)
	}
}

// look reports the runs of a worker, at work or ended.
func (l *benchLife) look(id string, runs []*run, ended bool) {
	if _, ok := l.c.BeginPoll(id, l.now); !ok {
		return
	}
	rep := Report{Incarnation: 1, Clock: time.Second}
	for _, r := range l.c.workers[id].runs {
		if !ended || r.task.stage.step.LongRunning {
			rep.Running = append(rep.Running, RunningRow{Task: r.task.name(), Run: r.number, Percent: 100})
		}
	}
	for _, r := range runs {
		if ended {
			l.ends[id]++
			rep.Ended = append(rep.Ended, EndedRow{Number: l.ends[id], Task: r.task.name(), Run: r.number, How: EndDone})
		}
	}
	l.c.ApplyReport(id, rep, l.now, l.now)
}

// commit makes all changes durable, as the holder does, and lets all starts succeed.
func (l *benchLife) commit(b *testing.B) {
	b.Helper()
	for l.c.HasChanges() {
		changes, err := l.c.TakeChanges(20, l.now)
		if err != nil {
			b.Fatal(err)
		}
		for _, item := range changes.Records {
			l.bytes += len(item.Value)
		}
		for _, o := range l.c.Committed(changes) {
			if _, ok := l.c.PrepareCall(o, l.now); ok {
				l.c.HandleAnswer(o, Result{Answer: AnswerDone, Clock: time.Second}, l.now, l.now)
			}
		}
	}
	l.c.TakeNotes()
}
