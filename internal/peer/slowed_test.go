package peer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/shard"
)

// A follower hears all at first and then the changes, until the peer ends.
func TestFollowSlowed(t *testing.T) {
	a, b := shard.Slowed{Worker: "w1", Service: "s"}, shard.Slowed{Worker: "w2", Service: "s"}
	var mu sync.Mutex
	now := []shard.Slowed{a}
	set := func(all ...shard.Slowed) {
		mu.Lock()
		defer mu.Unlock()
		now = all
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer()
	RegisterTasks(server, &shard.Calls{Slowed: func() []shard.Slowed {
		mu.Lock()
		defer mu.Unlock()
		return now
	}})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	pool := &Pool{}
	t.Cleanup(pool.Close)
	conn, err := pool.Conn(l.Addr().String())
	require.NoError(t, err)
	connect(t, conn)
	heard := make(chan shard.SlowedChange, 16)
	done := make(chan error, 1)
	go func() {
		done <- FollowSlowed(context.Background(), conn, func(c shard.SlowedChange) { heard <- c })
	}()
	require.Equal(t, shard.SlowedChange{Full: true, Added: []shard.Slowed{a}}, <-heard)
	set(a, b)
	require.Equal(t, shard.SlowedChange{Added: []shard.Slowed{b}}, <-heard)
	set(b)
	require.Equal(t, shard.SlowedChange{Removed: []shard.Slowed{a}}, <-heard)
	server.Stop()
	select {
	case err := <-done:
		require.Error(t, err)
	case <-time.After(patience):
		t.Fatal("the follower did not notice the end of its peer")
	}
}
