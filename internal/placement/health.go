package placement

import "time"

const (
	// quarantineAfter is the number of failures without a success that puts a worker into quarantine.
	quarantineAfter = 3
	// firstQuarantine and longestQuarantine bound the time until a worker is probed.
	firstQuarantine   = 30 * time.Second
	longestQuarantine = 10 * time.Minute
	// doubtfulAfter is the number of workers on which a family fails without a
	// success until its failures are no longer laid to the workers alone.
	doubtfulAfter = 10
)

// Health tells workers that fail everything they start from tasks that fail
// everywhere. A failure of a family that lately succeeded counts against the
// worker each time; families without a success count once each. A worker in
// quarantine gets one task at a time, as a probe, with growing pauses, until
// one succeeds. It is not safe for concurrent use.
type Health struct {
	// MinProbePause and LongestPause bound the time until a worker in quarantine is probed.
	MinProbePause time.Duration
	MaxProbePause time.Duration

	workers map[string]*record
	// failedOn are the workers on which a family failed since its last
	// success; a family that never succeeded is not there.
	failedOn map[string]map[string]bool
}

// record is what is known of a worker's starts since its last success.
type record struct {
	failures int
	// doubtful are the families without a success that failed on the worker.
	doubtful map[string]bool
	pause    time.Duration
	// until is when the next probe may start; zero while not in quarantine.
	until time.Time
}

// NewHealth returns a Health that trusts all workers.
func NewHealth() *Health {
	return &Health{
		MinProbePause: firstQuarantine,
		MaxProbePause: longestQuarantine,
		workers:       map[string]*record{},
		failedOn:      map[string]map[string]bool{},
	}
}

// Permits reports whether a worker may be given a task.
func (h *Health) Permits(worker string, now time.Time) bool {
	r, ok := h.workers[worker]
	return !ok || !now.Before(r.until)
}

// Quarantined reports whether a worker is in quarantine.
func (h *Health) Quarantined(worker string) bool {
	r, ok := h.workers[worker]
	return ok && !r.until.IsZero()
}

// Started says that a task was given to a worker. In quarantine that is the
// probe, and the next one must wait.
func (h *Health) Started(worker string, now time.Time) {
	if r, ok := h.workers[worker]; ok && !r.until.IsZero() {
		r.until = now.Add(r.pause)
	}
}

// Succeeded says that a task of a family finished on a worker.
func (h *Health) Succeeded(worker, family string) {
	delete(h.workers, worker)
	h.failedOn[family] = map[string]bool{}
}

// Failed says that a task of a family failed on a worker. It reports whether
// the failure is laid to the worker rather than to the task.
func (h *Health) Failed(worker, family string, now time.Time) bool {
	r, ok := h.workers[worker]
	if !ok {
		r = &record{doubtful: map[string]bool{}}
		h.workers[worker] = r
	}
	if on, ok := h.failedOn[family]; ok && len(on) < doubtfulAfter {
		on[worker] = true
		r.failures++
	} else {
		r.doubtful[family] = true
	}
	if r.failures+len(r.doubtful) < quarantineAfter {
		return false
	}
	r.pause = min(max(2*r.pause, h.MinProbePause), h.MaxProbePause)
	r.until = now.Add(r.pause)
	return true
}

// Remove forgets a worker.
func (h *Health) Remove(worker string) {
	delete(h.workers, worker)
}
