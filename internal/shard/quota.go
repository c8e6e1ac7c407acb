package shard

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// minTasksPerAllocation is how many tasks of a share's largest job family its part of
// a quota holds at least, unless the whole quota holds fewer.
const minTasksPerAllocation = 8

// Quotas divides the quotas of shares among shards. It is a pure function of
// the list and the configuration, so that all instances agree on it; the parts
// of a quota never exceed it in sum.
type Quotas struct {
	shard  string
	config release.Config
	// weights are the numbers of processors of the shards.
	weights map[string]int64
}

// NewQuotas returns the parts of one shard.
func NewQuotas(shard string, shards map[string][]roster.Instance, config release.Config) Quotas {
	q := Quotas{shard: shard, config: config, weights: map[string]int64{}}
	for id, workers := range shards {
		for _, w := range workers {
			q.weights[id] += int64(w.Capacity.Processors)
		}
	}
	return q
}

// ForShard returns the parts of another shard.
func (q Quotas) ForShard(shard string) Quotas {
	q.shard = shard
	return q
}

// Allocation returns the shard's part of the quota of a share.
func (q Quotas) Allocation(s share.Share) share.Resources {
	among := q.ShardsFor(s)
	i := slices.Index(among, q.shard)
	if i < 0 {
		return share.Resources{}
	}
	total, before := int64(0), int64(0)
	for n, id := range among {
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

// ProcessorFraction returns the shard's part of all processors.
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

// proportion returns amount times n over total without overflow.
func proportion(amount, n, total int64) int64 {
	if total == 0 {
		return 0
	}
	return amount/total*n + amount%total*n/total
}

// ShardsFor returns the shards that a share's quota is divided among: those of its
// neighbour's region, as many as the quota feeds with tasks.
func (q Quotas) ShardsFor(s share.Share) []string {
	among := q.regionShards(s)
	largest := share.Resources{}
	for _, j := range q.config.Jobs {
		if j.Share == s.Name {
			largest.Processors = max(largest.Processors, j.Size.Processors)
			largest.Memory = max(largest.Memory, j.Size.Memory)
			largest.Accelerators = max(largest.Accelerators, j.Size.Accelerators)
		}
	}
	n := len(among)
	for n > 1 && !largest.Times(minTasksPerAllocation*n).Fits(s.Quota) {
		n--
	}
	slices.SortFunc(among, func(a, b string) int {
		return cmp.Or(cmp.Compare(rank(b, s.Name), rank(a, s.Name)), cmp.Compare(a, b))
	})
	return among[:n]
}

// regionShards returns the shards of a share's region, or all if it has none.
func (q Quotas) regionShards(s share.Share) []string {
	region := ""
	for _, n := range q.config.Neighbours {
		if n.Name == s.Neighbour {
			region = n.Region
		}
	}
	var local, all []string
	for _, id := range slices.Sorted(maps.Keys(q.weights)) {
		if q.weights[id] == 0 {
			continue
		}
		all = append(all, id)
		if RegionOf(id) == region {
			local = append(local, id)
		}
	}
	if len(local) > 0 {
		return local
	}
	return all
}
