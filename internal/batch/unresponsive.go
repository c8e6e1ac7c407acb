package batch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// unresponsiveRecord tracks the stored record of unresponsive workers: workers with runs whose
// leases are not renewed. With it, the next leader waits only for the remaining time of each lease
// instead of the longest time that any leader could have granted.
//
// A worker in the record is granted no lease until a record without it is durable. The remaining
// times in the record therefore never increase.
type unresponsiveRecord struct {
	// recorded are the IDs of workers that a durable record may contain.
	recorded map[string]bool
	// unreadable means that the durable record cannot be read, so that it may contain any worker.
	unreadable bool
	// inFlight means that a commit with the record is in progress; writing are the IDs that it
	// contains.
	inFlight bool
	writing  map[string]bool
	// writeDue means that the record has to be written.
	writeDue bool
	// writeAt is when the record is written again if any worker is unresponsive.
	writeAt time.Time
	// refusedUntil is how long the record is not written after the store has refused it.
	refusedUntil time.Time
}

const (
	// unresponsiveAfter is how long a worker is unresponsive before it is recorded. A short delay
	// of one poll is not worth a record.
	unresponsiveAfter = time.Second
	// unresponsiveWriteEvery is how often the remaining times are written again. If the leader
	// fails, its successor waits needlessly for the time that had passed since the last write.
	unresponsiveWriteEvery = time.Second
)

// wireUnresponsive is the stored form of one unresponsive worker.
type wireUnresponsive struct {
	Worker      string `json:"worker"`
	RemainingMs int64  `json:"leftMillis"`
}

// mayGrant reports whether a worker may be granted leases.
func (c *Core) mayGrant(w *worker) bool {
	return !c.unresponsive.unreadable && !c.unresponsive.recorded[w.ID] && !c.unresponsive.writing[w.ID]
}

// isUnresponsive reports whether a worker has runs whose leases are not renewed.
func (c *Core) isUnresponsive(w *worker, now time.Time) bool {
	if len(w.runs) == 0 {
		return false
	}
	if !w.contacted {
		return c.unresponsive.recorded[w.ID] || now.Sub(c.leaderSince) >= unresponsiveAfter
	}
	return !w.unresponsiveSince.IsZero() && now.Sub(w.unresponsiveSince) >= unresponsiveAfter
}

// scheduleUnresponsiveRecord marks the record as due if it contains a worker that has recovered, if it cannot be read
// or if its remaining times are outdated. It is called once per plan.
func (c *Core) scheduleUnresponsiveRecord(now time.Time) {
	if c.unresponsive.inFlight || now.Before(c.unresponsive.refusedUntil) {
		return
	}
	c.unresponsive.writeDue = c.isUnresponsiveRecordDue(now)
}

func (c *Core) isUnresponsiveRecordDue(now time.Time) bool {
	if c.unresponsive.unreadable {
		return true
	}
	for id := range c.unresponsive.recorded {
		if w := c.workers[id]; w == nil || !c.isUnresponsive(w, now) {
			return true
		}
	}
	if now.Before(c.unresponsive.writeAt) {
		return false
	}
	for _, w := range c.workers {
		if c.isUnresponsive(w, now) {
			return true
		}
	}
	return false
}

// takeUnresponsiveRecord returns the record if it has to be written, else nil.
func (c *Core) takeUnresponsiveRecord(now time.Time) ([]byte, error) {
	record := &c.unresponsive
	if !record.writeDue || record.inFlight {
		return nil, nil
	}
	record.writeDue, record.inFlight, record.writing, record.writeAt = false, true, map[string]bool{}, now.Add(unresponsiveWriteEvery)
	rows := []wireUnresponsive{}
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		if w := c.workers[id]; c.isUnresponsive(w, now) {
			record.writing[id] = true
			rows = append(rows, wireUnresponsive{Worker: id, RemainingMs: max(0, w.leasesExpireAt.Sub(now)).Milliseconds() + 1})
		}
	}
	return json.Marshal(rows)
}

// markUnresponsiveDurable records that the record was committed.
func (c *Core) markUnresponsiveDurable() {
	c.unresponsive.recorded, c.unresponsive.writing, c.unresponsive.inFlight = c.unresponsive.writing, nil, false
	c.unresponsive.unreadable = false
}

// unresponsiveRefusedPause is how long the record is not written after the store has refused it. The
// next leader then waits longer than necessary for the leases of unresponsive workers.
const unresponsiveRefusedPause = 10 * time.Second

// refuseUnresponsiveRecord records that the store refuses the record.
func (c *Core) refuseUnresponsiveRecord(now time.Time) {
	record := &c.unresponsive
	record.writing, record.inFlight, record.refusedUntil = nil, false, now.Add(unresponsiveRefusedPause)
}

// withdrawUnresponsiveRecord records that the record was not committed and is due again.
func (c *Core) withdrawUnresponsiveRecord() {
	c.unresponsive.writing, c.unresponsive.inFlight, c.unresponsive.writeDue = nil, false, true
}

// RestoreUnresponsive loads the record that an earlier leader wrote; now is when it was read. No
// leader has granted leases to these workers since the record was written. If it cannot be read, no
// worker is granted leases until it is replaced.
func (c *Core) RestoreUnresponsive(value []byte, now time.Time) error {
	var rows []wireUnresponsive
	if err := json.Unmarshal(value, &rows); err != nil {
		c.unresponsive.unreadable = true
		return fmt.Errorf("decode unresponsive workers: %w", err)
	}
	c.unresponsive.recorded = map[string]bool{}
	for _, s := range rows {
		c.unresponsive.recorded[s.Worker] = true
		remaining := time.Duration(float64(s.RemainingMs)*float64(time.Millisecond)/minClockRate) + expirySlack
		w, known := c.workers[s.Worker]
		if known && w.leasesExpireAt.After(now.Add(remaining)) {
			w.leasesExpireAt = now.Add(remaining)
		}
	}
	return nil
}
