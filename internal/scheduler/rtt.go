package scheduler

import (
	"context"
	"time"
)

const (
	// maxRegionRTT is the longest round trip to the store between two regions. A longer one was measured at
	// a slow store, and is measured again.
	maxRegionRTT = 100 * time.Millisecond
	// rttInterval is the wait before the round-trip time is measured again.
	rttInterval = 2 * time.Second
)

// recordRTT records a measured round-trip time to the store, if it is the shortest one so far.
func (s *Scheduler) recordRTT(rtt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.rtt == 0 || rtt < s.rtt {
		s.rtt = rtt
	}
}

// trackRTT measures the round-trip time to the store until it is plausible, and then waits for the
// context's end.
func (s *Scheduler) trackRTT(ctx context.Context) error {
	for {
		var again <-chan time.Time
		if rtt := s.StoreRTT(); rtt == 0 || rtt > maxRegionRTT {
			again = time.After(rttInterval)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-again:
		}
		s.measureRTT(ctx)
	}
}

// measureRTT measures the round-trip time to the store once.
func (s *Scheduler) measureRTT(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	sent := s.now()
	if _, _, err := s.Store.Read(call, bestShareKey); err == nil {
		s.recordRTT(s.now().Sub(sent))
	}
}
