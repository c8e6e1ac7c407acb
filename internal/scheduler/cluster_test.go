package scheduler

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
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

// oddEntry is the value of an entry of the workers that cannot be decoded.
const oddEntry = "\xff"

// drainingEntry ends the entry of a worker that drains.
const drainingEntry = " draining"

// cluster is a store, workers and nodes within one synctest bubble.
type cluster struct {
	t       *testing.T
	store   *fakeStore
	workers *fakeWorkers
	nodes   map[string]*Scheduler
	stops   map[string]context.CancelFunc
	// shares are the CPU shares of nodes; the others have a share of 1.
	shares map[string]float64
	// unreachable are the nodes that no peer reaches, withoutWorkers those that reach no worker.
	unreachable    map[string]bool
	withoutWorkers map[string]bool
	// cutOff are the workers that a node does not reach.
	cutOff map[string]map[string]bool
	// started counts the nodes that were started, dead ends all calls of a killed one.
	started int
	dead    map[string]*atomic.Bool
	// frozen are the nodes whose calls wait, each until its channel is closed.
	frozen map[string]chan struct{}
	// wrapWorkers, if not nil, replaces the calls to the workers of nodes that are added later.
	wrapWorkers func(Workers) Workers
	// mu guards the maps above, which the nodes' calls read.
	mu sync.Mutex
}

var errUnreachable = errors.New("peer unreachable")

func newCluster(t *testing.T, duration time.Duration, workers ...string) *cluster {
	cl := &cluster{
		t: t, store: newFakeStore(), workers: newFakeWorkers(duration, workers...),
		nodes: map[string]*Scheduler{}, stops: map[string]context.CancelFunc{}, unreachable: map[string]bool{}, withoutWorkers: map[string]bool{},
		frozen: map[string]chan struct{}{}, shares: map[string]float64{}, cutOff: map[string]map[string]bool{}, dead: map[string]*atomic.Bool{},
	}
	for _, id := range workers {
		cl.store.put(testPrefix+id, []byte(id))
	}
	cl.store.put(CellsKey, []byte("1"))
	return cl
}

func testTable() batch.QueueConfig {
	return batch.QueueConfig{
		Version: 1,
		Queues:  map[string]batch.Queue{"review": {Name: "review", Service: "pool", Attempts: 3, Slack: 2, Target: time.Second}},
	}
}

// addNode starts a node.
func (cl *cluster) addNode(name string) *Scheduler { return cl.addNodeWithTable(name, testTable()) }

// addNodeWithTable starts a node with a configuration.
func (cl *cluster) addNodeWithTable(name string, table batch.QueueConfig) *Scheduler {
	ctx, cancel := context.WithCancel(context.Background())
	dead := &atomic.Bool{}
	cl.started++
	node := &Scheduler{
		ID: name + "/" + fmt.Sprint(cl.started), Address: name, CPUShare: 1, Store: cl.storeClient(name, dead), Workers: cl.workerCalls(name, dead),
		WorkerPrefix: testPrefix, Timing: batch.DefaultTiming(), Log: eventlog.Discard(), Metrics: NewMetrics(metrics.NewSet()),
		Now: time.Now, Evacuations: testEvacuations(),
		DecodeWorker: func(_ string, value []byte) (batch.WorkerInfo, error) {
			if string(value) == oddEntry {
				return batch.WorkerInfo{}, errors.New("odd entry")
			}
			id, draining := strings.CutSuffix(string(value), drainingEntry)
			dataCentre, _, _ := strings.Cut(id, "-")
			return batch.WorkerInfo{
				ID: id, Address: id, DataCentre: dataCentre, Service: "pool", Incarnation: 1, Draining: draining,
				Capacity: share.Resources{Processors: 32_000, Memory: 64 << 30},
			}, nil
		},
		Peer: func(address string, cell int) (*Calls, error) {
			cl.mu.Lock()
			defer cl.mu.Unlock()
			peer := cl.nodes[address]
			if peer == nil || dead.Load() || cl.unreachable[address] || cl.unreachable[name] {
				return nil, &UnknownOutcomeError{Err: errUnreachable}
			}
			return peer.LocalCalls(cell), nil
		},
	}
	if cl.wrapWorkers != nil {
		node.Workers = cl.wrapWorkers(node.Workers)
	}
	if share, ok := cl.shares[name]; ok {
		node.CPUShare = share
	}
	node.SetTable(table)
	cl.mu.Lock()
	cl.nodes[name], cl.stops[name], cl.dead[name] = node, cancel, dead
	cl.mu.Unlock()
	go func() { _ = node.Run(ctx) }()
	return node
}

// freeze delays a node's calls until thaw is called, so that what the node decided
// before goes out late.
func (cl *cluster) freeze(name string) (thaw func()) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	thawed := make(chan struct{})
	cl.frozen[name] = thawed
	return func() { close(thawed) }
}

