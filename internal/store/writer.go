package store

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// WriterPrefix is where the sequence numbers of writers stand.
const WriterPrefix = "/oriolepond/writer/"

// Writer makes commits whose outcome is known even when an answer is lost:
// each commit also writes the writer's sequence number, and after a lost
// answer a read of that number tells whether the commit took effect.
type Writer struct {
	Client *Client
	// ID is unique for each start of each writer.
	ID string
	// Lease, if set, removes the sequence number when the writer is gone.
	Lease LeaseID

	mu       sync.Mutex
	sequence int64
	// revision is that of the sequence number's key, for the order of commits.
	revision int64
}

func (w *Writer) key() string { return WriterPrefix + w.ID }

// Commit makes the writes of a transaction, one commit of the writer at a
// time. It repeats the call until the outcome is known or the context ends.
func (w *Writer) Commit(ctx context.Context, t Txn) (Result, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sequence++
	stamp := strconv.FormatInt(w.sequence, 10)
	t.If = append(append([]Condition(nil), t.If...), Condition{Key: w.key(), Revision: w.revision})
	t.Then = append(append([]Op(nil), t.Then...), Put(w.key(), []byte(stamp)).WithLease(w.Lease))
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = initialRetry
	wait.MaxInterval = maxRetry
	uncertain := false
	return backoff.Retry(ctx, func() (Result, error) {
		if uncertain {
			if r, done, err := w.tookEffect(ctx, stamp); done || err != nil {
				return r, err
			}
		}
		r, err := w.attempt(ctx, t, stamp)
		uncertain = err != nil
		return r, err
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
}

const (
	// initialRetry and maxRetry bound the wait between calls of one commit.
	initialRetry = 20 * time.Millisecond
	maxRetry     = time.Second
)

// attempt makes one call, and reads the sequence number if the call is not conclusive.
func (w *Writer) attempt(ctx context.Context, t Txn, stamp string) (Result, error) {
	r, err := w.Client.Commit(ctx, t)
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
	// Either another writer came first, or an earlier try of this commit took
	// effect and moved the sequence number.
	if earlier, done, err := w.tookEffect(ctx, stamp); done || err != nil {
		return earlier, err
	}
	return r, nil
}

// tookEffect reports whether the commit with this sequence number has taken effect.
func (w *Writer) tookEffect(ctx context.Context, stamp string) (Result, bool, error) {
	e, ok, err := w.Client.Read(ctx, w.key())
	if err != nil {
		return Result{}, false, err
	}
	w.revision = e.Revision
	if ok && string(e.Value) == stamp {
		return Result{Done: true, Revision: e.Revision}, true, nil
	}
	return Result{}, false, nil
}
