package shard

import (
	"sync"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// outlook keeps the list divided among shards, so that it is divided once for
// each list and not once for each shard.
type outlook struct {
	mu       sync.Mutex
	list     uint64
	revision int64
	version  uint64
	shards   map[string][]roster.Instance
	runners  []roster.Instance
	quotas   Quotas
}

// situation returns what the holder of a shard is told.
func (k *Keeper) situation(id string) Situation {
	config := k.Config()
	list := k.List()
	o := &k.outlook
	o.mu.Lock()
	defer o.mu.Unlock()
	o.update(config, list)
	return Situation{
		Config:  config,
		Listing: Listing{Workers: o.shards[id], Runners: o.runners},
		Quotas:  o.quotas.For(id),
		Version: o.version,
	}
}

// divide returns the workers of each shard.
func (o *outlook) divide(config release.Config, list roster.List) map[string][]roster.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.update(config, list)
	return o.shards
}

// update divides the list if it or the configuration has changed; o.mu is held.
func (o *outlook) update(config release.Config, list roster.List) {
	if o.version > 0 && o.list == list.Version && o.revision == config.Revision {
		return
	}
	o.version++
	o.list = list.Version
	o.revision = config.Revision
	o.shards = Divide(list)
	o.runners = list.OfKind(roster.KindRunner)
	o.quotas = NewQuotas("", o.shards, config)
}
