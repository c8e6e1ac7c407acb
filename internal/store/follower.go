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
	// Gather, if set, is the pause after an update of a large value, after which the
	// keys are listed until they stand still: a watch carries every version, over
	// a link that may be slow, and a list the last one only.
	Gather time.Duration
	// Spacing, if set, is the pause after each update, in which further changes
	// gather: a watch answers at the first one, so that busy keys cost a call each.
	Spacing time.Duration
	// Lost is told of each failure, Back of the first answer after one, Heard of each
	// answer; nil means nobody asks.
	Lost  func(error)
	Back  func()
	Heard func()
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
		if f.Heard != nil {
			f.Heard()
		}
	}
	var next int64
	// newest is the last change that was seen; settling means that more may have followed.
	var newest int64
	settling := false
	for ctx.Err() == nil {
		var err error
		if next == 0 {
			var s Snapshot
			if s, err = f.Client.List(ctx, f.Prefix); err == nil {
				answered()
				f.Snapshot(s)
				last := newestOf(s.Entries)
				settling = settling && last > newest
				newest, next = last, s.Revision+1
			}
		} else {
			watch, stop := context.WithCancel(ctx)
			err = f.Client.Watch(watch, f.Prefix, next, func(u Update) {
				answered()
				next = max(next, u.Revision+1)
				if len(u.Changes) == 0 {
					return
				}
				f.Update(u)
				for _, c := range u.Changes {
					newest = max(newest, c.Entry.Revision)
					settling = settling || f.Gather > 0 && len(c.Entry.Value) >= largeValue
				}
				if settling {
					stop()
					return
				}
				sleep(watch, f.Spacing)
			})
			stop()
		}
		if settling && ctx.Err() == nil {
			if err != nil && next == 0 && f.Lost != nil {
				f.Lost(err)
				failed = true
			}
			next = 0
			sleep(ctx, f.Gather)
			continue
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

// largeValue is the size from which versions of a value are gathered.
const largeValue = 64 << 10

// newestOf returns the latest revision among entries.
func newestOf(entries []Entry) int64 {
	var newest int64
	for _, e := range entries {
		newest = max(newest, e.Revision)
	}
	return newest
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
