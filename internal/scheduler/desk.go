package scheduler

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// Desk is a node's part in one cell: it stands for election there, and passes
// the calls about the cell's jobs to the holder.
type Desk struct {
	Cell batch.Cell
	Log  *eventlog.Log

	plane *Scheduler
	keys  keys

	mu     sync.Mutex
	table  batch.QueueConfig
	holder holderRef
	// last is the last holder that there was, and formers are all that may renew
	// leases at workers yet, as far as this node has heard.
	last    holderRef
	formers []formerHolder
	current *Holder
	// changed is closed when holder changes.
	changed chan struct{}
	// retired is the highest token under which this node has stopped to renew.
	retired int64
	held    int64
	leaving bool
	// heard is when each peer last answered.
	heard map[string]time.Time
}

// holderRef is what the holder's key says.
type holderRef struct {
	ID      string
	Address string
	Token   int64
}

// setTable puts a configuration in force in the cell.
func (d *Desk) setTable(t batch.QueueConfig) {
	d.mu.Lock()
	d.table = t
	h := d.current
	d.mu.Unlock()
	if h != nil {
		h.setTable(t)
	}
}

// formerHolder is a holder that was replaced, and until when it may renew.
type formerHolder struct {
	holderRef
	until time.Time
}

// setHolder notes who holds the cell's jobs, as last heard from the store.
func (d *Desk) setHolder(ref holderRef) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ref == d.holder {
		return
	}
	d.Log.Emit(eventlog.LeaderChanged,
		zap.String("holder", ref.ID), zap.String("address", ref.Address), zap.Int64("token", ref.Token))
	if d.holder.Token != 0 {
		d.formers = append(d.formers, formerHolder{holderRef: d.holder, until: d.plane.now().Add(d.plane.renewsFor())})
	}
	d.holder = ref
	if ref.Token != 0 && ref.ID != d.plane.ID {
		d.last = ref
	}
	if h := d.current; h != nil && ref.Token > h.Token {
		h.supersede()
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// who returns the holder as last heard, and a channel that closes when that changes.
func (d *Desk) who() (holderRef, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder, d.changed
}

// local returns the holder if it is this node and its term has begun.
func (d *Desk) local() *Holder {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.current
}

// isRetired reports whether this node renews nothing under tokens up to the given one.
func (d *Desk) isRetired(token int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil && d.current.Token <= token {
		d.current.supersede()
		return false
	}
	return d.held <= d.retired || d.held > token
}

// quit ends the node's term, if it holds one, and keeps it from another.
func (d *Desk) quit() {
	d.mu.Lock()
	d.leaving = true
	h := d.current
	d.mu.Unlock()
	if h != nil {
		h.lose("planned stop")
	}
}
