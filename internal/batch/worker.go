package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// worker is a worker as the holder sees it.
type worker struct {
	WorkerInfo
	// listed means that the platform's list names the worker at present.
	listed  bool
	drainAt time.Time
	runs    map[runKey]*run
	// used is what the runs hold, and soft what they would use besides, without holding it.
	used share.Resources
	soft share.Resources
	// strays are runs that no job explains; they hold unknown room until they end.
	strays map[runKey]time.Time

	// clock was the worker's clock at or before clockAt.
	clock   time.Duration
	clockAt time.Time
	// adopted means that a look of this holder was answered in the worker's present lifetime.
	adopted bool
	// lapseAt is when all that was granted has surely lapsed.
	lapseAt time.Time
	heardAt time.Time
	// silentSince is when the first of the calls was sent that had no answer.
	silentSince time.Time
	refused     bool
	// shunUntil keeps new runs away after a refusal, shunned counts refusals in a row.
	shunUntil time.Time
	shunned   int

	// seen is the highest end that was taken in, acked the highest that may be acknowledged.
	seen    int64
	pending []pendingEnd
	acked   int64

	// serving are the images of runs with a tail target, servingCPU is what they hold.
	serving    []servedImage
	servingCPU share.MilliCores
	// strain is the worst tail as a part of its target, as last measured.
	strain float64
	// victims is what serves there, as it was reckoned last; stale means that this has changed.
	victims []victim
	stale   bool
	// prospects are what was reckoned for images since then.
	prospects []prospect
	// spent is what images that fill the worker were given since measuredAt, the last
	// time that tails were taken in, as parts of its processors times seconds, up to accruedAt.
	spent      []interference.ImageUsage
	measuredAt time.Time
	accruedAt  time.Time
	// reservedFor is the task for which the worker is reserved, since reservedAt; nil if it is not.
	reservedFor *task
	reservedAt  time.Time
	// appeal is how much the images want the worker that it suits.
	appeal float64
	// usual is the mean tail as a part of its target, each counted up to its target.
	usual   float64
	pacedAt time.Time
	// overSince is since when a target is missed.
	overSince   time.Time
	saturatedAt time.Time
}

type runKey struct {
	task TaskName
	run  int64
}

type pendingEnd struct {
	number  int64
	durable bool
}

// key returns what the worker knows the run by.
func (r *run) key() runKey { return runKey{task: r.task.name(), run: r.number} }

// free returns what new runs may hold.
func (w *worker) free() share.Resources { return w.Capacity.Minus(w.used) }

// add takes a run onto the worker.
func (w *worker) add(r *run) {
	w.runs[r.key()] = r
	w.stale = true
	size := r.task.stage.step.Size
	if r.holdsProcessors() {
		w.used = w.used.Plus(size)
	} else {
		w.used.Memory += size.Memory
		w.used.Accelerators += size.Accelerators
		w.soft.Processors += size.Processors
	}
	if s := r.task.stage.step; s.TailTarget > 0 {
		w.addServed(r.task.stage.image, 1)
		w.servingCPU += size.Processors
	}
	r.task.stage.onWorkers[w]++
}

// remove takes a run off the worker.
func (w *worker) remove(r *run) {
	if w.runs[r.key()] != r {
		return
	}
	delete(w.runs, r.key())
	w.stale = true
	size := r.task.stage.step.Size
	if r.holdsProcessors() {
		w.used = w.used.Minus(size)
	} else {
		w.used.Memory -= size.Memory
		w.used.Accelerators -= size.Accelerators
		w.soft.Processors -= size.Processors
	}
	if s := r.task.stage.step; s.TailTarget > 0 {
		w.servingCPU -= size.Processors
		w.addServed(r.task.stage.image, -1)
	}
	if r.task.stage.onWorkers[w]--; r.task.stage.onWorkers[w] == 0 {
		delete(r.task.stage.onWorkers, w)
	}
}

// servedImage is an image with a tail target on a worker.
type servedImage struct {
	image int
	runs  int
}

// served returns an image that serves on the worker, or nil.
func (w *worker) served(image int) *servedImage {
	for i := range w.serving {
		if w.serving[i].image == image {
			return &w.serving[i]
		}
	}
	return nil
}

// addServed adds a number of runs of an image, which may be negative.
func (w *worker) addServed(image, runs int) {
	s := w.served(image)
	if s == nil {
		w.serving = append(w.serving, servedImage{image: image, runs: runs})
		return
	}
	if s.runs += runs; s.runs == 0 {
		w.serving = slices.DeleteFunc(w.serving, func(o servedImage) bool { return o.image == image })
	}
}

// hasLabel reports whether the worker carries a label.
func (w *worker) hasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// deadline returns a time on the worker's clock that is d from now, and notes
// when it has surely passed.
func (w *worker) deadline(d time.Duration, now time.Time) time.Duration {
	at := w.clock + now.Sub(w.clockAt) + d
	bound := w.clockAt.Add(time.Duration(float64(at-w.clock)/clockRate) + lapseSlack)
	if bound.After(w.lapseAt) {
		w.lapseAt = bound
	}
	return at
}

// hear notes an answer of the worker.
func (w *worker) hear(clock time.Duration, now time.Time) {
	w.heardAt = now
	w.silentSince = time.Time{}
	w.refused = false
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// noteEnd takes the number of an end, and reports whether it is new.
func (w *worker) noteEnd(number int64) bool {
	if number <= w.seen {
		return false
	}
	w.seen = number
	w.pending = append(w.pending, pendingEnd{number: number})
	return true
}

// endDurable notes that an end was committed.
func (w *worker) endDurable(number int64) {
	for i := range w.pending {
		if w.pending[i].number == number {
			w.pending[i].durable = true
		}
	}
	n := 0
	for n < len(w.pending) && w.pending[n].durable {
		w.acked = w.pending[n].number
		n++
	}
	w.pending = w.pending[n:]
}
