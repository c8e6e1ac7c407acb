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

// Bytes a second that reports cost one instance, to and from all others
// together, with their acknowledgements and without the headers of TCP and IP;
// and the processor time for each peer. Half of 14 and more instances stand in
// another region.
func BenchmarkReportBytes(b *testing.B) {
	cases := []struct {
		name string
		idle func(n int64) int
	}{
		{"at rest", func(int64) int { return 40 }},
		{"idle slots change all the time", func(n int64) int { return int(n % 2 * 40) }},
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

// measureFleet reports what one of that many instances pays.
func measureFleet(b *testing.B, instances int, idle func(n int64) int) {
	const (
		length       = 10 * time.Second
		lookInterval = 50 * time.Millisecond
	)
	near := instances - 1
	if instances >= 14 {
		near = instances/2 - 1
	}
	fleet := peer.Fleet{Near: near, Remote: instances - 1 - near}
	// The streams to one instance stand for all.
	l, _ := serve(b, func(peer.Report) {})
	var notice peer.ChangeNotifier
	var looks atomic.Int64
	now := func() peer.Report {
		return peer.Report{
			Status: membership.Status{ID: "entry-1~0a1b2c3d", Report: grant.Report{Epoch: 17}},
			Idle:   map[string]int{"finish": idle(looks.Load()), "gloss": 12, "flatness": 7, "edge": 3},
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	go func() {
		for ctx.Err() == nil {
			looks.Add(1)
			notice.Update(now(), 17)
			<-time.After(lookInterval)
		}
	}()
	for k := range instances - 1 {
		pool := &peer.Pool{}
		b.Cleanup(pool.Close)
		conn, err := pool.Conn(l.Addr().String())
		if err != nil {
			b.Fatal(err)
		}
		report(b, conn, fleet.ReportRate(k >= near), notice.Changed, now)
	}
	<-time.After(length / 5)
	bytes, used := l.bytes.Load(), processorTime()
	<-time.After(length)
	// As many bytes go out to the others.
	b.ReportMetric(2*float64(l.bytes.Load()-bytes)/length.Seconds(), "B/s")
	peers := float64(instances - 1)
	// Both ends of a stream run here: that is what an instance has with each peer.
	b.ReportMetric(100*(processorTime()-used).Seconds()/length.Seconds()/peers, "%core/peer")
}

// processorTime returns what this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
