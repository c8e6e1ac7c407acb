package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/peer"
)

// byteCountingConn counts the bytes of a connection in both directions.
type byteCountingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes received.
func (c byteCountingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c byteCountingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serveOperate serves the calls of o on loopback, and returns a client and the
// count of its bytes.
func serveOperate(t testing.TB, o *peer.Operate) (*peer.Operate, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	peer.RegisterOperate(server, o)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	bytes := &atomic.Int64{}
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
			return byteCountingConn{c, bytes}, err
		}))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return peer.NewOperate(conn), bytes
}

func TestBurnSnapshotRoundTrip(t *testing.T) {
	now := time.Now()
	r := burn.NewRecorder()
	for i := range 100 {
		r.Record(now, burn.Sample{
			Service: "finish", Neighbour: "floor", Answered: i%10 > 0, Refused: i%10 == 0,
			Objective: 50 * time.Millisecond, Latency: time.Duration(i) * time.Millisecond,
		})
	}
	want := r.Snapshot(now)
	client, _ := serveOperate(t, &peer.Operate{Burn: func(context.Context) (burn.Snapshot, error) { return want, nil }})
	got, err := client.Burn(t.Context())
	require.NoError(t, err)
	sent, err := want.Series()
	require.NoError(t, err)
	received, err := got.Series()
	require.NoError(t, err)
	require.Equal(t, sent[0].Slots[0].Bad, received[0].Slots[0].Bad)
	require.True(t, sent[0].Slots[0].Latency.Equals(received[0].Slots[0].Latency))
}

func TestNewestWithoutNewerConfiguration(t *testing.T) {
	client, _ := serveOperate(t, &peer.Operate{Newest: func(context.Context, config.Snapshot) (config.Snapshot, bool, error) {
		return config.Snapshot{}, false, nil
	}})
	_, newer, err := client.Newest(t.Context(), config.Snapshot{})
	require.NoError(t, err)
	require.False(t, newer)
}

// BenchmarkAnnounce measures the time and bytes of one announcement on an open
// connection.
func BenchmarkAnnounce(b *testing.B) {
	client, bytes := serveOperate(b, &peer.Operate{Announce: func(_ context.Context, _ string, revision int64) (int64, error) {
		return revision, nil
	}})
	call := func() {
		_, err := client.Announce(b.Context(), "entry-1-20260102T030405", 123456)
		require.NoError(b, err)
	}
	call()
	before := bytes.Load()
	n := 0
	for b.Loop() {
		call()
		n++
	}
	b.ReportMetric(float64(bytes.Load()-before)/float64(n), "bytes/announce")
}
