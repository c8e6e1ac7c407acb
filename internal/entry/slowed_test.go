package entry

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// A request that tried a slowed target says so, here and from a peer.
func TestSamplesNameSlowedTargets(t *testing.T) {
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
			b := newBench(t, 1, 1, 0)
			b.Slowed = func(id string) bool { return id == c.slowed }
			asked := b.Dispatcher
			if c.forward {
				var seen []Request
				asked = newDispatcher(nil)
				asked.AnyPeer = only(peerTo("b", b.Dispatcher, &seen))
			}
			var samples []Sample
			asked.OnSample = func(s Sample) { samples = append(samples, s) }
			if c.stream {
				require.NoError(t, asked.Stream(t.Context(), request(route(release.Stream), "a"), collect(&strings.Builder{})))
			} else {
				a, err := asked.Do(t.Context(), request(route(release.Idempotent), "a"))
				requireAnswer(t, "a", a, err)
			}
			require.Len(t, samples, 1)
			require.Equal(t, c.want, samples[0].Slowed)
			require.Equal(t, CauseTarget, samples[0].Cause)
		})
	}
}

// A timeout at a slowed target is laid to it, also if a peer ran the request;
// a connection that breaks is not.
func TestOnlyLatenessIsLaidToSlowness(t *testing.T) {
	for _, c := range []struct {
		status int
		want   bool
	}{{http.StatusGatewayTimeout, true}, {http.StatusBadGateway, false}} {
		ended := trip{slowed: true}.tell(unknown(c.status, "no answer").WithCause(CauseTarget))
		asked := newDispatcher(nil)
		asked.AnyPeer = only(Peer{ID: "b", Do: func(context.Context, Request) (Response, error) { return Response{}, ended }})
		var samples []Sample
		asked.OnSample = func(s Sample) { samples = append(samples, s) }
		_, err := asked.Do(t.Context(), request(route(release.NonIdempotent), "a"))
		requireOutcome(t, Unknown, err)
		require.Len(t, samples, 1)
		require.Equal(t, c.want, samples[0].Slowed)
	}
}
