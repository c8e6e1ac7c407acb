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
)

const (
	// loadEvery is how often a holder tells its cell's load and reads those of the
	// others: a fraction of the time that the shortest jobs run.
	loadEvery = 700 * time.Millisecond
	// loadTimeout bounds each of the two calls; a slow store answers within 300 ms.
	loadCallTimeout = 500 * time.Millisecond
	// loadFresh is how long a load counts after it has changed last: three tellings.
	loadFresh = 3 * loadEvery
)

// wireLoad is what a holder tells of its cell, in thousandths of a core.
type wireLoad struct {
	Capacity int64          `json:"capacity"`
	Room     int64          `json:"room"`
	Idle     int64          `json:"idle"`
	Widest   int64          `json:"widest"`
	Labels   map[string]int `json:"labels,omitempty"`
}

// seenLoad is a load of another cell, and when it was first seen.
type seenLoad struct {
	load     batch.Load
	revision int64
	at       time.Time
}

// shareLoads tells the other cells' holders what this one can take in, and
// learns the same of them.
func (h *Holder) shareLoads(ctx context.Context) error {
	seen := map[int]seenLoad{}
	for {
		h.tellLoad(ctx)
		h.readLoads(ctx, seen)
		h.readLearned(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(loadEvery):
		}
	}
}

func (h *Holder) tellLoad(ctx context.Context) {
	h.mu.Lock()
	l := h.core.Load(h.Now())
	h.mu.Unlock()
	value, err := json.Marshal(wireLoad{Capacity: l.Capacity, Room: l.Free, Idle: l.Idle, Widest: l.LargestFree, Labels: l.Labels})
	if err != nil {
		h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", h.keys.load), zap.Error(err))
		return
	}
	call, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	// A load that is not told is old soon, and nothing is handed here meanwhile.
	if _, err := h.Store.Commit(call, store.Txn{
		If:   []store.Condition{{Key: h.keys.holder, Revision: h.Token}},
		Then: []store.Op{store.Put(h.keys.load, value)},
	}); err != nil && ctx.Err() == nil {
		h.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "load"), zap.Error(err))
	}
}

// readLoads takes the loads that are fresh. How old one is shows by when it last
// changed, since the clocks of instances differ.
func (h *Holder) readLoads(ctx context.Context, seen map[int]seenLoad) {
	call, cancel := context.WithTimeout(ctx, loadCallTimeout)
	defer cancel()
	s, err := h.Store.List(call, loadPrefix)
	now := h.Now()
	if err != nil && ctx.Err() == nil {
		h.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "loads"), zap.Error(err))
	}
	for _, e := range s.Entries {
		i, err := strconv.Atoi(strings.TrimPrefix(e.Key, loadPrefix))
		if err != nil || i == h.Cell.Index || seen[i].revision == e.Revision {
			continue
		}
		var w wireLoad
		if err := json.Unmarshal(e.Value, &w); err != nil {
			h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", e.Key), zap.Error(err))
			continue
		}
		seen[i] = seenLoad{
			load:     batch.Load{Capacity: w.Capacity, Free: w.Room, Idle: w.Idle, LargestFree: w.Widest, Labels: w.Labels},
			revision: e.Revision, at: now,
		}
	}
	fresh := map[int]batch.Load{}
	for i, l := range seen {
		if now.Sub(l.at) < loadFresh {
			fresh[i] = l.load
		}
	}
	h.mu.Lock()
	h.core.SetPeers(fresh)
	h.mu.Unlock()
}

// readLearned takes what the other cells' holders have learned of interference:
// one cell sees each pair of images too seldom to learn it soon.
func (h *Holder) readLearned(ctx context.Context) {
	values := map[int][]byte{}
	for i := range h.Cell.Count {
		if i == h.Cell.Index {
			continue
		}
		call, cancel := context.WithTimeout(ctx, loadCallTimeout)
		e, found, err := h.Store.Read(call, keysOf(i).learned)
		cancel()
		if err != nil {
			// What they told before stays.
			return
		}
		if found {
			values[i] = e.Value
		}
	}
	h.mu.Lock()
	err := h.core.SetPeerEffects(values)
	h.mu.Unlock()
	if err != nil {
		h.Log.Emit(eventlog.RecordUnreadable, zap.String("key", loadPrefix), zap.Error(err))
	}
}

const (
	// forgetEvery and forgetBatch bound the store's reads for pointers to other
	// cells: 4 a second.
	forgetEvery = 5 * time.Second
	forgetBatch = 10
)

// forgetMoves removes pointers to jobs that their cells have forgotten.
func (h *Holder) forgetMoves(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(forgetEvery):
		}
		h.mu.Lock()
		old := h.core.OldForwards(forgetBatch, h.Now())
		h.mu.Unlock()
		for id, cell := range old {
			if h.isGone(ctx, id, cell) {
				h.mu.Lock()
				h.core.ForgetForward(id)
				h.mu.Unlock()
			}
		}
	}
}

// isGone reports whether a cell surely has a job neither in its inbox nor among
// its records, in that order: a job goes from the one to the other in one commit.
func (h *Holder) isGone(ctx context.Context, id string, cell int) bool {
	k := keysOf(cell)
	for _, key := range []string{k.inbox + id, k.jobs + id} {
		call, cancel := context.WithTimeout(ctx, loadCallTimeout)
		_, found, err := h.Store.Read(call, key)
		cancel()
		if err != nil || found {
			return false
		}
	}
	return true
}
