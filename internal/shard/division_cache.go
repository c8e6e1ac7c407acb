package shard

import (
	"sync"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// divisionCache caches the division of the platform's list into shards, which is computed once for
// each version of the list or configuration, rather than once for each shard.
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
	d := &k.division
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(config, list)
	return Inputs{
		Config:  config,
		Listing: Listing{Workers: d.shards[id], Runners: d.runners},
		Quotas:  d.quotas.ForShard(id),
		Version: d.version,
	}
}

// divide returns the workers of each shard.
func (d *divisionCache) divide(config release.Config, list roster.List) map[string][]roster.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.update(config, list)
	return d.shards
}

// update divides the list again if it or the configuration has changed. o.mu must be held.
func (d *divisionCache) update(config release.Config, list roster.List) {
	if d.version > 0 && d.listVersion == list.Version && d.configRevision == config.Revision {
		return
	}
	d.version++
	d.listVersion = list.Version
	d.configRevision = config.Revision
	d.shards = Divide(list)
	d.runners = list.OfKind(roster.KindRunner)
	d.quotas = NewQuotas("", d.shards, config)
}
