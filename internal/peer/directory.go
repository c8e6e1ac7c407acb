package peer

import (
	"maps"
	"sync"
	"time"
)

// Directory knows which peers have free slots. A peer that is silent for too
// long is not used.
type Directory struct {
	// UnresponsiveAfter returns how long a peer may be silent; remote ones stand in another region.
	UnresponsiveAfter func(remote bool) time.Duration

	mu    sync.Mutex
	peers map[string]*known
}

type known struct {
	remote bool
	heard  time.Time
	idle   map[string]int
	epoch  int64
}

// Update takes a report of a peer; remote peers stand in another region.
func (d *Directory) Update(id string, remote bool, r Report, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.peers == nil {
		d.peers = map[string]*known{}
	}
	d.peers[id] = &known{remote: remote, heard: now, idle: maps.Clone(r.Idle), epoch: r.Status.Report.Epoch}
}

// Keep forgets the peers that keep refuses.
func (d *Directory) Keep(keep func(id string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.peers {
		if !keep(id) {
			delete(d.peers, id)
		}
	}
}

// SetIdle takes the free slots that a peer's answer tells of, between its reports.
func (d *Directory) SetIdle(id, service string, idle int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[id]; ok && p.idle != nil {
		p.idle[service] = idle
	}
}

// Epoch returns the newest table that a peer is known to keep to.
func (d *Directory) Epoch(id string) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.peers[id]; ok {
		return p.epoch
	}
	return 0
}

// ReserveIdle returns the peer with the most free slots of a service, other than
// exclude, and counts one of them as taken until the peer's next report.
func (d *Directory) ReserveIdle(service, exclude string, remote bool, now time.Time) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := ""
	for id, p := range d.peers {
		if id == exclude || p.remote != remote || !d.fresh(p, now) || p.idle[service] <= 0 {
			continue
		}
		if best == "" || p.idle[service] > d.peers[best].idle[service] {
			best = id
		}
	}
	if best == "" {
		return "", false
	}
	d.peers[best].idle[service]--
	return best, true
}

// Any returns a peer of this region that holds slots of a service, the one
// with the most free ones first.
func (d *Directory) Any(service, exclude string, now time.Time) (string, bool) {
	if id, ok := d.ReserveIdle(service, exclude, false, now); ok {
		return id, true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range d.peers {
		if _, holds := p.idle[service]; holds && id != exclude && !p.remote && d.fresh(p, now) {
			return id, true
		}
	}
	return "", false
}

func (d *Directory) fresh(p *known, now time.Time) bool {
	return now.Sub(p.heard) < d.UnresponsiveAfter(p.remote)
}
