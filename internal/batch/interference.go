package batch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
)

const (
	// tailDecay is the time constant with which measured tail latencies follow the true ones: a
	// value from half a second ago still has a weight of a quarter.
	tailDecay = 360 * time.Millisecond
	// minTailInterval is the shortest interval between two measured tail latencies from which the
	// true tail latency in the interval is computed.
	minTailInterval = 250 * time.Millisecond
	// tailResolution is the resolution of measured tail latencies, tailChangeNoise the uncertain
	// fraction of a change between two of them, and headroomNoise how much the headroom of a job's
	// tasks differs for reasons other than interference.
	tailResolution  = time.Millisecond
	tailChangeNoise = 0.3
	headroomNoise   = 0.1
	// typicalServingUse is the share of their processors that serving tasks are assumed to use at
	// typicalTailRatio and below, busyServingUse the share at their targets. In between, it grows
	// linearly.
	typicalServingUse = 0.45
	busyServingUse    = 0.85
	typicalTailRatio  = 0.3
	// starvedFor is how long a worker counts as having no idle processors after its filler tasks
	// were starved.
	starvedFor = time.Second
	// A worker is starved if its filler tasks get less than minFillerCPUShare of the processor time
	// that they need.
	minFillerCPUShare = 0.5
)

// imageID returns the number that identifies an image in this Core, and assigns one to a new image.
func (c *Core) imageID(image string) int {
	id, ok := c.images[image]
	if !ok {
		id = len(c.images)
		c.images[image] = id
	}
	return id
}

// cores returns the size of the step's tasks in cores.
func (s *Step) cores() float64 { return float64(s.Size.Processors) / 1000 }

// cpuShare returns the share of a worker's processors that an unthrottled task of the step uses.
func (s *Step) cpuShare(w *worker) float64 {
	return float64(s.Size.Processors) / float64(max(1, w.Capacity.Processors))
}

// learnInterference attributes the tail latencies in a worker's report to the filler tasks there,
// and updates the worker's tail ratios.
func (c *Core) learnInterference(w *worker, now time.Time) {
	w.addFillerUsage(now)
	if w.isStarved(now) {
		w.starvedAt = now
	}
	span := now.Sub(w.tailsRecordedAt)
	if span >= minTailInterval {
		c.recordTails(w, span, now)
	}
	w.worstTailRatio, w.meanTailRatio = 0, 0
	serving := w.measuredRuns()
	for _, r := range serving {
		w.worstTailRatio = max(w.worstTailRatio, r.tailRatio)
		w.meanTailRatio += min(1, r.tailRatio) / float64(len(serving))
	}
	w.groupsStale = true
}

// isStarved reports whether the filler tasks on the worker get much less processor time than they
// need. Runs that were started or throttled less than tailDecay ago are ignored.
func (w *worker) isStarved(now time.Time) bool {
	got, need := 0.0, 0.0
	for _, r := range w.runs {
		if s := r.task.stage.step; s.Filler && r.isUseKnown(now) {
			got += quantize(r.coresUsed)
			need += quantize(s.cores() * float64(r.throttleRatio) / unthrottled)
		}
	}
	return need > 0 && got < minFillerCPUShare*need
}

// measuredRuns returns the serving runs that have reported a tail latency, in a fixed order.
func (w *worker) measuredRuns() []*run {
	return slices.DeleteFunc(sortedRuns(w.runs), func(r *run) bool {
		return r.task.stage.step.TailTarget <= 0 || r.state != runRunning || r.tail <= 0 || r.progress < unthrottled
	})
}

// recordTails learns from the tail latencies on a worker, recorded a span after the previous ones.
func (c *Core) recordTails(w *worker, span time.Duration, now time.Time) {
	beside, isUsageKnown := w.meanFillerUsage(span), len(w.throttlesInDoubt) == 0
	for _, r := range w.measuredRuns() {
		s := r.task.stage
		if noise, known := r.updateTailRatio(span); known {
			if isUsageKnown {
				c.headroom.Observe(&s.baseline, s.image, beside, 1/r.tailRatio, noise, now)
			}
			if r.tailRatio >= 1 {
				c.missed.add(span, len(beside) > 0)
			}
		}
	}
	w.tailsRecordedAt = now
	w.fillerUsage = w.fillerUsage[:0]
}

// MissedTargets is the time, summed over the serving tasks, for which they missed their tail targets.
type MissedTargets struct {
	// BesideFillers is the time for which filler tasks were at work on the same worker, Alone the rest.
	BesideFillers time.Duration
	Alone         time.Duration
}

// add adds the time for which one serving task missed its target.
func (m *MissedTargets) add(d time.Duration, besideFillers bool) {
	if besideFillers {
		m.BesideFillers += d
	} else {
		m.Alone += d
	}
}

