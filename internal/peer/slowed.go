package peer

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/peer/taskpb"
	"github.com/oriolepond/oriolepond/internal/shard"
)

const (
	// slowedInterval is the shortest time between two messages on slowed runners.
	slowedInterval = time.Second
	// slowedHeartbeat is the longest, less than half of the lapse of what was told.
	slowedHeartbeat = 4 * time.Second
	// maxSlowedChanges bounds the changes in one message; the rest follows in the next.
	maxSlowedChanges = 64
)

// FollowSlowed hears of the slowed runners of the peer at the other end of a
// connection until the peer is silent for too long or the context ends.
func FollowSlowed(ctx context.Context, conn *grpc.ClientConn, hear func(shard.SlowedChange)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(shard.SlowedExpiry, cancel)
	defer silence.Stop()
	call, err := taskpb.NewTasksClient(conn).Slowed(ctx, &taskpb.SlowedRequest{})
	if err != nil {
		return err
	}
	for first := true; ; first = false {
		reply, err := call.Recv()
		if err != nil {
			return err
		}
		silence.Reset(shard.SlowedExpiry)
		hear(shard.SlowedChange{Full: first, Added: decodeSlowed(reply.Added), Removed: decodeSlowed(reply.Removed)})
	}
}

// Slowed tells of the slowed runners of the shards that are held here.
func (s *tasksServer) Slowed(_ *taskpb.SlowedRequest, stream grpc.ServerStreamingServer[taskpb.SlowedReply]) error {
	ticker := time.NewTicker(slowedInterval)
	defer ticker.Stop()
	told := map[shard.Slowed]bool{}
	var sent time.Time
	for {
		change := shard.DiffSlowed(told, s.calls.Slowed(), maxSlowedChanges)
		changed := len(change.Added)+len(change.Removed) > 0
		if now := time.Now(); changed || now.Sub(sent) >= slowedHeartbeat {
			sent = now
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

func encodeSlowed(all []shard.Slowed) []*taskpb.SlowedRunners {
	var encoded []*taskpb.SlowedRunners
	for _, s := range all {
		encoded = append(encoded, &taskpb.SlowedRunners{Worker: s.Worker, Service: s.Service})
	}
	return encoded
}

func decodeSlowed(all []*taskpb.SlowedRunners) []shard.Slowed {
	var decoded []shard.Slowed
	for _, s := range all {
		decoded = append(decoded, shard.Slowed{Worker: s.Worker, Service: s.Service})
	}
	return decoded
}
