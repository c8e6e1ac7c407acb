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

// peerTo returns a peer that runs requests on another dispatcher and appends them to seen.
func peerTo(id string, d *Dispatcher, seen *[]Request) Peer {
	return Peer{ID: id, Do: func(ctx context.Context, q Request) (Response, error) {
		*seen = append(*seen, q)
		q.Forwarded = true
		return d.Do(ctx, q)
	}}
}

// onlyPeer returns a function for IdlePeer or AnyPeer that returns p unless p is excluded.
func onlyPeer(p Peer) func(service, exclude string) (Peer, bool) {
	return func(_, exclude string) (Peer, bool) { return p, exclude != p.ID }
}

// An instance without slots forwards all requests, and the peer may queue them.
func TestInstanceWithoutSlotsForwardsEverything(t *testing.T) {
	fx := newFixture(t, 1, 1, 0)
	var seen []Request
	empty := newDispatcher(nil)
	empty.AnyPeer = onlyPeer(peerTo("b", fx.Dispatcher, &seen))
	for n := range 3 {
		id := fmt.Sprint(n)
		a, err := empty.Do(t.Context(), request(route(release.NonIdempotent), id))
		requireResponse(t, id, a, err)
	}
	require.Len(t, seen, 3)
	require.True(t, seen[0].MayQueue)
}

// A forwarded request is refused rather than forwarded again, even if other peers have idle slots.
func TestForwardingEndsAfterOneHop(t *testing.T) {
	fx := newFixture(t, 1, 1, 0)
	var seen []Request
	full := newDispatcher(nil)
	full.IdlePeer = onlyPeer(peerTo("b", fx.Dispatcher, &seen))
	full.AnyPeer, full.RemotePeer = full.IdlePeer, func(string) (Peer, bool) { return full.IdlePeer("s", "") }
	q := request(route(release.Idempotent), "a")
	q.Forwarded = true
	_, err := full.Do(t.Context(), q)
	requireOutcome(t, NotRun, err)
	require.Empty(t, seen)
}

// A request that a peer refuses runs locally as soon as a slot is free, and its key is recorded
// only once.
func TestRequestRefusedByPeerRunsLocally(t *testing.T) {
	fx := newFixture(t, 1, 1, 5*time.Millisecond)
	var seen []Request
	fx.IdlePeer = onlyPeer(peerTo("full", newDispatcher(nil), &seen))
	begun := map[string]int{}
	fx.Keys = &Keys{Begin: func(_ context.Context, k Key) error { begun[k.Value]++; return nil }}
	slot, ok := fx.Targets.Acquire(anySlot("s"))
	require.True(t, ok)
	done := make(chan error, 1)
	go func() {
		_, err := fx.Do(t.Context(), request(route(release.NonIdempotent), "a"))
		done <- err
	}()
	require.Eventually(t, func() bool {
		svc := fx.serviceState("s")
		svc.mu.Lock()
		defer svc.mu.Unlock()
		return svc.queue.Len() == 1
	}, testTimeout, time.Millisecond)
	fx.Targets.Release(slot)
	fx.Wake("s")
	require.NoError(t, <-done)
	require.Equal(t, map[string]int{"a": 1}, begun)
	require.Equal(t, 1, fx.ledger.Runs("a"))
	require.NotEmpty(t, seen)
}

// After a peer may have run a request, only an idempotent one is retried.
func TestNonIdempotentIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	for _, c := range []struct {
		class release.RouteClass
		runs  int
	}{{release.NonIdempotent, 0}, {release.Idempotent, 1}} {
		fx := newFixture(t, 1, 1, 0)
		slot, ok := fx.Targets.Acquire(anySlot("s"))
		require.True(t, ok)
		fx.IdlePeer = onlyPeer(Peer{ID: "p", Do: func(context.Context, Request) (Response, error) {
			fx.Targets.Release(slot)
			return Response{}, unknown(http.StatusBadGateway, "the peer did not answer")
		}})
		r := route(c.class)
		r.Retries = 3
		a, err := fx.Do(t.Context(), request(r, "a"))
		require.Equal(t, c.runs, fx.ledger.Runs("a"), c.class)
		if c.runs > 0 {
			requireResponse(t, "a", a, err)
			continue
		}
		requireOutcome(t, Unknown, err)
	}
}

// The other region gets only requests that cannot be served here in time, and only as many as the
// link's rate allows.
func TestRemoteRegionIsUsedWithinLinkRate(t *testing.T) {
	here, far := newFixture(t, 1, 1, 0), newFixture(t, 1, 1, 0)
	var seen []Request
	remote := peerTo("far", far.Dispatcher, &seen)
	here.RemotePeer = func(string) (Peer, bool) { return remote, true }
	here.Link = link.New(1) // One byte per second.
	used := map[string]int64{}
	here.OnLinkBytes = func(neighbour, _ string, bytes int64) { used[neighbour] += bytes }
	q := request(route(release.NonIdempotent), "near")
	a, err := here.Do(t.Context(), q)
	requireResponse(t, "near", a, err)
	require.Empty(t, seen, "a request left the region although a local slot was free")
	here.QueuedPerTarget = 0
	slot, ok := here.Targets.Acquire(anySlot("s"))
	require.True(t, ok)
	defer here.Targets.Release(slot)
	a, err = here.Do(t.Context(), request(route(release.NonIdempotent), "first"))
	requireResponse(t, "first", a, err)
	require.GreaterOrEqual(t, used["n"], int64(len("body")+len(a.Body)))
	_, err = here.Do(t.Context(), request(route(release.NonIdempotent), "second"))
	outcome := requireOutcome(t, NotRun, err)
	require.Positive(t, outcome.RetryAfter)
	require.Len(t, seen, 1)
}
