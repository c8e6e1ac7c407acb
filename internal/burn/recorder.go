package burn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// SlotLength is the length of a slot, the unit of time in which requests are counted.
	SlotLength = 5 * time.Minute
	// KeptSlots is the number of slots that are kept, including the current one.
	KeptSlots = 73
	// maxSeries limits the series of one instance, one for each pair of service and
	// neighbour. Requests of further pairs are not counted.
	maxSeries = 2048
)

// The range and precision of the latency histograms.
const (
	latencyUnit = 100 * time.Microsecond
	// highestUnits is the highest latency that a histogram distinguishes, in units of
	// latencyUnit. Higher ones are recorded as this one.
	highestUnits  = int64(10 * time.Minute / latencyUnit)
	latencyDigits = 2 // significant decimal digits
)

// Key identifies a series by its service and neighbour.
type Key struct {
	Service   string
	Neighbour string
}

// Slot holds the counts of one series in one time slot.
type Slot struct {
	// Index is the number of slots from the Unix epoch to this one.
	Index int64
	// Latency is the histogram of the answered requests, in units of latencyUnit.
	// It is nil if there were none.
	Latency *hdrhistogram.Histogram
	// Bad counts the requests that missed the objective, by cause.
	Bad map[Cause]int64
	// Unanswered counts the requests without a complete response of their service.
	Unanswered int64
}

// Series holds the counts of one service and neighbour, oldest slot first.
type Series struct {
	Key
	Slots []Slot
}

// Snapshot holds the counts of one instance or the sum over all instances. Its
// histograms stay encoded, because decoding all of them at once takes much memory.
type Snapshot struct {
	series []encodedSeries
}

// Series decodes and returns the counts.
func (s Snapshot) Series() ([]Series, error) { return decodeHistograms(s.series) }

// SlotOf returns the index of the slot that contains a time.
func SlotOf(t time.Time) int64 {
	return t.UnixNano() / int64(SlotLength)
}

// Recorder counts the requests of one instance. It is safe for concurrent use.
type Recorder struct {
	// sealed is the index of the last slot that accepts no more requests.
	sealed atomic.Int64
	mu     sync.RWMutex
	series map[Key]*series
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder { return &Recorder{series: map[Key]*series{}} }

// series holds the counts of one service and neighbour.
type series struct {
	mu      sync.Mutex
	current *openSlot
	closed  []encodedSlot
}

// openSlot is the slot of a series that requests are counted in.
type openSlot struct {
	index      int64
	latency    *hdrhistogram.Histogram
	bad        causeCounts
	unanswered int64
}

// encodedSlot is a Slot in encoded form, to save memory.
type encodedSlot struct {
	index      int64
	latency    []byte
	bad        causeCounts
	unanswered int64
}

// Record counts one request that finished at now.
func (r *Recorder) Record(now time.Time, s Sample) {
	if counts := r.seriesFor(Key{s.Service, s.Neighbour}); counts != nil {
		counts.record(&r.sealed, SlotOf(now), s)
	}
}

// Seal closes the slots up to and including index. Requests that are recorded
// later for a sealed slot are counted in the first slot that is not sealed.
func (r *Recorder) Seal(index int64) {
	if index > r.sealed.Load() {
		r.sealed.Store(index)
	}
}

// encodedAfter returns the counts of the slots after index.
func (r *Recorder) encodedAfter(index int64) []encodedSeries {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := map[Key][]encodedSlot{}
	for k, counts := range r.series {
		if slots := counts.encodedAfter(index); len(slots) > 0 {
			all[k] = slots
		}
	}
	return sortedSeries(all)
}

// encodedAfter returns the slots after index, including the open one.
func (s *series) encodedAfter(index int64) []encodedSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []encodedSlot
	for _, slot := range s.closed {
		if slot.index > index {
			all = append(all, slot)
		}
	}
	if o := s.current; o != nil && o.index > index {
		all = append(all, o.encode())
	}
	return all
}

// encode returns the current counts of the slot in encoded form.
func (o *openSlot) encode() encodedSlot {
	return encodedSlot{index: o.index, latency: encodeLatency(o.latency), bad: o.bad, unanswered: o.unanswered}
}

// seriesFor returns the series of a key and creates it if necessary. It returns nil if
// there are already maxSeries others.
func (r *Recorder) seriesFor(k Key) *series {
	r.mu.RLock()
	counts := r.series[k]
	r.mu.RUnlock()
	if counts != nil {
		return counts
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if counts := r.series[k]; counts != nil || len(r.series) >= maxSeries {
		return counts
	}
	counts = &series{}
	r.series[k] = counts
	return counts
}

func (s *series) record(sealed *atomic.Int64, index int64, sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openSlotAt(max(index, sealed.Load()+1))
	if sample.Answered {
		_ = s.current.latency.RecordValue(min(int64(sample.Latency/latencyUnit), highestUnits))
	} else {
		s.current.unanswered++
	}
	if cause := sample.Cause(); cause != "" {
		s.current.bad.add(cause)
	}
}

// openSlotAt makes the slot with an index the open one, unless it or a later one
// already is. It drops slots that are no longer kept. The caller holds s.mu.
func (s *series) openSlotAt(index int64) {
	if s.current != nil && s.current.index >= index {
		return
	}
	latency := newLatency()
	if old := s.current; old != nil {
		s.closed = append(s.closed, old.encode())
		old.latency.Reset()
		latency = old.latency
	}
	s.current = &openSlot{index: index, latency: latency}
	oldest := index - KeptSlots
	s.closed = slices.DeleteFunc(s.closed, func(slot encodedSlot) bool { return slot.index <= oldest })
}

// Snapshot returns the counts of the last KeptSlots slots.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	return Snapshot{series: r.encodedAfter(SlotOf(now) - KeptSlots)}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Neighbour, b.Neighbour))
}
