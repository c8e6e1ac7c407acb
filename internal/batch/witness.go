package batch

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Witness identifies an incarnation of a worker that has answered a leader, and so has accepted its
// fencing token.
type Witness uint64

// Witnesses is a set of witnesses in ascending order.
type Witnesses []Witness

// witnessBytes is the length of a witness in the encoded set.
const witnessBytes = 8

// Encode returns the stored form of the set.
func (ws Witnesses) Encode() []byte {
	text := make([]byte, 0, witnessBytes*len(ws))
	for _, w := range ws {
		text = binary.BigEndian.AppendUint64(text, uint64(w))
	}
	return text
}

// DecodeWitnesses decodes the stored form of a set. The error is an *InvalidError.
func DecodeWitnesses(text []byte) (Witnesses, error) {
	if len(text)%witnessBytes != 0 {
		return nil, &InvalidError{Reason: fmt.Sprintf("%d bytes are no set of witnesses", len(text))}
	}
	var ws Witnesses
	for ; len(text) > 0; text = text[witnessBytes:] {
		w := Witness(binary.BigEndian.Uint64(text))
		if len(ws) > 0 && w <= ws[len(ws)-1] {
			return nil, &InvalidError{Reason: "witnesses are not in ascending order"}
		}
		ws = append(ws, w)
	}
	return ws, nil
}

// Difference returns how many witnesses are in only one of two sets.
func (ws Witnesses) Difference(other Witnesses) int {
	common := 0
	for _, w := range ws {
		if other.contains(w) {
			common++
		}
	}
	return len(ws) + len(other) - 2*common
}

func (ws Witnesses) contains(w Witness) bool {
	_, found := slices.BinarySearch(ws, w)
	return found
}

// witness returns the witness of the worker's present incarnation.
func (w *worker) witness() Witness { return newWitness(w.ID, w.Incarnation) }

func newWitness(id string, incarnation int64) Witness {
	return Witness(xxhash.Sum64String(id + "/" + strconv.FormatInt(incarnation, 10)))
}

// Witnesses returns the listed workers that have answered this leader.
func (c *Core) Witnesses() Witnesses {
	var ws Witnesses
	for _, w := range c.workers {
		if w.listed && w.contacted {
			ws = append(ws, w.witness())
		}
	}
	slices.Sort(ws)
	return slices.Compact(ws)
}

// CountFenced returns how many of the witnesses of an earlier leader have answered this one. They
// reject the earlier leader from then on.
func (c *Core) CountFenced(ws Witnesses) int {
	n := 0
	for _, w := range c.workers {
		if w.contacted && ws.contains(w.witness()) {
			n++
		}
	}
	return n
}

// AnsweredSince returns the latest time since which n of the witnesses have each answered a poll that
// was sent no earlier. It is zero if fewer have ever answered, or n is zero.
func (c *Core) AnsweredSince(ws Witnesses, n int) time.Time {
	var sent []time.Time
	for _, w := range c.workers {
		if !w.answeredPollAt.IsZero() && ws.contains(w.witness()) {
			sent = append(sent, w.answeredPollAt)
		}
	}
	if n == 0 || len(sent) < n {
		return time.Time{}
	}
	slices.SortFunc(sent, func(a, b time.Time) int { return b.Compare(a) })
	return sent[n-1]
}
