package standin

import (
	"sort"
	"sync"
	"time"
)

const (
	// tailWindow is the length of one measurement of tail latency.
	tailWindow = 500 * time.Millisecond
	// ReportLag is the delay from the end of a measurement until reports show it.
	ReportLag = 500 * time.Millisecond
	// tailQuantile is the quantile that counts as tail latency.
	tailQuantile = 0.99
)

// tailMeter measures the tail latency of one runner in consecutive windows.
type tailMeter struct {
	mu          sync.Mutex
	windowStart time.Time
	current     []time.Duration
	completed   []tailMeasurement
}

type tailMeasurement struct {
	end     time.Time
	p99     time.Duration
	samples int64
}

// record adds the duration of one request.
func (m *tailMeter) record(d time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeWindow(now)
	m.current = append(m.current, d)
}

// closeWindow ends the current window if tailWindow has passed; m.mu is held.
func (m *tailMeter) closeWindow(now time.Time) {
	if now.Sub(m.windowStart) < tailWindow {
		return
	}
	if len(m.current) > 0 {
		sort.Slice(m.current, func(i, j int) bool { return m.current[i] < m.current[j] })
		index := int(tailQuantile * float64(len(m.current)-1))
		m.completed = append(m.completed, tailMeasurement{end: now, p99: m.current[index], samples: int64(len(m.current))})
	}
	m.current = m.current[:0]
	m.windowStart = now
}

// visible returns the newest measurement that ended at least ReportLag ago.
func (m *tailMeter) visible(now time.Time) (tailMeasurement, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closeWindow(now)
	for len(m.completed) > 1 && now.Sub(m.completed[1].end) >= ReportLag {
		m.completed = m.completed[1:]
	}
	if len(m.completed) == 0 || now.Sub(m.completed[0].end) < ReportLag {
		return tailMeasurement{}, false
	}
	return m.completed[0], true
}
