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
	// SlotLength is the time that one slot covers.
	SlotLength = 5 * time.Minute
	// KeptSlots is how many slots are kept, the present one included.
	KeptSlots = 73
	// maxSeries bounds the pairs of service and neighbour that are counted.
	maxSeries = 2048
)

// The range and the precision of the histograms.
const (
	latencyUnit   = 100 * time.Microsecond
	highestUnits  = int64(10 * time.Minute / latencyUnit)
	latencyDigits = 2
)

// Key names a series.
type Key struct {
	Service   string
	Neighbour string
}

// Slot is what was counted in one slot of time.
type Slot struct {
	// Index is the number of the slot since the Unix epoch.
	Index int64
	// Latency holds the answers, in units of latencyUnit; nil means none.
	Latency *hdrhistogram.Histogram
	// Bad counts the requests that missed the objective, by cause.
	Bad map[Cause]int64
	// Unanswered counts the requests without an answer of their service.
	Unanswered int64
}

// Series is what was counted for one service and neighbour, oldest slot first.
type Series struct {
	Key
	Slots []Slot
}

// Snapshot is what one instance, or all of them, counted. Its histograms are
// encoded, since all of them decoded take much memory.
type Snapshot struct {
	series []packed
}

// Series returns the counts, decoded.
func (s Snapshot) Series() ([]Series, error) { return unpack(s.series) }

// SlotOf returns the number of the slot of a time.
func SlotOf(t time.Time) int64 {
	return t.UnixNano() / int64(SlotLength)
}

// Recorder counts the requests of one instance. It may be used from many goroutines.
type Recorder struct {
	// sealed is the last slot that takes no more requests.
	sealed atomic.Int64
	mu     sync.RWMutex
	series map[Key]*series
}

// NewRecorder returns a recorder that has counted nothing yet.
func NewRecorder() *Recorder { return &Recorder{series: map[Key]*series{}} }

// series counts one pair of service and neighbour.
type series struct {
	mu     sync.Mutex
	open   *openSlot
	closed []closedSlot
}

// openSlot is the present slot.
type openSlot struct {
	index      int64
	latency    *hdrhistogram.Histogram
	bad        tally
	unanswered int64
}

// closedSlot is an earlier slot, encoded to save memory.
type closedSlot struct {
	index      int64
	latency    []byte
	bad        tally
	unanswered int64
}

// Record counts one request that finished now.
func (r *Recorder) Record(now time.Time, s Sample) {
	if one := r.find(Key{s.Service, s.Neighbour}); one != nil {
		one.record(&r.sealed, SlotOf(now), s)
	}
}

// Seal lets the slots up to one take no more requests; later ones that belong
// there count in the slot after it.
func (r *Recorder) Seal(index int64) {
	if index > r.sealed.Load() {
		r.sealed.Store(index)
	}
}

// after returns what was counted in the slots after one.
func (r *Recorder) after(index int64) []packed {
	r.mu.RLock()
	defer r.mu.RUnlock()
	all := map[Key][]closedSlot{}
	for k, one := range r.series {
		if slots := one.packed(index); len(slots) > 0 {
			all[k] = slots
		}
	}
	return sorted(all)
}

// packed returns the slots after one.
func (s *series) packed(index int64) []closedSlot {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []closedSlot
	for _, c := range s.closed {
		if c.index > index {
			all = append(all, c)
		}
	}
	if o := s.open; o != nil && o.index > index {
		all = append(all, o.close())
	}
	return all
}

// close returns the slot as it stands, encoded.
func (o *openSlot) close() closedSlot {
	return closedSlot{index: o.index, latency: encodeLatency(o.latency), bad: o.bad, unanswered: o.unanswered}
}

// find returns the series of a key, or nil if there are too many.
func (r *Recorder) find(k Key) *series {
	r.mu.RLock()
	one := r.series[k]
	r.mu.RUnlock()
	if one != nil {
		return one
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if one := r.series[k]; one != nil || len(r.series) >= maxSeries {
		return one
	}
	one = &series{}
	r.series[k] = one
	return one
}

func (s *series) record(sealed *atomic.Int64, index int64, sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn(max(index, sealed.Load()+1))
	if sample.Answered {
		_ = s.open.latency.RecordValue(min(int64(sample.Latency/latencyUnit), highestUnits))
	} else {
		s.open.unanswered++
	}
	if cause := sample.Cause(); cause != "" {
		s.open.bad.add(cause)
	}
}

// turn opens a slot unless it, or a later one, is open; s.mu is held.
func (s *series) turn(index int64) {
	if s.open != nil && s.open.index >= index {
		return
	}
	latency := newLatency()
	if old := s.open; old != nil {
		s.closed = append(s.closed, old.close())
		old.latency.Reset()
		latency = old.latency
	}
	s.open = &openSlot{index: index, latency: latency}
	oldest := index - KeptSlots
	s.closed = slices.DeleteFunc(s.closed, func(c closedSlot) bool { return c.index <= oldest })
}

// Snapshot returns what was counted within the kept slots.
func (r *Recorder) Snapshot(now time.Time) Snapshot {
	return Snapshot{series: r.after(SlotOf(now) - KeptSlots)}
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Neighbour, b.Neighbour))
}
