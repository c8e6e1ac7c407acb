package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// A request that tried a slowed target is marked as slowed in its sample, also if a peer ran it.
func TestSampleReportsSlowedTarget(t *testing.T) {
	cases := []struct {
		name    string
		slowed  string
		forward bool
		stream  bool
		want    bool
	}{
		{"slowed", "0", false, false, true},
		{"another is slowed", "1", false, false, false},
		{"slowed at a peer", "0", true, false, true},
		{"another is slowed at a peer", "1", true, false, false},
		{"stream", "0", false, true, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fx := newFixture(t, 1, 1, 0)
			fx.Slowed = func(id string) bool { return id == c.slowed }
			dispatcher := fx.Dispatcher
			if c.forward {
				var seen []Request
				dispatcher = newDispatcher(nil)
				dispatcher.AnyPeer = onlyPeer(peerTo("b", fx.Dispatcher, &seen))
			}
			var samples []Sample
			dispatcher.OnSample = func(s Sample) { samples = append(samples, s) }
			if c.stream {
				require.NoError(t, dispatcher.Stream(t.Context(), request(route(release.Stream), "a"), collectStream(&strings.Builder{})))
			} else {
				a, err := dispatcher.Do(t.Context(), request(route(release.Idempotent), "a"))
				requireResponse(t, "a", a, err)
			}
			require.Len(t, samples, 1)
			require.Equal(t, c.want, samples[0].Slowed)
			require.Equal(t, CauseTarget, samples[0].Cause)
		})
	}
}

// A timeout at a slowed target is attributed to the slowdown, also if a peer ran the request. A
// broken connection is not.
func TestOnlyTimeoutsAreAttributedToSlowedTarget(t *testing.T) {
	for _, c := range []struct {
		status int
		want   bool
	}{{http.StatusGatewayTimeout, true}, {http.StatusBadGateway, false}} {
		peerError := requestStats{slowed: true}.withSlowed(unknown(c.status, "no answer").WithCause(CauseTarget))
		dispatcher := newDispatcher(nil)
		dispatcher.AnyPeer = onlyPeer(Peer{ID: "b", Do: func(context.Context, Request) (Response, error) { return Response{}, peerError }})
		var samples []Sample
		dispatcher.OnSample = func(s Sample) { samples = append(samples, s) }
		_, err := dispatcher.Do(t.Context(), request(route(release.NonIdempotent), "a"))
		requireOutcome(t, Unknown, err)
		require.Len(t, samples, 1)
		require.Equal(t, c.want, samples[0].Slowed)
	}
}
