package batch

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"
)

// silences are the workers whose leases nobody renews, as the store has them.
// The next holder waits for what was left of each instead of the longest time
// that any holder could have granted.
//
// A worker that stands in the record is granted nothing until a record without
// it is durable. So the time that is left only ever runs down.
type silences struct {
	// recorded are the workers that a durable record may name.
	recorded map[string]bool
	// inFlight means that a commit with the record is under way, and next what it names.
	inFlight bool
	next     map[string]bool
	// due means that the record has to be written.
	due bool
	// writeAt is when the record is written again while it names anyone.
	writeAt time.Time
}

const (
	// silenceAfter is how long a worker is silent until that is recorded: a passing
	// delay of one look is not worth a record.
	silenceAfter = time.Second
	// silenceEvery is how often the times that are left are written anew. What
	// passes between the last record and a holder's loss is waited for twice.
	silenceEvery = time.Second
)

// wireSilence is the durable form of one silence.
type wireSilence struct {
	Worker string `json:"worker"`
	LeftMs int64  `json:"leftMillis"`
}

// mayGrant reports whether a worker may be granted time.
func (c *Core) mayGrant(w *worker) bool { return !c.silences.recorded[w.ID] && !c.silences.next[w.ID] }

// isSilent reports whether a worker has runs whose leases nobody renews.
func (c *Core) isSilent(w *worker, now time.Time) bool {
	if len(w.runs) == 0 {
		return false
	}
	if !w.adopted {
		return c.silences.recorded[w.ID] || now.Sub(c.began) >= silenceAfter
	}
	return !w.silentSince.IsZero() && now.Sub(w.silentSince) >= silenceAfter
}

// noteSilences has the record written if it names a worker that was heard again,
// or if its times are old. It is called once a plan.
func (c *Core) noteSilences(now time.Time) {
	if c.silences.inFlight {
		return
	}
	c.silences.due = c.silencesDue(now)
}

func (c *Core) silencesDue(now time.Time) bool {
	for id := range c.silences.recorded {
		if w := c.workers[id]; w == nil || !c.isSilent(w, now) {
			return true
		}
	}
	if now.Before(c.silences.writeAt) {
		return false
	}
	for _, w := range c.workers {
		if c.isSilent(w, now) {
			return true
		}
	}
	return false
}

// takeSilences returns the record if it has to be written, else nil.
func (c *Core) takeSilences(now time.Time) ([]byte, error) {
	s := &c.silences
	if !s.due || s.inFlight {
		return nil, nil
	}
	s.due, s.inFlight, s.next, s.writeAt = false, true, map[string]bool{}, now.Add(silenceEvery)
	all := []wireSilence{}
	for _, id := range slices.Sorted(maps.Keys(c.workers)) {
		if w := c.workers[id]; c.isSilent(w, now) {
			s.next[id] = true
			all = append(all, wireSilence{Worker: id, LeftMs: max(0, w.lapseAt.Sub(now)).Milliseconds() + 1})
		}
	}
	return json.Marshal(all)
}

// silencesDurable takes that the record was committed.
func (c *Core) silencesDurable() {
	c.silences.recorded, c.silences.next, c.silences.inFlight = c.silences.next, nil, false
}

// RestoreUnresponsive takes what the record of an earlier holder says, which was
// read at a time: nobody has granted anything to these workers since.
func (c *Core) RestoreUnresponsive(value []byte, now time.Time) error {
	var all []wireSilence
	if err := json.Unmarshal(value, &all); err != nil {
		return fmt.Errorf("decode silent workers: %w", err)
	}
	c.silences.recorded = map[string]bool{}
	for _, s := range all {
		c.silences.recorded[s.Worker] = true
		left := time.Duration(float64(s.LeftMs)*float64(time.Millisecond)/clockRate) + lapseSlack
		w, known := c.workers[s.Worker]
		if known && w.lapseAt.After(now.Add(left)) {
			w.lapseAt = now.Add(left)
		}
	}
	return nil
}
