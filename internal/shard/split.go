package shard

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// tasksPerShard limits the number of shards among which a job is divided: a job of n tasks gets
// n/tasksPerShard shards, rounded up, or all shards of its share if there are fewer.
const tasksPerShard = 16

// ShardPart is a range of a job's tasks, with the shard that is responsible for it.
type ShardPart struct {
	Shard string
	task.Part
}

// Split divides a job among the shards of its share, in proportion to their processors. A small job
// goes to one or a few of them. The hash of its identifier selects which, with probabilities in the
// same proportion.
func (q Quotas) Split(s share.Share, p task.Part) []ShardPart {
	shards := q.ShardsFor(s)
	if len(shards) == 0 {
		return nil
	}
	n := min(len(shards), (p.Tasks+tasksPerShard-1)/tasksPerShard)
	chosen := q.selectShards(shards, p.ID, n)
	total, before := int64(0), int64(0)
	for _, id := range chosen {
		total += q.weights[id]
	}
	var parts []ShardPart
	for _, id := range chosen {
		after := before + q.weights[id]
		first := proportion(int64(p.Tasks), before, total)
		part := p
		part.First = int(first)
		part.Tasks = int(proportion(int64(p.Tasks), after, total) - first)
		before = after
		if part.Tasks > 0 {
			parts = append(parts, ShardPart{Shard: id, Part: part})
		}
	}
	return parts
}

// selectShards returns n consecutive shards of the sorted list. The first is selected by the hash
// of the key, with probabilities in proportion to the shards' weights.
func (q Quotas) selectShards(shards []string, key string, n int) []string {
	shards = slices.Clone(shards)
	slices.Sort(shards)
	total := int64(0)
	for _, id := range shards {
		total += q.weights[id]
	}
	point := int64(xxhash.Sum64String(key) % uint64(max(1, total)))
	first := 0
	for point >= q.weights[shards[first]] {
		point -= q.weights[shards[first]]
		first++
	}
	var chosen []string
	for i := range n {
		chosen = append(chosen, shards[(first+i)%len(shards)])
	}
	return chosen
}

// JobID returns the identifier of a job, which encodes the job's shards: the unique string, then
// each region followed by the numbers of its shards, as in "0197~bajio.3.0~norte.1".
func JobID(unique string, shards []string) string {
	var b strings.Builder
	b.WriteString(unique)
	region := ""
	for _, id := range shards {
		if r := RegionOf(id); r != region {
			region = r
			b.WriteString("~" + r)
		}
		b.WriteString(id[strings.LastIndexByte(id, '.'):])
	}
	return b.String()
}

// ShardsOf returns the shards that the identifier of a job encodes, or none if it isn't a job's
// identifier.
func ShardsOf(job string) []string {
	var shards []string
	for _, named := range strings.Split(job, "~")[1:] {
		fields := strings.Split(named, ".")
		region := fields
		for len(region) > 1 && isShardNumber(region[len(region)-1]) {
			region = region[:len(region)-1]
		}
		for _, n := range fields[len(region):] {
			shards = append(shards, strings.Join(region, ".")+"."+n)
		}
	}
	return shards
}

func isShardNumber(s string) bool {
	n, err := strconv.ParseUint(s, 10, 8)
	return err == nil && n < PerRegion
}
