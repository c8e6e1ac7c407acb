package shard

import (
	"context"
	"errors"

	"github.com/oriolepond/oriolepond/internal/task"
)

// NotLeaderError says that another instance holds the shard, if any does.
type NotLeaderError struct {
	Shard  string
	Leader string
}

// Error returns the shard and its holder.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "shard " + e.Shard + " has no holder at present"
	}
	return "shard " + e.Shard + " is held by " + e.Leader
}

// HolderOf returns the holder that an error names, if it is a NotHolderError.
func HolderOf(err error) (string, bool) {
	var not *NotLeaderError
	if errors.As(err, &not) {
		return not.Leader, true
	}
	return "", false
}

// Calls are what the holder of a shard answers, here or on a peer.
type Calls struct {
	Submit   func(ctx context.Context, shard string, p task.Part) (task.Status, error)
	Describe func(ctx context.Context, shard, neighbour, id string) (task.Status, error)
	Cancel   func(ctx context.Context, shard, neighbour, id string) (task.Status, error)
	Accounts func(ctx context.Context, shard string) ([]Account, error)
	// Slowed returns the slowed runners of all shards that are held there; only a server needs it.
	Slowed func() []Slowed
	// FreeCapacity, Transfer and Report are made by the holder of another shard.
	FreeCapacity func(ctx context.Context, shard, from string, families []string) ([]FreeCapacity, error)
	Transfer     func(ctx context.Context, shard string, t Transfer) error
	Report       func(ctx context.Context, shard string, r Report) error
}
