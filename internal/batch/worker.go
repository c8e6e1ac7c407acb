package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// worker is a worker as the leader sees it.
type worker struct {
	WorkerInfo
	// listed means that the platform's list currently contains the worker, unreadable that its
	// entry there cannot be decoded. WorkerInfo is then what the last readable entry said.
	listed        bool
	unreadable    bool
	drainingSince time.Time
	runs          map[runKey]*run
	// allocated is the sum of what is allocated to runs. fillerSize has the processors that the
	// filler runs use at full speed, which are not allocated.
	allocated  share.Resources
	fillerSize share.Resources
	// overdueRuns is the number of runs that were overdue when they were placed, see Core.isOverdue.
	overdueRuns int
	// orphans are the orphaned runs on the worker, which it reports but this Core has no record of,
	// with the time of the last stop command. The worker is given no runs while it has orphans,
	// since their size is unknown.
	orphans map[runKey]time.Time

	// clock is the worker's clock as it was reported. It was read no later than clockAt.
	clock   time.Duration
	clockAt time.Time
	// contacted means that the worker's present incarnation has answered a poll of this leader.
	contacted bool
	// incarnationKnownAt is when this leader learned of the present incarnation. formerIncarnations are the last
	// ones before it, the oldest first.
	incarnationKnownAt time.Time
	formerIncarnations []int64
	// restarted means that this leader has known an earlier incarnation of the worker.
	restarted bool
	// leasesExpireAt is when every lease granted to the worker is guaranteed to have expired.
	leasesExpireAt time.Time
	// lateLeasesEnd is when the leases have expired that late calls of this leader, which were meant for an
	// earlier incarnation, may grant. It is zero if this leader has known none.
	lateLeasesEnd time.Time
	lastContact   time.Time
	// expired are the runs whose leases have expired since the worker's last answer, until expiredUntil.
	expired      []*run
	expiredUntil time.Time
	// answeredPollAt is when the newest poll that its present incarnation has answered was sent.
	answeredPollAt time.Time
	// aliveAt is when the worker's present incarnation last answered a call.
	aliveAt time.Time
	// failure is that of the incarnation if it has not answered since.
	failure failure
	// unresponsiveSince is when the first of the currently unanswered calls was sent; zero if the
	// last call was answered.
	unresponsiveSince time.Time
	// backoffUntil is the time until which the worker is given no new runs, because it refused or
	// did not answer a call. refusals counts the calls of Core.backOff since the last successful
	// start.
	backoffUntil time.Time
	refusals     int

	// lastEnd is the number of the newest run end that was recorded, ackableEnd that of the newest
	// end that may be acknowledged. undurableEnds are the recorded ends after ackableEnd: those
	// that are not committed yet or follow one that is not.
	lastEnd       int64
	undurableEnds []undurableEnd
	ackableEnd    int64
	// unreadableEnds are the numbers of the ends of runs of unreadable jobs.
	unreadableEnds []int64
	// endsListed means that the last report listed ended runs, and that no call has remained unanswered since its poll was
	// sent; unansweredAt is when that was last known of one. Only then are ends acknowledged: a worker that has
	// restarted under its ID counts its ends anew.
	endsListed   bool
	unansweredAt time.Time

	// servingImages are the images of the serving runs. servingProcessors is what is allocated to
	// these runs.
	servingImages     []servingImage
	servingProcessors share.MilliCores
	// worstTailRatio is the highest of the last measured tail ratios.
	worstTailRatio float64
	// groups caches the result of Core.servingGroups; groupsStale means that it has to be computed
	// again.
	groups      []servingGroup
	groupsStale bool
	// estimates caches results of Core.findEstimate for these groups, at most maxEstimates.
	estimates []placementEstimate
	// fillerUsage is the processor time that each filler image used from tailsRecordedAt, when
	// tails were last recorded, to usageAddedAt: as a share of the worker's processors, times
	// seconds.
	fillerUsage     []interference.ImageUsage
	tailsRecordedAt time.Time
	usageAddedAt    time.Time
	// probeTaken means that the worker is in quarantine and was given its probe in this plan.
	probeTaken bool
	// reservedFor is the task for which the worker is reserved since reservedAt; nil if it is not
	// reserved.
	reservedFor *task
	reservedAt  time.Time
	// isolated is the run that is isolated on the worker, or nil: no other run is started there.
	isolated *run
	// demandPressure is how much the demand of filler images depends on this worker, see
	// Core.updateDemandPressure.
	demandPressure float64
	// changedAt is the value of Core.changes when the worker last changed in a way that may suit more
	// tasks, changedForFillersAt the same for filler tasks alone. accepts and starved are the results
	// of Core.acceptsRuns and hasStarved in the last plan that searched workers.
	changedAt           uint64
	changedForFillersAt uint64
	accepts             bool
	starved             bool
	// meanTailRatio is the mean of the last measured tail ratios, each counted as at most 1.
	meanTailRatio     float64
	throttleChangedAt time.Time
	// throttlesInDoubt are the filler runs at which another throttle ratio may be in force than the leader takes for
	// granted, with the time of the last throttle command: it is not answered, or an earlier leader has sent others.
	throttlesInDoubt map[*run]time.Time
	// targetMissedSince is the time from which on each report has shown a missed tail target; zero
	// if the last report showed none.
	targetMissedSince time.Time
	// starvedAt is when the worker's filler tasks were last found starved, see isStarved.
	starvedAt time.Time
}

type runKey struct {
	task TaskName
	run  int64
}

type undurableEnd struct {
	number  int64
	durable bool
}

// key returns the key by which the worker identifies the run.
func (r *run) key() runKey { return runKey{task: r.task.name(), run: r.number} }

