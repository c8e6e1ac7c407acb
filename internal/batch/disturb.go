package batch

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
)

const (
	// mostRisk is the probability of harm up to which a filling task is placed.
	mostRisk = 0.37
	// missedBound is the tail, as a part of its target, that counts as missed.
	missedBound = 0.95
	// steadyAfter is how long a run works before a measurement is laid to it, which covers half a second.
	steadyAfter = 700 * time.Millisecond
	// usualUse is the part of their processors that serving tasks are taken to use at a
	// usual tail, and busyUse at one that is at its target; in between use grows with the tail.
	usualUse    = 0.45
	busyUse     = 0.85
	usualStrain = 0.3
	// saturatedFor is how long a worker is taken to be short of processors after it was seen so.
	saturatedFor = time.Second
	// fedPart is the part of its processors that a filling task gets on a worker that has enough.
	fedPart = 0.5
)

// imageID returns the number by which the core knows an image.
func (c *Core) imageID(image string) int {
	id, ok := c.images[image]
	if !ok {
		id = len(c.images)
		c.images[image] = id
	}
	return id
}

// harm returns the probability that an image harms a serving task of a worker.
func (c *Core) harm(w *worker, image int) float64 {
	safe := 1.0
	for i := range w.serving {
		safe *= 1 - c.risk.Of(w.serving[i].image, image)
	}
	return 1 - safe
}

// cores returns the processors of a step, in cores.
func (s *Step) cores() float64 { return float64(s.Size.Processors) / 1000 }

// learn lays the measured tails of a report to the tasks that fill the worker.
func (c *Core) learn(w *worker, now time.Time) {
	w.strain = 0
	for i := range w.serving {
		w.serving[i].strain = 0
	}
	var beside []interference.Presence
	steady := true
	got, need := 0.0, 0.0
	whole := float64(max(1, w.Capacity.Processors)) / 1000
	total, serving := 0.0, 0
	for _, r := range sortedRuns(w.runs) {
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
		beside = addPresence(beside, r.task.stage.image, r.cores/whole)
	}
	if need > 0 && got < fedPart*need {
		w.saturatedAt = now
	}
	for _, r := range w.runs {
		s := r.task.stage.step
		if s.TailTarget <= 0 || r.state != runRunning || r.tail <= 0 || r.percent < fullPace {
			continue
		}
		strain := float64(r.tail) / float64(s.TailTarget)
		w.strain = max(w.strain, strain)
		total += min(1, strain)
		serving++
		if served := w.served(r.task.stage.image); served != nil {
			served.strain = max(served.strain, strain)
		}
	}
	w.usual = 0
	if serving > 0 {
		w.usual = total / float64(serving)
	}
	if steady && now.Sub(w.leftAt) >= steadyAfter {
		for _, served := range w.serving {
			if served.strain > 0 {
				c.risk.Observe(served.image, beside, served.strain > missedBound)
			}
		}
	}
}

// addPresence adds what an image uses to what others of it use.
func addPresence(all []interference.Presence, image int, part float64) []interference.Presence {
	for i := range all {
		if all[i].Aggressor == image {
			all[i].Part += part
			return all
		}
	}
	return append(all, interference.Presence{Aggressor: image, Part: part})
}

// idle returns the processors, in thousandths of a core, that tasks which fill may expect on a worker.
func (c *Core) idle(w *worker, now time.Time) float64 {
	if now.Sub(w.saturatedAt) < saturatedFor {
		return 0
	}
	used := float64(w.used.Processors) - (1-w.servingUse())*float64(w.servingCPU)
	return float64(w.Capacity.Processors) - used - float64(w.soft.Processors)
}

// servingUse returns the part of their processors that the serving tasks of a worker are taken to use.
func (w *worker) servingUse() float64 {
	busy := (w.usual - usualStrain) / (1 - usualStrain)
	return usualUse + (busyUse-usualUse)*max(0, min(1, busy))
}
