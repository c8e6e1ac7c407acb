package meter

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// The store keys.
const (
	// Prefix is the prefix of all keys that hold counts.
	Prefix = "/oriolepond/meter/"
	// totalKey holds the sum of the counts that were folded.
	totalKey = Prefix + "total"
	// instancePrefix is the prefix of the keys with the counts of one instance.
	instancePrefix = Prefix + "instance/"
	// foldedPrefix is the prefix of the keys that record, for each folded instance, the
	// counts that the last fold added to the total. An instance that still runs subtracts
	// them from its counts.
	foldedPrefix = "/oriolepond/meterFolded/"
)

const (
	// foldEveryIntervals is the number of intervals between checks for terminated instances.
	foldEveryIntervals = 10
	// foldedRetention is how long the store keeps a key under foldedPrefix.
	foldedRetention = 24 * time.Hour
	// lastWriteTimeout bounds the write during a planned stop.
	lastWriteTimeout = 2 * time.Second
)

// Keeper writes the counts of one instance to the store, and folds those of
// terminated instances.
type Keeper struct {
	Meter *Meter
	Store *store.Client
	// ID identifies one start of an instance; a restart gets a new one.
	ID string
	// Interval is the time between writes.
	Interval time.Duration
	// Alive reports whether the instance with the given ID may still write its counts.
	// If Alive is nil, no instance is folded.
	Alive func(id string) bool
	Log   *eventlog.Log

	mu sync.Mutex
	// folded holds the counts of this instance that other instances have added to the
	// total, because they considered it terminated although it still runs.
	folded Counts
	// written and revision are the value and the revision of the instance's key, as last
	// written or read. A revision of zero means that the key does not exist.
	written  Counts
	revision int64
	// foldedRevision is the revision of the instance's key under foldedPrefix, as last read.
	foldedRevision int64
}

// Run writes the counts every Interval until the context ends, and then once more.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.Interval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWriteTimeout)
			defer cancel()
			k.logFailure(k.Flush(stopCtx))
			return nil
		case <-ticker.C:
		}
		k.logFailure(k.Flush(ctx))
		if n%foldEveryIntervals == 0 {
			k.logFailure(k.Fold(ctx))
		}
	}
}

func (k *Keeper) logFailure(err error) {
	if err != nil {
		k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
	}
}

// maxWriteAttempts bounds the writes of one call. The first may conflict with an earlier write whose
// response was lost, or with a fold by another instance.
const maxWriteAttempts = 3

// Flush writes the counts if they have changed since the last write. On a conflict
// with another write it reads the keys again and writes again.
func (k *Keeper) Flush(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	for range maxWriteAttempts {
		next := k.Meter.Counts().Minus(k.folded)
		if len(next.Minus(k.written)) == 0 {
			return nil
		}
		value, err := Encode(next)
		if err != nil {
			return err
		}
		result, err := k.Store.Commit(ctx, store.Txn{
			If: []store.Condition{
				{Key: k.key(), Revision: k.revision},
				{Key: foldedPrefix + k.ID, Revision: k.foldedRevision},
			},
			Then: []store.Op{store.Put(k.key(), value)},
		})
		if err != nil {
			return err
		}
		if result.Done {
			k.written, k.revision = next, result.Revision
			return nil
		}
		if err := k.syncRevisions(ctx); err != nil {
			return err
		}
	}
	return &store.ContendedError{Subject: "the counts of " + k.ID}
}

func (k *Keeper) key() string { return instancePrefix + k.ID }

// syncRevisions reads the instance's keys again after a conflict. They have changed
// without the keeper's knowledge if the response to an earlier write was lost, if
// another instance folded this one because it considered it terminated, or both.
func (k *Keeper) syncRevisions(ctx context.Context) error {
	stored, exists, err := k.Store.Read(ctx, k.key())
	if err != nil {
		return err
	}
	foldedEntry, foldedFound, err := k.Store.Read(ctx, foldedPrefix+k.ID)
	if err != nil {
		return err
	}
	written, folded := Counts(nil), Counts(nil)
	switch {
	case exists:
		written, err = Decode(stored.Value)
	case foldedFound && foldedEntry.Revision != k.foldedRevision:
		folded, err = Decode(foldedEntry.Value)
	default:
		// Another instance folded this instance's key, and the entry under foldedPrefix with the
		// folded counts has expired. They are the counts that were last written.
		folded = k.written
	}
	if err != nil {
		return err
	}
	k.folded = k.folded.Plus(folded)
	k.written, k.revision, k.foldedRevision = written, stored.Revision, foldedEntry.Revision
	return nil
}

// Fold adds the counts of terminated instances to the total and deletes their keys.
func (k *Keeper) Fold(ctx context.Context) error {
	if k.Alive == nil {
		return nil
	}
	snapshot, err := k.Store.List(ctx, instancePrefix)
	if err != nil {
		return err
	}
	for _, e := range snapshot.Entries {
		id := strings.TrimPrefix(e.Key, instancePrefix)
		if id == k.ID || k.Alive(id) {
			continue
		}
		if err := k.foldInstance(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// foldInstance moves the counts of an instance's key to the total. It does nothing
// if either key changed concurrently; a later call tries again.
func (k *Keeper) foldInstance(ctx context.Context, e store.Entry) error {
	counts, err := Decode(e.Value)
	if err != nil {
		return err
	}
	total, _, err := k.Store.Read(ctx, totalKey)
	if err != nil {
		return err
	}
	sum := Counts{}
	if total.Revision != 0 {
		if sum, err = Decode(total.Value); err != nil {
			return err
		}
	}
	value, err := Encode(sum.Plus(counts))
	if err != nil {
		return err
	}
	lease, err := k.Store.GrantLease(ctx, foldedRetention)
	if err != nil {
		return err
	}
	folded := store.Put(foldedPrefix+strings.TrimPrefix(e.Key, instancePrefix), e.Value).WithLease(lease)
	_, err = k.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: e.Key, Revision: e.Revision}, {Key: totalKey, Revision: total.Revision}},
		Then: []store.Op{store.Put(totalKey, value), store.Delete(e.Key), folded},
	})
	return err
}

// Totals returns the sum of the stored counts of all instances. Counts since the
// last write of each instance are not included.
func (k *Keeper) Totals(ctx context.Context) (Counts, error) {
	snapshot, err := k.Store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	sum := Counts{}
	for _, e := range snapshot.Entries {
		c, err := Decode(e.Value)
		if err != nil {
			return nil, err
		}
		sum = sum.Plus(c)
	}
	return sum, nil
}
