// Package scheduler joins the nodes of a deployment into one scheduler of jobs.
//
// The workers and jobs of a large deployment are divided into cells: partitions
// with a leader of their own (package batch). In each cell one node at a time is
// elected leader and decides for the cell's jobs. Every node answers callers: it
// passes a call to the leader of the job's cell. While there is no leader, it
// writes submissions and cancels to the cell's inbox in the store, where the next
// leader finds them.
//
// The home cell of a job is selected by a hash of its id. A leader may hand a job
// over to another cell; its home cell then keeps a forwarding record.
//
// A Scheduler represents the node. For each cell it has a cellMember, which runs
// for election and passes calls to the cell's leader. A Leader is one term of this
// node as leader of a cell: a batch.Core decides in memory, and the Leader commits
// the changes to the store, polls the workers and sends them commands. The
// revision of the leader's key is the term's fencing token, by which workers and
// the store reject calls of earlier leaders.
//
// # Usage
//
//	s := &scheduler.Scheduler{ID: "entry-1", Address: "10.0.0.4:7000", Store: client, Workers: workers, Log: log}
//	s.SetTable(table)
//	go s.Run(ctx)
//	err := s.Submit(ctx, job)
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

// Workers are the calls to workers and to the adviser; token is the caller's fencing token.
type Workers struct {
	// Poll renews the leases of a worker's runs and returns the worker's report. The
	// worker may wait up to the given time for a run to end before it answers.
	Poll func(ctx context.Context, p batch.Poll, wait time.Duration, token int64) (batch.Report, error)
	// Execute sends one command to a worker.
	Execute func(ctx context.Context, c batch.Call, token int64) batch.Result
	// QueryAdviser asks the adviser which workers may run a step; the answer is valid for the returned time.
	QueryAdviser func(ctx context.Context, step string, workers []string) ([]batch.Admission, time.Duration, error)
}

// PollError means that a poll returned no report.
type PollError struct {
	Worker string
	Answer batch.Answer
	Err    error
}

// Error returns the worker and the cause.
func (e *PollError) Error() string {
	s := "poll of " + e.Worker + ": " + string(e.Answer)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *PollError) Unwrap() error { return e.Err }

// Scheduler makes a node a member of the deployment's scheduler. Its fields are set before Run.
type Scheduler struct {
	// ID is unique for each start of a node; Address is where peers call it.
	ID      string
	Address string
	// CPUShare is the processor capacity of the node, as a fraction of one processor.
	CPUShare float64
	Store    *store.Client
	Workers  Workers
	// WorkerPrefix is the prefix of the workers' keys in the store; DecodeWorker decodes one entry.
	WorkerPrefix string
	DecodeWorker func(key string, value []byte) (batch.WorkerInfo, error)
	// Evacuations are the keys of evacuated data centres; nil means that none is ever evacuated.
	Evacuations *EvacuationKeys
	// Peers are the addresses of some other nodes, which may be out of date.
	Peers []string
	// Peer returns the calls about a cell to the node at an address.
	Peer func(address string, cell int) (*Calls, error)
	// DropConnection closes the connection to a node that left a call unanswered; it
	// may be nil.
	DropConnection func(address string)
	// OnConfigCopies receives the entry of ConfigCopyKey whenever the node's watch delivers
	// it. A call with listed set follows each complete listing of the watched keys: if no
	// entry came before it, there is no copy. OnConfigCopies may be nil.
	OnConfigCopies func(entries []store.Entry, listed bool)
	// MaxStoreValue is the size in bytes of the largest value that the store takes; zero means the
	// default.
	MaxStoreValue int
	Timing        batch.Timing
	Log           *eventlog.Log
	Metrics       *Metrics
	// Now returns the monotonic time for leases; nil means the machine's clock.
	Now func() time.Time

	mu    sync.Mutex
	table batch.QueueConfig
	// members represent the node in the cells, by cell index; there are none until
	// the number of cells is known.
	members    []*cellMember
	cellsKnown chan struct{}
	// leaders are the cells' leaders as last read from the store, by key.
	leaders map[string]leaderRef
	// movedTo maps jobs that are known to have left their home cell to their cells.
	movedTo     map[string]int
	steppedDown bool
	// rtt is the shortest measured round-trip time to the store, bestShare the greatest known CPU share of any node.
	rtt       time.Duration
	bestShare float64
	// terms is the number of cells that the node leads or runs for.
	terms int
	// outage is how the store has served this node's submissions.
	outage storeOutage
}

