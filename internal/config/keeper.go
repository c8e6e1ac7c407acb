// Package config keeps the operators' configuration in the store, and each
// instance's copy of it up to date.
//
// The store holds one head key, which names the chunks of the newest
// configuration, the chunks themselves, and a record of each accepted note. A
// note moves the head, writes the chunks that changed, removes those that are
// no longer named, and writes its record, all in one commit. Instances watch
// the head only, and pass newer copies on to their peers. An instance never
// goes back to a lower revision.
//
// # Usage
//
//	k := &config.Keeper{ID: "entry-1", Store: client, Log: log}
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

// The bounds of the wait before a broken watch begins anew.
const (
	minWatchRetry = 200 * time.Millisecond
	maxWatchRetry = 2 * time.Second
)

// Keeper keeps one instance's configuration. Its fields are set before Run.
type Keeper struct {
	// ID is the instance's own.
	ID    string
	Store *store.Client
	Log   *eventlog.Log
	// OnChange is called after each change; nil means nobody asks.
	OnChange func(release.Config)
	// Peers returns the other instances as far as they are known; nil means none.
	Peers func() []Peer
	// Now tells the time at which notes are accepted; nil means time.Now.
	Now func() time.Time

	current atomic.Pointer[Snapshot]
	// empty is set once the store has said that there is no configuration yet.
	empty atomic.Bool
	// raise guards changes of current, so that Changed is called in order.
	raise sync.Mutex
	once  sync.Once
	heard chan string
	// known holds the revisions that peers were last known to have, by id.
	known sync.Map
}

// Current returns the configuration in force.
func (k *Keeper) Current() release.Config {
	return k.Snapshot().config
}

// Snapshot returns the configuration in force with its chunks.
func (k *Keeper) Snapshot() Snapshot {
	if c := k.current.Load(); c != nil {
		return *c
	}
	return Snapshot{}
}

// Loaded reports whether the configuration in force is known; there may be none yet.
func (k *Keeper) Loaded() bool {
	return k.current.Load() != nil || k.empty.Load()
}

// Run follows the head key and the peers until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { k.exchange(ctx) })
	group.Go(func() { k.followHead(ctx) })
	group.Wait()
	return nil
}

// followHead follows the head key until the context ends.
func (k *Keeper) followHead(ctx context.Context) {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minWatchRetry
	wait.MaxInterval = maxWatchRetry
	for ctx.Err() == nil {
		err := k.follow(ctx, wait.Reset)
		if err != nil && ctx.Err() == nil {
			k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// follow reads the head and watches it until the watch breaks; reached is
// called once the store has answered.
func (k *Keeper) follow(ctx context.Context, reached func()) error {
	s, err := k.Store.List(ctx, HeadKey)
	if err != nil {
		return err
	}
	reached()
	if len(s.Entries) == 0 {
		k.empty.Store(true)
	}
	for _, e := range s.Entries {
		if err := k.adopt(ctx, e.Value); err != nil {
			return err
		}
	}
	var failure error
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	err = k.Store.Watch(ctx, HeadKey, s.Revision+1, func(u store.Update) {
		if failure = k.adoptNewest(ctx, u); failure != nil {
			cancel()
		}
	})
	if failure != nil {
		return failure
	}
	return err
}

// adoptNewest adopts the last head of an update; earlier ones may have lost chunks already.
func (k *Keeper) adoptNewest(ctx context.Context, u store.Update) error {
	for i := len(u.Changes) - 1; i >= 0; i-- {
		if !u.Changes[i].Deleted {
			return k.adopt(ctx, u.Changes[i].Entry.Value)
		}
	}
	return nil
}

// adopt brings a head's configuration into force unless a newer one is.
func (k *Keeper) adopt(ctx context.Context, text []byte) error {
	h, err := decodeHead(text)
	if err != nil {
		k.Log.Emit(eventlog.ConfigRejected, zap.Error(err))
		return nil
	}
	have := k.Snapshot()
	if h.Revision < have.head.Revision {
		k.Log.Emit(eventlog.ConfigBehind, zap.Int64("head", h.Revision), zap.Int64("inForce", have.head.Revision))
	}
	if h.Revision <= have.head.Revision {
		return nil
	}
	values, err := k.load(ctx, h, have.values)
	if err != nil {
		return err
	}
	c, err := newCopy(h, values, have)
	if err != nil {
		k.Log.Emit(eventlog.ConfigRejected, zap.Error(err))
		return nil
	}
	k.Set(c)
	return nil
}

// load returns the chunks of a head, reading those that are not at hand.
func (k *Keeper) load(ctx context.Context, h Head, have map[string][]byte) (map[string][]byte, error) {
	values := make(map[string][]byte, len(h.Chunks))
	for _, hash := range h.Chunks {
		if hash == "" {
			continue
		}
		if value, ok := have[hash]; ok {
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

// Set brings a copy into force unless a newer one is, and reports whether it did.
func (k *Keeper) Set(c Snapshot) bool {
	k.raise.Lock()
	defer k.raise.Unlock()
	if old := k.current.Load(); old != nil && old.head.Revision >= c.head.Revision {
		return false
	}
	k.current.Store(&c)
	revisionGauge.Set(float64(c.head.Revision))
	appliedTotal.Inc()
	k.Log.Emit(eventlog.ConfigApplied, zap.Int64("revision", c.head.Revision))
	if k.OnChange != nil {
		k.OnChange(c.config)
	}
	time.AfterFunc(spreadDelay, func() { k.spread(c.head.Revision) })
	return true
}

func (k *Keeper) now() time.Time {
	if k.Now != nil {
		return k.Now()
	}
	return time.Now()
}
