// Package desk joins the nodes of a deployment into one scheduler of jobs.
//
// The workers and jobs of a large deployment are divided into cells (package
// batch). For each cell one node at a time is the holder, which decides for the
// jobs there. Every node answers callers: it passes a call to the holder of the
// job's cell, and while there is none it leaves submissions and cancels in the
// store, where the next holder finds them.
//
// # Usage
//
//	p := &desk.Scheduler{ID: "entry-1", Address: "10.0.0.4:7000", Store: client, Workers: workers, Log: log}
//	p.SetTable(table)
//	go p.Run(ctx)
//	err := p.Submit(ctx, job)
package scheduler

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/oklog/run"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/actor"
	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/monotonic"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Workers are the calls to workers.
type Workers struct {
	// Poll renews what runs on a worker and returns what it says of its runs; the
	// worker may wait for an end for a while.
	Poll func(ctx context.Context, l batch.Poll, wait time.Duration, token int64) (batch.Report, error)
	// Execute carries out one order.
	Execute func(ctx context.Context, c batch.Call, token int64) batch.Result
	// QueryAdviser asks the adviser which workers may run a step, and how long that holds.
	QueryAdviser func(ctx context.Context, step string, workers []string) ([]batch.Admission, time.Duration, error)
}

// PollError says why a look had no report.
type PollError struct {
	Worker string
	Answer batch.Answer
	// Refused means that nothing listens at the worker's address.
	Refused bool
	Err     error
}

// Error returns the worker and the cause.
func (e *PollError) Error() string {
	s := "look at " + e.Worker + ": " + string(e.Answer)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *PollError) Unwrap() error { return e.Err }

// Scheduler is a node's part of the scheduler. Its fields are set before Run.
type Scheduler struct {
	// ID is unique for each start of a node, Address where peers call it.
	ID      string
	Address string
	// CPUShare is the part of a processor that the node has.
	CPUShare float64
	Store    *store.Client
	Workers  Workers
	// WorkerPrefix is where the store lists workers; DecodeWorker reads one entry.
	WorkerPrefix string
	DecodeWorker func(key string, value []byte) (batch.WorkerInfo, error)
	// Peers are addresses of some other nodes, which may be out of date.
	Peers []string
	// Peer returns the calls about a cell of the node at an address.
	Peer func(address string, cell int) (*Calls, error)
	// DropConnection ends the connection to a node that left a call without an answer; nil
	// means that connections need no end.
	DropConnection func(address string)
	// OnConfigCopies is given the copies of the configuration among the keys that the node
	// watches; all tells that there are no others. Nil means that nobody asks.
	OnConfigCopies func(entries []store.Entry, all bool)
	Timing         batch.Timing
	Log            *eventlog.Log
	Metrics        *Metrics
	// Now is the steady time by which leases are judged; nil means that of the machine.
	Now func() time.Time

	mu    sync.Mutex
	table batch.QueueConfig
	// desks are the node's parts in the cells, by index; there are none before
	// the number of cells is known.
	desks  []*Desk
	opened chan struct{}
	// holders are the holders as last heard from the store, by key.
	holders map[string]holderRef
	// moved are the cells of jobs that are not at home, as far as known.
	moved   map[string]int
	leaving bool
	// rtt is how far the store is, best the greatest share of a processor that a node is known to have.
	rtt  time.Duration
	best float64
	// since is when the node began to run.
	since time.Time
	// terms is how many holders' terms the node has or seeks.
	terms int
}

// SetTable puts a configuration in force on this node.
func (p *Scheduler) SetTable(t batch.QueueConfig) {
	p.mu.Lock()
	p.table = t
	desks := p.desks
	p.mu.Unlock()
	for _, d := range desks {
		d.setTable(t)
	}
}

// Run takes part until the context ends; a holder then gives up its terms.
func (p *Scheduler) Run(ctx context.Context) error {
	p.mu.Lock()
	p.since = p.now()
	p.mu.Unlock()
	opened := p.whenOpened()
	var g run.Group
	follower := &store.Follower{
		Client: p.Store, Prefix: holderPrefix,
		Snapshot: func(s store.Snapshot) { p.takeHolders(s.Entries) },
		Update:   p.holderUpdate,
		Lost: func(err error) {
			p.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "holder"), zap.Error(err))
		},
		Back: func() { p.Log.Emit(eventlog.StoreRecovered, zap.String("use", "holder")) },
	}
	actor.Loop(ctx, &g, follower.Run)
	actor.Loop(ctx, &g, func(ctx context.Context) error {
		p.introduce(ctx)
		p.divide(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-opened:
		}
		return p.stand(ctx)
	})
	return g.Run()
}

// stand takes part in the elections of all cells.
func (p *Scheduler) stand(ctx context.Context) error {
	var g run.Group
	for _, d := range p.all() {
		actor.Loop(ctx, &g, d.stand)
	}
	return g.Run()
}

// all returns the node's parts in the cells.
func (p *Scheduler) all() []*Desk {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.desks
}

// IsLeader reports whether the node holds a cell.
func (p *Scheduler) IsLeader() bool {
	for _, d := range p.all() {
		if d.local() != nil {
			return true
		}
	}
	return false
}

// StoreRTT returns how far the store is, as measured when the node started.
func (p *Scheduler) StoreRTT() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rtt
}

// KnowsCells reports whether the node knows the cells, so that it can pass calls on.
func (p *Scheduler) KnowsCells() bool { return len(p.all()) > 0 }

