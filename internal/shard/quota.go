package shard

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// minTasksPerAllocation limits the number of shards among which a share's quota is divided: each
// shard's allocation must be large enough for this many tasks of the share's largest job family,
// unless only one shard gets the quota.
const minTasksPerAllocation = 8

// Quotas divides the quotas of shares among shards. The result depends only on the list and the
// configuration, so all instances agree on it. The allocations of a quota never add up to more than
// the quota.
type Quotas struct {
	shard  string
	config release.Config
	// weights are the processors of each shard, in thousandths of a core.
	weights map[string]int64
}

// NewQuotas returns the Quotas of one shard, given the workers of all shards.
func NewQuotas(shard string, shards map[string][]roster.Instance, config release.Config) Quotas {
	q := Quotas{shard: shard, config: config, weights: map[string]int64{}}
	for id, workers := range shards {
		for _, w := range workers {
			q.weights[id] += int64(w.Capacity.Processors)
		}
	}
	return q
}

// ForShard returns the same Quotas for another shard, whose allocations Allocation then returns.
func (q Quotas) ForShard(shard string) Quotas {
	q.shard = shard
	return q
}

// Allocation returns the shard's allocation of the quota of a share.
func (q Quotas) Allocation(s share.Share) share.Resources {
	shards := q.ShardsFor(s)
	i := slices.Index(shards, q.shard)
	if i < 0 {
		return share.Resources{}
	}
	total, before := int64(0), int64(0)
	for n, id := range shards {
		total += q.weights[id]
		if n < i {
			before += q.weights[id]
		}
	}
	after := before + q.weights[q.shard]
	allocation := func(amount int64) int64 { return proportion(amount, after, total) - proportion(amount, before, total) }
	return share.Resources{
		Processors:   share.MilliCores(allocation(int64(s.Quota.Processors))),
		Memory:       share.Bytes(allocation(int64(s.Quota.Memory))),
		Accelerators: share.Accelerators(allocation(int64(s.Quota.Accelerators))),
	}
}

// ProcessorFraction returns the shard's fraction of all processors.
func (q Quotas) ProcessorFraction() float64 {
	total := int64(0)
	for _, n := range q.weights {
		total += n
	}
	if total == 0 {
		return 0
	}
	return float64(q.weights[q.shard]) / float64(total)
}

// proportion returns amount*n/total without overflow.
func proportion(amount, n, total int64) int64 {
	if total == 0 {
		return 0
	}
	return amount/total*n + amount%total*n/total
}

// ShardsFor returns the shards among which a share's quota is divided. They are shards of its
// neighbour's region, and as many as the quota is large enough for, see minTasksPerAllocation.
func (q Quotas) ShardsFor(s share.Share) []string {
	shards := q.regionShards(s)
	largest := share.Resources{}
	for _, j := range q.config.Jobs {
		if j.Share == s.Name {
			largest.Processors = max(largest.Processors, j.Size.Processors)
			largest.Memory = max(largest.Memory, j.Size.Memory)
			largest.Accelerators = max(largest.Accelerators, j.Size.Accelerators)
		}
	}
	n := len(shards)
	for n > 1 && !largest.Times(minTasksPerAllocation*n).Fits(s.Quota) {
		n--
	}
	slices.SortFunc(shards, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(b, s.Name), rank(a, s.Name)), cmp.Compare(a, b))
	})
	return shards[:n]
}

// regionShards returns the shards of the region of a share's neighbour that have processors, or
// those of all regions if that region has none.
func (q Quotas) regionShards(s share.Share) []string {
	region := ""
	for _, n := range q.config.Neighbours {
		if n.Name == s.Neighbour {
			region = n.Region
		}
	}
	var local, anyRegion []string
	for _, id := range slices.Sorted(maps.Keys(q.weights)) {
		if q.weights[id] == 0 {
			continue
		}
		anyRegion = append(anyRegion, id)
		if RegionOf(id) == region {
			local = append(local, id)
		}
	}
	if len(local) > 0 {
		return local
	}
	return anyRegion
}
