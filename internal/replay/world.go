package replay

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// epoch is the start time of every trace.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// step is the time step of the simulation.
	step = time.Second
	// tailNoise is the relative standard deviation of measured tail latencies.
	tailNoise = 0.05
	// sizeVariation is the greatest fraction by which the true size of a task lies below that of its family.
	sizeVariation = 0.1
)

// World is the true state of the simulated workers. Only the oracles see it.
type World struct {
	trace   Trace
	now     time.Time
	random  *rand.Rand
	workers []*fakeWorker
	byID    map[string]*fakeWorker
	// slowdowns are indexed by victim (families, then services) and by aggressor.
	slowdowns [][]float64
	loads     map[string]float64
	reports   []delayedReport
}

// fakeWorker is a simulated worker with its services and tasks.
type fakeWorker struct {
	placement.Worker
	// tasks are sorted by ID.
	tasks []*fakeTask
	// strainSums adds up the strain of each service over the steps of the current window.
	strainSums map[string]float64
	stepCount  int
}

// fakeTask is a running task.
type fakeTask struct {
	id string
	// family is the index of the task's family.
	family int
	size   share.Resources
	ratio  float64
	// progress is the progress in the current window, in seconds of run time;
	// undisturbedProgress is what it would have been without slowdowns.
	progress, undisturbedProgress float64
}

// delayedReport is a worker's report, with the time at which the policy receives it.
type delayedReport struct {
	arrivesAt time.Time
	placement.Measurement
}

func newWorld(t Trace) *World {
	w := &World{
		trace:     t,
		now:       epoch,
		random:    rand.New(rand.NewPCG(t.Seed, 2)),
		byID:      map[string]*fakeWorker{},
		slowdowns: t.slowdownTable(),
		loads:     map[string]float64{},
	}
	for _, s := range t.Services {
		w.loads[s.Name] = 1
	}
	for _, worker := range t.workers() {
		f := &fakeWorker{Worker: worker, strainSums: map[string]float64{}}
		w.workers = append(w.workers, f)
		w.byID[worker.ID] = f
	}
	return w
}

// workers returns the workers of a trace. The runners of each service are spaced evenly
// over all workers, so that data centres get equal numbers.
func (t Trace) workers() []placement.Worker {
	var all []placement.Worker
	for _, f := range t.Fleets {
		for i := range f.Count {
			all = append(all, placement.Worker{
				ID:         fmt.Sprintf("%s-%02d", f.DataCentre, i),
				Rack:       fmt.Sprintf("%s/%d", f.DataCentre, i/f.PerRack),
				DataCentre: f.DataCentre,
				Capacity:   f.Capacity,
				Accepting:  true,
			})
		}
	}
	for _, s := range t.Services {
		for i := range s.Runners {
			w := &all[i*len(all)/s.Runners]
			w.Runners = append(w.Runners, placement.Runner{Service: s.Name, Share: s.Share})
			w.Reserved = w.Reserved.Plus(s.Runner)
		}
	}
	return all
}

// slowdownTable returns the slowdowns by victim and aggressor.
func (t Trace) slowdownTable() [][]float64 {
	table := make([][]float64, len(t.Families)+len(t.Services))
	for i := range table {
		table[i] = make([]float64, len(t.Families))
	}
	for _, s := range t.Slowdowns {
		a := t.family(s.Aggressor)
		v := t.family(s.Victim)
		if v < 0 {
			v = t.service(s.Victim)
		}
		if a >= 0 && v >= 0 {
			table[v][a] = s.By
		}
	}
	return table
}

// family returns the index of a family, or -1.
func (t Trace) family(name string) int {
	return slices.IndexFunc(t.Families, func(f Family) bool { return f.Name == name })
}

// service returns the index of a service among the victims.
func (t Trace) service(name string) int {
	return len(t.Families) + slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
}

// add adds a running task.
func (f *fakeWorker) add(t *fakeTask) {
	i, _ := f.find(t.id)
	f.tasks = slices.Insert(f.tasks, i, t)
}

// remove removes a task.
func (f *fakeWorker) remove(id string) {
	if i, ok := f.find(id); ok {
		f.tasks = slices.Delete(f.tasks, i, i+1)
	}
}

