package shard

import (
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/roster"
)

// outlook keeps the list divided among shards, so that it is divided once for
// each list and not once for each shard.
type outlook struct {
	mu       sync.Mutex
	readAt   time.Time
	revision int64
	version  uint64
	shards   map[string][]roster.Instance
	runners  []roster.Instance
}

// situation returns what the holder of a shard is told.
func (k *Keeper) situation(id string) Situation {
	config := k.Config()
	list := k.List()
	o := &k.outlook
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.version == 0 || !o.readAt.Equal(list.At) || o.revision != config.Revision {
		o.version++
		o.readAt = list.At
		o.revision = config.Revision
		o.shards = Divide(list)
		o.runners = list.OfKind(roster.KindRunner)
	}
	return Situation{
		Config:  config,
		Listing: Listing{Workers: o.shards[id], Runners: o.runners},
		Quotas:  NewQuotas(id, o.shards, config),
		Version: o.version,
	}
}
