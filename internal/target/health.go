package target

import "time"

const (
	// failuresToEject is how many attempts in a row fail before a target is ejected.
	failuresToEject = 5
	// firstEjection is how long a target stays out at first; each failed probe doubles it up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// slowStart is the time over which a target that comes back or is new takes its full part.
	slowStart = 2 * time.Second
	// slowStartPenalty is added to the latency of a target that has just come back.
	slowStartPenalty = 50 * time.Millisecond
	// latencyWeight is the part of one attempt in the mean latency, as a divisor.
	latencyWeight = 8
)

// health is what attempts have told of a target.
type health struct {
	// latency is the moving mean of the attempts' times.
	latency time.Duration
	// failures counts the attempts in a row that failed.
	failures int
	// ejections counts the ejections in a row; probeAt is when the next probe
	// is due, zero unless ejected.
	ejections int
	probeAt   time.Time
	// joinedAt is when the target began to take requests.
	joinedAt time.Time
}

// report counts one attempt.
func (h *health) report(r Result, taken time.Duration) {
	switch r {
	case Succeeded:
		h.failures = 0
		h.observe(taken)
	case Failed:
		h.failures++
	case Overtaken:
		h.failures++
		h.observe(taken)
	case Abandoned:
	}
}

func (h *health) observe(taken time.Duration) {
	if h.latency == 0 {
		h.latency = taken
		return
	}
	h.latency += (taken - h.latency) / latencyWeight
}

// failing reports whether the target fails everything.
func (h *health) failing() bool { return h.failures >= failuresToEject }

// eject takes the target out for a time that doubles while probes fail.
func (h *health) eject(now time.Time) {
	out := longestEjection
	if h.ejections < 5 {
		out = min(out, firstEjection<<h.ejections)
	}
	h.ejections++
	h.probeAt = now.Add(out)
}

// readmit takes the target back with a slow start.
func (h *health) readmit(now time.Time) {
	*h = health{latency: h.latency, joinedAt: now}
}

// score is the latency by which targets are compared; a new one starts slowly.
func (h *health) score(now time.Time) time.Duration {
	if h.joinedAt.IsZero() {
		h.joinedAt = now
	}
	young := slowStart - now.Sub(h.joinedAt)
	if young <= 0 {
		return h.latency
	}
	return h.latency + slowStartPenalty*young/slowStart
}