// find returns the index at which a task is or would be inserted, and whether it is there.
func (f *fakeWorker) find(id string) (int, bool) {
	return slices.BinarySearchFunc(f.tasks, id, func(t *fakeTask, id string) int { return strings.Compare(t.id, id) })
}

// trueSize returns the resources that a task actually needs. The size varies by task ID.
func trueSize(f Family, task string) share.Resources {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	factor := 1 - sizeVariation*float64(h.Sum32()%1000)/1000
	size := f.True
	size.Processors = share.MilliCores(float64(size.Processors) * factor)
	size.Memory = share.Bytes(float64(size.Memory) * factor)
	return size
}

// strain returns the true strain of a service on a worker: its p99 latency as a fraction of the objective.
func (w *World) strain(f *fakeWorker, service string) float64 {
	v := w.trace.service(service)
	factor := 1.0
	for _, t := range f.tasks {
		factor += t.ratio * w.slowdowns[v][t.family]
	}
	return factor * f.contention() * w.baseStrain(w.trace.Services[v-len(w.trace.Families)])
}

// baseStrain returns the strain of a service without interference.
func (w *World) baseStrain(s Service) float64 {
	return w.loads[s.Name] * float64(s.P99) / float64(s.Objective)
}

// contention returns the factor by which everything on a worker is slowed down because
// the tasks need more processors than are available.
func (f *fakeWorker) contention() float64 {
	available := float64(f.Capacity.Processors - f.Reserved.Processors)
	used := 0.0
	for _, t := range f.tasks {
		used += t.ratio * float64(t.size.Processors)
	}
	return max(1, used/available)
}

// speed returns the progress of a task per second.
func (w *World) speed(f *fakeWorker, t *fakeTask) float64 {
	slowdowns := w.slowdowns[t.family]
	factor := 1 - t.ratio*slowdowns[t.family]
	for _, other := range f.tasks {
		factor += other.ratio * slowdowns[other.family]
	}
	return t.ratio / factor / f.contention()
}

// setModel sets an interference model to the true slowdowns and loads.
func (w *World) setModel(m *interference.Model) {
	for i, f := range w.trace.Families {
		a := m.Aggressor(f.Name)
		for j, v := range w.trace.Families {
			m.SetEffect(m.Family(v.Name), a, w.slowdowns[j][i])
		}
		for j, s := range w.trace.Services {
			m.SetEffect(m.Service(s.Name), a, w.slowdowns[len(w.trace.Families)+j][i])
		}
	}
	for _, s := range w.trace.Services {
		m.SetBaseline(m.Service(s.Name), w.baseStrain(s))
	}
}

// currentMeasurements returns measurements without noise or lag.
func (w *World) currentMeasurements() []placement.Measurement {
	var all []placement.Measurement
	for _, f := range w.workers {
		m := placement.Measurement{Worker: f.ID, At: w.now}
		for _, r := range f.Runners {
			m.Tails = append(m.Tails, placement.ServiceView{
				Service: r.Service, Share: r.Share, Strain: w.strain(f, r.Service),
			})
		}
		all = append(all, m)
	}
	return all
}

// sendReports queues a report of each worker on the window that ends now. The reports arrive
// after the trace's lag.
func (w *World) sendReports() {
	for _, f := range w.workers {
		m := placement.Measurement{Worker: f.ID, At: w.now, Window: w.trace.Window}
		for _, r := range f.Runners {
			noise := 1 + tailNoise*w.random.NormFloat64()
			m.Tails = append(m.Tails, placement.ServiceView{
				Service: r.Service, Share: r.Share, Strain: f.strainSums[r.Service] / float64(f.stepCount) * noise,
			})
		}
		for _, t := range f.tasks {
			m.Tasks = append(m.Tasks, placement.TaskMeasurement{Task: t.id, Speed: t.progress / max(t.undisturbedProgress, 1e-9), Peak: t.size})
			t.progress, t.undisturbedProgress = 0, 0
		}
		clear(f.strainSums)
		f.stepCount = 0
		w.reports = append(w.reports, delayedReport{arrivesAt: w.now.Add(w.trace.Lag), Measurement: m})
	}
}
