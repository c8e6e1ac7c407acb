package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/eventlog"
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
	server := grpc.NewServer(peer.ServerOptions(eventlog.Discard())...)
	peer.RegisterSlots(server, &peer.Slots{
		OnReport: heard,
		Promise:  func(member string) (string, bool) { return "entry-2~x", member == "entry-1~x" },
	})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	pool := &peer.Pool{}
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(inner.Addr().String())
	require.NoError(t, err)
	return l, conn
}

var testPace = peer.ReportRate{Heartbeat: 500 * time.Millisecond, PerSecond: 8}

// never is the channel of changes of what never changes.
func never() <-chan struct{} { return nil }

// always is the channel of changes of what has changed at each look.
func always() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// report starts a reporter that ends with the test.
func report(
	t testing.TB, conn *grpc.ClientConn, pace peer.ReportRate, changed func() <-chan struct{}, next func() peer.Report,
) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	r := &peer.Reporter{
		Conn:    func() (*grpc.ClientConn, error) { return conn, nil },
		Drop:    func() {},
		Rate:    func() peer.ReportRate { return pace },
		Changed: changed,
		Next:    next,
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
	report(t, conn, testPace, never, func() peer.Report { return sent })
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
		Rate: func() peer.ReportRate {
			return peer.ReportRate{Heartbeat: 50 * time.Millisecond, PerSecond: 8}
		},
		Changed: never,
		Next:    func() peer.Report { return peer.Report{} },
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
	d := &peer.Directory{UnresponsiveAfter: func(remote bool) time.Duration {
		if remote {
			return time.Minute
		}
		return time.Second
	}}
	now := time.Now()
	d.Update("near", false, peer.Report{Idle: map[string]int{"finish": 1}}, now)
	d.Update("far", true, peer.Report{Idle: map[string]int{"finish": 9}}, now)
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
		id, _ := d.ReserveIdle("finish", c.exclude, c.remote, c.at)
		require.Equal(t, c.want, id, c.name)
	}
	id, ok := d.Any("finish", "", now)
	require.True(t, ok, "it holds slots although none is idle")
	require.Equal(t, "near", id)
	_, ok = d.Any("finish", "", now.Add(2*time.Second))
	require.False(t, ok, "it is silent")
}

// What is told of changes adds up to the whole report, and little is sent
// while nothing changes.
func TestReportsOfChanges(t *testing.T) {
	full := peer.Report{
		Status: membership.Status{ID: "entry-1~x", Report: grant.Report{Epoch: 7, Over: []string{"runner-3"}}},
		Idle:   map[string]int{"finish": 3, "desk": 5},
	}
	changed := full
	changed.Idle = map[string]int{"finish": 0, "desk": 5}
	withdrawn := full
	withdrawn.Idle = map[string]int{"desk": 5}
	settled := full
	settled.Status.Report = grant.Report{Epoch: 8}
	steps := []peer.Report{full, full, changed, full, withdrawn, settled, changed}
	heard := make(chan peer.Report)
	_, conn := serve(t, func(r peer.Report) { heard <- r })
	n := -1
	report(t, conn, peer.ReportRate{PerSecond: 1}, always, func() peer.Report {
		n = min(n+1, len(steps)-1)
		return steps[n]
	})
	for _, want := range steps {
		select {
		case got := <-heard:
			require.Equal(t, want, got)
		case <-time.After(30 * time.Second):
			t.Fatal("no report")
		}
	}
}

// The reports of an instance are bounded whatever the fleet.
func TestPaceIsBounded(t *testing.T) {
	for _, n := range []int{1, 6, 13, 27, 100, 1000} {
		p := peer.Fleet{Near: n}.ReportRate(false)
		heartbeats := float64(n) / p.Heartbeat.Seconds()
		require.LessOrEqual(t, heartbeats, 26.0, "heartbeats a second to %d peers", n)
		require.LessOrEqual(t, p.PerSecond*float64(n), 24.1, "changes of idle slots a second to %d peers", n)
		require.Greater(t, peer.Fleet{Near: n}.UnresponsiveAfter(false), 2*p.Heartbeat)
	}
}

// Reporters are woken by what a peer would act on, and by nothing else.
func TestNotice(t *testing.T) {
	var n peer.ChangeNotifier
	report := peer.Report{Status: membership.Status{ID: "entry-1~x"}, Idle: map[string]int{"finish": 8}}
	n.Update(report, 1)
	cases := []struct {
		name  string
		idle  int
		epoch int64
		woken bool
	}{
		{"nothing", 8, 1, false},
		{"a few slots", 6, 1, false},
		{"no slots left", 0, 1, true},
		{"a new table", 0, 2, true},
		{"nothing since", 0, 2, false},
	}
	for _, c := range cases {
		changed := n.Changed()
		report.Idle = map[string]int{"finish": c.idle}
		n.Update(report, c.epoch)
		woken := false
		select {
		case <-changed:
			woken = true
		default:
		}
		require.Equal(t, c.woken, woken, c.name)
	}
}
