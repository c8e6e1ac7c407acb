package peer

import (
	"sync"
	"time"
)

const (
	// heartbeat is the longest time between two reports to a peer of the same region, and
	// remoteHeartbeat to one of another region.
	heartbeat       = 500 * time.Millisecond
	remoteHeartbeat = time.Second
	// heartbeatSpacing is the shortest mean time between two heartbeats that one instance
	// sends, whichever peers they go to. It keeps their rate from growing with the fleet.
	heartbeatSpacing = 40 * time.Millisecond
	// idleChangesPerSecond bounds the reports of one instance that only change free
	// slots, to all peers of its region together. maxIdleChangesPerSecond bounds those to
	// one of these peers, and remoteIdleChangesPerSecond those to a peer of another
	// region.
	idleChangesPerSecond       = 24
	maxIdleChangesPerSecond    = 8
	remoteIdleChangesPerSecond = 1
	// missedHeartbeats is the number of heartbeats without a report after which a peer is
	// unresponsive.
	missedHeartbeats = 3
)

// ReportRate bounds how often reports are sent to one peer.
type ReportRate struct {
	// Heartbeat is the longest time between two reports.
	Heartbeat time.Duration
	// IdleChangesPerSecond bounds the reports that only change free slots.
	IdleChangesPerSecond float64
}

// Fleet is the size of the fleet as seen from one instance.
type Fleet struct {
	// Near is the number of other instances in the region, and Remote in other regions.
	Near   int
	Remote int
}

// ReportRate returns the rate of reports to one peer. The reports of an instance to all
// peers together stay bounded, whatever the size of the fleet.
func (f Fleet) ReportRate(remote bool) ReportRate {
	rate := ReportRate{Heartbeat: f.heartbeat(remote), IdleChangesPerSecond: remoteIdleChangesPerSecond}
	if !remote {
		rate.IdleChangesPerSecond = min(maxIdleChangesPerSecond, idleChangesPerSecond/float64(max(f.Near, 1)))
	}
	return rate
}

// UnresponsiveAfter returns how long after its last report a peer gets no more requests.
func (f Fleet) UnresponsiveAfter(remote bool) time.Duration {
	return missedHeartbeats * f.heartbeat(remote)
}

func (f Fleet) heartbeat(remote bool) time.Duration {
	minInterval := time.Duration(f.Near+f.Remote) * heartbeatSpacing
	if remote {
		return max(remoteHeartbeat, minInterval)
	}
	return max(heartbeat, minInterval)
}

// ChangeNotifier wakes all reporters of an instance when there is something to report, so
// that they need not check for it themselves. Its zero value is ready for use.
type ChangeNotifier struct {
	mu      sync.Mutex
	changed chan struct{}
	// last and epoch are the report and the table epoch for which the reporters were last
	// woken. latestIdle are the free slots of the last update, woken or not.
	last       Report
	epoch      int64
	latestIdle map[string]int
}

// Idle returns the free slots by service from the last update.
func (n *ChangeNotifier) Idle() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.latestIdle
}

// Changed returns a channel that is closed at the next change.
func (n *ChangeNotifier) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// Update records the current report and the epoch of the newest grant table. It wakes the
// reporters if a peer would act differently on them.
func (n *ChangeNotifier) Update(now Report, epoch int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.latestIdle = now.Idle
	if epoch == n.epoch && sameStatus(n.last, now) && !idleDiffers(n.last.Idle, now.Idle) {
		return
	}
	n.last, n.epoch = now, epoch
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
