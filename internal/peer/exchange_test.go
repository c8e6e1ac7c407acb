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

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/peer"
)

// countingListener counts the bytes of its connections, both ways.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &countingConn{Conn: c, bytes: &l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts what comes in.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts what goes out.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serve starts a server that passes reports on, and returns a connection to it.
func serve(t testing.TB, heard func(peer.Report)) (*countingListener, *grpc.ClientConn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &countingListener{Listener: inner}
	server := grpc.NewServer()
	peer.RegisterSlots(server, &peer.Slots{
		Heard:   heard,
		Promise: func(member string) (string, bool) { return "entry-2~x", member == "entry-1~x" },
	})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	conn, err := grpc.NewClient("passthrough:///"+inner.Addr().String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return l, conn
}

// report starts a reporter that ends with the test.
func report(t testing.TB, conn *grpc.ClientConn, next func() peer.Report) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	r := &peer.Reporter{
		Conn: func() (*grpc.ClientConn, error) { return conn, nil },
		Drop: func() {},
		Pace: peer.Pace{Interval: 50 * time.Millisecond, Heartbeat: 500 * time.Millisecond, PerSecond: 8},
		Next: next,
	}
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// A report arrives as it was sent.
func TestReportArrives(t *testing.T) {
	sent := peer.Report{
		Status: membership.Status{
			ID:       "entry-1~x",
			Report:   grant.Report{Epoch: 7, Over: []string{"runner-3"}},
			Supports: []membership.Support{{Holder: "entry-9~x", Known: true}},
			Released: true,
		},
		Idle:  map[string]int{"finish": 3, "desk": 0},
		Table: []byte("{}"),
	}
	heard := make(chan peer.Report, 100)
	_, conn := serve(t, func(r peer.Report) { heard <- r })
	report(t, conn, func() peer.Report { return sent })
	select {
	case got := <-heard:
		require.Equal(t, sent, got)
	case <-time.After(30 * time.Second):
		t.Fatal("no report")
	}
	by, ok := peer.AskPromise(context.Background(), conn, "entry-1~x")
	require.True(t, ok)
	require.Equal(t, "entry-2~x", by)
	_, ok = peer.AskPromise(context.Background(), conn, "entry-3~x")
	require.False(t, ok)
}

// A connection on which reports are sent but nothing comes back is given up.
func TestSilentConnectionIsDropped(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		// It never answers.
		if c, err := inner.Accept(); err == nil {
			accepted <- c
		}
	}()
	pool := &peer.Pool{}
	t.Cleanup(pool.Close)
	address := inner.Addr().String()
	dropped := make(chan struct{}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	r := &peer.Reporter{
		Conn: func() (*grpc.ClientConn, error) { return pool.Conn(address) },
		Drop: func() {
			pool.Drop(address)
			select {
			case dropped <- struct{}{}:
			default:
			}
		},
		Pace: peer.Pace{Interval: 10 * time.Millisecond, Heartbeat: 50 * time.Millisecond, PerSecond: 8},
		Next: func() peer.Report { return peer.Report{} },
	}
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	select {
	case <-dropped:
	case <-time.After(30 * time.Second):
		t.Error("the silent connection is kept")
	}
	cancel()
	<-done
	select {
	case c := <-accepted:
		_ = c.Close()
	default:
	}
}

// A silent peer gets no requests; a slot that was given away is not given twice.
func TestDirectory(t *testing.T) {
	d := &peer.Directory{Silence: time.Second, RemoteSilence: time.Minute}
	now := time.Now()
	d.Hear("near", false, peer.Report{Idle: map[string]int{"finish": 1}}, now)
	d.Hear("far", true, peer.Report{Idle: map[string]int{"finish": 9}}, now)
	cases := []struct {
		name    string
		exclude string
		remote  bool
		at      time.Time
		want    string
	}{
		{"excluded", "near", false, now, ""},
		{"idle", "", false, now, "near"},
		{"its one slot is given away", "", false, now, ""},
		{"in the other region", "", true, now.Add(2 * time.Second), "far"},
	}
	for _, c := range cases {
		id, _ := d.Idle("finish", c.exclude, c.remote, c.at)
		require.Equal(t, c.want, id, c.name)
	}
	id, ok := d.Any("finish", "", now)
	require.True(t, ok, "it holds slots although none is idle")
	require.Equal(t, "near", id)
	_, ok = d.Any("finish", "", now.Add(2*time.Second))
	require.False(t, ok, "it is silent")
}

// Bytes a second of reports to one peer of the region, with their
// acknowledgements, without the headers of TCP and IP.
func BenchmarkReportBytes(b *testing.B) {
	cases := []struct {
		name string
		idle func(n int) int
	}{
		{"at rest", func(int) int { return 40 }},
		{"idle slots change all the time", func(n int) int { return n % 2 * 40 }},
	}
	const length = 10 * time.Second
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				l, conn := serve(b, func(peer.Report) {})
				n := 0
				report(b, conn, func() peer.Report {
					n++
					return peer.Report{
						Status: membership.Status{ID: "entry-1~0a1b2c3d", Report: grant.Report{Epoch: 17}},
						Idle:   map[string]int{"finish": c.idle(n), "gloss": 12, "flatness": 7, "edge": 3},
					}
				})
				<-time.After(length / 10)
				before := l.bytes.Load()
				<-time.After(length)
				b.ReportMetric(float64(l.bytes.Load()-before)/length.Seconds(), "B/s")
			}
		})
	}
}
