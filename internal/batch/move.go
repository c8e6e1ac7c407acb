package batch

import (
	"slices"
	"time"
)

// moveMargin is how much more free capacity another cell needs than this one before a job is handed
// over to it; both are shares of the cell's processors. A hand-over costs a commit and a read of
// the inbox.
const moveMargin = 0.005

// SetCell sets the cell of a divided deployment that the Core schedules. It is called before
// Restore.
func (c *Core) SetCell(cell Cell) { c.cell = cell }

// cpuNeedOf returns the processors that a job needs: those of its largest step with allocated
// processors, and those of its largest step of filler tasks.
func cpuNeedOf(j Job) cpuNeed {
	n := cpuNeed{service: j.Policy.Service}
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

// chooseCell returns the cell that runs a job which was submitted to its home: this cell, unless
// another one has clearly more free capacity.
func (c *Core) chooseCell(j Job, now time.Time) int {
	if c.cell.IsWhole() || !c.cell.IsHome(j.ID) || len(c.peers) == 0 {
		return c.cell.Index
	}
	need := cpuNeedOf(j)
	if now.Sub(c.ownLoadAt) >= ownLoadEvery {
		c.ownLoad, c.ownLoadAt = newCellLoad(c.Load(now)), now
	}
	minShare := c.ownLoad.shareLeft(need) + moveMargin
	if !c.ownLoad.forService(need.service).hasLabelsFor(j) {
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
		if peer == nil || slices.Contains(excluded, i) {
			continue
		}
		load := peer.forService(need.service)
		if !load.hasLabelsFor(j) || load.largestFree(need.label) < need.largestTask {
			continue
		}
		if share := peer.shareLeft(need); share > minShare {
			best, minShare = i, share
		}
	}
	return best
}

// assumeMoved adds a job's need to a cell's load until the cell's next load is known. It counts the
// need once for each cell, since the other cells know the same loads and choose the same cell for
// their own jobs.
func (c *Core) assumeMoved(cell int, need cpuNeed) {
	destination := c.ownLoad
	if cell != c.cell.Index {
		destination = c.peers[cell]
	}
	destination.assume(need, int64(c.cell.Count))
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
	if !j.isStored() && !j.inFlight {
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
	if !ok || j.storedState != Moved {
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
		if j.storedState == Moved && !j.removed && now.Sub(j.accepted) > c.timing.Retention && !now.Before(j.nextForwardCheck) {
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
