package batch

import "hash/fnv"

// Cell is one of the parts into which the workers and jobs of a deployment are
// divided; each has a holder of its own. A worker belongs to one cell for good,
// and so does the home of a job, the cell that decides where the job goes. The
// zero value is a deployment that is not divided.
type Cell struct {
	Index int
	// Count is the number of cells; up to one means that there is no division.
	Count int
}

// IsWhole reports whether the deployment is not divided.
func (c Cell) IsWhole() bool { return c.Count <= 1 }

// HasWorker reports whether a worker belongs to the cell.
func (c Cell) HasWorker(id string) bool { return c.IsWhole() || cellOf(id, c.Count) == c.Index }

// IsHome reports whether the cell is the home of a job.
func (c Cell) IsHome(job string) bool { return HomeOf(job, c.Count) == c.Index }

// HomeOf returns the index of a job's home among a number of cells.
func HomeOf(job string, count int) int {
	if count <= 1 {
		return 0
	}
	return cellOf(job, count)
}

// cellOf spreads names evenly over cells.
func cellOf(name string, count int) int {
	h := fnv.New64a()
	h.Write([]byte(name))
	x := h.Sum64()
	// The low bits of the hash of like names are alike; a multiplication mixes them.
	x ^= x >> 32
	x *= 0x9e3779b97f4a7c15
	return int((x >> 32) % uint64(count))
}

// CellCount returns into how many cells a deployment is divided, by the number
// of its workers and the greatest part of a processor that an instance has.
func CellCount(workers int, share float64) int {
	if share <= 0 {
		return 1
	}
	byWork := int(float64(workers)*coresPerWorker/(holderPart*share)) + 1
	return max(1, min(byWork, workers/leastWorkers))
}

const (
	// coresPerWorker is the processor time, in cores, that a holder spends for one
	// worker under load: 2.5 starts a second at about a millisecond each with their
	// looks, ends and commits (docs/CAPACITY.md).
	coresPerWorker = 0.0025
	// holderPart is the part of an instance's processor that a holder may plan on;
	// the rest is for bursts and for the instance's own callers.
	holderPart = 0.5
	// leastWorkers is the least number of workers in a cell: fewer leave a wide step
	// too little room while other cells have some.
	leastWorkers = 300
)
