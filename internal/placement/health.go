package placement

import "time"

const (
	// quarantineFailures is the number of failures without a success that puts a worker into quarantine.
	quarantineFailures = 3
	// defaultMinProbePause and defaultMaxProbePause are the defaults of Health.MinProbePause and MaxProbePause.
	defaultMinProbePause = 30 * time.Second
	defaultMaxProbePause = 10 * time.Minute
	// familyFaultWorkers is the number of workers on which a job family fails without a
	// success before its failures are attributed to the family rather than to the workers.
	familyFaultWorkers = 10
)

// Health distinguishes workers on which every task fails from job families that
// fail on every worker. Each failure of a family counts against the worker if the
// family has succeeded and has failed on fewer than familyFaultWorkers workers
// since; other families count once per worker, however often they fail there. A
// worker in quarantine gets one task at a time as a probe, with growing pauses,
// until a task succeeds. Health is not safe for concurrent use.
type Health struct {
	// MinProbePause and MaxProbePause bound the time until a worker in quarantine is probed.
	MinProbePause time.Duration
	MaxProbePause time.Duration

	workers map[string]*workerHealth
	// failedWorkers holds, by job family, the workers on which it failed since its
	// last success. It has no entry for a family that never succeeded.
	failedWorkers map[string]map[string]bool
}

// workerHealth holds the failures on a worker since its last success.
type workerHealth struct {
	failures int
	// unprovenFamilies holds the job families without a recent success that failed on the worker.
	unprovenFamilies map[string]bool
	probePause       time.Duration
	// nextProbeAt is when the next probe may start; zero if the worker is not in quarantine. setAt is when
	// probePause was set.
	nextProbeAt time.Time
	setAt       time.Time
	// probedAt is when the last probe was started; zero if there was none.
	probedAt time.Time
}

// NewHealth returns a Health that trusts all workers.
func NewHealth() *Health {
	return &Health{
		MinProbePause: defaultMinProbePause,
		MaxProbePause: defaultMaxProbePause,
		workers:       map[string]*workerHealth{},
		failedWorkers: map[string]map[string]bool{},
	}
}

// Permits reports whether a task may be placed on a worker.
func (h *Health) Permits(worker string, now time.Time) bool {
	w, ok := h.workers[worker]
	return !ok || !now.Before(w.nextProbeAt)
}

// Quarantined reports whether a worker is in quarantine.
func (h *Health) Quarantined(worker string) bool {
	w, ok := h.workers[worker]
	return ok && !w.nextProbeAt.IsZero()
}

// Started records that a task was assigned to a worker. For a worker in
// quarantine this is the probe, and the next one has to wait; Started then returns true.
func (h *Health) Started(worker string, now time.Time) bool {
	if !h.Quarantined(worker) {
		return false
	}
	w := h.workers[worker]
	w.nextProbeAt, w.probedAt = now.Add(w.probePause), now
	return true
}

// LastProbe returns when the last probe was started on a worker in quarantine; zero if there was none.
func (h *Health) LastProbe(worker string) time.Time {
	if w, ok := h.workers[worker]; ok {
		return w.probedAt
	}
	return time.Time{}
}

// Succeeded records that a task of a job family finished on a worker.
func (h *Health) Succeeded(worker, family string) {
	delete(h.workers, worker)
	h.failedWorkers[family] = map[string]bool{}
}

// Lasted records that a task that does not end by itself has run on a worker for long enough to count as a
// success, and reports whether that ended a quarantine. A task that had started before the last failed
// probe proves nothing.
func (h *Health) Lasted(worker, family string, started time.Time) bool {
	w, ok := h.workers[worker]
	quarantined := ok && !w.nextProbeAt.IsZero()
	if quarantined && !started.After(w.setAt) {
		return false
	}
	h.Succeeded(worker, family)
	return quarantined
}

// Failed records that a task of a job family failed on a worker, where it had started at the
// given time. It reports whether the worker is in quarantine, so that the failure is attributed
// to the worker rather than to the task. Tasks that had started before the quarantine began, or
// before its last failed probe, do not extend it.
func (h *Health) Failed(worker, family string, started, now time.Time) bool {
	w, ok := h.workers[worker]
	if !ok {
		w = &workerHealth{unprovenFamilies: map[string]bool{}}
		h.workers[worker] = w
	}
	if failed, ok := h.failedWorkers[family]; ok && len(failed) < familyFaultWorkers {
		failed[worker] = true
		w.failures++
	} else {
		w.unprovenFamilies[family] = true
	}
	if w.failures+len(w.unprovenFamilies) < quarantineFailures {
		return false
	}
	if !w.nextProbeAt.IsZero() && !started.After(w.setAt) {
		return true
	}
	w.probePause = min(max(2*w.probePause, h.MinProbePause), h.MaxProbePause)
	w.nextProbeAt, w.setAt = now.Add(w.probePause), now
	return true
}

// Remove deletes the record of a worker.
func (h *Health) Remove(worker string) {
	delete(h.workers, worker)
}
