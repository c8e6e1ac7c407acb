package scheduler

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const testPrefix = "workers/"

// world is a store, workers and nodes within one synctest bubble.
type world struct {
	t       *testing.T
	store   *fakeStore
	workers *fakeWorkers
	nodes   map[string]*Scheduler
	stops   map[string]context.CancelFunc
	// cut are the nodes that no peer reaches, apart those that reach no worker.
	cut   map[string]bool
	apart map[string]bool
	// frozen are the nodes whose calls wait, each until its channel is closed.
	frozen map[string]chan struct{}
	// mu guards the maps of nodes, which their calls read.
	mu sync.Mutex
}

var errCut = errors.New("no way to the peer")

func newWorld(t *testing.T, duration time.Duration, workers ...string) *world {
	w := &world{
		t: t, store: newFakeStore(), workers: newFakeWorkers(duration, workers...),
		nodes: map[string]*Scheduler{}, stops: map[string]context.CancelFunc{}, cut: map[string]bool{}, apart: map[string]bool{},
		frozen: map[string]chan struct{}{},
	}
	for _, id := range workers {
		w.store.put(testPrefix+id, []byte(id))
	}
	w.store.put(CellsKey, []byte("1"))
	return w
}

func testTable() batch.QueueConfig {
	return batch.QueueConfig{
		Version: 1,
		Queues:  map[string]batch.Queue{"review": {Name: "review", Service: "pool", Attempts: 3, Slack: 2, Target: time.Second}},
	}
}

// add starts a node.
func (w *world) add(name string) *Scheduler {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Scheduler{
		ID: name + "/" + fmt.Sprint(len(w.stops)), Address: name, CPUShare: 1, Store: w.storeOf(name), Workers: w.workersOf(name),
		WorkerPrefix: testPrefix, Timing: batch.DefaultTiming(), Log: eventlog.Discard(), Metrics: NewMetrics(metrics.NewSet()),
		Now: time.Now,
		DecodeWorker: func(key string, value []byte) (batch.WorkerInfo, error) {
			return batch.WorkerInfo{
				ID: string(value), Address: string(value), Service: "pool", Incarnation: 1,
				Capacity: share.Resources{Processors: 32_000, Memory: 64 << 30},
			}, nil
		},
		Peer: func(address string, cell int) (*Calls, error) {
			w.mu.Lock()
			defer w.mu.Unlock()
			peer := w.nodes[address]
			if peer == nil || w.cut[address] || w.cut[name] {
				return nil, &UnknownError{Err: errCut}
			}
			return peer.LocalCalls(cell), nil
		},
	}
	p.SetTable(testTable())
	w.mu.Lock()
	w.nodes[name], w.stops[name] = p, cancel
	w.mu.Unlock()
	go func() { _ = p.Run(ctx) }()
	return p
}

// freeze keeps a node's calls from leaving until thaw: what it had decided upon
// before goes out late.
func (w *world) freeze(name string) (thaw func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	thawed := make(chan struct{})
	w.frozen[name] = thawed
	return func() { close(thawed) }
}

func (w *world) awaitThaw(name string) {
	w.mu.Lock()
	thawed := w.frozen[name]
	w.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// storeOf returns a node's calls to the store.
func (w *world) storeOf(name string) *store.Client {
	plain := w.store.client(name)
	held := *plain
	held.Read = func(ctx context.Context, key string) (store.Entry, bool, error) {
		w.awaitThaw(name)
		return plain.Read(ctx, key)
	}
	held.Commit = func(ctx context.Context, t store.Txn) (store.Result, error) {
		w.awaitThaw(name)
		return plain.Commit(ctx, t)
	}
	held.KeepAlive = func(ctx context.Context, id store.LeaseID) error {
		w.awaitThaw(name)
		return plain.KeepAlive(ctx, id)
	}
	held.GrantLease = func(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
		w.awaitThaw(name)
		return plain.GrantLease(ctx, ttl)
	}
	return &held
}

// cutOff keeps a node from its peers and from all workers.
func (w *world) cutOff(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[name], w.apart[name] = true, true
}

func (w *world) isApart(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.apart[name]
}

// workersOf returns a node's calls to the workers.
func (w *world) workersOf(name string) Workers {
	calls := w.workers.calls()
	look, order := calls.Poll, calls.Execute
	calls.Poll = func(ctx context.Context, l batch.Poll, wait time.Duration, token int64) (batch.Report, error) {
		w.awaitThaw(name)
		if w.isApart(name) {
			return batch.Report{}, &PollError{Worker: l.Worker, Answer: batch.AnswerNone, Err: errCut}
		}
		return look(ctx, l, wait, token)
	}
	calls.Execute = func(ctx context.Context, c batch.Call, token int64) batch.Result {
		w.awaitThaw(name)
		if w.isApart(name) {
			return batch.Result{Answer: batch.AnswerNone}
		}
		return order(ctx, c, token)
	}
	return calls
}

// kill ends a node at once; what it has begun is not answered any more.
func (w *world) kill(name string) {
	w.stops[name]()
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.nodes, name)
	delete(w.stops, name)
}

// end stops all nodes, so that the bubble can end.
func (w *world) end() {
	for name := range w.stops {
		w.kill(name)
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
	require.Empty(w.t, w.workers.rules())
	require.Zero(w.t, w.store.tooMany, "commits above the store's entries")
}

// holder returns the node that holds, or nil.
func (w *world) holder() (string, *Holder) {
	for name, p := range w.nodes {
		for _, d := range p.all() {
			if h := d.local(); h != nil {
				return name, h
			}
		}
	}
	return "", nil
}

func testJob(id, tasks int) batch.Job {
	return batch.Job{ID: fmt.Sprintf("%016x", id), Queue: "review", Spec: "spec", Steps: []batch.Step{
		{Tasks: tasks, Size: share.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: time.Second},
		{Tasks: 1, Size: share.Resources{Processors: 1000, Memory: 1 << 30}, Estimate: time.Second, After: []int{0}},
	}}
}

// submit hands a job in through a node, within a caller's patience.
func submit(d *Scheduler, j batch.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return d.Submit(ctx, j)
}

func state(t *testing.T, d *Scheduler, id string) batch.State {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s, known, err := d.State(ctx, id)
	require.NoError(t, err)
	require.True(t, known, "job %s", id)
	return s
}
