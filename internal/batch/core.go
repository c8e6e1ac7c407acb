package batch

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/internal/placement"
)

// Core holds all jobs and workers of a holder. It is not safe for concurrent use.
type Core struct {
	timing Timing
	cell   Cell
	// peers are the other cells, by index, as far as their loads are known, and
	// own is this cell as it was summed up at ownAt.
	peers map[int]*peerCell
	own   peerCell
	ownAt time.Time
	// began is when this holder took over.
	began time.Time
	// unheardUntil is when runs have lapsed on a worker that this holder never reached.
	unheardUntil time.Time
	// wall is what is added to the steady time for the time of day.
	wall  time.Duration
	table QueueConfig

	jobs    map[string]*job
	workers map[string]*worker
	// active are the jobs that are not final, in the order of acceptance.
	active []*job
	dirty  []*job
	health *placement.Health
	// headroom learns which images disturb which serving ones, and how much.
	headroom interference.HeadroomModel
	images   map[string]int
	// order are all workers in the order of their ids; nil after a change.
	order []*worker
	// retryAt is when stops without an answer are looked for next.
	retryAt time.Time
	// appraisedAt is when workers were last appraised for the images that fill.
	appraisedAt time.Time
	// reserved are the workers that are reserved for a task, reservedAt is when others were last looked for.
	reserved   []*worker
	reservedAt time.Time
	// open are the workers that may take runs, as found at the beginning of a
	// plan, and turn is where in them the next search begins.
	open []*worker
	turn int
	// short are the needs that found no worker in the present plan.
	short map[shortage]short
	// ranks is kept to save allocations.
	ranks []rank

	silences silences

	// stops and looks are orders that need no record.
	stops []Command
	looks map[string]bool
	// acked are workers with ends that became durable.
	acked map[string]bool
	notes []Note
	// questions are for advisers.
	questions []AdviserQuery
	expireAt  time.Time
}

// Note is a decision to be logged.
type Note struct {
	Kind NoteKind
	Job  string
	Task TaskName
	Run  int64
	// Worker is where, and Age how old what was known of it.
	Worker string
	Age    time.Duration
	Reason string
	// Percent is the pace of a NotePaced, Strain the worst tail against its target
	// by which it was decided, and Headroom the least that is expected there.
	Percent int
	// Cell is where a NoteMoved or NoteLent went.
	Cell      int
	TailRatio float64
	Headroom  float64
}

// NoteKind is what a Note tells of.
type NoteKind string

// The kinds of notes.
const (
	NoteAccepted           NoteKind = "accepted"
	NotePlaced             NoteKind = "placed"
	NoteEnded              NoteKind = "ended"
	NoteJobEnded           NoteKind = "jobEnded"
	NoteStopping           NoteKind = "stopping"
	NoteUnconfirmed        NoteKind = "unclear"
	NoteLost               NoteKind = "lost"
	NoteWorkerUnresponsive NoteKind = "workerLost"
	NoteWorkerRecovered    NoteKind = "workerBack"
	NoteQuarantined        NoteKind = "quarantined"
	NoteThrottled          NoteKind = "paced"
	NoteOrphaned           NoteKind = "stray"
	NoteMoved              NoteKind = "moved"
	NoteDelegated          NoteKind = "lent"
	NoteWaits              NoteKind = "waits"
	NoteReserved           NoteKind = "reserved"
)

const (
	// firstProbe and longestProbe are the pauses before a failing worker gets another task:
	// outages of a worker last some seconds.
	firstProbe   = 2 * time.Second
	longestProbe = 30 * time.Second
)

// NewCore returns a Core without jobs. Runs of earlier holders on workers
// that are never reached have lapsed by unheardUntil.
func NewCore(timing Timing, now, unheardUntil time.Time) *Core {
	health := placement.NewHealth()
	health.MinProbePause, health.MaxProbePause = firstProbe, longestProbe
	return &Core{
		timing:       timing,
		began:        now,
		unheardUntil: unheardUntil,
		jobs:         map[string]*job{},
		workers:      map[string]*worker{},
		looks:        map[string]bool{},
		acked:        map[string]bool{},
		health:       health,
		images:       map[string]int{},
		short:        map[shortage]short{},
	}
}

// SetWallOffset tells what has to be added to the steady time for the time of day.
func (c *Core) SetWallOffset(offset time.Duration) { c.wall = offset }

// SetQueueConfig puts a configuration in force.
func (c *Core) SetQueueConfig(t QueueConfig) {
	c.table = t
	for _, j := range c.active {
		if q, ok := t.Queues[j.Queue]; ok {
			j.service = q.Service
		}
	}
}

// mark notes that the job's record has changed.
func (c *Core) mark(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

func (c *Core) note(n Note) { c.notes = append(c.notes, n) }

// TakeNotes returns the decisions since the last call.
func (c *Core) TakeNotes() []Note {
	all := c.notes
	c.notes = nil
	return all
}

// Size returns the number of jobs that are kept.
func (c *Core) Size() int { return len(c.jobs) }

// HasJob reports whether a job is known, durable or not.
func (c *Core) HasJob(id string) bool { return c.jobs[id] != nil }

// MarkDirty has a job's record written again.
func (c *Core) MarkDirty(id string) {
	if j, ok := c.jobs[id]; ok {
		c.mark(j)
	}
}

// MarkInInbox takes that the store holds a job in the inbox: it is accepted, even
// if no record of it was committed yet.
func (c *Core) MarkInInbox(id string) {
	if j, ok := c.jobs[id]; ok {
		j.inInbox = true
		c.mark(j)
	}
}

// WorkerIDs returns all workers that are known.
func (c *Core) WorkerIDs() []string {
	all := make([]string, 0, len(c.workers))
	for id := range c.workers {
		all = append(all, id)
	}
	return all
}

// HasWorker reports whether a worker is known.
func (c *Core) HasWorker(id string) bool { return c.workers[id] != nil }

// TakeAckable returns the workers of which further ends may be acknowledged.
func (c *Core) TakeAckable() []string {
	var all []string
	for id := range c.acked {
		all = append(all, id)
	}
	clear(c.acked)
	return all
}

// WithdrawStart takes back a start that the holder may not send any more.
func (c *Core) WithdrawStart(o Command, now time.Time) {
	if o.run != nil && o.run.state == runIntended {
		c.unplace(o.run, now)
	}
}

// ShortenUncontactedExpiry takes that the earlier holder renews nothing any more, so that
// what runs on workers that were never reached lapses within the longest lease.
func (c *Core) ShortenUncontactedExpiry(now time.Time) {
	until := c.longestLapse(now)
	if until.After(c.unheardUntil) {
		return
	}
	c.unheardUntil = until
	for _, w := range c.workers {
		if !w.adopted && w.lapseAt.After(until) {
			w.lapseAt = until
		}
	}
}
