package peer

import (
	"maps"
	"sync"
	"time"
)

// Directory tracks which peers have free slots. A peer that has been unresponsive for too
// long is not used.
type Directory struct {
	// UnresponsiveAfter returns how long after its last report a peer is used no more. A
	// remote peer is one in another region.
	UnresponsiveAfter func(remote bool) time.Duration

	mu    sync.Mutex
	peers map[string]*peerState
}

type peerState struct {
	remote      bool
	lastContact time.Time
	freeSlots   map[string]int
	epoch       int64
}

// Update records a report from a peer, which is remote if it is in another region.
func (d *Directory) Update(id string, remote bool, r Report, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = map[string]*peerState{}
	}
	d.peers[id] = &peerState{remote: remote, lastContact: now, freeSlots: maps.Clone(r.Idle), epoch: r.Status.Report.Epoch}
}

// Retain deletes the peers for which keep returns false.
func (d *Directory) Retain(keep func(id string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.peers {
		if !keep(id) {
			delete(d.peers, id)
		}
	}
}

// SetIdle records the number of free slots that a peer's reply gives, between its
// reports.
func (d *Directory) SetIdle(id, service string, idle int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[id]; ok && p.freeSlots != nil {
		p.freeSlots[service] = idle
	}
}

// Epoch returns the epoch of the newest table that a peer is known to comply with, or
// zero.
func (d *Directory) Epoch(id string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[id]; ok {
		return p.epoch
	}
	return 0
}

// ReserveIdle returns the peer with the most free slots of a service, other than exclude,
// and counts one of them as taken until the peer's next report.
func (d *Directory) ReserveIdle(service, exclude string, remote bool, now time.Time) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := ""
	for id, p := range d.peers {
		if id == exclude || p.remote != remote || !d.responsive(p, now) || p.freeSlots[service] <= 0 {
			continue
		}
		if best == "" || p.freeSlots[service] > d.peers[best].freeSlots[service] {
			best = id
		}
	}
	if best == "" {
		return "", false
	}
	d.peers[best].freeSlots[service]--
	return best, true
}

// AnyWithSlots returns a peer of this region that has slots of a service, preferably the one with
// the most free slots.
func (d *Directory) AnyWithSlots(service, exclude string, now time.Time) (string, bool) {
	if id, ok := d.ReserveIdle(service, exclude, false, now); ok {
		return id, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.peers {
		if _, hasSlots := p.freeSlots[service]; hasSlots && id != exclude && !p.remote && d.responsive(p, now) {
			return id, true
		}
	}
	return "", false
}

func (d *Directory) responsive(p *peerState, now time.Time) bool {
	return now.Sub(p.lastContact) < d.UnresponsiveAfter(p.remote)
}
