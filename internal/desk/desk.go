// Package desk joins the nodes of a deployment into one scheduler of jobs.
//
// One node at a time is the holder, which decides for all jobs (package
// batch). Every node answers callers: it passes their calls to the holder, and
// while there is none it leaves submissions and cancels in the store, where the
// next holder finds them.
//
// # Usage
//
//	d := &desk.Desk{ID: "entry-1", Address: "10.0.0.4:7000", Store: client, Workers: workers, Log: log}
//	d.SetTable(table)
//	go d.Run(ctx)
//	err := d.Submit(ctx, job)
package desk

import (
	"context"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/actor"
	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/steady"
	"github.com/oriolepond/oriolepond/internal/store"
)

// The keys in the store.
const (
	holderKey   = "pond/holder"
	bestKey     = "pond/holder/best"
	headKey     = "pond/head"
	learnedKey  = "pond/learned"
	silentKey   = "pond/silent"
	jobPrefix   = "pond/job/"
	inboxPrefix = "pond/inbox/"
	// cancelSuffix marks the inbox key of a cancel.
	cancelSuffix = "/cancel"
)

// Workers are the calls to workers.
type Workers struct {
	// Look renews what runs on a worker and returns what it says of its runs; the
	// worker may wait for an end for a while.
	Look func(ctx context.Context, l batch.Look, wait time.Duration, token int64) (batch.Report, error)
	// Order carries out one order.
	Order func(ctx context.Context, c batch.Call, token int64) batch.Result
	// Ask asks the adviser which workers may run a step, and how long that holds.
	Ask func(ctx context.Context, step string, workers []string) ([]batch.Admission, time.Duration, error)
}

// LookError says why a look had no report.
type LookError struct {
	Worker string
	Answer batch.Answer
	// Refused means that nothing listens at the worker's address.
	Refused bool
	Err     error
}

// Error returns the worker and the cause.
func (e *LookError) Error() string {
	s := "look at " + e.Worker + ": " + string(e.Answer)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *LookError) Unwrap() error { return e.Err }

// Desk is a node's part of the scheduler. Its fields are set before Run.
type Desk struct {
	// ID is unique for each start of a node, Address where peers call it.
	ID      string
	Address string
	// Share is the part of a processor that the node has.
	Share   float64
	Store   *store.Client
	Workers Workers
	// WorkerPrefix is where the store lists workers; DecodeWorker reads one entry.
	WorkerPrefix string
	DecodeWorker func(key string, value []byte) (batch.WorkerInfo, error)
	// Peers are addresses of some other nodes, which may be out of date.
	Peers []string
	// Peer returns the calls of the node at an address.
	Peer func(address string) (*Calls, error)
	// Forget ends the connection to a node that left a call without an answer; nil
	// means that connections need no end.
	Forget func(address string)
	Timing batch.Timing
	Log    *eventlog.Log
	Meter  *Meter
	// Now is the steady time by which leases are judged; nil means that of the machine.
	Now func() time.Time

	mu     sync.Mutex
	table  batch.Table
	holder holderRef
	// last is the last holder that there was.
	last    holderRef
	seen    bool
	current *Holder
	// changed is closed when holder changes.
	changed chan struct{}
	// retired is the highest token under which this node has stopped to renew.
	retired int64
	held    int64
	leaving bool
	// heard is when each peer last answered.
	heard map[string]time.Time
	// rtt is how far the store is, best the greatest share of a processor that a node is known to have.
	rtt  time.Duration
	best float64
}

// holderRef is what the holder's key says.
type holderRef struct {
	ID      string
	Address string
	Token   int64
}

// SetTable puts a configuration in force on this node.
func (d *Desk) SetTable(t batch.Table) {
	d.mu.Lock()
	d.table = t
	h := d.current
	d.mu.Unlock()
	if h != nil {
		h.setTable(t)
	}
}

// Run takes part until the context ends; a holder then gives up its term.
func (d *Desk) Run(ctx context.Context) error {
	d.mu.Lock()
	d.changed = make(chan struct{})
	d.mu.Unlock()
	var g run.Group
	follower := &store.Follower{
		Client: d.Store, Prefix: holderKey,
		Snapshot: d.holderSnapshot, Update: d.holderUpdate,
		Lost: func(err error) {
			d.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "holder"), zap.Error(err))
		},
		Back: func() { d.Log.Emit(eventlog.StoreBack, zap.String("use", "holder")) },
	}
	actor.Loop(ctx, &g, follower.Run)
	actor.Loop(ctx, &g, d.stand)
	return g.Run()
}

func (d *Desk) holderSnapshot(s store.Snapshot) {
	var ref holderRef
	for _, e := range s.Entries {
		switch e.Key {
		case holderKey:
			ref = decodeHolder(e)
		case bestKey:
			d.setBest(e.Value)
		}
	}
	d.setHolder(ref)
}

func (d *Desk) holderUpdate(u store.Update) {
	for _, c := range u.Changes {
		switch {
		case c.Entry.Key == bestKey && !c.Deleted:
			d.setBest(c.Entry.Value)
		case c.Entry.Key != holderKey:
		case c.Deleted:
			d.setHolder(holderRef{})
		default:
			d.setHolder(decodeHolder(c.Entry))
		}
	}
}

// setHolder notes who holds all jobs, as last heard from the store.
func (d *Desk) setHolder(ref holderRef) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = true
	if ref == d.holder {
		return
	}
	d.Log.Emit(eventlog.HolderChanged,
		zap.String("holder", ref.ID), zap.String("address", ref.Address), zap.Int64("token", ref.Token))
	d.holder = ref
	if ref.Token != 0 && ref.ID != d.ID {
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

// Retired reports whether this node renews nothing under tokens up to the given one.
func (d *Desk) Retired(token int64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil && d.current.Token <= token {
		d.current.supersede()
		return false
	}
	return d.held <= d.retired || d.held > token
}

// now is the steady time.
func (d *Desk) now() time.Time {
	if d.Now == nil {
		return steady.Now()
	}
	return d.Now()
}

// Leave ends the node's term, if it holds one, and keeps it from another.
func (d *Desk) Leave() {
	d.mu.Lock()
	d.leaving = true
	h := d.current
	d.mu.Unlock()
	if h != nil {
		h.lose("planned stop")
	}
}
