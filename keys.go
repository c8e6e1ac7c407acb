package oriolepond

import (
	"context"
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/peer"
)

// releaseKeyTimeout bounds the call that releases a key at its home.
const releaseKeyTimeout = 200 * time.Millisecond

// newKeys returns the registry of the keys of non-idempotent requests. Each key is
// registered at its home, the instance that its hash selects.
func (i *Instance) newKeys() *entry.Keys {
	return &entry.Keys{
		Begin: func(ctx context.Context, k entry.Key) error {
			if member := i.homeOf(k); member != i.members.View().Self {
				return i.beginRemote(ctx, member, k)
			}
			return i.beginLocal(ctx, k)
		},
		Finish: func(k entry.Key, o entry.Outcome) {
			if o == entry.NotRun {
				i.releaseKey(k)
			}
		},
	}
}

// homeKey returns the key in the form that package home uses.
func homeKey(k entry.Key) home.Key {
	return home.Key{Scope: k.Neighbour + "\x00" + k.Service, Value: k.Value}
}

// homeOf returns the member name of the instance that is the home of a key.
func (i *Instance) homeOf(k entry.Key) string { return i.members.Home(homeKey(k), k.Region) }

// homeClient returns a client for the given member's request API.
func (i *Instance) homeClient(member string) (*peer.Requests, error) {
	p, known := i.members.View().Member(member)
	if !known {
		return nil, fmt.Errorf("the key's home %q is not known", member)
	}
	conn, err := i.peerConns.Conn(p.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peer.NewRequests(conn), nil
}

// beginRemote registers a key at another instance.
func (i *Instance) beginRemote(ctx context.Context, member string, k entry.Key) error {
	requests, err := i.homeClient(member)
	if err != nil {
		return err
	}
	return requests.Begin(ctx, k)
}

// beginLocal registers a key whose home is this instance. It never forwards the key.
func (i *Instance) beginLocal(ctx context.Context, k entry.Key) error {
	key := homeKey(k)
	v := i.members.Begin(key)
	for v.Kind == home.AskPrevious && ctx.Err() == nil {
		v = i.askPreviousHomes(ctx, k, v.Inquiry)
	}
	switch v.Kind {
	case home.Run:
		return nil
	case home.JournalFirst:
		return i.beginInJournal(ctx, k)
	case home.Unknown:
		return &entry.KeyTakenError{Key: k}
	default:
		return fmt.Errorf("the key's home does not begin it now: %s", v.Kind)
	}
}

// previousHomeTimeout bounds the queries to the previous homes of one key.
const previousHomeTimeout = 300 * time.Millisecond

// askPreviousHomes queries the previous homes of a key, and registers the key if their
// answers rule out that one of them has begun it.
func (i *Instance) askPreviousHomes(ctx context.Context, k entry.Key, q home.Inquiry) home.Verdict {
	ctx, cancel := context.WithTimeout(ctx, previousHomeTimeout)
	defer cancel()
	key := homeKey(k)
	statements := map[string]home.Statement{}
	for _, previous := range q.Previous {
		requests, err := i.homeClient(previous)
		if err != nil {
			break
		}
		s, err := requests.State(ctx, k)
		if err != nil {
			break
		}
		statements[previous] = s
	}
	if !q.Cleared(key, statements) {
		return home.Verdict{Kind: home.Unknown}
	}
	return i.members.BeginCleared(key, q)
}

// beginInJournal registers in the store a key whose value contains no timestamp.
func (i *Instance) beginInJournal(ctx context.Context, k entry.Key) error {
	isNew, err := i.keyJournal.Begin(ctx, homeKey(k))
	switch {
	case err != nil:
		return fmt.Errorf("journal the key: %w", err)
	case !isNew:
		return &entry.KeyTakenError{Key: k}
	}
	return nil
}

// releaseKey releases, at its home, a key whose request did not run.
func (i *Instance) releaseKey(k entry.Key) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseKeyTimeout)
	defer cancel()
	member := i.homeOf(k)
	if member == i.members.View().Self {
		_ = i.finishLocal(ctx, k, entry.NotRun)
		return
	}
	if requests, err := i.homeClient(member); err == nil {
		_ = requests.Finish(ctx, k, entry.NotRun)
	}
}

// finishLocal releases a key whose home is this instance if its request did not run.
func (i *Instance) finishLocal(ctx context.Context, k entry.Key, o entry.Outcome) error {
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