// whenOpened returns a channel that closes once the number of cells is known.
func (p *Scheduler) whenOpened() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.opened == nil {
		p.opened = make(chan struct{})
	}
	return p.opened
}

// open makes the node's parts once the number of cells is known. That number
// never changes in the life of a deployment.
func (p *Scheduler) open(count int) {
	p.whenOpened()
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.desks) > 0 {
		return
	}
	for i := range count {
		k := keysOf(i)
		p.desks = append(p.desks, &Desk{
			Cell: batch.Cell{Index: i, Count: count}, plane: p, keys: k, table: p.table,
			Log: p.Log.With(zap.Int("cell", i)), changed: make(chan struct{}), leaving: p.leaving,
			holder: p.holders[k.holder], last: p.holders[k.holder],
		})
	}
	close(p.opened)
	p.Log.Emit(eventlog.CellsKnown, zap.Int("cells", len(p.desks)))
}

// began returns when the node began to run.
func (p *Scheduler) began() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.since
}

// now is the steady time.
func (p *Scheduler) now() time.Time {
	if p.Now == nil {
		return monotonic.Now()
	}
	return p.Now()
}

// StepDown ends the node's terms, if it holds any, and keeps it from others.
func (p *Scheduler) StepDown() {
	p.mu.Lock()
	p.leaving = true
	desks := p.desks
	p.mu.Unlock()
	for _, d := range desks {
		d.quit()
	}
}

// undivided is the answer while the number of cells is not known.
func undivided() error {
	return &UnavailableError{Reason: "the cells are not known yet", RetryAfter: retryAfter}
}

// desk returns the node's part in a cell, or nil.
func (p *Scheduler) desk(cell int) *Desk {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cell < 0 || cell >= len(p.desks) {
		return nil
	}
	return p.desks[cell]
}

// home returns the node's part in a job's home.
func (p *Scheduler) home(id string) *Desk {
	p.mu.Lock()
	count := len(p.desks)
	p.mu.Unlock()
	return p.desk(batch.HomeOf(id, count))
}

// maxMoved bounds what a node remembers of jobs that are not at home.
const maxMoved = 20_000

// noteMoved remembers where a job is.
func (p *Scheduler) noteMoved(id string, cell int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.moved == nil || len(p.moved) >= maxMoved {
		p.moved = map[string]int{}
	}
	p.moved[id] = cell
}

// find returns the node's part in the cell where a job is, as far as known.
func (p *Scheduler) find(id string) *Desk {
	p.mu.Lock()
	cell, known := p.moved[id]
	p.mu.Unlock()
	if known {
		return p.desk(cell)
	}
	return p.home(id)
}

// follow makes a call about a job in its cell, by way of its home and of the
// cells that handed it on if need be.
func (p *Scheduler) follow(id string, call func(*Desk) error) error {
	d := p.find(id)
	if d == nil {
		return undivided()
	}
	var err error
	for range p.all() {
		err = call(d)
		var moved *MovedError
		if !errors.As(err, &moved) {
			return err
		}
		p.noteMoved(id, moved.Cell)
		if d = p.desk(moved.Cell); d == nil {
			break
		}
	}
	return &UnknownError{Err: err}
}

// Submit accepts a job; it returns once the job is durable. An
// *UnavailableError means that the job will never run, an *UnknownError that it
// may be accepted.
func (p *Scheduler) Submit(ctx context.Context, j batch.Job) error {
	d := p.home(j.ID)
	if d == nil {
		return undivided()
	}
	return d.submit(ctx, j)
}

// Cancel withdraws a job and reports whether it is known; it returns once that is durable.
func (p *Scheduler) Cancel(ctx context.Context, id string) (known bool, err error) {
	err = p.follow(id, func(d *Desk) error {
		known, err = d.cancel(ctx, id)
		return err
	})
	return known, err
}

// State returns the state of a job, and whether the job is known.
func (p *Scheduler) State(ctx context.Context, id string) (s batch.State, known bool, err error) {
	err = p.follow(id, func(d *Desk) error {
		s, known, err = d.state(ctx, id)
		return err
	})
	return s, known, err
}

// Pending counts the jobs of a queue of which no task has started.
func (p *Scheduler) Pending(ctx context.Context, queue string) (int, error) {
	desks := p.all()
	if len(desks) == 0 {
		return 0, undivided()
	}
	type count struct {
		jobs int
		err  error
	}
	counts := make(chan count, len(desks))
	for _, d := range desks {
		go func() {
			n, err := d.pending(ctx, queue)
			counts <- count{n, err}
		}()
	}
	sum := 0
	var err error
	for range desks {
		c := <-counts
		sum += c.jobs
		err = errors.Join(err, c.err)
	}
	return sum, err
}

// LocalCalls answers the calls of peers about a cell.
func (p *Scheduler) LocalCalls(cell int) *Calls {
	if d := p.desk(cell); d != nil {
		return d.localCalls()
	}
	not := &NotLeaderError{}
	return &Calls{
		Submit:  func(context.Context, batch.Job) error { return not },
		Relay:   func(context.Context, batch.Job) error { return undivided() },
		Cancel:  func(context.Context, string) (bool, error) { return false, not },
		State:   func(context.Context, string) (batch.State, bool, error) { return "", false, not },
		Pending: func(context.Context, string) (int, error) { return 0, not },
		Retired: func(context.Context, int64) (bool, error) { return false, not },
	}
}
