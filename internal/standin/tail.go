package standin

import (
	"sort"
	"sync"
	"time"
)

const (
	// tailWindow is the length of one measurement of tail latency.
	tailWindow = 500 * time.Millisecond
	// ReportLag is how long after its end a measurement shows in reports.
	ReportLag = 500 * time.Millisecond
	// tailQuantile is the quantile of a tail latency.
	tailQuantile = 0.99
)

// tailMeter measures the tail latency of one runner in windows that show late.
type tailMeter struct {
	mu      sync.Mutex
	begun   time.Time
	current []time.Duration
	past    []tailMeasurement
}

type tailMeasurement struct {
	end     time.Time
	p99     time.Duration
	samples int64
}

// record adds the time of one request.
func (m *tailMeter) record(d time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	m.current = append(m.current, d)
}

// roll ends the window if it is over; m.mu is held.
func (m *tailMeter) roll(now time.Time) {
	if now.Sub(m.begun) < tailWindow {
		return
	}
	if len(m.current) > 0 {
		sort.Slice(m.current, func(i, j int) bool { return m.current[i] < m.current[j] })
		at := int(tailQuantile * float64(len(m.current)-1))
		m.past = append(m.past, tailMeasurement{end: now, p99: m.current[at], samples: int64(len(m.current))})
	}
	m.current = m.current[:0]
	m.begun = now
}

// shown returns the newest measurement that is older than the lag.
func (m *tailMeter) shown(now time.Time) (tailMeasurement, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.roll(now)
	for len(m.past) > 1 && now.Sub(m.past[1].end) >= ReportLag {
		m.past = m.past[1:]
	}
	if len(m.past) == 0 || now.Sub(m.past[0].end) < ReportLag {
		return tailMeasurement{}, false
	}
	return m.past[0], true
}
