package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Follower keeps a caller up to date with all keys under a prefix: it lists them
// once and watches them from that revision on. If the store has compacted the
// history, or the changes are too large for one response, it lists them again, so no
// change is missed. Its fields are set before Run.
type Follower struct {
	Client *Client
	Prefix string
	// Snapshot receives all keys after each listing, Update the changes since then.
	Snapshot func(Snapshot)
	Update   func(Update)
	// Spacing, if set, is the pause after each update, so that later changes arrive together:
	// a watch answers at the first change, so frequently changed keys would cost a call per change.
	Spacing time.Duration
	// OnFailure is called for each failed call, OnRecovery for the first success
	// after a failure; both may be nil.
	OnFailure  func(error)
	OnRecovery func()
}

const (
	// minFollowRetry and maxFollowRetry bound the backoff after a failure: short
	// enough for a configuration to be in force within seconds of an outage's end.
	minFollowRetry = 50 * time.Millisecond
	maxFollowRetry = 500 * time.Millisecond
)

// Run follows the prefix until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = minFollowRetry
	wait.MaxInterval = maxFollowRetry
	failed := false
	answered := func() {
		wait.Reset()
		if failed && f.OnRecovery != nil {
			f.OnRecovery()
		}
		failed = false
	}
	var nextRevision int64
	for ctx.Err() == nil {
		var err error
		if nextRevision == 0 {
			var s Snapshot
			if s, err = f.Client.List(ctx, f.Prefix); err == nil {
				answered()
				f.Snapshot(s)
				nextRevision = s.Revision + 1
			}
		} else {
			err = f.Client.Watch(ctx, f.Prefix, nextRevision, func(u Update) {
				answered()
				nextRevision = max(nextRevision, u.Revision+1)
				if len(u.Changes) == 0 {
					return
				}
				f.Update(u)
				sleep(ctx, f.Spacing)
			})
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			nextRevision = 0
			continue
		}
		var tooLarge *ResponseTooLargeError
		if errors.As(err, &tooLarge) {
			// The same changes would exceed the limit again; a listing comes in pages.
			nextRevision = 0
		}
		if err != nil && ctx.Err() == nil {
			if f.OnFailure != nil {
				f.OnFailure(err)
			}
			failed = true
			sleep(ctx, wait.NextBackOff())
		}
	}
	return nil
}

// sleep waits for a duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
