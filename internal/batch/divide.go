package batch

import (
	"slices"
	"time"
)

// Load is what a cell can take in, in thousandths of a core.
type Load struct {
	Capacity int64
	// Free is free for runs that hold processors, Idle for those that fill what
	// others leave; what waits for a worker is taken off both.
	Free int64
	Idle int64
	// LargestFree is the most that one worker has free for a run that holds processors.
	LargestFree int64
	// Labels counts the workers that carry a label.
	Labels map[string]int
}

// peerCell is what a core knows of another cell.
type peerCell struct {
	load Load
	// sent is what all homes are taken to have handed to the cell since its last load.
	sent need
}

// need is what a job takes of a cell, in thousandths of a core.
type need struct {
	hold int64
	fill int64
	// widest is what one worker has to have free for a single task.
	widest int64
}

// keepMargin is the part of a cell's processors by which another cell has to have
// more room before a job goes there: a move costs a commit and a look into the inbox.
const keepMargin = 0.005

// SetCell tells which part of a deployment the core decides for; it is called before Restore.
func (c *Core) SetCell(cell Cell) { c.cell = cell }

// SetPeers takes the loads of the other cells, by index, as far as they are
// known and fresh. A cell that is not among them is handed nothing.
func (c *Core) SetPeers(loads map[int]Load) {
	peers := make(map[int]*peerCell, len(loads))
	for i, load := range loads {
		peers[i] = &peerCell{load: load}
	}
	c.peers = peers
}

// Load returns what the cell can take in at present.
func (c *Core) Load(now time.Time) Load {
	l := Load{Labels: map[string]int{}}
	for _, w := range c.workers {
		if !c.mayTake(w, now) {
			continue
		}
		l.Capacity += int64(w.Capacity.Processors)
		l.Free += int64(w.free().Processors)
		l.LargestFree = max(l.LargestFree, int64(w.free().Processors))
		l.Idle += int64(c.idle(w, now))
		for _, label := range w.Labels {
			if label != w.Rack {
				l.Labels[label]++
			}
		}
	}
	for _, j := range c.active {
		for _, s := range j.stages {
			if s.queued == 0 {
				continue
			}
			waits := int64(s.queued) * int64(s.step.Size.Processors)
			l.Idle -= waits
			if !s.step.Filler {
				l.Free -= waits
			}
		}
	}
	return l
}

// needOf returns what a job takes while its widest step runs.
func needOf(j Job) need {
	var n need
	for _, s := range j.Steps {
		all := int64(s.Tasks) * int64(s.Size.Processors)
		if s.Filler {
			n.fill = max(n.fill, all)
		} else {
			n.hold = max(n.hold, all)
		}
	}
	return n
}

// left returns the part of a cell's processors that is left once it has taken in
// what was sent and a job.
func (l Load) left(sent, job need) float64 {
	if l.Capacity <= 0 {
		return -1
	}
	free := l.Free - sent.hold - job.hold
	if job.hold == 0 {
		free = l.Idle - sent.fill - sent.hold - job.fill
	}
	return float64(free) / float64(l.Capacity)
}

// has reports whether the cell has workers with all labels that a job requires.
func (l Load) has(j Job) bool {
	for _, s := range j.Steps {
		if s.RequiredLabel != "" && l.Labels[s.RequiredLabel] == 0 {
			return false
		}
	}
	return true
}

// cellFor returns the cell that is to run a job that has just come home: this
// one, unless another has clearly more room.
func (c *Core) cellFor(j Job, now time.Time) int {
	if c.cell.IsWhole() || !c.cell.IsHome(j.ID) || len(c.peers) == 0 {
		return c.cell.Index
	}
	n := needOf(j)
	if now.Sub(c.ownAt) >= ownEvery {
		c.own, c.ownAt = peerCell{load: c.Load(now)}, now
	}
	most := c.own.load.left(c.own.sent, n) + keepMargin
	if !c.own.load.has(j) {
		most = -1
	}
	best := c.roomiest(j, n, most, nil)
	c.reckon(best, n)
	return best
}

// roomiest returns the cell that has the most room left with a job, if that is
// more than a part of its processors and the cell is not barred; else this cell.
func (c *Core) roomiest(j Job, n need, most float64, barred []int) int {
	best := c.cell.Index
	for i := range c.cell.Count {
		p := c.peers[i]
		if p == nil || !p.load.has(j) || p.load.LargestFree < n.widest || slices.Contains(barred, i) {
			continue
		}
		if left := p.load.left(p.sent, n); left > most {
			best, most = i, left
		}
	}
	return best
}

// reckon counts what a cell is handed until its next load. The other homes see
// the same loads and do alike.
func (c *Core) reckon(cell int, n need) {
	to := &c.own
	if cell != c.cell.Index {
		to = c.peers[cell]
	}
	to.sent.hold += n.hold * int64(c.cell.Count)
	to.sent.fill += n.fill * int64(c.cell.Count)
}

// ownEvery is how long the core's own load counts without being summed up anew.
const ownEvery = 200 * time.Millisecond

// moveOut hands a job of which nothing has begun to another cell. What stays is a
// pointer, so that the job is found and never taken in twice.
func (c *Core) moveOut(j *job, to int) {
	j.state, j.movedTo, j.handing = Moved, to, true
	c.jobs[j.ID] = j
	c.mark(j)
	c.note(Note{Kind: NoteMoved, Job: j.ID, Cell: to})
}

// handCancel withdraws a job that goes to another cell, or went there.
func (c *Core) handCancel(j *job, now time.Time) {
	if !j.stored && !j.inFlight {
		j.state, j.handing = Queued, false
		c.finish(j, Cancelled, "cancelled by its caller", now)
		return
	}
	j.cancelAt = []int{j.movedTo}
	c.mark(j)
}

// ForwardedTo returns the cell to which a job was handed, once that is durable.
func (c *Core) ForwardedTo(id string) (int, bool) {
	j, ok := c.jobs[id]
	if !ok || j.state != Moved || !j.movedStored {
		return 0, false
	}
	return j.movedTo, true
}

// OldForwards returns jobs that were handed on longer ago than ended jobs are
// described, at most limit: their cell may have forgotten them.
func (c *Core) OldForwards(limit int, now time.Time) map[string]int {
	old := map[string]int{}
	for id, j := range c.jobs {
		if len(old) == limit {
			break
		}
		if j.state == Moved && j.movedStored && !j.removed && now.Sub(j.accepted) > c.timing.Retention && !now.Before(j.checkAt) {
			j.checkAt = now.Add(c.timing.Retention)
			old[id] = j.movedTo
		}
	}
	return old
}

// ForgetForward takes that the cell to which a job was handed does not know it any more.
func (c *Core) ForgetForward(id string) {
	if j, ok := c.jobs[id]; ok && j.state == Moved {
		j.removed = true
		c.mark(j)
	}
}