// free returns the resources that are not allocated.
func (w *worker) free() share.Resources { return w.Capacity.Minus(w.allocated) }

// lacksCapacityFor reports whether the worker's capacity has shrunk so that it no longer suffices for
// a run that is allocated there.
func (w *worker) lacksCapacityFor(r *run) bool {
	free, size := w.free(), r.task.stage.step.Size
	return size.Memory > 0 && free.Memory < 0 || size.Accelerators > 0 && free.Accelerators < 0 ||
		r.allocatesProcessors() && size.Processors > 0 && free.Processors < 0
}

// allocation returns the resources that a task of the step is allocated on its worker. Filler tasks are
// allocated no processors.
func (s *Step) allocation() share.Resources {
	size := s.Size
	if s.Filler {
		size.Processors = 0
	}
	return size
}

// addRun adds a run to the worker.
func (w *worker) addRun(r *run) {
	w.runs[r.key()] = r
	w.groupsStale = true
	size := r.task.stage.step.Size
	if r.allocatesProcessors() {
		w.allocated = w.allocated.Plus(size)
	} else {
		w.allocated.Memory += size.Memory
		w.allocated.Accelerators += size.Accelerators
		w.fillerSize.Processors += size.Processors
	}
	if r.overdue {
		w.overdueRuns++
	}
	if s := r.task.stage.step; s.TailTarget > 0 {
		w.addServing(r.task.stage.image, 1)
		w.servingProcessors += size.Processors
	}
	r.task.stage.runsByWorker[w]++
}

// removeRun removes a run from the worker, if it is there.
func (w *worker) removeRun(r *run) {
	if w.runs[r.key()] != r {
		return
	}
	delete(w.runs, r.key())
	delete(w.throttlesInDoubt, r)
	if w.isolated == r {
		w.isolated = nil
	}
	w.groupsStale = true
	size := r.task.stage.step.Size
	if r.allocatesProcessors() {
		w.allocated = w.allocated.Minus(size)
	} else {
		w.allocated.Memory -= size.Memory
		w.allocated.Accelerators -= size.Accelerators
		w.fillerSize.Processors -= size.Processors
	}
	if r.overdue {
		w.overdueRuns--
	}
	if s := r.task.stage.step; s.TailTarget > 0 {
		w.servingProcessors -= size.Processors
		w.addServing(r.task.stage.image, -1)
	}
	if r.task.stage.runsByWorker[w]--; r.task.stage.runsByWorker[w] == 0 {
		delete(r.task.stage.runsByWorker, w)
	}
}

// servingImage counts the serving runs of an image on a worker.
type servingImage struct {
	image int
	runs  int
}

// findServing returns the entry of an image that serves on the worker, or nil.
func (w *worker) findServing(image int) *servingImage {
	for i := range w.servingImages {
		if w.servingImages[i].image == image {
			return &w.servingImages[i]
		}
	}
	return nil
}

// addServing adds to the number of serving runs of an image; runs may be negative.
func (w *worker) addServing(image, runs int) {
	s := w.findServing(image)
	if s == nil {
		w.servingImages = append(w.servingImages, servingImage{image: image, runs: runs})
		return
	}
	if s.runs += runs; s.runs == 0 {
		w.servingImages = slices.DeleteFunc(w.servingImages, func(o servingImage) bool { return o.image == image })
	}
}

// isUsable reports whether the platform's list names the worker for new runs.
func (w *worker) isUsable() bool { return w.listed && !w.unreadable }

// hasLabel reports whether the worker carries a label.
func (w *worker) hasLabel(label string) bool { return slices.Contains(w.Labels, label) }

// grantDeadline returns the lease deadline on the worker's clock that is d from now, or earlier by
// as much as that clock may be slow: a later leader, which does not know the clock, relies on it that the
// lease is not longer than d. It extends leasesExpireAt to when that deadline is guaranteed to have passed.
func (w *worker) grantDeadline(d time.Duration, now time.Time) time.Duration {
	at := w.clock + time.Duration(float64(lease.Shorter(now.Sub(w.clockAt)))*minClockRate) + d
	expiry := w.clockAt.Add(time.Duration(float64(at-w.clock)/minClockRate) + expirySlack)
	if expiry.After(w.leasesExpireAt) {
		w.leasesExpireAt = expiry
	}
	return at
}

// predatesIncarnation reports whether a call was sent before this leader knew of the worker's present incarnation. A
// former one may have answered it; the answer may arrive late and says nothing about the present one.
func (w *worker) predatesIncarnation(sent time.Time) bool { return sent.Before(w.incarnationKnownAt) }

// recordContact records that the worker answered a call, with its clock if that is known.
func (w *worker) recordContact(clock time.Duration, now time.Time) {
	w.lastContact, w.aliveAt = now, now
	w.unresponsiveSince = time.Time{}
	if clock > 0 {
		w.clock, w.clockAt = clock, now
	}
}

// recordEnd records the number of a run end and reports whether it is new.
func (w *worker) recordEnd(number int64) bool {
	if number <= w.lastEnd {
		return false
	}
	w.lastEnd = number
	w.undurableEnds = append(w.undurableEnds, undurableEnd{number: number})
	return true
}

// markEndDurable records that a run end was committed. Ends may be acknowledged only in the order
// of their numbers.
func (w *worker) markEndDurable(number int64) {
	for i := range w.undurableEnds {
		if w.undurableEnds[i].number == number {
			w.undurableEnds[i].durable = true
		}
	}
	n := 0
	for n < len(w.undurableEnds) && w.undurableEnds[n].durable {
		w.ackableEnd = w.undurableEnds[n].number
		n++
	}
	w.undurableEnds = w.undurableEnds[n:]
}
