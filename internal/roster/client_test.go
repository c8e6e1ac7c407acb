package roster_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/standin"
)

// serveList serves a list of n runners, and returns the platform, a client and the count
// of the bytes on its connections.
func serveList(t testing.TB, n int) (*standin.Platform, *roster.Client, *atomic.Int64) {
	t.Helper()
	p := standin.NewPlatform()
	for i := range n {
		p.Set(roster.Instance{
			ID: fmt.Sprintf("runner-%d", i), Kind: roster.KindRunner, State: roster.Live,
			Address: "10.0.0.1:9000", Region: "bajio", DataCentre: "bajio-a", Rack: "rack-1",
			Service: "finish", Worker: "worker-1", Slots: 8, Connections: 64,
		})
	}
	server := httptest.NewServer(p)
	t.Cleanup(server.Close)
	bytes := &atomic.Int64{}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		return countingConn{c, bytes}, err
	}
	h := &http.Client{Transport: &http.Transport{DialContext: dial}}
	return p, roster.NewClient(server.URL, h), bytes
}

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// A change is seen although the unchanged list before it was not sent again. Only a
// change leads to a new version, whether or not the platform supports conditional
// requests.
func TestChangeIsSeenAfterUnchangedReads(t *testing.T) {
	for _, conditional := range []bool{true, false} {
		t.Run(fmt.Sprintf("conditional=%t", conditional), func(t *testing.T) {
			p, client, _ := serveList(t, 3)
			if !conditional {
				client = unconditional(t, p)
			}
			version := uint64(0)
			for n := range 3 {
				l, err := client.Read(t.Context())
				require.NoError(t, err)
				require.Len(t, l.Instances, 3)
				require.False(t, l.ReadAt.IsZero())
				require.True(t, n == 0 || l.Version == version)
				version = l.Version
			}
			p.SetState("runner-1", roster.Leaving)
			l, err := client.Read(t.Context())
			require.NoError(t, err)
			leaving, ok := l.Instance("runner-1")
			require.True(t, ok)
			require.Equal(t, roster.Leaving, leaving.State)
			require.NotEqual(t, version, l.Version)
		})
	}
}

// unconditional returns a client of a platform that always sends the whole list.
func unconditional(t *testing.T, p *standin.Platform) *roster.Client {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		q.Header.Del("If-None-Match")
		p.ServeHTTP(w, q)
	}))
	t.Cleanup(server.Close)
	return roster.NewClient(server.URL, server.Client())
}

// BenchmarkUnchanged measures reads of a list that does not change.
func BenchmarkUnchanged(b *testing.B) {
	for _, n := range []int{100, 1000, 3800} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			_, client, bytes := serveList(b, n)
			_, err := client.Read(b.Context())
			require.NoError(b, err)
			before := bytes.Load()
			b.ResetTimer()
			for b.Loop() {
				if _, err := client.Read(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "B/read")
		})
	}
}
