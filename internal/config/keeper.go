// Package config keeps the operators' configuration in the store, and each
// instance's copy of it up to date.
//
// The store holds immutable chunks and one head key that names the newest.
// An instance never goes back to a lower revision.
//
// # Usage
//
//	k := &config.Keeper{Store: client, Log: log}
//	go k.Run(ctx)
//	report, err := k.Apply(ctx, note)
package config

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// The keys of the configuration in the store.
const (
	HeadKey     = "/oriolepond/config/head"
	ChunkPrefix = "/oriolepond/config/chunk/"
)

// chunkBytes is the size of a chunk, below the store's limit of a value.
const chunkBytes = 512 << 10

// watchRetry is how long a broken watch waits before it begins anew.
const watchRetry = 200 * time.Millisecond

// ConflictError says that another operator's note was applied first.
type ConflictError struct {
	Note string
}

// Error returns the note.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("release note %q: another note was applied at the same time", e.Note)
}

// Keeper keeps one instance's configuration.
type Keeper struct {
	Store  *store.Client
	Writer *store.Writer
	Log    *eventlog.Log
	// Changed is called after each change; nil means nobody asks.
	Changed func(release.Config)

	current atomic.Pointer[release.Config]
}

// Current returns the configuration in force.
func (k *Keeper) Current() release.Config {
	if c := k.current.Load(); c != nil {
		return *c
	}
	return release.Config{}
}

// Run follows the head key until the context ends.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.follow(ctx); err != nil && ctx.Err() == nil {
			k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetry):
		}
	}
	return nil
}

// follow reads the head and watches it until the watch breaks.
func (k *Keeper) follow(ctx context.Context) error {
	s, err := k.Store.List(ctx, HeadKey)
	if err != nil {
		return err
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
		for _, c := range u.Changes {
			if failure = k.adopt(ctx, c.Entry.Value); failure != nil {
				cancel()
			}
		}
	})
	if failure != nil {
		return failure
	}
	return err
}

// adopt brings a head's configuration into force unless a newer one is.
func (k *Keeper) adopt(ctx context.Context, text []byte) error {
	h, err := decodeHead(text)
	if err != nil {
		k.Log.Emit(eventlog.ConfigRejected, zap.Error(err))
		return nil
	}
	if h.Revision <= k.Current().Revision {
		return nil
	}
	c, err := k.load(ctx, h)
	if err != nil {
		return err
	}
	k.Set(c)
	return nil
}

// Set brings a configuration into force unless a newer one is.
func (k *Keeper) Set(c release.Config) {
	for {
		old := k.current.Load()
		if old != nil && old.Revision >= c.Revision {
			return
		}
		if k.current.CompareAndSwap(old, &c) {
			break
		}
	}
	k.Log.Emit(eventlog.ConfigApplied, zap.Int64("revision", c.Revision))
	if k.Changed != nil {
		k.Changed(c)
	}
}

// load reads the chunks of a head.
func (k *Keeper) load(ctx context.Context, h head) (release.Config, error) {
	var text []byte
	for _, hash := range h.Chunks {
		e, ok, err := k.Store.Read(ctx, ChunkPrefix+hash)
		if err != nil {
			return release.Config{}, err
		}
		if !ok {
			return release.Config{}, fmt.Errorf("configuration %d: chunk %s is missing", h.Revision, hash)
		}
		text = append(text, e.Value...)
	}
	return release.ParseConfig(fmt.Sprintf("configuration %d", h.Revision), text)
}

// Apply applies a note to the newest configuration in the store. The error is
// a *ConflictError if another note came first.
func (k *Keeper) Apply(ctx context.Context, n release.Note) (release.Report, error) {
	e, ok, err := k.Store.Read(ctx, HeadKey)
	if err != nil {
		return release.Report{}, err
	}
	var base release.Config
	if ok {
		h, err := decodeHead(e.Value)
		if err != nil {
			return release.Report{}, err
		}
		if base, err = k.load(ctx, h); err != nil {
			return release.Report{}, err
		}
	}
	next, report := release.Apply(base, n)
	if report.Refused() {
		return report, nil
	}
	if err := k.write(ctx, next, e.Revision, n.Name); err != nil {
		return release.Report{}, err
	}
	k.Set(next)
	return report, nil
}

// write stores the chunks and moves the head.
func (k *Keeper) write(ctx context.Context, c release.Config, revision int64, note string) error {
	text, err := release.EncodeConfig(c)
	if err != nil {
		return err
	}
	h := head{Revision: c.Revision}
	for len(text) > 0 {
		n := min(len(text), chunkBytes)
		sum := sha256.Sum256(text[:n])
		hash := hex.EncodeToString(sum[:])
		h.Chunks = append(h.Chunks, hash)
		chunk := store.Txn{Then: []store.Op{store.Put(ChunkPrefix+hash, text[:n])}}
		if _, err := k.Store.Commit(ctx, chunk); err != nil {
			return err
		}
		text = text[n:]
	}
	value, err := encodeHead(h)
	if err != nil {
		return err
	}
	result, err := k.Writer.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: HeadKey, Revision: revision}},
		Then: []store.Op{store.Put(HeadKey, value)},
	})
	if err != nil {
		return err
	}
	if !result.Done {
		return &ConflictError{Note: note}
	}
	return nil
}

// head names the newest configuration.
type head struct {
	Revision int64
	Chunks   []string
}

type wireHead struct {
	Revision int64    `json:"revision"`
	Chunks   []string `json:"chunks"`
}

func encodeHead(h head) ([]byte, error) { return json.Marshal(wireHead(h)) }

func decodeHead(text []byte) (head, error) {
	var w wireHead
	if err := json.Unmarshal(text, &w); err != nil {
		return head{}, fmt.Errorf("decode configuration head: %w", err)
	}
	return head(w), nil
}
