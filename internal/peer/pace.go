package peer

import (
	"sync"
	"time"
)

const (
	// heartbeat is the longest time between two reports to a peer of the
	// region, and remoteHeartbeat to one of another region.
	heartbeat       = 500 * time.Millisecond
	remoteHeartbeat = time.Second
	// heartbeatSpacing is the least mean time between two heartbeats of one
	// instance, so that their sum does not grow with the fleet.
	heartbeatSpacing = 40 * time.Millisecond
	// idleReportsPerSecond bounds the reports of one instance, to all peers of
	// its region together, that only change idle slots; maxIdlePerSecond those
	// to one of them, and remoteIdlePerSecond those to one of another region.
	idleReportsPerSecond = 24
	maxIdlePerSecond     = 8
	remoteIdlePerSecond  = 1
	// silentHeartbeats is after how many heartbeats without a report a peer counts as silent.
	silentHeartbeats = 3
)

// ReportRate bounds how often reports are sent to one peer.
type ReportRate struct {
	// Heartbeat is the longest time between two reports.
	Heartbeat time.Duration
	// PerSecond bounds the reports that only change idle slots.
	PerSecond float64
}

// Fleet is the size of the fleet as one instance sees it.
type Fleet struct {
	// Near is the number of other instances in the region, and Remote in other regions.
	Near   int
	Remote int
}

// ReportRate returns the pace of reports to one peer, such that the reports of an
// instance to all peers are bounded whatever the fleet.
func (f Fleet) ReportRate(remote bool) ReportRate {
	p := ReportRate{Heartbeat: f.heartbeat(remote), PerSecond: remoteIdlePerSecond}
	if !remote {
		p.PerSecond = min(maxIdlePerSecond, idleReportsPerSecond/float64(max(f.Near, 1)))
	}
	return p
}

// UnresponsiveAfter returns how long a peer may be silent before it gets no requests.
func (f Fleet) UnresponsiveAfter(remote bool) time.Duration {
	return silentHeartbeats * f.heartbeat(remote)
}

func (f Fleet) heartbeat(remote bool) time.Duration {
	least := time.Duration(f.Near+f.Remote) * heartbeatSpacing
	if remote {
		return max(remoteHeartbeat, least)
	}
	return max(heartbeat, least)
}

// ChangeNotifier tells all reporters of an instance that there is something to report,
// so that none of them has to look for it. Its zero value is ready for use.
type ChangeNotifier struct {
	mu      sync.Mutex
	changed chan struct{}
	// last is what the reporters were woken for last, with its epoch, and seen
	// the free slots at the last look.
	last  Report
	epoch int64
	seen  map[string]int
}

// Idle returns the free slots by service at the last look.
func (n *ChangeNotifier) Idle() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen
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

// Update takes what there is to report now, with the epoch of the newest grant
// table, and wakes the reporters if a peer would act otherwise on it.
func (n *ChangeNotifier) Update(now Report, epoch int64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = now.Idle
	if epoch == n.epoch && sameStatus(n.last, now) && !idleDiffers(n.last.Idle, now.Idle) {
		return
	}
	n.last, n.epoch = now, epoch
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
