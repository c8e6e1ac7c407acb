package placement

import "time"

const (
	// quarantineAfter is the number of failed starts in a row that puts a worker into quarantine.
	quarantineAfter = 3
	// firstQuarantine and longestQuarantine bound the time until a worker is probed.
	firstQuarantine   = 30 * time.Second
	longestQuarantine = 10 * time.Minute
)

// Health tells workers that fail everything they start from tasks that fail
// everywhere. A worker in quarantine gets one task at a time, as a probe, with
// growing pauses, until one succeeds. It is not safe for concurrent use.
type Health struct {
	workers  map[string]*record
	families map[string]*familyRecord
}

// record is what is known of a worker's starts.
type record struct {
	failures int
	pause    time.Duration
	// until is when the next probe may start; zero while not in quarantine.
	until time.Time
}

// familyRecord is where tasks of a job family failed since one last succeeded.
type familyRecord struct {
	failedOn map[string]bool
}

// NewHealth returns a Health that trusts all workers.
func NewHealth() *Health {
	return &Health{workers: map[string]*record{}, families: map[string]*familyRecord{}}
}

// Permits reports whether a worker may be given a task.
func (h *Health) Permits(worker string, now time.Time) bool {
	r, ok := h.workers[worker]
	return !ok || !now.Before(r.until)
}

// Quarantined returns the workers in quarantine, in no order.
func (h *Health) Quarantined() []string {
	var all []string
	for id, r := range h.workers {
		if !r.until.IsZero() {
			all = append(all, id)
		}
	}
	return all
}

// Started says that a task was given to a worker. In quarantine that is the
// probe, and the next one must wait.
func (h *Health) Started(worker string, now time.Time) {
	if r, ok := h.workers[worker]; ok && !r.until.IsZero() {
		r.until = now.Add(r.pause)
	}
}

// Succeeded says that a task of a family finished, or ran long enough to be trusted.
func (h *Health) Succeeded(worker, family string) {
	delete(h.workers, worker)
	delete(h.families, family)
}

// Failed says that a task of a family failed on a worker. It reports whether
// the worker is now in quarantine.
func (h *Health) Failed(worker, family string, now time.Time) bool {
	f, ok := h.families[family]
	if !ok {
		f = &familyRecord{failedOn: map[string]bool{}}
		h.families[family] = f
	}
	f.failedOn[worker] = true
	r, ok := h.workers[worker]
	if !ok {
		r = &record{}
		h.workers[worker] = r
	}
	// A family that fails on several workers is itself at fault.
	if len(f.failedOn) == 1 {
		r.failures++
	}
	if r.failures < quarantineAfter {
		return false
	}
	r.pause = min(max(2*r.pause, firstQuarantine), longestQuarantine)
	r.until = now.Add(r.pause)
	return true
}

// Remove forgets a worker.
func (h *Health) Remove(worker string) {
	delete(h.workers, worker)
	for _, f := range h.families {
		delete(f.failedOn, worker)
	}
}
