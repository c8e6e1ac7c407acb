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

// The keys of the counts in the store.
const (
	Prefix    = "/oriolepond/meter/"
	totalKey  = Prefix + "total"
	ownPrefix = Prefix + "instance/"
	// foldedPrefix is where stands what was folded of an instance, in case that it lives.
	foldedPrefix = "/oriolepond/meterFolded/"
)

const (
	// foldEvery is how many intervals pass between looks for instances that are gone.
	foldEvery = 10
	// foldedKept is how long it is kept what was folded of an instance.
	foldedKept = 24 * time.Hour
	// lastWriteTimeout bounds the write of a planned stop.
	lastWriteTimeout = 2 * time.Second
)

// Keeper keeps the counts of one instance in the store.
type Keeper struct {
	Meter *Meter
	Store *store.Client
	// ID is unique for each start of an instance.
	ID       string
	Interval time.Duration
	// Alive reports whether an instance may still write its counts; nil means that none is folded.
	Alive func(id string) bool
	Log   *eventlog.Log

	mu sync.Mutex
	// folded is what others have folded into the total although this instance lives.
	folded Counts
	// written is the value of the own key, and revision that of its last write.
	written  Counts
	revision int64
	// foldedRevision is the revision of the key that says what was folded last, as last read.
	foldedRevision int64
}

// Run writes the counts until the context ends, and once more then.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.Interval)
	defer ticker.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), lastWriteTimeout)
			defer cancel()
			k.report(k.Flush(last))
			return nil
		case <-ticker.C:
		}
		k.report(k.Flush(ctx))
		if n%foldEvery == 0 {
			k.report(k.Fold(ctx))
		}
	}
}

func (k *Keeper) report(err error) {
	if err != nil {
		k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
	}
}

// Flush writes the counts if they have changed.
func (k *Keeper) Flush(ctx context.Context) error {
	k.mu.Lock()
	defer k.mu.Unlock()
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
	return k.reread(ctx)
}

func (k *Keeper) key() string { return ownPrefix + k.ID }

// reread finds out what became of the own key: an earlier write whose answer
// was lost, or a fold by an instance that took this one for gone, perhaps of
// such a write.
func (k *Keeper) reread(ctx context.Context) error {
	own, exists, err := k.Store.Read(ctx, k.key())
	if err != nil {
		return err
	}
	last, found, err := k.Store.Read(ctx, foldedPrefix+k.ID)
	if err != nil {
		return err
	}
	written, folded := Counts(nil), Counts(nil)
	switch {
	case exists:
		written, err = Decode(own.Value)
	case found && last.Revision != k.foldedRevision:
		folded, err = Decode(last.Value)
	default:
		// What says so has lapsed.
		folded = k.written
	}
	if err != nil {
		return err
	}
	k.folded = k.folded.Plus(folded)
	k.written, k.revision, k.foldedRevision = written, own.Revision, last.Revision
	return nil
}

// Fold adds the counts of instances that are gone to the total.
func (k *Keeper) Fold(ctx context.Context) error {
	if k.Alive == nil {
		return nil
	}
	s, err := k.Store.List(ctx, ownPrefix)
	if err != nil {
		return err
	}
	for _, e := range s.Entries {
		id := strings.TrimPrefix(e.Key, ownPrefix)
		if id == k.ID || k.Alive(id) {
			continue
		}
		if err := k.foldOne(ctx, e); err != nil {
			return err
		}
	}
	return nil
}

// foldOne moves one key into the total, unless either has changed meanwhile.
func (k *Keeper) foldOne(ctx context.Context, e store.Entry) error {
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
	lease, err := k.Store.GrantLease(ctx, foldedKept)
	if err != nil {
		return err
	}
	folded := store.Put(foldedPrefix+strings.TrimPrefix(e.Key, ownPrefix), e.Value).WithLease(lease)
	_, err = k.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: e.Key, Revision: e.Revision}, {Key: totalKey, Revision: total.Revision}},
		Then: []store.Op{store.Put(totalKey, value), store.Delete(e.Key), folded},
	})
	return err
}

// Totals returns the counts of all instances as the store has them. What an
// instance has counted since its last write is missing.
func (k *Keeper) Totals(ctx context.Context) (Counts, error) {
	s, err := k.Store.List(ctx, Prefix)
	if err != nil {
		return nil, err
	}
	sum := Counts{}
	for _, e := range s.Entries {
		c, err := Decode(e.Value)
		if err != nil {
			return nil, err
		}
		sum = sum.Plus(c)
	}
	return sum, nil
}