// SetTable applies a configuration to this node.
func (s *Scheduler) SetTable(t batch.QueueConfig) {
	s.mu.Lock()
	s.table = t
	members := s.members
	s.mu.Unlock()
	for _, m := range members {
		m.setTable(t)
	}
}

// Run tracks the cells' leaders and takes part in their elections until the context ends, and
// then ends the node's terms as leader.
func (s *Scheduler) Run(ctx context.Context) error {
	cellsKnown := s.whenCellsKnown()
	var g run.Group
	follower := &store.Follower{
		Client: s.Store, Prefix: leaderPrefix,
		Snapshot: func(snapshot store.Snapshot) { s.applyLeaderSnapshot(snapshot.Entries) },
		Update:   s.applyLeaderUpdate,
		OnFailure: func(err error) {
			s.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "holder"), zap.Error(err))
		},
		OnRecovery: func() { s.Log.Emit(eventlog.StoreRecovered, zap.String("use", "holder")) },
	}
	actor.Loop(ctx, &g, follower.Run)
	actor.Loop(ctx, &g, func(ctx context.Context) error {
		s.publishShare(ctx)
		s.decideCellCount(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-cellsKnown:
		}
		return s.runElections(ctx)
	})
	return g.Run()
}

// runElections takes part in the elections of all cells.
func (s *Scheduler) runElections(ctx context.Context) error {
	var g run.Group
	actor.Loop(ctx, &g, s.trackRTT)
	for _, m := range s.allMembers() {
		actor.Loop(ctx, &g, m.runElections)
		actor.Loop(ctx, &g, m.replaceSmallLeaders)
	}
	return g.Run()
}

// allMembers returns the members that represent the node in all cells.
func (s *Scheduler) allMembers() []*cellMember {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.members
}

// IsLeader reports whether the node leads any cell.
func (s *Scheduler) IsLeader() bool {
	for _, m := range s.allMembers() {
		if m.localLeader() != nil {
			return true
		}
	}
	return false
}

// StoreRTT returns the shortest measured round-trip time to the store, or zero if there is none yet.
func (s *Scheduler) StoreRTT() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rtt
}

// KnowsCells reports whether the node knows the number of cells, so that it can pass calls on.
func (s *Scheduler) KnowsCells() bool { return len(s.allMembers()) > 0 }

// whenCellsKnown returns a channel that is closed once the number of cells is known.
func (s *Scheduler) whenCellsKnown() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cellsKnown == nil {
		s.cellsKnown = make(chan struct{})
	}
	return s.cellsKnown
}

// setCellCount creates the members that represent the node in the cells. Only its first call has an effect,
// since the number of cells never changes in the life of a deployment.
func (s *Scheduler) setCellCount(count int) {
	s.whenCellsKnown()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.members) > 0 {
		return
	}
	for i := range count {
		k := keysOfCell(i)
		s.members = append(s.members, &cellMember{
			Cell: batch.Cell{Index: i, Count: count}, scheduler: s, keys: k, table: s.table,
			Log: s.Log.With(zap.Int("cell", i)), leaderChanged: make(chan struct{}), steppedDown: s.steppedDown,
			leader: s.leaders[k.leader], previous: s.leaders[k.leader],
		})
	}
	close(s.cellsKnown)
	s.Log.Emit(eventlog.CellsKnown, zap.Int("cells", len(s.members)))
}

// now returns the monotonic time.
func (s *Scheduler) now() time.Time {
	if s.Now == nil {
		return monotonic.Now()
	}
	return s.Now()
}

// StepDown ends the node's terms as leader, and keeps it from running for election again.
func (s *Scheduler) StepDown() {
	s.mu.Lock()
	s.steppedDown = true
	members := s.members
	s.mu.Unlock()
	for _, m := range members {
		m.stepDown()
	}
}

// cellsUnknownError returns the error for calls before the number of cells is known.
func cellsUnknownError() error {
	return &UnavailableError{Reason: "the cells are not known yet", RetryAfter: retryAfter}
}

