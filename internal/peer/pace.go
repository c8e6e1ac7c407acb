package peer

import "time"

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

// Pace bounds how often reports are sent to one peer.
type Pace struct {
	// Interval is the shortest time between two reports.
	Interval time.Duration
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

// Pace returns the pace of reports to one peer, such that the reports of an
// instance to all peers are bounded whatever the fleet.
func (f Fleet) Pace(interval time.Duration, remote bool) Pace {
	p := Pace{Interval: interval, Heartbeat: f.heartbeat(remote), PerSecond: remoteIdlePerSecond}
	if !remote {
		p.PerSecond = min(maxIdlePerSecond, idleReportsPerSecond/float64(max(f.Near, 1)))
	}
	return p
}

// Silence returns how long a peer may be silent before it gets no requests.
func (f Fleet) Silence(remote bool) time.Duration {
	return silentHeartbeats * f.heartbeat(remote)
}

func (f Fleet) heartbeat(remote bool) time.Duration {
	least := time.Duration(f.Near+f.Remote) * heartbeatSpacing
	if remote {
		return max(remoteHeartbeat, least)
	}
	return max(heartbeat, least)
}
