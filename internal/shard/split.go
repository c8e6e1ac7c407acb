package shard

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// tasksPerShard is the number of tasks for which a job is given one shard. A job of n tasks is
// divided among n/tasksPerShard shards, rounded up, if its share has as many.
const tasksPerShard = 16

// ShardPart is a range of a job's tasks, with the shard that is responsible for it.
type ShardPart struct {
	Shard string
	task.Part
}

// Split divides a job among the shards of its share, in proportion to their processors. A small job
// goes to one or a few of them, which its identifier selects with the same proportions.
func (q Quotas) Split(s share.Share, p task.Part) []ShardPart {
	among := q.ShardsFor(s)
	if len(among) == 0 {
		return nil
	}
	n := min(len(among), (p.Tasks+tasksPerShard-1)/tasksPerShard)
	chosen := q.draw(among, p.ID, n)
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

// draw returns n consecutive shards of the sorted list. The first is selected by the hash of the
// key, with probabilities in proportion to the shards' weights.
func (q Quotas) draw(among []string, key string, n int) []string {
	among = slices.Clone(among)
	slices.Sort(among)
	total := int64(0)
	for _, id := range among {
		total += q.weights[id]
	}
	point := int64(xxhash.Sum64String(key) % uint64(max(1, total)))
	first := 0
	for point >= q.weights[among[first]] {
		point -= q.weights[among[first]]
		first++
	}
	var chosen []string
	for i := range n {
		chosen = append(chosen, among[(first+i)%len(among)])
	}
	return chosen
}

// JobID returns the identifier of a job, which encodes the job's shards: the unique string, then
// each region followed by the numbers of its shards.
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
