package peer_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/peer"
)

// BenchmarkReportBytes measures the bytes a second that reports and their
// acknowledgements cost one instance, to and from all others together and without TCP and
// IP headers. It also measures the processor time for each peer. With 14 instances or
// more, half of them are in another region.
func BenchmarkReportBytes(b *testing.B) {
	cases := []struct {
		name string
		idle func(n int64) int
	}{
		{"at rest", func(int64) int { return 40 }},
		{"free slots change all the time", func(n int64) int { return int(n % 2 * 40) }},
	}
	for _, instances := range []int{7, 14, 28} {
		for _, c := range cases {
			b.Run(fmt.Sprintf("%d/%s", instances, c.name), func(b *testing.B) {
				for b.Loop() {
					measureFleet(b, instances, c.idle)
				}
			})
		}
	}
}

// measureFleet measures the cost for one instance in a fleet of the given size.
func measureFleet(b *testing.B, instances int, idle func(n int64) int) {
	const (
		measureTime    = 10 * time.Second
		updateInterval = 50 * time.Millisecond
	)
	near := instances - 1
	if instances >= 14 {
		near = instances/2 - 1
	}
	fleet := peer.Fleet{Near: near, Remote: instances - 1 - near}
	// The streams to this server represent the streams to and from all other instances.
	l, _ := serveReports(b, func(peer.Report) {})
	var notifier peer.ChangeNotifier
	var updates atomic.Int64
	now := func() peer.Report {
		return peer.Report{
			Status: membership.Status{ID: "entry-1~0a1b2c3d", Report: grant.Report{Epoch: 17}},
			Idle:   map[string]int{"finish": idle(updates.Load()), "gloss": 12, "flatness": 7, "edge": 3},
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			updates.Add(1)
			notifier.Update(now(), 17)
			<-time.After(updateInterval)
		}
	}()
	for k := range instances - 1 {
		pool := &peer.Pool{}
		b.Cleanup(pool.Close)
		conn, err := pool.Conn(l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		startReporter(b, conn, fleet.ReportRate(k >= near), notifier.Changed, now)
	}
	<-time.After(measureTime / 5)
	bytesBefore, processorBefore := l.bytes.Load(), processorTime()
	<-time.After(measureTime)
	// The factor 2 accounts for the reports in the other direction.
	b.ReportMetric(2*float64(l.bytes.Load()-bytesBefore)/measureTime.Seconds(), "B/s")
	peers := float64(instances - 1)
	// Both ends of each stream run in this process, which equals the load of an instance:
	// one stream from and one to each peer.
	b.ReportMetric(100*(processorTime()-processorBefore).Seconds()/measureTime.Seconds()/peers, "%core/peer")
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
