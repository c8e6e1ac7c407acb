package shard

import (
	"context"
	"errors"

	"github.com/oriolepond/oriolepond/internal/task"
)

// NotLeaderError reports that this instance doesn't lead the shard. Leader is the instance that
// does, or empty if that isn't known.
type NotLeaderError struct {
	Shard  string
	Leader string
}

// Error returns a message that names the shard and its leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "shard " + e.Shard + " has no holder at present"
	}
	return "shard " + e.Shard + " is held by " + e.Leader
}

// LeaderOf returns the leader that an error names, if the error is a *NotLeaderError.
func LeaderOf(err error) (string, bool) {
	var notLeader *NotLeaderError
	if errors.As(err, &notLeader) {
		return notLeader.Leader, true
	}
	return "", false
}

// Calls are the functions that the leader of a shard serves, in this process or through a
// connection to a peer.
type Calls struct {
	Submit   func(ctx context.Context, shard string, p task.Part) (task.Status, error)
	Describe func(ctx context.Context, shard, neighbour, id string) (task.Status, error)
	Cancel   func(ctx context.Context, shard, neighbour, id string) (task.Status, error)
	Accounts func(ctx context.Context, shard string) ([]Account, error)
	// Slowed returns the slowed runners of all shards that the instance leads. It is nil in the
	// calls to a peer.
	Slowed func() []Slowed
	// FreeCapacity, Transfer and Report are called by the leaders of other shards.
	FreeCapacity func(ctx context.Context, shard, from string, families []string) ([]FreeCapacity, error)
	Transfer     func(ctx context.Context, shard string, t Transfer) error
	Report       func(ctx context.Context, shard string, r Report) error
}
