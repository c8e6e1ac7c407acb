package placement

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	benchFamilies = 40
	benchServices = 12
)

// filled returns a planner with workers and running tasks, a third of them
// beside a service, whose interference is known in part.
func filled(workers, tasks int) *Planner {
	p := NewPlanner()
	random := rand.New(rand.NewPCG(9, 9))
	for f := range benchFamilies {
		p.SetFamily(Family{Name: fmt.Sprint("f", f), Declared: cores(1), Checkpoints: true})
		for range sizeSamples {
			p.Sizes.Observe(fmt.Sprint("f", f), cores(1))
		}
	}
	perWorker := tasks / workers
	for i := range workers {
		w := worker(i, cores(int64(perWorker+4)))
		if i%3 == 0 {
			w.Runners = []Runner{{Service: fmt.Sprint("s", i%benchServices), Share: "front"}}
		}
		p.SetWorker(w, start)
	}
	p.SetRules([]share.YieldRule{{Name: "r", Yields: "batch", To: "front", Limit: share.YieldEvict, TailWeight: 0.5}})
	for s := range benchServices {
		for f := range benchFamilies {
			v := p.Learner.Model.Service(fmt.Sprint("s", s))
			p.Learner.Model.SetBaseline(v, 0.3)
			p.Learner.Model.SetEffect(v, p.Learner.Model.Aggressor(fmt.Sprint("f", f)), 0.02*random.Float64())
		}
	}
	for t := range tasks {
		r := Resident{
			Task:  fmt.Sprint("t", t),
			Group: fmt.Sprint("g", t/4),
			Job:   fmt.Sprint("f", random.IntN(benchFamilies)),
			Share: "batch",
			Size:  cores(1),
			Since: start,
		}
		p.Start(fmt.Sprint("w-", t%workers), r, start)
	}
	return p
}

var benchSizes = []struct {
	name           string
	workers, tasks int
}{
	{"workers=50/tasks=1190", 50, 1190},
	{"workers=50/tasks=28600", 50, 28_600},
	{"workers=1200/tasks=28600", 1200, 28_600},
}

func BenchmarkPlace(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.name, func(b *testing.B) {
			p := filled(size.workers, size.tasks)
			c := Candidate{Task: "new", Group: "g1", Job: "f3", Share: "batch"}
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := p.Place(c, start); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlaceStartEnd is a placement with all that follows from it.
func BenchmarkPlaceStartEnd(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.name, func(b *testing.B) {
			p := filled(size.workers, size.tasks)
			c := Candidate{Task: "new", Group: "g1", Job: "f3", Share: "batch"}
			now := start
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				id, size, err := p.Place(c, now)
				if err != nil {
					b.Fatal(err)
				}
				c.Size = size
				p.Start(id, c.Resident(now), now)
				p.End(id, c.Task, OutcomeFinished, now)
			}
		})
	}
}

// BenchmarkPlaceFull is a refusal by a pool that has no room at all.
func BenchmarkPlaceFull(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(size.name, func(b *testing.B) {
			p := filled(size.workers, size.tasks)
			c := Candidate{Task: "new", Job: "f3", Share: "batch", Size: cores(5)}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Pool.Choose(c, start); err == nil {
					b.Fatal("found room")
				}
			}
		})
	}
}

// BenchmarkYield is one worker's decision after a measurement.
func BenchmarkYield(b *testing.B) {
	p := filled(1200, 28_600)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		m := Measurement{Worker: "w-0", At: now, Window: time.Second, Tails: []ServiceView{{Service: "s0", Share: "front", Strain: 0.8}}}
		p.Measure(m)
		p.Yield("w-0", now)
	}
}

// BenchmarkMemory reports the memory that placement holds for each task.
func BenchmarkMemory(b *testing.B) {
	for _, tasks := range []int{7150, 14_300, 28_600} {
		b.Run(fmt.Sprint("tasks=", tasks), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				p := filled(1200, tasks)
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(tasks), "B/task")
				runtime.KeepAlive(p)
			}
		})
	}
}

// BenchmarkOrder queues and serves one task among 20,000 of 280 shares.
func BenchmarkOrder(b *testing.B) {
	o := NewOrder()
	for i := range 20_000 {
		o.Push(Item{Task: fmt.Sprint(i), Job: "j", Share: fmt.Sprint(i % 280), QueuedAt: start})
	}
	next := Item{Task: "next", Job: "j", Share: "7", QueuedAt: start}
	b.ReportAllocs()
	for b.Loop() {
		r := o.Round(start)
		item, _ := r.Next()
		r.MarkPlaced(1)
		next.Task = item.Task
		o.Push(next)
	}
}

// BenchmarkLearn is one measurement of a service beside eight families.
func BenchmarkLearn(b *testing.B) {
	l := interference.NewLearner()
	var loads []interference.Load
	for f := range 8 {
		loads = append(loads, interference.Load{Aggressor: l.Model.Aggressor(fmt.Sprint(f)), Amount: 1})
	}
	l.History.Set("w", start, loads)
	now := start
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		l.Tail("w", "s", 0.5, now, time.Second)
	}
}
