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

// countingListener counts the bytes of its connections in both directions.
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

// Read counts the bytes received.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// serveReports starts a server that passes reports to onReport, and returns its listener
// and a connection to it.
func serveReports(t testing.TB, onReport func(peer.Report)) (*countingListener, *grpc.ClientConn) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := &countingListener{Listener: inner}
	server := grpc.NewServer(peer.ServerOptions(eventlog.Discard())...)
	peer.RegisterSlots(server, &peer.Slots{
		OnReport: onReport,
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

var testRate = peer.ReportRate{Heartbeat: 500 * time.Millisecond, IdleChangesPerSecond: 8}

// neverChanged returns a channel that never signals a change.
func neverChanged() <-chan struct{} { return nil }

// alwaysChanged returns a channel that signals a change at once.
func alwaysChanged() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// startReporter starts a reporter that stops when the test ends.
func startReporter(
	t testing.TB, conn *grpc.ClientConn, rate peer.ReportRate, changed func() <-chan struct{}, next func() peer.Report,
) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	r := &peer.Reporter{
		Conn:    func() (*grpc.ClientConn, error) { return conn, nil },
		Drop:    func() {},
		Rate:    func() peer.ReportRate { return rate },
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
func TestReportKeepsEveryField(t *testing.T) {
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
	received := make(chan peer.Report, 100)
	_, conn := serveReports(t, func(r peer.Report) { received <- r })
	startReporter(t, conn, testRate, neverChanged, func() peer.Report { return sent })
	select {
	case got := <-received:
		require.Equal(t, sent, got)
	case <-time.After(30 * time.Second):
		t.Fatal("no report arrived")
	}
	by, ok := peer.AskPromise(context.Background(), conn, "entry-1~x")
	require.True(t, ok)
	require.Equal(t, "entry-2~x", by)
	_, ok = peer.AskPromise(context.Background(), conn, "entry-3~x")
	require.False(t, ok)
}

// A connection on which reports are sent but nothing comes back is dropped.
func TestUnresponsiveConnectionIsDropped(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	accepted := make(chan net.Conn, 1)
	go func() {
		// It accepts the connection but never answers.
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
			return peer.ReportRate{Heartbeat: 50 * time.Millisecond, IdleChangesPerSecond: 8}
		},
		Changed: neverChanged,
		Next:    func() peer.Report { return peer.Report{} },
	}
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	select {
	case <-dropped:
	case <-time.After(30 * time.Second):
		t.Error("the unresponsive connection was kept")
	}
	cancel()
	<-done
	select {
	case c := <-accepted:
		_ = c.Close()
	default:
	}
}

// An unresponsive peer gets no requests, and a free slot is not given to two requests.
func TestDirectorySkipsUnresponsiveAndReservesSlots(t *testing.T) {
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
		{"its only free slot is reserved", "", false, now, ""},
		{"in the other region", "", true, now.Add(2 * time.Second), "far"},
	}
	for _, c := range cases {
		id, _ := d.ReserveIdle("finish", c.exclude, c.remote, c.at)
		require.Equal(t, c.want, id, c.name)
	}
	id, ok := d.AnyWithSlots("finish", "", now)
	require.True(t, ok, "it has slots although none is free")
	require.Equal(t, "near", id)
	_, ok = d.AnyWithSlots("finish", "", now.Add(2*time.Second))
	require.False(t, ok, "it is unresponsive")
}

// Messages that contain only the changes of a report add up to the complete report.
func TestIncrementalReportsAddUp(t *testing.T) {
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
	received := make(chan peer.Report)
	_, conn := serveReports(t, func(r peer.Report) { received <- r })
	n := -1
	startReporter(t, conn, peer.ReportRate{IdleChangesPerSecond: 1}, alwaysChanged, func() peer.Report {
		n = min(n+1, len(steps)-1)
		return steps[n]
	})
	for _, want := range steps {
		select {
		case got := <-received:
			require.Equal(t, want, got)
		case <-time.After(30 * time.Second):
			t.Fatal("no report arrived")
		}
	}
}

// The rate of an instance's reports stays bounded, whatever the size of the fleet.
func TestReportRateIsBounded(t *testing.T) {
	for _, n := range []int{1, 6, 13, 27, 100, 1000} {
		p := peer.Fleet{Near: n}.ReportRate(false)
		heartbeats := float64(n) / p.Heartbeat.Seconds()
		require.LessOrEqual(t, heartbeats, 26.0, "heartbeats a second to %d peers", n)
		require.LessOrEqual(t, p.IdleChangesPerSecond*float64(n), 24.1, "changes of free slots a second to %d peers", n)
		require.Greater(t, peer.Fleet{Near: n}.UnresponsiveAfter(false), 2*p.Heartbeat)
	}
}

// Reporters wake only on changes that a peer would act on.
func TestReportersWakeOnlyOnRelevantChanges(t *testing.T) {
	var n peer.ChangeNotifier
	report := peer.Report{Status: membership.Status{ID: "entry-1~x"}, Idle: map[string]int{"finish": 8}}
	n.Update(report, 1)
	cases := []struct {
		name  string
		idle  int
		epoch int64
		woken bool
	}{
		{"no change", 8, 1, false},
		{"a few free slots less", 6, 1, false},
		{"no free slots left", 0, 1, true},
		{"a new table", 0, 2, true},
		{"no change since", 0, 2, false},
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
