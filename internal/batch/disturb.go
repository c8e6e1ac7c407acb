package batch

import (
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
)

const (
	// fade is how fast a measured tail follows the true one: what was measured half a
	// second ago counts for a quarter.
	fade = 360 * time.Millisecond
	// leastSpan is the time between two measurements of a tail from which what lies
	// between them is told apart.
	leastSpan = 250 * time.Millisecond
	// tailStep is the step of measured tails, changeNoise the part of a change that is
	// uncertain, and loadNoise how far headroom differs between tasks of a job for other reasons.
	tailStep    = time.Millisecond
	changeNoise = 0.3
	loadNoise   = 0.1
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

// cores returns the processors of a step, in cores.
func (s *Step) cores() float64 { return float64(s.Size.Processors) / 1000 }

// part returns the part of a worker's processors that a task of the step uses at full pace.
func (s *Step) part(w *worker) float64 {
	return float64(s.Size.Processors) / float64(max(1, w.Capacity.Processors))
}

// learn lays the measured tails of a report to the tasks that fill the worker.
func (c *Core) learn(w *worker, now time.Time) {
	w.accrue(now)
	if w.isStarved(now) {
		w.saturatedAt = now
	}
	span := now.Sub(w.measuredAt)
	if span >= leastSpan {
		c.takeTails(w, span, now)
	}
	w.strain, w.usual = 0, 0
	serving := w.measured()
	for _, r := range serving {
		w.strain = max(w.strain, r.strain)
		w.usual += min(1, r.strain) / float64(len(serving))
	}
	w.stale = true
}

// isStarved reports whether the tasks that fill the worker, and have settled there,
// get much less than they need.
func (w *worker) isStarved(now time.Time) bool {
	got, need := 0.0, 0.0
	for _, r := range w.runs {
		if s := r.task.stage.step; s.Filler && r.state == runRunning && now.Sub(r.paceAt) >= fade && now.Sub(r.ordered) >= fade {
			got += r.cores
			need += s.cores() * float64(r.pace) / fullPace
		}
	}
	return need > 0 && got < fedPart*need
}

// measured returns the runs that serve on the worker and told their tails, in a fixed order.
func (w *worker) measured() []*run {
	return slices.DeleteFunc(sortedRuns(w.runs), func(r *run) bool {
		return r.task.stage.step.TailTarget <= 0 || r.state != runRunning || r.tail <= 0 || r.percent < fullPace
	})
}

// takeTails takes in the tails of a worker, a span after the last time.
func (c *Core) takeTails(w *worker, span time.Duration, now time.Time) {
	beside := w.presences(span)
	for _, r := range w.measured() {
		s := r.task.stage
		if noise, known := r.measure(span); known {
			c.headroom.Observe(&s.level, s.image, beside, 1/r.strain, noise, now)
		}
	}
	w.measuredAt = now
	w.spent = w.spent[:0]
}

// measure takes from two measured tails, a span apart, the strain between them,
// and returns the noise of the headroom that follows. It reports false for a first
// tail, which may have been measured before the run began.
func (r *run) measure(span time.Duration) (noise float64, known bool) {
	target := float64(r.task.stage.step.TailTarget)
	if r.tailBefore == 0 {
		r.tailBefore, r.strain = r.tail, float64(r.tail)/target
		return 0, false
	}
	old := math.Exp(-float64(span) / float64(fade))
	change := float64(r.tail - r.tailBefore)
	tail := max(float64(tailStep), float64(r.tail)+change*old/(1-old))
	r.tailBefore, r.strain = r.tail, tail/target
	wrong := float64(tailStep)/(1-old) + changeNoise*math.Abs(change)
	return loadNoise + wrong/tail/r.strain, true
}

// accrue adds what the tasks that fill the worker were given since the last call.
func (w *worker) accrue(now time.Time) {
	span := now.Sub(w.accruedAt).Seconds()
	w.accruedAt = now
	if span <= 0 || w.soft.Processors == 0 {
		return
	}
	for _, r := range w.runs {
		if s := r.task.stage; s.step.Filler && r.state != runIntended && r.state != runOrdered {
			w.spent = addPresence(w.spent, s.image, s.step.part(w)*float64(r.pace)/fullPace*span)
		}
	}
}

// presences returns the mean part that images had of the worker in a span up to now.
func (w *worker) presences(span time.Duration) []interference.ImageUsage {
	all := slices.Clone(w.spent)
	for i := range all {
		all[i].Fraction /= span.Seconds()
	}
	return all
}

// addPresence adds what an image uses to what others of it use.
func addPresence(all []interference.ImageUsage, image int, part float64) []interference.ImageUsage {
	for i := range all {
		if all[i].Aggressor == image {
			all[i].Fraction += part
			return all
		}
	}
	return append(all, interference.ImageUsage{Aggressor: image, Fraction: part})
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
