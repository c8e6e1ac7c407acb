package placement

import "time"

const (
	// quarantineFailures is the number of failures without a success that puts a worker into quarantine.
	quarantineFailures = 3
	// defaultMinProbePause and longestQuarantine bound the time until a worker is probed.
	defaultMinProbePause = 30 * time.Second
	defaultMaxProbePause = 10 * time.Minute
	// familyFaultWorkers is the number of workers on which a family fails without a
	// success until its failures are no longer laid to the workers alone.
	familyFaultWorkers = 10
)

// Health tells workers that fail everything they start from tasks that fail
// everywhere. A failure of a family that lately succeeded counts against the
// worker each time; families without a success count once each. A worker in
// quarantine gets one task at a time, as a probe, with growing pauses, until
// one succeeds. It is not safe for concurrent use.
type Health struct {
	// FirstPause and LongestPause bound the time until a worker in quarantine is probed.
	FirstPause   time.Duration
	LongestPause time.Duration

	workers map[string]*workerHealth
	// failedWorkers are the workers on which a family failed since its last
	// success; a family that never succeeded is not there.
	failedWorkers map[string]map[string]bool
}

// workerHealth is what is known of a worker's starts since its last success.
type workerHealth struct {
	failures int
	// unprovenFamilies are the families without a success that failed on the worker.
	unprovenFamilies map[string]bool
	probePause       time.Duration
	// nextProbeAt is when the next probe may start; zero while not in quarantine.
	nextProbeAt time.Time
}

// NewHealth returns a Health that trusts all workers.
func NewHealth() *Health {
	return &Health{
		FirstPause:    defaultMinProbePause,
		LongestPause:  defaultMaxProbePause,
		workers:       map[string]*workerHealth{},
		failedWorkers: map[string]map[string]bool{},
	}
}

// Permits reports whether a worker may be given a task.
func (h *Health) Permits(worker string, now time.Time) bool {
	r, ok := h.workers[worker]
	return !ok || !now.Before(r.nextProbeAt)
}

// Quarantined reports whether a worker is in quarantine.
func (h *Health) Quarantined(worker string) bool {
	r, ok := h.workers[worker]
	return ok && !r.nextProbeAt.IsZero()
}

// Started says that a task was given to a worker. In quarantine that is the
// probe, and the next one must wait.
func (h *Health) Started(worker string, now time.Time) {
	if r, ok := h.workers[worker]; ok && !r.nextProbeAt.IsZero() {
		r.nextProbeAt = now.Add(r.probePause)
	}
}

// Succeeded says that a task of a family finished on a worker.
func (h *Health) Succeeded(worker, family string) {
	delete(h.workers, worker)
	h.failedWorkers[family] = map[string]bool{}
}

// Failed says that a task of a family failed on a worker. It reports whether
// the failure is laid to the worker rather than to the task.
func (h *Health) Failed(worker, family string, now time.Time) bool {
	r, ok := h.workers[worker]
	if !ok {
		r = &workerHealth{unprovenFamilies: map[string]bool{}}
		h.workers[worker] = r
	}
	if failed, ok := h.failedWorkers[family]; ok && len(failed) < familyFaultWorkers {
		failed[worker] = true
		r.failures++
	} else {
		r.unprovenFamilies[family] = true
	}
	if r.failures+len(r.unprovenFamilies) < quarantineFailures {
		return false
	}
	r.probePause = min(max(2*r.probePause, h.FirstPause), h.LongestPause)
	r.nextProbeAt = now.Add(r.probePause)
	return true
}

// Remove forgets a worker.
func (h *Health) Remove(worker string) {
	delete(h.workers, worker)
}