func (cl *cluster) awaitThaw(name string) {
	cl.mu.Lock()
	thawed := cl.frozen[name]
	cl.mu.Unlock()
	if thawed != nil {
		<-thawed
	}
}

// storeClient returns a node's calls to the store. Those of a dead node are not sent.
func (cl *cluster) storeClient(name string, dead *atomic.Bool) *store.Client {
	client := cl.store.client(name)
	admit := func(call string) error {
		cl.awaitThaw(name)
		if dead.Load() {
			return &store.UnavailableError{Call: call, Err: errUnreachable}
		}
		return nil
	}
	wrapped := *client
	wrapped.Read = func(ctx context.Context, key string) (store.Entry, bool, error) {
		if err := admit("read"); err != nil {
			return store.Entry{}, false, err
		}
		return client.Read(ctx, key)
	}
	wrapped.Commit = func(ctx context.Context, t store.Txn) (store.Result, error) {
		if err := admit("commit"); err != nil {
			return store.Result{}, err
		}
		return client.Commit(ctx, t)
	}
	wrapped.KeepAlive = func(ctx context.Context, id store.LeaseID) error {
		if err := admit("keep"); err != nil {
			return err
		}
		return client.KeepAlive(ctx, id)
	}
	wrapped.GrantLease = func(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
		if err := admit("grant"); err != nil {
			return 0, err
		}
		return client.GrantLease(ctx, ttl)
	}
	wrapped.RevokeLease = func(ctx context.Context, id store.LeaseID) error {
		if err := admit("revoke"); err != nil {
			return err
		}
		return client.RevokeLease(ctx, id)
	}
	return &wrapped
}

// cutPeers cuts a node off from its peers.
func (cl *cluster) cutPeers(name string) { cl.setUnreachable(name, true) }

// setUnreachable cuts a node off from its peers, or connects it to them again.
func (cl *cluster) setUnreachable(name string, unreachable bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.unreachable[name] = unreachable
}

// others returns the names of three nodes without the named one.
func others(than string) []string {
	return slices.DeleteFunc([]string{"a", "b", "c"}, func(name string) bool { return name == than })
}

// isolate cuts a node off from its peers and from all workers.
func (cl *cluster) isolate(name string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.unreachable[name], cl.withoutWorkers[name] = true, true
}

// cut cuts a node off from the named workers.
func (cl *cluster) cut(name string, workers ...string) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.cutOff[name] = map[string]bool{}
	for _, id := range workers {
		cl.cutOff[name][id] = true
	}
}

func (cl *cluster) reaches(name, worker string) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return !cl.withoutWorkers[name] && !cl.cutOff[name][worker]
}

// workerCalls returns a node's calls to the workers.
func (cl *cluster) workerCalls(name string, dead *atomic.Bool) Workers {
	calls := cl.workers.calls()
	poll, execute := calls.Poll, calls.Execute
	calls.Poll = func(ctx context.Context, request batch.Poll, wait time.Duration, token int64) (batch.Report, error) {
		cl.awaitThaw(name)
		if dead.Load() || !cl.reaches(name, request.Worker) {
			return batch.Report{}, &PollError{Worker: request.Worker, Answer: batch.AnswerNone, Err: errUnreachable}
		}
		return poll(ctx, request, wait, token)
	}
	calls.Execute = func(ctx context.Context, call batch.Call, token int64) batch.Result {
		cl.awaitThaw(name)
		if dead.Load() || !cl.reaches(name, call.Worker) {
			return batch.Result{Answer: batch.AnswerNone}
		}
		return execute(ctx, call, token)
	}
	return calls
}

// crash ends a node without the calls to the store by which a node that is stopped gives up its terms.
func (cl *cluster) crash(name string) {
	cl.dead[name].Store(true)
	cl.kill(name)
}

// kill ends a node at once; calls under way get no answer.
func (cl *cluster) kill(name string) {
	cl.stops[name]()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.nodes, name)
	delete(cl.stops, name)
}

// stop stops all nodes, so that the bubble can end, and checks that no rule was broken.
func (cl *cluster) stop() {
	for name := range cl.stops {
		cl.kill(name)
	}
	time.Sleep(10 * time.Second)
	synctest.Wait()
	require.Empty(cl.t, cl.workers.ruleViolations())
	require.Zero(cl.t, cl.store.oversizedCommits, "commits with more entries than the store accepts")
}

// leader returns the name of a node that leads a cell and its term, or nil if none does.
func (cl *cluster) leader() (string, *Leader) {
	for name, node := range cl.nodes {
		for _, m := range node.allMembers() {
			if leader := m.localLeader(); leader != nil {
				return name, leader
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

// submit submits a job through a node within a caller's timeout.
func submit(node *Scheduler, j batch.Job) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return node.Submit(ctx, j)
}

func state(t *testing.T, node *Scheduler, id string) batch.State {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	s, known, err := node.State(ctx, id)
	require.NoError(t, err)
	require.True(t, known, "job %s", id)
	return s
}
