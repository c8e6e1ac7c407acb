package burn

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oriolepond/oriolepond/internal/peer/operatepb"
)

// Gap names an instance whose counts since a time are missing.
type Gap struct {
	Instance string
	Since    time.Time
}

// state is what a key of the store holds: the counts of one instance, or those
// of all instances in one slot.
type state struct {
	series []packed
	// moved is the last slot whose counts the instance has moved out of its key.
	moved int64
	// at is when the instance wrote the state; final says that it counts no more.
	at    time.Time
	final bool
	gaps  []Gap
}

func (s state) encode() ([]byte, error) {
	w := &operatepb.BurnState{
		Series: encodeSeries(s.series), Moved: s.moved, AtUnixMillis: s.at.UnixMilli(), Final: s.final,
	}
	for _, g := range s.gaps {
		w.Gaps = append(w.Gaps, &operatepb.BurnGap{Instance: g.Instance, SinceUnixMillis: g.Since.UnixMilli()})
	}
	return proto.Marshal(w)
}

func encodeSeries(all []packed) []*operatepb.BurnSeries {
	var encoded []*operatepb.BurnSeries
	for _, p := range all {
		series := &operatepb.BurnSeries{Service: p.Service, Neighbour: p.Neighbour}
		for _, c := range p.slots {
			series.Slots = append(series.Slots, encodeSlot(c))
		}
		encoded = append(encoded, series)
	}
	return encoded
}

func decodeSeries(all []*operatepb.BurnSeries) []packed {
	var decoded []packed
	for _, series := range all {
		p := packed{Key: Key{series.Service, series.Neighbour}}
		for _, slot := range series.Slots {
			p.slots = append(p.slots, decodeSlot(slot))
		}
		decoded = append(decoded, p)
	}
	return decoded
}

// EncodeReply returns a snapshot as a peer is told it.
func EncodeReply(s Snapshot) *operatepb.BurnReply {
	return &operatepb.BurnReply{Series: encodeSeries(s.series)}
}

// DecodeReply is the inverse of EncodeReply.
func DecodeReply(w *operatepb.BurnReply) Snapshot { return Snapshot{series: decodeSeries(w.Series)} }

func encodeSlot(c closedSlot) *operatepb.BurnSlot {
	slot := &operatepb.BurnSlot{Index: c.index, Latency: c.latency, Unanswered: c.unanswered}
	for cause, n := range c.bad.byCause() {
		if slot.Bad == nil {
			slot.Bad = map[string]int64{}
		}
		slot.Bad[string(cause)] = n
	}
	return slot
}

func decodeState(text []byte) (state, error) {
	var w operatepb.BurnState
	if err := proto.Unmarshal(text, &w); err != nil {
		return state{}, fmt.Errorf("decode burn counts: %w", err)
	}
	s := state{
		series: decodeSeries(w.Series), moved: w.Moved, at: time.UnixMilli(w.AtUnixMillis), final: w.Final,
	}
	for _, g := range w.Gaps {
		s.gaps = append(s.gaps, Gap{Instance: g.Instance, Since: time.UnixMilli(g.SinceUnixMillis)})
	}
	return s, nil
}

func decodeSlot(slot *operatepb.BurnSlot) closedSlot {
	c := closedSlot{index: slot.Index, latency: slot.Latency, unanswered: slot.Unanswered}
	for cause, n := range slot.Bad {
		c.bad.addN(Cause(cause), n)
	}
	return c
}

// slotOverhead is about what a slot takes besides its histogram and its names, in bytes.
const slotOverhead = 64

// bounded returns the state with the oldest of its slots that take up to limit
// bytes. One that leaves some out is not final.
func (s state) bounded(limit int) state {
	taken := map[Key][]closedSlot{}
	for _, index := range indexes(s.series) {
		for _, p := range slotsOf(s.series, func(n int64) bool { return n == index }) {
			limit -= len(p.slots[0].latency) + len(p.Service) + len(p.Neighbour) + slotOverhead
			if limit < 0 {
				s.series, s.final = sorted(taken), false
				return s
			}
			taken[p.Key] = append(taken[p.Key], p.slots[0])
		}
	}
	return s
}
