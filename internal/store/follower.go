package store

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Follower keeps its user up to date with all keys of a prefix: it lists them
// once and watches them from there. When history is lost it lists them again,
// so no change is missed. Its fields are set before Run.
type Follower struct {
	Client *Client
	Prefix string
	// Snapshot takes all keys, Update what has changed since.
	Snapshot func(Snapshot)
	Update   func(Update)
	// Spacing, if set, is the pause after each update, in which further changes
	// gather: a watch answers at the first one, so that busy keys cost a call each.
	Spacing time.Duration
	// Lost is told of each failure, Back of the first answer after one; nil means nobody asks.
	Lost func(error)
	Back func()
}

const (
	// firstFollowPause and longestFollowPause bound the wait after a failure: short
	// enough for a configuration to be in force seconds after an outage.
	firstFollowPause   = 50 * time.Millisecond
	longestFollowPause = 500 * time.Millisecond
)

// Run follows the prefix until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = firstFollowPause
	wait.MaxInterval = longestFollowPause
	failed := false
	answered := func() {
		wait.Reset()
		if failed && f.Back != nil {
			f.Back()
		}
		failed = false
	}
	var next int64
	for ctx.Err() == nil {
		var err error
		if next == 0 {
			var s Snapshot
			if s, err = f.Client.List(ctx, f.Prefix); err == nil {
				answered()
				f.Snapshot(s)
				next = s.Revision + 1
			}
		} else {
			err = f.Client.Watch(ctx, f.Prefix, next, func(u Update) {
				answered()
				next = max(next, u.Revision+1)
				if len(u.Changes) == 0 {
					return
				}
				f.Update(u)
				sleep(ctx, f.Spacing)
			})
		}
		var compacted *CompactedError
		if errors.As(err, &compacted) {
			next = 0
			continue
		}
		if err != nil && ctx.Err() == nil {
			if f.Lost != nil {
				f.Lost(err)
			}
			failed = true
			sleep(ctx, wait.NextBackOff())
		}
	}
	return nil
}

// sleep waits for a time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
