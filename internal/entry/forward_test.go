package entry

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/link"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// peerTo returns a peer that runs requests on another dispatcher, and counts them.
func peerTo(id string, d *Dispatcher, seen *[]Request) Peer {
	return Peer{ID: id, Do: func(ctx context.Context, q Request) (Response, error) {
		*seen = append(*seen, q)
		q.Forwarded = true
		return d.Do(ctx, q)
	}}
}

// only returns a choice of one peer.
func only(p Peer) func(service, exclude string) (Peer, bool) {
	return func(_, exclude string) (Peer, bool) { return p, exclude != p.ID }
}

// An instance without slots forwards everything, and the peer may let it wait.
func TestInstanceWithoutSlotsForwardsEverything(t *testing.T) {
	b := newBench(t, 1, 1, 0)
	var seen []Request
	empty := newDispatcher(nil)
	empty.AnyPeer = only(peerTo("b", b.Dispatcher, &seen))
	for n := range 3 {
		id := fmt.Sprint(n)
		a, err := empty.Do(t.Context(), request(route(release.NonIdempotent), id))
		requireAnswer(t, id, a, err)
	}
	require.Len(t, seen, 3)
	require.True(t, seen[0].MayQueue)
}

// A forwarded request is not forwarded again, however idle others are.
func TestForwardingEndsAfterOneHop(t *testing.T) {
	b := newBench(t, 1, 1, 0)
	var seen []Request
	full := newDispatcher(nil)
	full.IdlePeer = only(peerTo("b", b.Dispatcher, &seen))
	full.AnyPeer, full.RemotePeer = full.IdlePeer, func(string) (Peer, bool) { return full.IdlePeer("s", "") }
	q := request(route(release.Idempotent), "a")
	q.Forwarded = true
	_, err := full.Do(t.Context(), q)
	requireOutcome(t, NotRun, err)
	require.Empty(t, seen)
}

// What a peer refuses is run here as soon as a slot is free, and its key is begun once.
func TestRefusedByThePeerRunsHere(t *testing.T) {
	b := newBench(t, 1, 1, 5*time.Millisecond)
	var seen []Request
	b.IdlePeer = only(peerTo("full", newDispatcher(nil), &seen))
	begun := map[string]int{}
	b.Keys = &Keys{Begin: func(_ context.Context, k Key) error { begun[k.Value]++; return nil }}
	slot, ok := b.Targets.Acquire(want("s"))
	require.True(t, ok)
	done := make(chan error, 1)
	go func() {
		_, err := b.Do(t.Context(), request(route(release.NonIdempotent), "a"))
		done <- err
	}()
	require.Eventually(t, func() bool {
		l := b.lane("s")
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.queue.Len() == 1
	}, patience, time.Millisecond)
	b.Targets.Release(slot)
	b.Wake("s")
	require.NoError(t, <-done)
	require.Equal(t, map[string]int{"a": 1}, begun)
	require.Equal(t, 1, b.ledger.Runs("a"))
	require.NotEmpty(t, seen)
}

// A peer that may have run a request is the last to get it unless it is idempotent.
func TestUncertainPeerIsNotFollowedByARun(t *testing.T) {
	for _, c := range []struct {
		class release.RouteClass
		runs  int
	}{{release.NonIdempotent, 0}, {release.Idempotent, 1}} {
		b := newBench(t, 1, 1, 0)
		slot, ok := b.Targets.Acquire(want("s"))
		require.True(t, ok)
		b.IdlePeer = only(Peer{ID: "p", Do: func(context.Context, Request) (Response, error) {
			b.Targets.Release(slot)
			return Response{}, unknown(http.StatusBadGateway, "the peer did not answer")
		}})
		r := route(c.class)
		r.Retries = 3
		a, err := b.Do(t.Context(), request(r, "a"))
		require.Equal(t, c.runs, b.ledger.Runs("a"), c.class)
		if c.runs > 0 {
			requireAnswer(t, "a", a, err)
			continue
		}
		requireOutcome(t, Unknown, err)
	}
}

// The other region takes only what this one cannot serve in time, within the link's rate.
func TestOtherRegionWithinTheLink(t *testing.T) {
	here, far := newBench(t, 1, 1, 0), newBench(t, 1, 1, 0)
	var seen []Request
	remote := peerTo("far", far.Dispatcher, &seen)
	here.RemotePeer = func(string) (Peer, bool) { return remote, true }
	here.Link = link.New(1) // One byte a second.
	used := map[string]int64{}
	here.OnLinkBytes = func(neighbour, _ string, bytes int64) { used[neighbour] += bytes }
	q := request(route(release.NonIdempotent), "near")
	a, err := here.Do(t.Context(), q)
	requireAnswer(t, "near", a, err)
	require.Empty(t, seen, "a request with a free slot here left the region")
	here.QueuedPerTarget = 0
	slot, ok := here.Targets.Acquire(want("s"))
	require.True(t, ok)
	defer here.Targets.Release(slot)
	a, err = here.Do(t.Context(), request(route(release.NonIdempotent), "first"))
	requireAnswer(t, "first", a, err)
	require.GreaterOrEqual(t, used["n"], int64(len("body")+len(a.Body)))
	_, err = here.Do(t.Context(), request(route(release.NonIdempotent), "second"))
	outcome := requireOutcome(t, NotRun, err)
	require.Positive(t, outcome.RetryAfter)
	require.Len(t, seen, 1)
}
