package oriolepond

import (
	"fmt"

	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// workerBufferBytes is the size of the read buffer and of the write buffer of a connection to a worker.
const workerBufferBytes = 1 << 10

// buildTaskPlane sets up the scheduling of batch tasks.
func (i *Instance) buildTaskPlane(client *store.Client) {
	s := i.Settings
	i.workerConns = &exchange.Pool{
		Dial:       i.dialer().DialContext,
		MaxAge:     connectionMaxAge,
		MaxIdle:    connectionMaxIdle,
		BufferSize: workerBufferBytes,
	}
	i.shards = &shard.Keeper{
		ID:           s.ID,
		Store:        client,
		Workers:      worker.NewClient(i.workerConns),
		TTL:          s.LeaseTTL,
		Interval:     s.WorkerInterval,
		IdleInterval: s.QuietWorkerInterval,
		ListLag:      s.ListLag,
		Members:      i.shardMembers,
		Config:       i.configs.Current,
		List:         i.currentList,
		Peer:         i.peerTasks,
		Log:          i.Log,
	}
	i.jobs = &shard.Router{
		Store:    client,
		Writer:   &store.Writer{Client: client, ID: s.ID + "/jobs"},
		Local:    i.shards.Calls(),
		Peer:     i.peerTasks,
		LeaderOf: i.shards.LeaderOf,
		Shards:   i.shards.Shards,
		Config:   i.configs.Current,
		List:     i.currentList,
	}
}

// shardMembers returns the instances that can lead shards.
func (i *Instance) shardMembers() []shard.Member {
	var members []shard.Member
	for _, p := range i.members.View().Peers {
		members = append(members, shard.Member{ID: p.ID, Region: p.Region})
	}
	return members
}

// peerTasks returns a client for a peer's task API.
func (i *Instance) peerTasks(instance string) (*shard.Calls, error) {
	p, known := i.members.View().Peer(instance)
	if !known {
		return nil, fmt.Errorf("instance %s is not a member", instance)
	}
	conn, err := i.peerConns.Conn(p.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peer.NewTasks(conn), nil
}
