package batch

import (
	"cmp"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Load is the capacity of a cell for more jobs, in thousandths of a core.
type Load struct {
	Capacity int64
	// Free is what is free for tasks that are allocated processors, Idle what is idle for filler
	// tasks. The size of queued tasks is already deducted from both; queued filler tasks count only
	// for Idle.
	Free int64
	Idle int64
	// LargestFree is the largest amount that is free on a single worker.
	LargestFree int64
	// FreeForLost is what each worker can give to long-running tasks that have lost their runs: what
	// is not allocated to other long-running tasks nor reserved. Only the maxFreeForLost workers with
	// the most processors are listed, the largest first.
	FreeForLost []share.Resources
	// Labels counts the workers that carry each label, without rack names.
	Labels map[string]int
}

// maxFreeForLost limits the size of a published load.
const maxFreeForLost = 64

// cellLoad is the last known load of a cell, with the estimated need of the jobs that it was given
// since.
type cellLoad struct {
	load Load
	// assumed is the need of the jobs that all cells together are assumed to have sent to the cell
	// since its load was computed.
	assumed cpuNeed
}

// cpuNeed is the number of processors that a job needs, in thousandths of a core.
type cpuNeed struct {
	// allocated is the need of tasks that are allocated processors, filler that of filler tasks.
	allocated int64
	filler    int64
	// largestTask is what has to be free on one worker for a single task.
	largestTask int64
}

// moveMargin is how much more free capacity another cell needs than this one before a job is handed
// over to it; both are shares of the cell's processors. A hand-over costs a commit and a read of
// the inbox.
const moveMargin = 0.005

// SetCell sets the cell of a divided deployment that the Core schedules. It is called before
// Restore.
func (c *Core) SetCell(cell Cell) { c.cell = cell }

// SetPeers replaces the known loads of the other cells, by cell index. The caller leaves out
// outdated loads; a cell whose load is not known gets no jobs.
func (c *Core) SetPeers(loads map[int]Load) {
	peers := make(map[int]*cellLoad, len(loads))
	for i, load := range loads {
		load.FreeForLost = slices.Clone(load.FreeForLost)
		peers[i] = &cellLoad{load: load}
	}
	c.peers = peers
}

// Load returns the present load of the cell.
func (c *Core) Load(now time.Time) Load {
	l := Load{Labels: map[string]int{}}
	for _, w := range c.workers {
		if !c.acceptsRuns(w, now) {
			continue
		}
		l.Capacity += int64(w.Capacity.Processors)
		// A worker whose capacity has shrunk may be allocated more than it has.
		l.Free += max(0, int64(w.free().Processors))
		l.LargestFree = max(l.LargestFree, int64(w.free().Processors))
		l.Idle += int64(c.idleProcessors(w, now))
		if w.reservedFor == nil && w.isolated == nil {
			l.FreeForLost = append(l.FreeForLost, w.free().Plus(w.transientUse()))
		}
		for _, label := range w.Labels {
			if label != w.Rack {
				l.Labels[label]++
			}
		}
	}
	slices.SortFunc(l.FreeForLost, func(a, b share.Resources) int { return cmp.Compare(b.Processors, a.Processors) })
	l.FreeForLost = l.FreeForLost[:min(len(l.FreeForLost), maxFreeForLost)]
	for _, j := range c.active {
		for _, s := range j.stages {
			if s.queued == 0 {
				continue
			}
			waiting := int64(s.queued) * int64(s.step.Size.Processors)
			l.Idle -= waiting
			if !s.step.Filler {
				l.Free -= waiting
			}
		}
	}
	return l
}

// cpuNeedOf returns the processors that a job needs: those of its largest step with allocated
// processors, and those of its largest step of filler tasks.
func cpuNeedOf(j Job) cpuNeed {
	var n cpuNeed
	for _, s := range j.Steps {
		processors := int64(s.Tasks) * int64(s.Size.Processors)
		if s.Filler {
			n.filler = max(n.filler, processors)
		} else {
			n.allocated = max(n.allocated, processors)
		}
	}
	return n
}

// shareLeft returns the share of the cell's processors that would remain free after the assumed
// need and a job's need are met.
func (l Load) shareLeft(assumed, job cpuNeed) float64 {
	if l.Capacity <= 0 {
		return -1
	}
	free := l.Free - assumed.allocated - job.allocated
	if job.allocated == 0 {
		free = l.Idle - assumed.filler - assumed.allocated - job.filler
	}
	return float64(free) / float64(l.Capacity)
}

// hasLabelsFor reports whether the cell has workers with all labels that a job requires.
func (l Load) hasLabelsFor(j Job) bool {
	for _, s := range j.Steps {
		if s.RequiredLabel != "" && l.Labels[s.RequiredLabel] == 0 {
			return false
		}
	}
	return true
}

// chooseCell returns the cell that runs a job which was submitted to its home: this cell, unless
// another one has clearly more free capacity.
func (c *Core) chooseCell(j Job, now time.Time) int {
	if c.cell.IsWhole() || !c.cell.IsHome(j.ID) || len(c.peers) == 0 {
		return c.cell.Index
	}
	need := cpuNeedOf(j)
	if now.Sub(c.ownLoadAt) >= ownLoadEvery {
		c.ownLoad, c.ownLoadAt = cellLoad{load: c.Load(now)}, now
	}
	minShare := c.ownLoad.load.shareLeft(c.ownLoad.assumed, need) + moveMargin
	if !c.ownLoad.load.hasLabelsFor(j) {
		minShare = -1
	}
	best := c.cellWithMostCapacity(j, need, minShare, nil)
	c.assumeMoved(best, need)
	return best
}

// cellWithMostCapacity returns the cell with the most free capacity after the job's need is met,
// among those that are not excluded and where more than minShare remains free. If there is none, it
// returns this cell.
func (c *Core) cellWithMostCapacity(j Job, need cpuNeed, minShare float64, excluded []int) int {
	best := c.cell.Index
	for i := range c.cell.Count {
		peer := c.peers[i]
		if peer == nil || !peer.load.hasLabelsFor(j) || peer.load.LargestFree < need.largestTask || slices.Contains(excluded, i) {
			continue
		}
		if share := peer.load.shareLeft(peer.assumed, need); share > minShare {
			best, minShare = i, share
		}
	}
	return best
}

// assumeMoved adds a job's need to a cell's load until the cell's next load is known. It counts the
// need once for each cell, since the other cells know the same loads and choose the same cell for
// their own jobs.
func (c *Core) assumeMoved(cell int, need cpuNeed) {
	destination := &c.ownLoad
	if cell != c.cell.Index {
		destination = c.peers[cell]
	}
	destination.assumed.allocated += need.allocated * int64(c.cell.Count)
	destination.assumed.filler += need.filler * int64(c.cell.Count)
}

// ownLoadEvery is how long the cell's own load is used before it is computed again.
const ownLoadEvery = 200 * time.Millisecond

// handOver makes the next commit hand over a job without runs to another cell. This cell keeps a
// forwarding record, so that the job can be found and is not accepted a second time.
func (c *Core) handOver(j *job, to int) {
	j.state, j.forwardedTo, j.handOverPending = Moved, to, true
	c.jobs[j.ID] = j
	c.markDirty(j)
	c.note(Note{Kind: NoteMoved, Job: j.ID, Cell: to})
}

// forwardCancel cancels a job that was handed over, or takes the job back if its hand-over is not
// part of a commit yet.
func (c *Core) forwardCancel(j *job, now time.Time) {
	if !j.stored && !j.inFlight {
		j.state, j.handOverPending = Queued, false
		c.finish(j, Cancelled, "cancelled by its caller", now)
		return
	}
	j.cancelCells = []int{j.forwardedTo}
	c.markDirty(j)
}

// ForwardedTo returns the cell to which a job was handed over, once that is durable.
func (c *Core) ForwardedTo(id string) (int, bool) {
	j, ok := c.jobs[id]
	if !ok || j.state != Moved || !j.forwardStored {
		return 0, false
	}
	return j.forwardedTo, true
}

// OldForwards returns, for up to limit jobs that were accepted longer ago than Retention, the cells
// that they were handed over to. These cells may have removed the jobs.
func (c *Core) OldForwards(limit int, now time.Time) map[string]int {
	old := map[string]int{}
	for id, j := range c.jobs {
		if len(old) == limit {
			break
		}
		if j.state == Moved && j.forwardStored && !j.removed && now.Sub(j.accepted) > c.timing.Retention && !now.Before(j.nextForwardCheck) {
			j.nextForwardCheck = now.Add(c.timing.Retention)
			old[id] = j.forwardedTo
		}
	}
	return old
}

// ForgetForward removes a job's forwarding record, because the cell that it names no longer knows
// the job.
func (c *Core) ForgetForward(id string) {
	if j, ok := c.jobs[id]; ok && j.state == Moved {
		j.removed = true
		c.markDirty(j)
	}
}
