package target

import "time"

const (
	// failuresToEject is the number of failed attempts in a row after which a target is ejected.
	failuresToEject = 5
	// firstEjection is the duration of the first ejection; each failed probe doubles it, up to
	// longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// slowStart is the time over which a new or readmitted target is ramped up to its full share of
	// requests.
	slowStart = 2 * time.Second
	// slowStartPenalty is added to the measured latency at the beginning of slowStart and shrinks to
	// zero until its end.
	slowStartPenalty = 50 * time.Millisecond
	// latencyDivisor is the reciprocal of the weight that one attempt has in the moving average of the
	// latency.
	latencyDivisor = 8
)

// health is what the attempts at a target have shown about it.
type health struct {
	// latency is the moving average of the durations of attempts.
	latency time.Duration
	// failures is the number of failed attempts since the last success; LostToHedge counts as failed.
	failures int
	// ejections is the number of ejections since the last readmission. probeAt is when the next probe
	// is due; it is zero unless the target is ejected.
	ejections int
	probeAt   time.Time
	// joinedAt is when the target was first considered for a request, or was readmitted.
	joinedAt time.Time
}

// record counts the result of one attempt.
func (h *health) record(r Result, elapsed time.Duration) {
	switch r {
	case Succeeded:
		h.failures = 0
		h.observe(elapsed)
	case Failed:
		h.failures++
	case LostToHedge:
		h.failures++
		h.observe(elapsed)
	case Abandoned:
	}
}

// observe adds a duration to the moving average of the latency.
func (h *health) observe(elapsed time.Duration) {
	if h.latency == 0 {
		h.latency = elapsed
		return
	}
	h.latency += (elapsed - h.latency) / latencyDivisor
}

// failing reports whether enough attempts in a row have failed for an ejection.
func (h *health) failing() bool { return h.failures >= failuresToEject }

// eject takes the target out of use for a time that doubles with each failed probe.
func (h *health) eject(now time.Time) {
	duration := longestEjection
	// Further doublings exceed longestEjection.
	if h.ejections < 5 {
		duration = min(duration, firstEjection<<h.ejections)
	}
	h.ejections++
	h.probeAt = now.Add(duration)
}

// readmit ends the ejection and begins a slow start.
func (h *health) readmit(now time.Time) {
	*h = health{latency: h.latency, joinedAt: now}
}

// score returns the latency by which targets are compared, with a penalty during the slow start.
func (h *health) score(now time.Time) time.Duration {
	if h.joinedAt.IsZero() {
		h.joinedAt = now
	}
	slowStartLeft := slowStart - now.Sub(h.joinedAt)
	if slowStartLeft <= 0 {
		return h.latency
	}
	return h.latency + slowStartPenalty*slowStartLeft/slowStart
}
