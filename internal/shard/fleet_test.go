package shard

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// fleet runs instances with their keepers and routers, workers and the store in one process. The
// store is called over HTTP, and the messages of workers pass through their codec.
type fleet struct {
	store      *standin.Store
	ledger     *standin.TaskLedger
	routers    []*Router
	keepers    []*Keeper
	memberList atomic.Pointer[[]Member]
	// bytes counts the bytes of the bodies to and from workers.
	bytes atomic.Int64
	list  atomic.Pointer[roster.List]
	// removedWorkers are the names of workers that were removed.
	removedWorkers sync.Map
	workers        map[string]*standin.Worker
	exchanges      atomic.Int64
	cancels        []context.CancelFunc
	// stopped are the instances that callers can't reach any more.
	stopped map[int]bool
}

// stop stops an instance cleanly, so that it releases its shards.
func (f *fleet) stop(n int) {
	f.stopped[n] = true
	f.cancels[n]()
}

// newFleet starts a fleet whose workers and instances are divided evenly between the regions r0 and
// r1. Each region has one neighbour with one job family, both named n0 or n1.
func newFleet(b testing.TB, workerCount, instances int, ttl, runTime time.Duration, options ...func(*Keeper)) *fleet {
	f := &fleet{store: standin.NewStore(), ledger: standin.NewTaskLedger(), stopped: map[int]bool{}}
	server := httptest.NewServer(f.store)
	b.Cleanup(server.Close)
	client := store.NewEtcd([]string{server.URL}, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}})
	list := roster.List{ReadAt: time.Now()}
	workers := map[string]*standin.Worker{}
	f.workers = workers
	size := share.Resources{Processors: 32_000, Memory: 125e9}
	for i := range workerCount {
		id := fmt.Sprintf("w%d", i)
		workers[id] = &standin.Worker{ID: id, Capacity: size, Ledger: f.ledger, Work: func(string) standin.Work {
			return standin.Work{RunTime: runTime, Size: share.Resources{Processors: 900, Memory: 1e9}}
		}}
		list.Instances = append(list.Instances, roster.Instance{
			ID: id, Kind: roster.KindWorker, State: roster.Live, Address: id, Capacity: size,
			Region: fmt.Sprintf("r%d", i%2), Rack: fmt.Sprintf("rack-%d", i/8),
		})
	}
	f.list.Store(&list)
	config := release.Config{Revision: 1}
	members := []Member{}
	for r := range 2 {
		n := fmt.Sprintf("n%d", r)
		config.Neighbours = append(config.Neighbours, share.Neighbour{Name: n, Region: fmt.Sprintf("r%d", r)})
		config.Shares = append(config.Shares, share.Share{Name: n, Neighbour: n, Weight: 1, Quota: size.Times(workerCount)})
		config.Jobs = append(config.Jobs, release.Job{
			Name: n, Neighbour: n, Share: n, Size: share.Resources{Processors: 1000, Memory: 1e9}, MaxStarts: 3, Checkpoints: true,
		})
	}
	for i := range instances {
		members = append(members, Member{ID: fmt.Sprintf("e%d", i), Region: fmt.Sprintf("r%d", i%2)})
	}
	calls := map[string]*Calls{}
	f.setMembers(members)
	for _, m := range members {
		k := &Keeper{
			ID: m.ID, Store: client, Workers: f.client(workers), TTL: ttl, Interval: ttl / 10,
			Members: f.members, Config: func() release.Config { return config },
			List: func() roster.List { return *f.list.Load() }, Log: eventlog.Discard(),
			Peer: func(id string) (*Calls, error) { return calls[id], nil },
		}
		for _, option := range options {
			option(k)
		}
		calls[m.ID] = k.Calls()
		f.keepers = append(f.keepers, k)
		f.routers = append(f.routers, &Router{
			Store: client, Writer: &store.Writer{Client: client, ID: m.ID + "/jobs"}, Local: k.Calls(),
			Peer:     func(id string) (*Calls, error) { return calls[id], nil },
			LeaderOf: k.LeaderOf, Shards: k.Shards, Config: k.Config, List: k.List,
		})
	}
	for _, k := range f.keepers {
		ctx, stop := context.WithCancel(context.Background())
		f.cancels = append(f.cancels, stop)
		b.Cleanup(stop)
		go func() { _ = k.Run(ctx) }()
	}
	return f
}

// removeRacks removes all racks of a shard. They don't come back.
func (f *fleet) removeRacks(shard string) {
	var l roster.List
	for _, w := range f.list.Load().Instances {
		if Of(w) != shard {
			l.Instances = append(l.Instances, w)
			continue
		}
		f.removedWorkers.Store(w.ID, true)
		f.workers[w.ID].Crash()
	}
	l.ReadAt = f.list.Load().ReadAt.Add(time.Second)
	f.list.Store(&l)
}

// largestShard returns the shard of a region that has the most workers.
func (f *fleet) largestShard(region string) string {
	shards := Divide(f.keepers[0].List())
	best := ""
	for _, id := range slices.Sorted(maps.Keys(shards)) {
		if RegionOf(id) == region && len(shards[id]) > len(shards[best]) {
			best = id
		}
	}
	return best
}

func (f *fleet) setMembers(m []Member) { f.memberList.Store(&m) }

func (f *fleet) members() []Member { return *f.memberList.Load() }

// client returns a client that encodes and decodes all messages to and from the workers, and counts
// the bytes.
func (f *fleet) client(workers map[string]*standin.Worker) *worker.Client {
	return &worker.Client{Exchange: func(_ context.Context, id string, e worker.Exchange) (worker.Report, error) {
		if _, removed := f.removedWorkers.Load(id); removed {
			return worker.Report{}, errors.New("the worker was removed")
		}
		out, err := worker.EncodeExchange(e)
		if err != nil {
			return worker.Report{}, err
		}
		sent, err := worker.DecodeExchange(out)
		if err != nil {
			return worker.Report{}, err
		}
		r, ok := workers[id].Exchange(sent)
		back, err := worker.EncodeReport(r)
		if err != nil {
			return worker.Report{}, err
		}
		f.exchanges.Add(1)
		f.bytes.Add(int64(len(out) + len(back)))
		if !ok {
			return worker.Report{}, &worker.EpochError{Worker: id, Seen: r.Epoch, Sent: e.Epoch}
		}
		return worker.DecodeReport(back)
	}}
}

// submit submits a job through a running instance, and retries through others until it is accepted.
func (f *fleet) submit(b testing.TB, n, tasks int) { f.submitWithin(b, n, tasks, waitLimit) }

// submitWithin is like submit, and fails if the job is not accepted within a time.
func (f *fleet) submitWithin(b testing.TB, n, tasks int, limit time.Duration) {
	deadline := time.Now().Add(limit)
	neighbour := fmt.Sprintf("n%d", n%2)
	s := task.Submission{Neighbour: neighbour, Job: neighbour, Tasks: tasks, Key: fmt.Sprintf("key-%d", n)}
	for try := n; ; try++ {
		if f.stopped[try%len(f.routers)] {
			continue
		}
		_, err := f.routers[try%len(f.routers)].Submit(context.Background(), s)
		if err == nil {
			return
		}
		var refused *task.RefusedError
		if errors.As(err, &refused) {
			b.Error(err)
			return
		}
		if time.Now().After(deadline) {
			b.Errorf("job %d was not accepted within %v: %v", n, limit, err)
			return
		}
	}
}

// waitUntil waits until a condition holds.
func (f *fleet) waitUntil(condition func() bool) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for !condition() {
		<-ticker.C
	}
}
