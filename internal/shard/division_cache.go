package shard

import (
	"sync"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// divisionCache caches how the platform's list divides into shards, so that this is computed once
// for each list and not once for each shard.
type divisionCache struct {
	mu             sync.Mutex
	listVersion    uint64
	configRevision int64
	version        uint64
	shards         map[string][]roster.Instance
	runners        []roster.Instance
	quotas         Quotas
}

// inputs returns the current inputs of a shard's leader.
func (k *Keeper) inputs(id string) Inputs {
	config := k.Config()
	list := k.List()
	o := &k.division
	o.mu.Lock()
	defer o.mu.Unlock()
	o.update(config, list)
	return Inputs{
		Config:  config,
		Listing: Listing{Workers: o.shards[id], Runners: o.runners},
		Quotas:  o.quotas.ForShard(id),
		Version: o.version,
	}
}

// divide returns the workers of each shard.
func (o *divisionCache) divide(config release.Config, list roster.List) map[string][]roster.Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.update(config, list)
	return o.shards
}

// update divides the list again if it or the configuration has changed. o.mu must be held.
func (o *divisionCache) update(config release.Config, list roster.List) {
	if o.version > 0 && o.listVersion == list.Version && o.configRevision == config.Revision {
		return
	}
	o.version++
	o.listVersion = list.Version
	o.configRevision = config.Revision
	o.shards = Divide(list)
	o.runners = list.OfKind(roster.KindRunner)
	o.quotas = NewQuotas("", o.shards, config)
}
