package burn

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oriolepond/oriolepond/internal/peer/operatepb"
)

// Gap reports that the counts of an instance are missing since a time.
type Gap struct {
	Instance string
	Since    time.Time
}

// state is the value of a store key: the counts of one instance, or those of all
// instances in one slot.
type state struct {
	series []encodedSeries
	// moved is the index of the last slot whose counts were moved to its slot key.
	moved int64
	// at is when the instance wrote the state.
	at time.Time
	// final reports whether the instance has stopped counting and the state is complete.
	final bool
	// gaps lists the instances that terminated without writing a final state. Only
	// slot keys have gaps.
	gaps []Gap
}

func (s state) encode() ([]byte, error) {
	w := &operatepb.BurnState{
		Series: protoSeries(s.series), Moved: s.moved, AtUnixMillis: s.at.UnixMilli(), Final: s.final,
	}
	for _, g := range s.gaps {
		w.Gaps = append(w.Gaps, &operatepb.BurnGap{Instance: g.Instance, SinceUnixMillis: g.Since.UnixMilli()})
	}
	return proto.Marshal(w)
}

func protoSeries(all []encodedSeries) []*operatepb.BurnSeries {
	var encoded []*operatepb.BurnSeries
	for _, e := range all {
		series := &operatepb.BurnSeries{Service: e.Service, Neighbour: e.Neighbour}
		for _, s := range e.slots {
			series.Slots = append(series.Slots, protoSlot(s))
		}
		encoded = append(encoded, series)
	}
	return encoded
}

func seriesFromProto(all []*operatepb.BurnSeries) []encodedSeries {
	var decoded []encodedSeries
	for _, series := range all {
		e := encodedSeries{Key: Key{series.Service, series.Neighbour}}
		for _, slot := range series.Slots {
			e.slots = append(e.slots, slotFromProto(slot))
		}
		decoded = append(decoded, e)
	}
	return decoded
}

// EncodeReply encodes a snapshot for the reply to a peer that asks for this instance's counts.
func EncodeReply(s Snapshot) *operatepb.BurnReply {
	return &operatepb.BurnReply{Series: protoSeries(s.series)}
}

// DecodeReply decodes the snapshot in a reply of a peer.
func DecodeReply(w *operatepb.BurnReply) Snapshot { return Snapshot{series: seriesFromProto(w.Series)} }

func protoSlot(s encodedSlot) *operatepb.BurnSlot {
	slot := &operatepb.BurnSlot{Index: s.index, Latency: s.latency, Unanswered: s.unanswered}
	for cause, n := range s.bad.byCause() {
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
		series: seriesFromProto(w.Series), moved: w.Moved, at: time.UnixMilli(w.AtUnixMillis), final: w.Final,
	}
	for _, g := range w.Gaps {
		s.gaps = append(s.gaps, Gap{Instance: g.Instance, Since: time.UnixMilli(g.SinceUnixMillis)})
	}
	return s, nil
}

func slotFromProto(slot *operatepb.BurnSlot) encodedSlot {
	s := encodedSlot{index: slot.Index, latency: slot.Latency, unanswered: slot.Unanswered}
	for cause, n := range slot.Bad {
		s.bad.addN(Cause(cause), n)
	}
	return s
}

// slotOverhead is the approximate encoded size of a slot in bytes, without its
// histogram and its names.
const slotOverhead = 64

// truncated returns the state with as many of its oldest slots as fit into limit
// bytes. If it leaves slots out, the result is not final.
func (s state) truncated(limit int) state {
	included := map[Key][]encodedSlot{}
	for _, index := range slotIndexes(s.series) {
		for _, e := range filterSlots(s.series, func(n int64) bool { return n == index }) {
			limit -= len(e.slots[0].latency) + len(e.Service) + len(e.Neighbour) + slotOverhead
			if limit < 0 {
				s.series, s.final = sortedSeries(included), false
				return s
			}
			included[e.Key] = append(included[e.Key], e.slots[0])
		}
	}
	return s
}
