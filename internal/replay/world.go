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

// epoch is when every trace begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	// step is the resolution of the fake.
	step = time.Second
	// tailNoise is the relative error of a measured tail latency.
	tailNoise = 0.05
	// sizeVariation is by how much the true sizes of a family's tasks differ.
	sizeVariation = 0.1
)

// World is the true state of the fake workers, hidden from all policies but the oracle.
type World struct {
	trace   Trace
	now     time.Time
	random  *rand.Rand
	workers []*fakeWorker
	byID    map[string]*fakeWorker
	// slowdowns are indexed by victim, families before services, and aggressor.
	slowdowns [][]float64
	loads     map[string]float64
	reports   []delayed
}

// fakeWorker is one worker with its services and tasks.
type fakeWorker struct {
	placement.Worker
	// tasks are in the order of their names.
	tasks []*fakeTask
	// strains are the sums of the services' strains in this window.
	strains map[string]float64
	steps   int
}

// fakeTask is one task on a worker.
type fakeTask struct {
	id string
	// family is the index of the task's family.
	family int
	size   share.Resources
	ratio  float64
	// done and full are the progress of this window, as it was and as it
	// would have been undisturbed.
	done, full float64
}

// delayed is a report on its way.
type delayed struct {
	arrives time.Time
	placement.Measurement
}

func newWorld(t Trace) *World {
	w := &World{
		trace:     t,
		now:       epoch,
		random:    rand.New(rand.NewPCG(t.Seed, 2)),
		byID:      map[string]*fakeWorker{},
		slowdowns: t.table(),
		loads:     map[string]float64{},
	}
	for _, s := range t.Services {
		w.loads[s.Name] = 1
	}
	for _, worker := range t.workers() {
		f := &fakeWorker{Worker: worker, strains: map[string]float64{}}
		w.workers = append(w.workers, f)
		w.byID[worker.ID] = f
	}
	return w
}

// workers returns the workers of a trace. The runners are dealt out over the
// fleets in turn, so that data centres have equal parts.
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

// table returns the slowdowns by victim and aggressor.
func (t Trace) table() [][]float64 {
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

// service returns the index of a service as a victim.
func (t Trace) service(name string) int {
	return len(t.Families) + slices.IndexFunc(t.Services, func(s Service) bool { return s.Name == name })
}

// add puts a task on the worker.
func (f *fakeWorker) add(t *fakeTask) {
	i, _ := f.find(t.id)
	f.tasks = slices.Insert(f.tasks, i, t)
}

// remove takes a task off the worker.
func (f *fakeWorker) remove(id string) {
	if i, ok := f.find(id); ok {
		f.tasks = slices.Delete(f.tasks, i, i+1)
	}
}

func (f *fakeWorker) find(id string) (int, bool) {
	return slices.BinarySearchFunc(f.tasks, id, func(t *fakeTask, id string) int { return strings.Compare(t.id, id) })
}

// trueSize returns what one task of a family truly holds.
func trueSize(f Family, task string) share.Resources {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task))
	factor := 1 - sizeVariation*float64(h.Sum32()%1000)/1000
	size := f.True
	size.Processors = share.MilliCores(float64(size.Processors) * factor)
	size.Memory = share.Bytes(float64(size.Memory) * factor)
	return size
}

// strain returns the true strain of a service on a worker.
func (w *World) strain(f *fakeWorker, service string) float64 {
	v := w.trace.service(service)
	factor := 1.0
	for _, t := range f.tasks {
		factor += t.ratio * w.slowdowns[v][t.family]
	}
	return factor * f.contention() * w.base(w.trace.Services[v-len(w.trace.Families)])
}

// base returns the strain of a service without interference.
func (w *World) base(s Service) float64 {
	return w.loads[s.Name] * float64(s.P99) / float64(s.Objective)
}

// contention returns by how much everything on a worker is slowed down because
// the tasks hold more processors than it has.
func (f *fakeWorker) contention() float64 {
	room := float64(f.Capacity.Processors - f.Reserved.Processors)
	used := 0.0
	for _, t := range f.tasks {
		used += t.ratio * float64(t.size.Processors)
	}
	return max(1, used/room)
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

// tell sets a model to the true table and loads.
func (w *World) tell(m *interference.Model) {
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
		m.SetBaseline(m.Service(s.Name), w.base(s))
	}
}

// present returns what an instant measurement would be.
func (w *World) present() []placement.Measurement {
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

// report sends what was measured in the window that ends now.
func (w *World) report() {
	for _, f := range w.workers {
		m := placement.Measurement{Worker: f.ID, At: w.now, Window: w.trace.Window}
		for _, r := range f.Runners {
			noise := 1 + tailNoise*w.random.NormFloat64()
			m.Tails = append(m.Tails, placement.ServiceView{
				Service: r.Service, Share: r.Share, Strain: f.strains[r.Service] / float64(f.steps) * noise,
			})
		}
		for _, t := range f.tasks {
			m.Tasks = append(m.Tasks, placement.TaskMeasurement{Task: t.id, Speed: t.done / max(t.full, 1e-9), Peak: t.size})
			t.done, t.full = 0, 0
		}
		clear(f.strains)
		f.steps = 0
		w.reports = append(w.reports, delayed{arrives: w.now.Add(w.trace.Lag), Measurement: m})
	}
}
