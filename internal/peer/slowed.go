package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/peer/taskpb"
	"github.com/oriolepond/oriolepond/internal/shard"
)

const (
	// minSlowedInterval is the shortest time between two messages about slowed runners.
	minSlowedInterval = time.Second
	// slowedHeartbeat is the longest time between two messages. It is less than half of
	// the time after which a follower discards what it has received.
	slowedHeartbeat = 4 * time.Second
	// maxSlowedChanges bounds the changes in one message; the rest follows in the next.
	maxSlowedChanges = 64
)

// FollowSlowed receives the slowed runners that the peer at the other end of a connection
// reports, and calls apply with each change. It returns when the call fails, when the peer
// has sent nothing for shard.SlowedExpiry, or when the context ends. A slowed runner is one
// whose requests take longer because of batch tasks on its worker.
func FollowSlowed(ctx context.Context, conn *grpc.ClientConn, apply func(shard.SlowedChange)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(shard.SlowedExpiry, cancel)
	defer idleTimer.Stop()
	call, err := taskpb.NewTasksClient(conn).Slowed(ctx, &taskpb.SlowedRequest{})
	if err != nil {
		return err
	}
	for first := true; ; first = false {
		reply, err := call.Recv()
		if err != nil {
			return err
		}
		idleTimer.Reset(shard.SlowedExpiry)
		apply(shard.SlowedChange{Full: first, Added: decodeSlowed(reply.Added), Removed: decodeSlowed(reply.Removed)})
	}
}

// Slowed streams the slowed runners of the shards that this instance leads.
func (s *tasksServer) Slowed(_ *taskpb.SlowedRequest, stream grpc.ServerStreamingServer[taskpb.SlowedReply]) error {
	ticker := time.NewTicker(minSlowedInterval)
	defer ticker.Stop()
	sent := map[shard.Slowed]bool{}
	var lastSent time.Time
	for {
		change := shard.DiffSlowed(sent, s.calls.Slowed(), maxSlowedChanges)
		changed := len(change.Added)+len(change.Removed) > 0
		if now := time.Now(); changed || now.Sub(lastSent) >= slowedHeartbeat {
			lastSent = now
			reply := &taskpb.SlowedReply{Added: encodeSlowed(change.Added), Removed: encodeSlowed(change.Removed)}
			if err := stream.Send(reply); err != nil {
				return err
			}
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-ticker.C:
		}
	}
}

func encodeSlowed(slowed []shard.Slowed) []*taskpb.SlowedRunners {
	var encoded []*taskpb.SlowedRunners
	for _, s := range slowed {
		encoded = append(encoded, &taskpb.SlowedRunners{Worker: s.Worker, Service: s.Service})
	}
	return encoded
}

func decodeSlowed(encoded []*taskpb.SlowedRunners) []shard.Slowed {
	var decoded []shard.Slowed
	for _, s := range encoded {
		decoded = append(decoded, shard.Slowed{Worker: s.Worker, Service: s.Service})
	}
	return decoded
}
