package peer_test

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/shard"
)

// BenchmarkSlowedBytes measures the bytes a second with which an instance reports slowed
// runners to one peer, without TCP and IP headers.
func BenchmarkSlowedBytes(b *testing.B) {
	cases := []struct {
		name string
		// changing is how many runners become slowed or stop being slowed each second.
		changing int
	}{{"at rest", 0}, {"one a second", 1}, {"ten a second", 10}}
	const measureTime = 12 * time.Second
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for b.Loop() {
				n := 0
				slowed := func() []shard.Slowed {
					n++
					var all []shard.Slowed
					for i := range c.changing * (n % 2) {
						all = append(all, shard.Slowed{Worker: fmt.Sprintf("worker-10-1-0-%d", i), Service: "finish"})
					}
					return all
				}
				tcp, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(b, err)
				l := &countingListener{Listener: tcp}
				server := grpc.NewServer()
				peer.RegisterTasks(server, &shard.Calls{Slowed: slowed})
				go func() { _ = server.Serve(l) }()
				b.Cleanup(server.Stop)
				conn, err := grpc.NewClient("passthrough:///"+tcp.Addr().String(),
					grpc.WithTransportCredentials(insecure.NewCredentials()))
				require.NoError(b, err)
				b.Cleanup(func() { _ = conn.Close() })
				go func() { _ = peer.FollowSlowed(b.Context(), conn, func(shard.SlowedChange) {}) }()
				<-time.After(measureTime / 10)
				before := l.bytes.Load()
				<-time.After(measureTime)
				b.ReportMetric(float64(l.bytes.Load()-before)/measureTime.Seconds(), "B/s")
			}
		})
	}
}
