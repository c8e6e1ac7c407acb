package store

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// WriterPrefix is the prefix of the keys that hold the writers' sequence numbers.
const WriterPrefix = "/oriolepond/writer/"

// Writer makes commits whose outcome is known even if an answer is lost. Each
// commit also writes the writer's sequence number; after a lost answer, a read
// of that number shows whether the commit took effect.
type Writer struct {
	Client *Client
	// ID is unique for each start of each writer.
	ID string
	// Lease, if set, is the lease to which the sequence number's key is attached: the store deletes
	// the key when the lease ends.
	Lease LeaseID

	mu       sync.Mutex
	sequence int64
	// revision is the revision of the sequence number's key; commits are
	// conditional on it, so a late retry cannot overtake a newer commit.
	revision int64
}

func (w *Writer) key() string { return WriterPrefix + w.ID }

// Commit applies a transaction; concurrent commits of one writer run one after
// another. It retries until the outcome is known or the context ends.
func (w *Writer) Commit(ctx context.Context, t Txn) (Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	sequence := strconv.FormatInt(w.sequence, 10)
	t.Then = append(append([]Op(nil), t.Then...), Put(w.key(), []byte(sequence)).WithLease(w.Lease))
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = initialRetry
	wait.MaxInterval = maxRetry
	uncertain := false
	return backoff.Retry(ctx, func() (Result, error) {
		if uncertain {
			if r, done, err := w.tookEffect(ctx, sequence); done || err != nil {
				return r, err
			}
		}
		r, err := w.attempt(ctx, t, sequence)
		uncertain = err != nil
		return r, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
}

const (
	// initialRetry and maxRetry bound the backoff between the tries of one commit.
	initialRetry = 20 * time.Millisecond
	maxRetry     = time.Second
)

// attempt sends the commit once. If its conditions failed, it reads the sequence
// number to find out whether an earlier try took effect.
func (w *Writer) attempt(ctx context.Context, t Txn, sequence string) (Result, error) {
	own := Condition{Key: w.key(), Revision: w.revision}
	r, err := w.Client.Commit(ctx, Txn{If: append(append([]Condition(nil), t.If...), own), Then: t.Then})
	var unavailable *UnavailableError
	switch {
	case errors.As(err, &unavailable):
		return Result{}, err
	case err != nil:
		return Result{}, backoff.Permanent(err)
	case r.Done:
		w.revision = r.Revision
		return r, nil
	}
	// Either another writer changed one of the keys, or an earlier try of this
	// commit took effect and advanced the sequence number.
	if earlier, done, err := w.tookEffect(ctx, sequence); done || err != nil {
		return earlier, err
	}
	if w.revision != own.Revision {
		// An earlier commit, which its caller gave up, took effect: the conditions of this one may hold.
		return w.attempt(ctx, t, sequence)
	}
	return r, nil
}

// tookEffect reports whether the commit with this sequence number took effect.
func (w *Writer) tookEffect(ctx context.Context, sequence string) (Result, bool, error) {
	e, ok, err := w.Client.Read(ctx, w.key())
	if err != nil {
		return Result{}, false, err
	}
	w.revision = e.Revision
	if ok && string(e.Value) == sequence {
		return Result{Done: true, Revision: e.Revision}, true, nil
	}
	return Result{}, false, nil
}
