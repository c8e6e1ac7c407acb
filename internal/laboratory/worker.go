package laboratory

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// simWorker is a worker that follows the rules for workers: it refuses outdated leaders, stops its
// runs when its lease expires, and reports the ends of runs until they are acknowledged.
type simWorker struct {
	info batch.WorkerInfo
	// declared is the capacity before any Shrink.
	declared         share.MilliCores
	joinsAt          time.Time
	incarnationStart time.Time
	token            int64
	leasedUntil      time.Time
	// down means that the process has crashed, gone that it has left for good.
	down        bool
	gone        bool
	silentUntil time.Time
	// runs are sorted by task and run number.
	runs    []*simRun
	ended   []batch.EndedRow
	lastEnd int64
	// highestEnded is the highest number of a run that has ended, for each task.
	highestEnded map[batch.TaskName]int64
	// held answers a poll that is held back until a run ends or heldUntil is reached, cut reports
	// that it gets no answer. They are nil if no poll is held back.
	held, cut func()
	heldUntil time.Time
	poller    poller
	// idle are the processors that no run used in the last tick, in thousandths of a core.
	idle float64
}

// simRun is one run on a worker. Either service or job says what it runs.
type simRun struct {
	task      batch.TaskName
	number    int64
	service   int
	step      *batch.Step
	remaining time.Duration
	total     time.Duration
	startedAt time.Time
	// ratio is the throttle ratio in percent, speed the part of full speed at which it worked in the last tick.
	ratio int
	speed float64
	// tail is the measured tail latency in milliseconds; 0 before the first one.
	tail float64
	// headroom is the true headroom of a serving run, and baseline that without interference.
	headroom, baseline float64
}

// tailDecayPerTick is the weight of the previous measurement after a tick: e^(-100/360), since
// measured tail latencies follow the true ones with a time constant of 360 ms.
const tailDecayPerTick = 0.7574651

// leastHeadroom bounds the true headroom from below.
const leastHeadroom = 0.05

func (r *simRun) isServing() bool { return r.step.TailTarget > 0 }

func (w *simWorker) clock(now time.Time) time.Duration {
	return now.Sub(w.incarnationStart) + time.Second
}

// answers reports whether the worker answers calls.
func (w *simWorker) answers(now time.Time) bool {
	return !w.down && !w.gone && !now.Before(w.silentUntil) && !now.Before(w.joinsAt)
}

// grant extends the worker's lease to a deadline on its clock, but to no more than longest from now.
func (w *simWorker) grant(deadline, longest time.Duration, now time.Time) {
	until := w.incarnationStart.Add(deadline - time.Second)
	if limit := now.Add(longest); until.After(limit) {
		until = limit
	}
	if until.After(w.leasedUntil) {
		w.leasedUntil = until
	}
}

func (w *simWorker) find(task batch.TaskName, number int64) *simRun {
	for _, r := range w.runs {
		if r.task == task && r.number == number {
			return r
		}
	}
	return nil
}

// insert adds a run in the order of tasks.
func (w *simWorker) insert(r *simRun) {
	i, _ := slices.BinarySearchFunc(w.runs, r, compareRuns)
	w.runs = slices.Insert(w.runs, i, r)
}

func compareRuns(a, b *simRun) int {
	return cmp.Or(
		cmp.Compare(a.task.Job, b.task.Job), cmp.Compare(a.task.Occurrence, b.task.Occurrence), cmp.Compare(a.task.Step, b.task.Step),
		cmp.Compare(a.task.Index, b.task.Index), cmp.Compare(a.number, b.number),
	)
}

// fits reports whether a task fits beside the worker's runs.
func (w *simWorker) fits(step *batch.Step) bool {
	free := w.info.Capacity
	for _, r := range append(slices.Clone(w.runs), &simRun{step: step}) {
		size := r.step.Size
		if r.step.Filler {
			size.Processors = 0
		}
		free = free.Minus(size)
	}
	return !free.IsNegative()
}

// end ends a run.
func (w *simWorker) end(r *simRun, how batch.EndKind) {
	w.runs = slices.DeleteFunc(w.runs, func(o *simRun) bool { return o == r })
	w.lastEnd++
	w.highestEnded[r.task] = max(w.highestEnded[r.task], r.number)
	w.ended = append(w.ended, batch.EndedRow{Number: w.lastEnd, Task: r.task, Run: r.number, How: how, Checkpoint: r.checkpoint()})
}