// TakeMissedTargets returns the time since the last call for which serving tasks missed their targets.
func (c *Core) TakeMissedTargets() MissedTargets {
	missed := c.missed
	c.missed = MissedTargets{}
	return missed
}

// updateTailRatio computes the tail ratio in the span since the previous measurement, and returns
// the noise of the headroom derived from it. It returns false for the first measurement, which may
// include time before the run began.
func (r *run) updateTailRatio(span time.Duration) (noise float64, known bool) {
	target := float64(r.task.stage.step.TailTarget)
	if r.previousTail == 0 {
		r.previousTail, r.tailRatio = r.tail, float64(r.tail)/target
		return 0, false
	}
	decay := math.Exp(-float64(span) / float64(tailDecay))
	change := float64(r.tail - r.previousTail)
	tail := max(float64(tailResolution), float64(r.tail)+change*decay/(1-decay))
	r.previousTail, r.tailRatio = r.tail, tail/target
	uncertainty := float64(tailResolution)/(1-decay) + tailChangeNoise*math.Abs(change)
	return headroomNoise + uncertainty/tail/r.tailRatio, true
}

// addFillerUsage adds what the filler tasks on the worker used since the last call.
func (w *worker) addFillerUsage(now time.Time) {
	span := now.Sub(w.usageAddedAt).Seconds()
	w.usageAddedAt = now
	if span <= 0 || w.fillerSize.Processors == 0 {
		return
	}
	for _, r := range w.runs {
		if s := r.task.stage; s.step.Filler && r.state != runPending && r.state != runSent {
			w.fillerUsage = addUsage(w.fillerUsage, s.image, quantize(s.step.cpuShare(w)*float64(r.throttleRatio)/unthrottled*span))
		}
	}
}

// meanFillerUsage returns the mean share of the worker's processors that each image used in the
// span up to now.
func (w *worker) meanFillerUsage(span time.Duration) []interference.ImageUsage {
	usage := slices.Clone(w.fillerUsage)
	for i := range usage {
		usage[i].Fraction /= span.Seconds()
	}
	return usage
}

// addUsage adds a share of a worker's processors to the usage of an image. The images are sorted.
func addUsage(usage []interference.ImageUsage, image int, cpuShare float64) []interference.ImageUsage {
	i, known := slices.BinarySearchFunc(usage, image, func(u interference.ImageUsage, image int) int { return cmp.Compare(u.Aggressor, image) })
	if !known {
		return slices.Insert(usage, i, interference.ImageUsage{Aggressor: image, Fraction: cpuShare})
	}
	usage[i].Fraction += cpuShare
	return usage
}

// quantize rounds a value to a multiple of 2^-32. Sums of such values are exact below 2^20, so that
// they do not depend on the order in which a map yields the values.
func quantize(x float64) float64 {
	const unit = 1.0 / (1 << 32)
	return math.Round(x/unit) * unit
}

// hasStarved reports whether the worker's filler tasks were starved recently.
func (w *worker) hasStarved(now time.Time) bool { return now.Sub(w.starvedAt) < starvedFor }

// idleProcessors returns the processors, in thousandths of a core, that a new filler task can
// expect on a worker.
func (c *Core) idleProcessors(w *worker, now time.Time) float64 {
	if w.hasStarved(now) {
		return 0
	}
	used := float64(w.allocated.Processors) - (1-w.servingUse())*float64(w.servingProcessors)
	return float64(w.Capacity.Processors) - used - float64(w.fillerSize.Processors) + w.throttledOverdue()
}

// measuredIdle returns the processors, in thousandths of a core, that are idle on a worker if each
// filler run goes on to use what it was last reported to use. A run that has not been reported since
// it was started or throttled counts with its size at its throttle ratio.
func (w *worker) measuredIdle(now time.Time) float64 {
	idle, fillers := float64(w.Capacity.Processors-w.allocated.Processors)+(1-w.servingUse())*float64(w.servingProcessors), 0.0
	for _, r := range w.runs {
		if s := r.task.stage.step; s.Filler {
			used := s.cores() * float64(r.throttleRatio) / unthrottled
			if r.isUseKnown(now) {
				used = min(used, r.coresUsed)
			}
			fillers += quantize(1000 * used)
		}
	}
	return idle - fillers
}

// isUseKnown reports whether the processor time that is reported for the run belongs to its present
// throttle ratio.
func (r *run) isUseKnown(now time.Time) bool {
	return r.state == runRunning && !r.isThrottleInDoubt() && now.Sub(r.throttledAt) >= tailDecay && now.Sub(r.sentAt) >= tailDecay
}

// servingUse returns the share of their processors that the serving tasks on the worker are assumed
// to use.
func (w *worker) servingUse() float64 {
	busy := (w.meanTailRatio - typicalTailRatio) / (1 - typicalTailRatio)
	return typicalServingUse + (busyServingUse-typicalServingUse)*max(0, min(1, busy))
}
