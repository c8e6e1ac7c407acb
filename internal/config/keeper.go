// Package config stores the operators' configuration and keeps each instance's snapshot of it up to
// date. Operators change the configuration by applying release notes (package release).
//
// The store holds the configuration as chunks, each under its hash, one head key that lists the
// hashes of the newest configuration, and a record of each accepted note. Applying a note updates
// the head, writes the changed chunks, deletes those that the head no longer lists, and adds the
// record, all in one commit.
//
// A Keeper applies notes and holds the Snapshot that is in force on its instance: a configuration
// with its chunks. It watches only the head in the store, and exchanges newer snapshots with the
// keepers of other instances (Keeper.Peers). An instance never returns to a lower revision.
//
// # Usage
//
//	k := &config.Keeper{ID: "entry-1", Store: client, Peers: peers, Log: log}
//	go k.Run(ctx)
//	report, err := k.Apply(ctx, note, 0)
package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// Bounds of the exponential backoff before a broken watch is restarted.
const (
	minWatchRetry = 200 * time.Millisecond
	maxWatchRetry = 2 * time.Second
)

// Keeper keeps one instance's configuration up to date. Exported fields are set before Run.
type Keeper struct {
	// ID identifies this instance to its peers.
	ID    string
	Store *store.Client
	Log   *eventlog.Log
	// OnChange is called with each configuration that comes into force; it may be nil.
	OnChange func(release.Config)
	// Peers returns the other instances that are currently known; nil means none.
	Peers func() []Peer
	// Now is the clock for the time at which a note is accepted; nil means time.Now.
	Now func() time.Time

	current atomic.Pointer[Snapshot]
	// storeEmpty is set once the store has reported that it holds no configuration.
	storeEmpty atomic.Bool
	// setMu serialises changes of current, so that OnChange is called in order of revisions.
	setMu          sync.Mutex
	newerPeersOnce sync.Once
	// newerPeers receives the ids of peers that announced a newer revision.
	newerPeers chan string
	// peerRevisions maps the id of a peer to the last revision that it reported.
	peerRevisions sync.Map
}

// Current returns the configuration in force.
func (k *Keeper) Current() release.Config {
	return k.Snapshot().config
}

// Snapshot returns the configuration in force with its chunks; it is empty if there is none.
func (k *Keeper) Snapshot() Snapshot {
	if s := k.current.Load(); s != nil {
		return *s
	}
	return Snapshot{}
}

// Loaded reports whether it is known which configuration is in force: one has been loaded, or the
// store has reported that it holds none.
func (k *Keeper) Loaded() bool {
	return k.current.Load() != nil || k.storeEmpty.Load()
}

// Run watches the head key and exchanges revisions with peers until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { k.exchangeWithPeers(ctx) })
	group.Go(func() { k.followHead(ctx) })
	group.Wait()
	return nil
}

// followHead reads and watches the head key until the context ends, and restarts a broken watch
// with backoff.
func (k *Keeper) followHead(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minWatchRetry
	wait.MaxInterval = maxWatchRetry
	for ctx.Err() == nil {
		err := k.readAndWatchHead(ctx, wait.Reset)
		if err != nil && ctx.Err() == nil {
			k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// readAndWatchHead reads the head and watches it until the watch breaks. It calls onConnected once
// the store has responded.
func (k *Keeper) readAndWatchHead(ctx context.Context, onConnected func()) error {
	s, err := k.Store.List(ctx, HeadKey)
	if err != nil {
		return err
	}
	onConnected()
	if len(s.Entries) == 0 {
		k.storeEmpty.Store(true)
	}
	for _, e := range s.Entries {
		if err := k.applyHead(ctx, e.Value); err != nil {
			return err
		}
	}
	var failure error
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = k.Store.Watch(ctx, HeadKey, s.Revision+1, func(u store.Update) {
		if failure = k.applyLatestHead(ctx, u); failure != nil {
			cancel()
		}
	})
	if failure != nil {
		return failure
	}
	return err
}

// applyLatestHead applies only the last head of an update; the chunks of earlier ones may have been
// deleted.
func (k *Keeper) applyLatestHead(ctx context.Context, u store.Update) error {
	for i := len(u.Changes) - 1; i >= 0; i-- {
		if !u.Changes[i].Deleted {
			return k.applyHead(ctx, u.Changes[i].Entry.Value)
		}
	}
	return nil
}

// applyHead loads the configuration of a head and puts it in force, unless a configuration of the
// same or a higher revision is already in force. A head or configuration that cannot be decoded is
// logged and skipped.
func (k *Keeper) applyHead(ctx context.Context, text []byte) error {
	h, err := decodeHead(text)
	if err != nil {
		k.Log.Emit(eventlog.ConfigRejected, zap.Error(err))
		return nil
	}
	current := k.Snapshot()
	if h.Revision < current.head.Revision {
		k.Log.Emit(eventlog.ConfigBehind, zap.Int64("head", h.Revision), zap.Int64("inForce", current.head.Revision))
	}
	if h.Revision <= current.head.Revision {
		return nil
	}
	values, err := k.loadChunks(ctx, h, current.values)
	if err != nil {
		return err
	}
	s, err := snapshotFromChunks(h, values, current)
	if err != nil {
		k.Log.Emit(eventlog.ConfigRejected, zap.Error(err))
		return nil
	}
	k.Set(s)
	return nil
}

// loadChunks returns the chunks of a head by hash. It reads from the store only those that are not
// in known.
func (k *Keeper) loadChunks(ctx context.Context, h Head, known map[string][]byte) (map[string][]byte, error) {
	values := make(map[string][]byte, len(h.Chunks))
	for _, hash := range h.Chunks {
		if hash == "" {
			continue
		}
		if value, ok := known[hash]; ok {
			values[hash] = value
			continue
		}
		e, ok, err := k.Store.Read(ctx, ChunkPrefix+hash)
		if err != nil {
			return nil, err
		}
		if !ok {
			return nil, &MissingChunkError{Revision: h.Revision, Hash: hash}
		}
		values[hash] = e.Value
	}
	return values, nil
}

var (
	revisionGauge = metrics.GetOrCreateGauge("oriolepond_config_revision", nil)
	appliedTotal  = metrics.GetOrCreateCounter("oriolepond_config_applied_total")
)

// Set puts a snapshot in force if its revision is higher than the current one, and reports
// whether it did. It also schedules the announcement of the revision to peers.
func (k *Keeper) Set(s Snapshot) bool {
	k.setMu.Lock()
	defer k.setMu.Unlock()
	if old := k.current.Load(); old != nil && old.head.Revision >= s.head.Revision {
		return false
	}
	k.current.Store(&s)
	revisionGauge.Set(float64(s.head.Revision))
	appliedTotal.Inc()
	k.Log.Emit(eventlog.ConfigApplied, zap.Int64("revision", s.head.Revision))
	if k.OnChange != nil {
		k.OnChange(s.config)
	}
	time.AfterFunc(announceDelay, func() { k.announceToPeers(s.head.Revision) })
	return true
}

func (k *Keeper) now() time.Time {
	if k.Now != nil {
		return k.Now()
	}
	return time.Now()
}