// checkpoint returns the saved state of a run: its remaining run time.
func (r *simRun) checkpoint() string {
	if !r.step.Checkpoints {
		return ""
	}
	return strconv.FormatInt(int64(r.remaining), 10)
}

// resume continues a run from a saved state.
func (r *simRun) resume(checkpoint string) {
	if saved, err := strconv.ParseInt(checkpoint, 10, 64); err == nil && saved > 0 && saved <= int64(r.total) {
		r.remaining = time.Duration(saved)
	}
}

// report returns the worker's answer to a poll.
func (w *simWorker) report(now time.Time) batch.Report {
	rep := batch.Report{Incarnation: w.info.Incarnation, Clock: w.clock(now), Ended: slices.Clone(w.ended)}
	for _, r := range w.runs {
		row := batch.RunningRow{Task: r.task, Run: r.number, Checkpoint: r.checkpoint()}
		switch {
		case r.isServing():
			row.Measurement = r.tail
			if r.tail > 0 {
				row.Percent = 100
			}
		default:
			row.Percent = int(100 * (r.total - r.remaining) / r.total)
			row.Measurement = float64(float64(r.step.Size.Processors) * r.speed)
		}
		rep.Running = append(rep.Running, row)
	}
	return rep
}

// advance lets the runs work for a tick that ends now. It reports whether a run has ended.
func (w *simWorker) advance(d *Day, now time.Time) bool {
	endsBefore := w.lastEnd
	if now.After(w.leasedUntil) {
		for _, r := range slices.Clone(w.runs) {
			w.end(r, batch.EndExpired)
		}
	}
	w.setSpeeds(d, now)
	w.setHeadrooms(d)
	for _, r := range slices.Clone(w.runs) {
		if r.isServing() {
			continue
		}
		worked := min(tick, now.Sub(r.startedAt))
		r.remaining -= time.Duration(float64(worked) * r.speed)
		if r.remaining <= 0 {
			w.end(r, batch.EndDone)
		}
	}
	return w.lastEnd > endsBefore
}

// setSpeeds shares the processors among the runs: allocated tasks come first, and filler runs get
// what they leave.
func (w *simWorker) setSpeeds(d *Day, now time.Time) {
	capacity := float64(w.info.Capacity.Processors)
	allocated, fillers := 0.0, 0.0
	for _, r := range w.runs {
		use := float64(r.step.Size.Processors)
		switch {
		case r.step.Filler:
			fillers += float64(use*float64(r.ratio)) / 100
		case r.isServing():
			r.baseline = d.baseline(r.service, now.Sub(epoch))
			s := d.Experiment.Services[r.service]
			allocated += float64(use * min(1, float64(s.Use*s.Baseline)/max(leastHeadroom, r.baseline)))
		default:
			allocated += use
		}
	}
	allocatedSpeed, fillerSpeed := 1.0, 1.0
	if allocated > capacity {
		allocatedSpeed = capacity / allocated
	}
	left := max(0, capacity-allocated)
	if fillers > left {
		fillerSpeed = left / fillers
	}
	w.idle = max(0, left-fillers)
	for _, r := range w.runs {
		r.speed = allocatedSpeed
		if r.step.Filler {
			r.speed = float64(fillerSpeed*float64(r.ratio)) / 100
		}
	}
}

// setHeadrooms computes the true headroom of the serving runs, and what is measured of it.
func (w *simWorker) setHeadrooms(d *Day) {
	for _, r := range w.runs {
		if !r.isServing() {
			continue
		}
		lost := 0.0
		for _, o := range w.runs {
			if !o.isServing() {
				lost += float64(d.losses[r.step.Image][o.step.Image]*float64(o.step.Size.Processors)*o.speed) / float64(max(1, w.declared))
			}
		}
		r.remaining = max(0, r.remaining-tick)
		r.headroom = max(leastHeadroom, float64(r.baseline*r.speed)-lost)
		if r.remaining > 0 {
			continue
		}
		tail := r.step.TailTarget.Seconds() * 1000 / r.headroom
		if r.tail > 0 {
			tail = float64(r.tail*tailDecayPerTick) + float64(tail*(1-tailDecayPerTick))
		}
		r.tail = tail
	}
}
