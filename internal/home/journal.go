package home

import (
	"context"
	"encoding/hex"
	"hash/fnv"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/store"
)

const (
	// JournalPrefix is the store prefix under which journaled keys are written.
	JournalPrefix = "/oriolepond/key/"
	// journalLeaseTTL is the lifetime of a store lease to which journaled keys are attached. A new
	// lease is granted after half of it, so that each key is kept for at least Retention.
	journalLeaseTTL = 2 * Retention
)

// Journal writes keys without a timestamp to the store before their requests run, so that any home
// recognises a repeated key.
type Journal struct {
	Store *store.Client

	mu        sync.Mutex
	lease     store.LeaseID
	grantedAt time.Time
}

// Begin writes a key and reports whether it was new. After an error the key may have been written,
// so its request must not run.
func (j *Journal) Begin(ctx context.Context, key Key) (bool, error) {
	lease, err := j.currentLease(ctx)
	if err != nil {
		return false, err
	}
	path := journalPath(key)
	result, err := j.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: path}},
		Then: []store.Op{store.Put(path, []byte(key.Name())).WithLease(lease)},
	})
	return result.Done, err
}

// Undo removes a key whose request did not run.
func (j *Journal) Undo(ctx context.Context, key Key) error {
	_, err := j.Store.Commit(ctx, store.Txn{Then: []store.Op{store.Delete(journalPath(key))}})
	return err
}

// currentLease returns a lease with at least half of its lifetime left.
func (j *Journal) currentLease(ctx context.Context) (store.LeaseID, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if j.lease != 0 && now.Sub(j.grantedAt) < journalLeaseTTL/2 {
		return j.lease, nil
	}
	id, err := j.Store.GrantLease(ctx, journalLeaseTTL)
	if err != nil {
		return 0, err
	}
	j.lease, j.grantedAt = id, now
	return id, nil
}

// journalPath returns the store key for a request key, which may contain any bytes. It is a hash:
// of two request keys that collide, the second is refused as a repeat.
func journalPath(key Key) string {
	h := fnv.New128a()
	_, _ = h.Write([]byte(key.Name()))
	return JournalPrefix + hex.EncodeToString(h.Sum(nil))
}
