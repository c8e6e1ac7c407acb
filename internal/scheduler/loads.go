package scheduler

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const (
	// loadInterval is how often a leader publishes its cell's load and reads those of the
	// other cells: a fraction of the run time of the shortest jobs.
	loadInterval = 700 * time.Millisecond
	// loadCallTimeout bounds each store call for loads, interference effects and forwarding
	// records; a slow store answers within 300 ms.
	loadCallTimeout = 500 * time.Millisecond
	// loadValidity is how long a load is used after its last change: three intervals.
	loadValidity = 3 * loadInterval
)

// wireLoad is the published form of batch.Load, in thousandths of a core.
type wireLoad struct {
	Capacity       int64            `json:"capacity"`
	FreeCapacity   int64            `json:"room"`
	Idle           int64            `json:"idle"`
	LargestFree    int64            `json:"widest"`
	LargestByLabel map[string]int64 `json:"widestByLabel,omitempty"`
	FreeForLost    []wireFree       `json:"freeForLost,omitempty"`
	Labels         map[string]int   `json:"labels,omitempty"`
	// Services is missing in loads of earlier versions.
	Services map[string]wireLoad `json:"services,omitempty"`
}

// wireFree is the published form of batch.FreeWorker.
type wireFree struct {
	Processors   int64    `json:"p"`
	Memory       int64    `json:"m"`
	Accelerators int64    `json:"a,omitempty"`
	Labels       []string `json:"l,omitempty"`
}

func encodeLoad(l batch.Load) wireLoad {
	w := wireLoad{
		Capacity: l.Capacity, FreeCapacity: l.Free, Idle: l.Idle, LargestFree: l.LargestFree, LargestByLabel: l.LargestByLabel, Labels: l.Labels,
	}
	for _, f := range l.FreeForLost {
		w.FreeForLost = append(w.FreeForLost, wireFree{
			Processors: int64(f.Free.Processors), Memory: int64(f.Free.Memory), Accelerators: int64(f.Free.Accelerators), Labels: f.Labels,
		})
	}
	if l.Services != nil {
		w.Services = make(map[string]wireLoad, len(l.Services))
		for name, s := range l.Services {
			w.Services[name] = encodeLoad(s)
		}
	}
	return w
}

func decodeLoad(w wireLoad) batch.Load {
	l := batch.Load{
		Capacity: w.Capacity, Free: w.FreeCapacity, Idle: w.Idle, LargestFree: w.LargestFree, LargestByLabel: w.LargestByLabel, Labels: w.Labels,
	}
	for _, f := range w.FreeForLost {
		l.FreeForLost = append(l.FreeForLost, batch.FreeWorker{
			Free: share.Resources{
				Processors: share.MilliCores(f.Processors), Memory: share.Bytes(f.Memory), Accelerators: share.Accelerators(f.Accelerators),
			},
			Labels: f.Labels,
		})
	}
	if w.Services != nil {
		l.Services = make(map[string]batch.Load, len(w.Services))
		for name, s := range w.Services {
			l.Services[name] = decodeLoad(s)
		}
	}
	return l
}

// peerLoad is the last published load of another cell, and when this node first read it.
type peerLoad struct {
	load      batch.Load
	revision  int64
	changedAt time.Time
}

// exchangeLoads publishes the load of this cell, and reads the loads of the others and the
// interference effects that they have measured, until the term ends.
func (l *Leader) exchangeLoads(ctx context.Context) error {
	seen := map[int]peerLoad{}
	for {
		l.publishLoad(ctx)
		l.readLoads(ctx, seen)
		l.readLearned(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(loadInterval):
		}
	}
}

func (l *Leader) publishLoad(ctx context.Context) {
	l.mu.Lock()
	load := l.core.Load(l.Now())
	l.mu.Unlock()
	value, err := json.Marshal(encodeLoad(load))
	if err != nil {
		l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", l.keys.load), zap.Error(err))
		return
	}
	call, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	// If this write fails, the last load soon becomes invalid, and no job is handed over to
	// this cell until the next one is published.
	if _, err := l.Store.Commit(call, store.Txn{
		If:   []store.Condition{{Key: l.keys.leader, Revision: l.Token}},
		Then: []store.Op{store.Put(l.keys.load, value)},
	}); err != nil && ctx.Err() == nil {
		l.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "load"), zap.Error(err))
	}
}

// readLoads reads the loads of the other cells into seen and passes those that are still
// valid to the core. The age of a load counts from when this node saw it change, since the
// clocks of instances differ.
func (l *Leader) readLoads(ctx context.Context, seen map[int]peerLoad) {
	call, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	snapshot, err := l.Store.List(call, loadPrefix)
	now := l.Now()
	if err != nil && ctx.Err() == nil {
		l.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "loads"), zap.Error(err))
	}
	for _, e := range snapshot.Entries {
		i, err := strconv.Atoi(strings.TrimPrefix(e.Key, loadPrefix))
		if err != nil || i == l.Cell.Index || seen[i].revision == e.Revision {
			continue
		}
		var load wireLoad
		if err := json.Unmarshal(e.Value, &load); err != nil {
			l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.Error(err))
			continue
		}
		seen[i] = peerLoad{load: decodeLoad(load), revision: e.Revision, changedAt: now}
	}
	fresh := map[int]batch.Load{}
	for i, peer := range seen {
		if now.Sub(peer.changedAt) < loadValidity {
			fresh[i] = peer.load
		}
	}
	l.mu.Lock()
	l.core.SetPeers(fresh)
	l.mu.Unlock()
}

// readLearned passes the interference effects that other cells have measured to the core:
// a single cell runs each pair of images on one worker too rarely to learn their effect soon.
func (l *Leader) readLearned(ctx context.Context) {
	values := map[int][]byte{}
	for i := range l.Cell.Count {
		if i == l.Cell.Index {
			continue
		}
		call, cancel := context.WithTimeout(ctx, loadCallTimeout)
		e, found, err := l.Store.Read(call, keysOfCell(i).learned)
		cancel()
		if err != nil {
			// The core keeps the effects that it was given before.
			return
		}
		if found {
			values[i] = e.Value
		}
	}
	l.mu.Lock()
	err := l.core.SetPeerEffects(values)
	l.mu.Unlock()
	if err != nil {
		l.Log.Emit(eventlog.RecordUnreadable, zap.String("key", loadPrefix), zap.Error(err))
	}
}

const (
	// forwardingCheckInterval and forwardingCheckBatch bound the store's reads for forwarding
	// records: 4 a second.
	forwardingCheckInterval = 5 * time.Second
	forwardingCheckBatch    = 10
)

// removeForwardingRecords removes the forwarding records of jobs that their new cells have forgotten.
func (l *Leader) removeForwardingRecords(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(forwardingCheckInterval):
		}
		l.mu.Lock()
		candidates := l.core.OldForwards(forwardingCheckBatch, l.Now())
		l.mu.Unlock()
		for id, cell := range candidates {
			if l.isForgotten(ctx, id, cell) {
				l.mu.Lock()
				l.core.ForgetForward(id)
				l.mu.Unlock()
			}
		}
	}
}

// isForgotten reports whether a cell has a job neither in its inbox nor among its
// records. It reads them in this order, since one commit moves a job from inbox to records.
func (l *Leader) isForgotten(ctx context.Context, id string, cell int) bool {
	k := keysOfCell(cell)
	for _, key := range []string{k.inbox + id, k.jobs + id} {
		call, cancel := context.WithTimeout(ctx, loadCallTimeout)
		_, found, err := l.Store.Read(call, key)
		cancel()
		if err != nil || found {
			return false
		}
	}
	return true
}
