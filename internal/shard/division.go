package shard

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/oriolepond/oriolepond/internal/roster"
)

// PerRegion is the number of shards of a region. It is fixed, because a rack must not change its
// shard while tasks run there. A shard commits at most ten times a second, so two regions stay
// below 100 writes a second.
const PerRegion = 4

// Of returns the name of the shard that a worker belongs to. All workers of a rack belong to the
// same shard.
func Of(w roster.Instance) string {
	return fmt.Sprintf("%s.%d", w.Region, xxhash.Sum64String(w.Rack)%PerRegion)
}

// RegionOf returns the region of a shard.
func RegionOf(id string) string {
	return id[:max(0, strings.LastIndexByte(id, '.'))]
}

// Divide returns the workers of each shard.
func Divide(l roster.List) map[string][]roster.Instance {
	shards := map[string][]roster.Instance{}
	for _, w := range l.OfKind(roster.KindWorker) {
		id := Of(w)
		shards[id] = append(shards[id], w)
	}
	return shards
}

// Member is an instance that can lead shards.
type Member struct {
	ID     string
	Region string
}

// Assign returns the member that leads each shard. Within a region, the numbers of shards per
// member differ by at most one, and a change of members reassigns few shards. If a region has no
// members, its shards go to the members of all regions.
func Assign(shards []string, members []Member) map[string]string {
	assigned := map[string]string{}
	byRegion := map[string][]string{}
	for _, id := range shards {
		byRegion[RegionOf(id)] = append(byRegion[RegionOf(id)], id)
	}
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		var local, anyRegion []string
		for _, m := range members {
			anyRegion = append(anyRegion, m.ID)
			if m.Region == region {
				local = append(local, m.ID)
			}
		}
		if len(local) == 0 {
			local = anyRegion
		}
		if len(local) > 0 {
			assign(assigned, byRegion[region], local)
		}
	}
	return assigned
}

// assign assigns each shard to its highest-ranked member that is below the limit of shards per
// member.
func assign(assigned map[string]string, shards, members []string) {
	slices.Sort(shards)
	limit := (len(shards) + len(members) - 1) / len(members)
	counts := map[string]int{}
	for _, id := range shards {
		ranked := slices.Clone(members)
		slices.SortFunc(ranked, func(a, b string) int {
			return cmp.Or(cmp.Compare(rank(id, b), rank(id, a)), cmp.Compare(a, b))
		})
		for _, m := range ranked {
			if counts[m] < limit {
				counts[m]++
				assigned[id] = m
				break
			}
		}
	}
}

// rank returns the weight of a member for a shard in rendezvous hashing. ShardsFor ranks shards for
// a share in the same way.
func rank(id, member string) uint64 {
	return xxhash.Sum64String(id + "\x00" + member)
}
