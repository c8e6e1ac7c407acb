package oriolepond

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/peer"
)

// undoTimeout bounds the call that frees a key at its home.
const undoTimeout = 200 * time.Millisecond

// keys remembers the keys of non-idempotent requests at their homes.
func (i *Instance) keys() *entry.Keys {
	return &entry.Keys{
		Begin: func(ctx context.Context, k entry.Key) error {
			if at := i.homeOf(k); at != i.members.View().Self {
				return i.beginAt(ctx, at, k)
			}
			return i.beginHere(ctx, k)
		},
		Finish: func(k entry.Key, o entry.Outcome) {
			if o == entry.NotRun {
				i.undo(k)
			}
		},
	}
}

func homeKey(k entry.Key) home.Key {
	return home.Key{Scope: k.Neighbour + "\x00" + k.Service, Value: k.Value}
}

// homeOf returns the member that is the home of a key.
func (i *Instance) homeOf(k entry.Key) string { return i.members.Home(homeKey(k), k.Region) }

// homeRequests returns the calls of the member that is the home.
func (i *Instance) homeRequests(member string) (*peer.Requests, error) {
	p, known := i.members.View().Member(member)
	if !known {
		return nil, fmt.Errorf("the key's home %q is not known", member)
	}
	conn, err := i.pool.Conn(p.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peer.NewRequests(conn), nil
}

func (i *Instance) beginAt(ctx context.Context, member string, k entry.Key) error {
	requests, err := i.homeRequests(member)
	if err != nil {
		return err
	}
	return requests.Begin(ctx, k)
}

// beginHere begins a key whose home is this instance. It never passes it on.
func (i *Instance) beginHere(ctx context.Context, k entry.Key) error {
	key := homeKey(k)
	v := i.members.Begin(key)
	for v.Kind == home.AskPrevious && ctx.Err() == nil {
		v = i.askFormer(ctx, k, v.Inquiry)
	}
	switch v.Kind {
	case home.Run:
		return nil
	case home.JournalFirst:
		return i.journal(ctx, k)
	case home.Unknown:
		return &entry.KeyTakenError{Key: k}
	default:
		return fmt.Errorf("the key's home does not begin it now: %s", v.Kind)
	}
}

// askTimeout bounds the question to a former home.
const askTimeout = 300 * time.Millisecond

// askFormer asks the former homes of a key and begins it if they exclude that they did.
func (i *Instance) askFormer(ctx context.Context, k entry.Key, q home.Inquiry) home.Verdict {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	key := homeKey(k)
	statements := map[string]home.Statement{}
	for _, former := range q.Previous {
		requests, err := i.homeRequests(former)
		if err != nil {
			break
		}
		s, err := requests.State(ctx, k)
		if err != nil {
			break
		}
		statements[former] = s
	}
	if !q.Cleared(key, statements) {
		return home.Verdict{Kind: home.Unknown}
	}
	return i.members.BeginCleared(key, q)
}

// journal writes a key without a time to the store.
func (i *Instance) journal(ctx context.Context, k entry.Key) error {
	fresh, err := i.keyJournal.Begin(ctx, homeKey(k))
	switch {
	case err != nil:
		return fmt.Errorf("journal the key: %w", err)
	case !fresh:
		return &entry.KeyTakenError{Key: k}
	}
	return nil
}

// undo frees a key whose request was not run, at its home.
func (i *Instance) undo(k entry.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), undoTimeout)
	defer cancel()
	at := i.homeOf(k)
	if at == i.members.View().Self {
		_ = i.finishHere(ctx, k, entry.NotRun)
		return
	}
	if requests, err := i.homeRequests(at); err == nil {
		_ = requests.Finish(ctx, k, entry.NotRun)
	}
}

// finishHere ends a key whose home is this instance.
func (i *Instance) finishHere(ctx context.Context, k entry.Key, o entry.Outcome) error {
	if o != entry.NotRun {
		return nil
	}
	key := homeKey(k)
	if _, timed := home.TimeOf(k.Value); !timed {
		if err := i.keyJournal.Undo(ctx, key); err != nil {
			return err
		}
	}
	i.members.Undo(key)
	return nil
}