// member returns the member that represents the node in a cell, or nil.
func (s *Scheduler) member(cell int) *cellMember {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cell < 0 || cell >= len(s.members) {
		return nil
	}
	return s.members[cell]
}

// homeMember returns the member for a job's home cell, or nil.
func (s *Scheduler) homeMember(id string) *cellMember {
	s.mu.Lock()
	count := len(s.members)
	s.mu.Unlock()
	return s.member(batch.HomeOf(id, count))
}

// maxRememberedMoves bounds the number of jobs in Scheduler.movedTo; a full map is emptied.
const maxRememberedMoves = 20_000

// rememberMoved remembers to which cell a job was handed over.
func (s *Scheduler) rememberMoved(id string, cell int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.movedTo == nil || len(s.movedTo) >= maxRememberedMoves {
		s.movedTo = map[string]int{}
	}
	s.movedTo[id] = cell
}

// jobMember returns the member for the cell where a job was last known to be, or nil.
func (s *Scheduler) jobMember(id string) *cellMember {
	s.mu.Lock()
	cell, known := s.movedTo[id]
	s.mu.Unlock()
	if known {
		return s.member(cell)
	}
	return s.homeMember(id)
}

// followJob makes a call about a job to the cell where the job was last known to be. If
// that cell answers with a *MovedError, it repeats the call at the cell named there.
func (s *Scheduler) followJob(id string, call func(*cellMember) error) error {
	m := s.jobMember(id)
	if m == nil {
		return cellsUnknownError()
	}
	var err error
	for range s.allMembers() {
		err = call(m)
		var moved *MovedError
		if !errors.As(err, &moved) {
			return err
		}
		s.rememberMoved(id, moved.Cell)
		if m = s.member(moved.Cell); m == nil {
			break
		}
	}
	return &UnknownOutcomeError{Err: err}
}

// Submit accepts a job; it returns once the job is durable. An
// *UnavailableError means that the job will never run, an *UnknownOutcomeError
// that it may have been accepted.
func (s *Scheduler) Submit(ctx context.Context, j batch.Job) error {
	m := s.homeMember(j.ID)
	if m == nil {
		return cellsUnknownError()
	}
	return m.submit(ctx, j)
}

// Cancel withdraws a job and reports whether it is known; it returns once that is durable.
func (s *Scheduler) Cancel(ctx context.Context, id string) (known bool, err error) {
	err = s.followJob(id, func(m *cellMember) error {
		known, err = m.cancel(ctx, id)
		return err
	})
	return known, err
}

// State returns the state of a job, and whether the job is known.
func (s *Scheduler) State(ctx context.Context, id string) (state batch.State, known bool, err error) {
	err = s.followJob(id, func(m *cellMember) error {
		state, known, err = m.state(ctx, id)
		return err
	})
	return state, known, err
}

// Pending counts the jobs of a queue, in all cells, none of whose tasks has started.
func (s *Scheduler) Pending(ctx context.Context, queue string) (int, error) {
	members := s.allMembers()
	if len(members) == 0 {
		return 0, cellsUnknownError()
	}
	type count struct {
		jobs int
		err  error
	}
	counts := make(chan count, len(members))
	for _, m := range members {
		go func() {
			n, err := m.pending(ctx, queue)
			counts <- count{n, err}
		}()
	}
	sum := 0
	var err error
	for range members {
		c := <-counts
		sum += c.jobs
		err = errors.Join(err, c.err)
	}
	return sum, err
}

// LocalCalls returns the calls that peers make to this node about a cell.
func (s *Scheduler) LocalCalls(cell int) *Calls {
	if m := s.member(cell); m != nil {
		return m.localCalls()
	}
	notLeader := &NotLeaderError{}
	return &Calls{
		Submit:  func(context.Context, batch.Job) error { return notLeader },
		Relay:   func(context.Context, batch.Job) error { return cellsUnknownError() },
		Cancel:  func(context.Context, string) (bool, error) { return false, notLeader },
		State:   func(context.Context, string) (batch.State, bool, error) { return "", false, notLeader },
		Pending: func(context.Context, string) (int, error) { return 0, notLeader },
		Retired: func(context.Context, int64) (bool, error) { return false, notLeader },
	}
}
