package batch

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
)

const (
	// strainBound is the expected tail, as a part of its target, up to which a filling task is placed.
	strainBound = 0.8
	// loadedEffect is how much greater an effect is at a serving task's busy time than on average.
	loadedEffect = 2
	// steadyAfter is how long a run works before a measurement is laid to it, which covers half a second.
	steadyAfter = 700 * time.Millisecond
	// servingUse is the part of their processors that serving tasks are taken to use at their usual load.
	servingUse = 0.58
	// saturatedFor is how long a worker is taken to be short of processors after it was seen so.
	saturatedFor = time.Second
	// fedPart is the part of its processors that a filling task gets on a worker that has enough.
	fedPart = 0.5
)

// victim returns the model's name of a serving image.
func (c *Core) victim(image string) interference.Victim { return c.model.Service(image) }

func (c *Core) aggressor(image string) interference.Aggressor { return c.model.Aggressor(image) }

// harm returns the strain that an image with a number of cores is expected to
// add to the most sensitive serving task of a worker.
func (c *Core) harm(w *worker, image string, cores float64) float64 {
	worst := 0.0
	a := c.aggressor(image)
	for served := range w.serving {
		worst = max(worst, c.harmTo(w, served, a, cores))
	}
	return worst
}

// harmTo returns the strain that an aggressor is expected to add to one serving
// image. The busier the serving task, the more it suffers from the same load.
func (c *Core) harmTo(w *worker, served string, a interference.Aggressor, cores float64) float64 {
	v := c.victim(served)
	effect, _ := c.model.Effect(v, a)
	return loadedEffect * effect * cores * max(c.model.Base(v), w.strains[served])
}

// cores returns the processors of a step, in cores.
func (s *Step) cores() float64 { return float64(s.Size.Processors) / 1000 }

// learn lays the measured tails of a report to the tasks that fill the worker.
func (c *Core) learn(w *worker, now time.Time) {
	w.strain = 0
	clear(w.strains)
	var loads []interference.Load
	steady := true
	got, need := 0.0, 0.0
	for _, r := range w.runs {
		s := r.task.stage.step
		if !s.Fills || r.state != runRunning {
			continue
		}
		if now.Sub(r.paceAt) < steadyAfter || now.Sub(r.ordered) < steadyAfter {
			steady = false
			continue
		}
		got += r.cores
		need += s.cores() * float64(r.pace) / fullPace
		loads = append(loads, interference.Load{Aggressor: c.aggressor(s.Image), Amount: r.cores})
	}
	if need > 0 && got < fedPart*need {
		w.saturatedAt = now
	}
	for _, r := range sortedRuns(w.runs) {
		s := r.task.stage.step
		if s.TailTarget <= 0 || r.state != runRunning || r.tail <= 0 {
			continue
		}
		strain := float64(r.tail) / float64(s.TailTarget)
		w.strain = max(w.strain, strain)
		w.strains[s.Image] = max(w.strains[s.Image], strain)
		if steady {
			c.model.Observe(c.victim(s.Image), loads, strain, now)
		}
	}
}

// idle returns the processors, in thousandths of a core, that tasks which fill may expect on a worker.
func (c *Core) idle(w *worker, now time.Time) float64 {
	if now.Sub(w.saturatedAt) < saturatedFor {
		return 0
	}
	used := float64(w.used.Processors) - (1-servingUse)*float64(w.servingCPU)
	return float64(w.Capacity.Processors) - used - float64(w.soft.Processors)
}
