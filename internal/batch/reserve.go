package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// A task that lasts and has lost its worker may wait for ever beside smaller ones that
// end, which take each bit of room as it comes free. So one that has waited for long
// gets a worker reserved: others are given only what it leaves there. Tasks that have
// not run yet get none: where lasting work exceeds the pool, they would take it from
// all that ends.

const (
	// reserveAfter is how long a task that lasts waits after its last run until a worker
	// is reserved for it: the platform allows it 6 s from its last run to its next, and most runs of
	// others end within two.
	reserveAfter = 1500 * time.Millisecond
	// reserveEvery is how often workers are looked for, which takes a look at each.
	reserveEvery = 200 * time.Millisecond
	// reserveLongest bounds a reservation, if the runs there do not end in time.
	reserveLongest = 5 * time.Second
	// reservedPart is of how many workers that take runs one may be reserved.
	reservedPart = 8
)

// release ends the reservations that are not needed any more, or came to nothing.
func (c *Core) release(now time.Time) {
	c.reserved = slices.DeleteFunc(c.reserved, func(w *worker) bool {
		if c.mayReserve(w.reservedFor, w, now) && now.Sub(w.reservedAt) < reserveLongest {
			return false
		}
		w.reservedFor = nil
		return true
	})
}

// reserve makes reservations in the order in which tasks are placed. It is called
// after placement.
func (c *Core) reserve(waiting []rank, now time.Time) {
	if now.Sub(c.reservedAt) < reserveEvery {
		return
	}
	c.reservedAt = now
	// hopeless are, by service, sizes for which no worker will have room.
	hopeless := map[string]share.Resources{}
	for _, r := range waiting {
		s := r.stage
		least, known := hopeless[s.job.service]
		if !s.wantsReservation() || known && least.Fits(s.step.Size) {
			continue
		}
		if !c.reserveFor(s, now) && s.step.isPlain() && !c.isAdvised(s) {
			hopeless[s.job.service] = s.step.Size
		}
	}
}

// wantsReservation reports whether tasks of the stage may get a worker reserved.
func (s *stage) wantsReservation() bool {
	return s.queued > 0 && s.step.LongRunning && !s.step.Filler && !s.step.Gang
}

// wantsReservation reports whether the task has lost its run and waited for long.
func (t *task) wantsReservation(now time.Time) bool {
	return t.state == taskQueued && t.lastRun > 0 && !now.Before(t.notBefore) && now.Sub(t.queuedAt) >= reserveAfter
}

// reserveFor reserves workers for the waiting tasks of a stage while there may be
// more, and reports whether none of them lacks a worker that will have room.
func (c *Core) reserveFor(s *stage, now time.Time) bool {
	most := max(1, len(c.open)/reservedPart)
	for _, t := range s.tasks {
		if len(c.reserved) >= most {
			return true
		}
		if !t.wantsReservation(now) || c.hasReserved(t) {
			continue
		}
		w := c.soonestRoom(t, now)
		if w == nil {
			return false
		}
		w.reservedFor, w.reservedAt = t, now
		c.reserved = append(c.reserved, w)
		c.note(Note{Kind: NoteReserved, Task: t.name(), Run: t.lastRun, Worker: w.ID, Age: now.Sub(t.queuedAt)})
	}
	return true
}

// mayReserve reports whether a worker can be, or stay, reserved for a task: it lacks
// only room, and has that once the runs which end by themselves have ended.
func (c *Core) mayReserve(t *task, w *worker, now time.Time) bool {
	if t.state != taskQueued || t.stage.job.state.Final() || t.stage.job.state == Moved || !c.mayTake(w, now) {
		return false
	}
	switch c.obstacle(t, w, now) {
	case noObstacle, NoProcessors, NoMemory:
		return t.stage.step.Size.Fits(w.free().Plus(w.passing()))
	}
	return false
}

// hasReserved reports whether a worker is reserved for a task.
func (c *Core) hasReserved(t *task) bool {
	return slices.ContainsFunc(c.reserved, func(w *worker) bool { return w.reservedFor == t })
}

// soonestRoom returns the worker that lacks the least for a task, or nil.
func (c *Core) soonestRoom(t *task, now time.Time) *worker {
	var best *worker
	var least share.MilliCores
	for _, w := range c.open {
		if w.reservedFor != nil || !c.mayReserve(t, w, now) {
			continue
		}
		if missing := t.stage.step.Size.Processors - w.free().Processors; best == nil || missing < least {
			best, least = w, missing
		}
	}
	return best
}

// passing returns what runs hold that end by themselves.
func (w *worker) passing() share.Resources {
	var sum share.Resources
	for _, r := range w.runs {
		if r.task.stage.step.LongRunning {
			continue
		}
		size := r.task.stage.step.Size
		if !r.holdsProcessors() {
			size.Processors = 0
		}
		sum = sum.Plus(size)
	}
	return sum
}

// freeFor returns what a task may hold on a worker: not what is reserved for another one.
func (w *worker) freeFor(t *task) share.Resources {
	free := w.free()
	if w.reservedFor != nil && w.reservedFor != t {
		free = free.Minus(w.reservedFor.stage.step.Size)
	}
	return free
}
