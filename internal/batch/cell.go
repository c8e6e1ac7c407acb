package batch

import "hash/fnv"

// Cell is one of the partitions into which the workers and jobs of a deployment are divided; each
// has a leader of its own. A worker belongs to one cell permanently. Each job has a permanent home:
// the cell that the hash of the job's ID selects. The home decides which cell runs the job. The
// zero value is the only cell of an undivided deployment.
type Cell struct {
	Index int
	// Count is the number of cells; 0 and 1 mean that the deployment is undivided.
	Count int
}

// IsWhole reports whether the deployment is undivided.
func (c Cell) IsWhole() bool { return c.Count <= 1 }

// HasWorker reports whether a worker belongs to the cell.
func (c Cell) HasWorker(id string) bool { return c.IsWhole() || cellOf(id, c.Count) == c.Index }

// IsHome reports whether the cell is the home of a job.
func (c Cell) IsHome(job string) bool { return HomeOf(job, c.Count) == c.Index }

// HomeOf returns the index of a job's home among count cells.
func HomeOf(job string, count int) int {
	if count <= 1 {
		return 0
	}
	return cellOf(job, count)
}

// cellOf distributes names evenly over count cells by their hashes.
func cellOf(name string, count int) int {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64()
	// The low bits of the hashes of similar names are similar; the multiplication mixes them.
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return int((x >> 32) % uint64(count))
}

// CellCount returns the number of cells into which a deployment with a number of workers is
// divided. The share is the processor time, in cores, of the instance that has the most.
func CellCount(workers int, share float64) int {
	if share <= 0 {
		return 1
	}
	byLeaderLoad := int(float64(workers)*coresPerWorker/(leaderCPUShare*share)) + 1
	return max(1, min(byLeaderLoad, workers/minWorkersPerCell))
}

const (
	// coresPerWorker is the processor time, in cores, that a leader spends on one worker under
	// load: 2.5 starts a second at about a millisecond each, including their polls, ends and
	// commits (docs/CAPACITY.md).
	coresPerWorker = 0.0025
	// leaderCPUShare is the share of an instance's processor that a leader may be planned to use.
	// The rest is for bursts and for the instance's own callers.
	leaderCPUShare = 0.5
	// minWorkersPerCell is the smallest number of workers in a cell. With fewer, a step with many
	// tasks finds too little free capacity while other cells have some.
	minWorkersPerCell = 300
)
