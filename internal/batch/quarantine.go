package batch

import (
	"slices"
	"time"
)

// A worker on which several starts in a row have failed is in quarantine, see placement.Health: it gets one run at
// a time as a probe, after pauses that grow. Most tasks may fail a few times only and have other workers. A
// long-running task may fail any number of times and has to run within a bound, so it does not wait for the
// pause: once it has found no other worker for quarantineWait, it is the probe.

const (
	// quarantineWait is how long a long-running task waits before it is placed on a worker in quarantine. It is longer
	// than reserveAfter, so that a worker that accepts runs is reserved first if there is one.
	quarantineWait = 2 * time.Second
	// lastingProbePause is the shortest pause between two probes of a worker, the second of which is a long-running task:
	// the first one has to be able to end the quarantine before.
	lastingProbePause = provenAfter
	// minProbePause and maxProbePause limit the pause before a quarantined worker gets another
	// task. Outages of a worker typically last some seconds.
	minProbePause = 2 * time.Second
	maxProbePause = 8 * time.Second
)

// placeInQuarantine places long-running tasks that have waited for quarantineWait, and for which no worker is reserved,
// on workers in quarantine, one on each.
func (c *Core) placeInQuarantine(waiting []rank, now time.Time) {
	c.quarantined = slices.DeleteFunc(c.quarantined, func(w *worker) bool {
		return now.Sub(c.health.LastProbe(w.ID)) < lastingProbePause
	})
	for _, r := range waiting {
		s := r.stage
		if !s.wantsReservation() {
			continue
		}
		for _, t := range s.tasks {
			if len(c.quarantined) == 0 {
				return
			}
			if t.state != taskQueued || now.Before(t.notBefore) || now.Sub(t.queuedAt) < quarantineWait || t.crashes.isolation() > 0 || c.hasReserved(t) {
				continue
			}
			i := slices.IndexFunc(c.quarantined, func(w *worker) bool { return c.fits(t, w, now) })
			if i < 0 {
				break
			}
			w := c.quarantined[i]
			c.quarantined = slices.Delete(c.quarantined, i, i+1)
			c.assign(t, w, t.lastRun+1, now)
		}
	}
}
