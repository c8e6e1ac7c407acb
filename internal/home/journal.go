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
	// JournalPrefix is where keys without a time stand in the store.
	JournalPrefix = "/oriolepond/key/"
	// journalLease is how long a lease of journaled keys lasts. A new one is
	// taken after half of that, so that each key stands for Retention at least.
	journalLease = 2 * Retention
)

// Journal writes keys without a time to the store before they are run.
type Journal struct {
	Store *store.Client

	mu      sync.Mutex
	lease   store.LeaseID
	granted time.Time
}

// Begin writes a key, and reports whether it was new. After an error the key
// may have been written, and must not be run.
func (j *Journal) Begin(ctx context.Context, key Key) (bool, error) {
	lease, err := j.current(ctx)
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

// Undo removes a key whose request was not run.
func (j *Journal) Undo(ctx context.Context, key Key) error {
	_, err := j.Store.Commit(ctx, store.Txn{Then: []store.Op{store.Delete(journalPath(key))}})
	return err
}

// current returns a lease with at least half of its time left.
func (j *Journal) current(ctx context.Context) (store.LeaseID, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if j.lease != 0 && now.Sub(j.granted) < journalLease/2 {
		return j.lease, nil
	}
	id, err := j.Store.GrantLease(ctx, journalLease)
	if err != nil {
		return 0, err
	}
	j.lease, j.granted = id, now
	return id, nil
}

// journalPath returns the path of a key, which may hold any bytes. Keys that
// collide count as the same: the second is refused.
func journalPath(key Key) string {
	h := fnv.New128a()
	_, _ = h.Write([]byte(key.Name()))
	return JournalPrefix + hex.EncodeToString(h.Sum(nil))
}
