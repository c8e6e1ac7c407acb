package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/internal/placement"
)

// Core holds the jobs and workers of one cell for the cell's leader. It is not safe for concurrent
// use.
type Core struct {
	timing Timing
	cell   Cell
	// peers are the known loads of other cells, by cell index. ownLoad is this cell's load,
	// computed at ownLoadAt.
	peers     map[int]*cellLoad
	ownLoad   *cellLoad
	ownLoadAt time.Time
	// leaderSince is when this leader took over.
	leaderSince time.Time
	// uncontactedExpiry is the time by which all leases have expired on the workers that this
	// leader has not contacted yet.
	uncontactedExpiry time.Time
	// wallOffset is the offset that is added to monotonic time to get the time of day.
	wallOffset  time.Duration
	queueConfig QueueConfig
	// recordLimit is the size in bytes of the largest value that the store takes.
	recordLimit int

	jobs    map[string]*job
	workers map[string]*worker
	// unreadableJobs are the IDs of the records that could not be loaded.
	unreadableJobs map[string]bool
	// active lists the jobs that are neither final nor moved, in the order of acceptance.
	active []*job
	// dirty lists the jobs with changes that no commit contains yet.
	dirty  []*job
	health *placement.Health
	// headroom learns how much headroom each serving image loses beside other images.
	headroom interference.HeadroomModel
	// missed is the time for which targets were missed since the last call of TakeMissedTargets.
	missed MissedTargets
	images map[string]int
	// sortedWorkers are all workers, sorted by ID; nil after a change.
	sortedWorkers []*worker
	// nextStopRetry is when unanswered stop commands are checked next.
	nextStopRetry time.Time
	// demandUpdatedAt is when the demand pressure on workers was last updated.
	demandUpdatedAt time.Time
	// reserved are the workers that are reserved for a task. reservationsAt is when reservations
	// were last made.
	reserved       []*worker
	reservationsAt time.Time
	// transientDemands is the demand of short tasks that new long-running tasks respect, last observed
	// at demandAt. preemptedAt is when workers were last searched for runs to preempt.
	transientDemands map[demandKey]transientDemand
	demandAt         time.Time
	preemptedAt      time.Time
	// isolating are the workers with an isolated run. isolationSearches counts the searches for
	// more of them in the current plan.
	isolating         []*worker
	isolationSearches int
	// recentCrashes are the workers that have crashed recently.
	recentCrashes []failure
	// accepting are the workers that accept runs, quarantined those in quarantine that otherwise would, collected at
	// the beginning of each plan. searchStart is the index in accepting at which the next search for a worker begins.
	accepting   []*worker
	quarantined []*worker
	// contacts is what is known of the calls to workers.
	contacts contacts
	// renewalsUntil is until when earlier leaders may renew leases, as given to LimitRenewals.
	renewalsUntil time.Time
	// serviceUse is the use of each service, updated at the beginning of each plan.
	serviceUse  map[string]serviceUse
	searchStart int
	// changes counts the changes of workers. changed are the workers in accepting that have changed
	// since the previous plan that searched workers, changedForFillers those that may suit more filler
	// tasks since then; searchedAt is the value of changes in the current one, previousSearchedAt in
	// the previous one.
	changes            uint64
	changed            []*worker
	changedForFillers  []*worker
	searchedAt         uint64
	previousSearchedAt uint64
	// shortlist is that of the last search; its slice is reused.
	shortlist shortlist
	// ranks are the stages with queued tasks in the order of placement, as last returned by the
	// method waiting. Its next call reuses the slice.
	ranks []rank

	unresponsive unresponsiveRecord
	evacuations  evacuations
	// work counts for TakeWork.
	work Work

	// commands are to be sent, and the workers whose IDs are in polls are to be polled, without
	// waiting for a commit.
	commands []Command
	polls    map[string]bool
	// ackable are the IDs of workers with run ends that became durable.
	ackable map[string]bool
	notes   []Note
	// queries are to be sent to advisers. queriesInFlight counts those that were not answered yet.
	queries         []AdviserQuery
	queriesInFlight int
	nextJobExpiry   time.Time
}

// Note is a decision of the Core that the leader logs.
type Note struct {
	Kind NoteKind
	Job  string
	Task TaskName
	Run  int64
	// Worker is the worker concerned. Age is the duration that the kind of note is about, such as
	// how long a task waited or how long ago a worker last answered.
	Worker string
	Age    time.Duration
	Reason string
	// Remaining is how long the runs of an unresponsive worker wait until they are given up.
	Remaining time.Duration
	// Percent, TailRatio and Headroom belong to a NoteThrottled: the new throttle ratio, the worst
	// tail ratio on the worker (measured tail latency as a fraction of its target), and the least
	// headroom that is expected there.
	Percent int
	// Runs is the number of runs that a NoteWorkerCrashed is about, EarlyRuns how many of them are
	// not known to have lasted for earlyCrash.
	Runs      int
	EarlyRuns int
	// Crashes is the number of crashes that count for the task of a NoteCrashCounted or NoteGivenUp,
	// ConfirmedCrashes how many of them are confirmed.
	Crashes          int
	ConfirmedCrashes int
	// DataCentre is that of a NoteEvacuated or NoteReadmitted. Workers is the number of workers in an evacuated
	// one, Runs the number of runs there.
	DataCentre string
	Workers    int
	// Cell is the destination of a NoteMoved or NoteDelegated.
	Cell      int
	TailRatio float64
	Headroom  float64
	// Obstacles and the others below belong to a NoteWaits: how many workers that accept runs each
	// obstacle excludes, how many suitable ones are evacuated, and, for a filler task, the largest number
	// of idle processors on one that accepts runs, in cores, with filler runs counted by their declared
	// size and by what they use.
	Obstacles    []ObstacleCount
	DeclaredIdle float64
	MeasuredIdle float64
}

// ObstacleCount is the number of workers on which an obstacle keeps a task from running.
type ObstacleCount struct {
	Obstacle Obstacle
	Workers  int
}

// NoteKind is the kind of decision that a Note reports.
type NoteKind string

// The kinds of notes.
const (
	NoteAccepted           NoteKind = "accepted"
	NotePlaced             NoteKind = "placed"
	NoteEnded              NoteKind = "ended"
	NoteEndedAfterJob      NoteKind = "endedAfterJob"
	NoteJobEnded           NoteKind = "jobEnded"
	NoteStopping           NoteKind = "stopping"
	NoteUnconfirmed        NoteKind = "unclear"
	NoteLost               NoteKind = "lost"
	NoteWorkerUnresponsive NoteKind = "workerLost"
	NoteWorkerRecovered    NoteKind = "workerBack"
	NoteWorkerCrashed      NoteKind = "workerCrashed"
	NoteCrashCounted       NoteKind = "crashCounted"
	NoteGivenUp            NoteKind = "givenUp"
	NoteQuarantined        NoteKind = "quarantined"
	NoteThrottled          NoteKind = "paced"
	NoteOrphaned           NoteKind = "stray"
	NoteMoved              NoteKind = "moved"
	NoteDelegated          NoteKind = "lent"
	NoteWaits              NoteKind = "waits"
	NoteReserved           NoteKind = "reserved"
	NotePreempted          NoteKind = "preempted"
	NoteSetAside           NoteKind = "setAside"
	NoteResumed            NoteKind = "resumed"
	NoteEvacuated          NoteKind = "evacuated"
	NoteReadmitted         NoteKind = "readmitted"
)

// NewCore returns a Core without jobs. By uncontactedExpiry, all leases that earlier leaders granted
// must have expired; it applies to each worker until this leader contacts the worker.
func NewCore(timing Timing, now, uncontactedExpiry time.Time) *Core {
	health := placement.NewHealth()
	health.MinProbePause, health.MaxProbePause = minProbePause, maxProbePause
	return &Core{
		timing:            timing,
		leaderSince:       now,
		ownLoad:           newCellLoad(Load{}),
		uncontactedExpiry: uncontactedExpiry,
		jobs:              map[string]*job{},
		unreadableJobs:    map[string]bool{},
		workers:           map[string]*worker{},
		polls:             map[string]bool{},
		ackable:           map[string]bool{},
		health:            health,
		images:            map[string]int{},
		recordLimit:       DefaultRecordLimit,
		contacts:          contacts{seen: map[Witness]time.Time{}},
	}
}

// SetWallOffset sets the offset that is added to monotonic time to get the time of day.
func (c *Core) SetWallOffset(offset time.Duration) { c.wallOffset = offset }

// SetQueueConfig replaces the queue configuration. Jobs that were accepted before keep the policy of
// their acceptance.
func (c *Core) SetQueueConfig(config QueueConfig) {
	c.queueConfig = config
	for _, j := range c.active {
		c.completePolicy(&j.Job)
	}
	for _, w := range c.workers {
		c.markChanged(w)
	}
}

// completePolicy gives a job the policy in force if it has none: an earlier version, whose records
// have no policy, accepted it.
func (c *Core) completePolicy(j *Job) {
	q, known := c.queueConfig.Queues[j.Queue]
	if !known || j.Policy.Name != "" {
		return
	}
	if j.Policy.Service != "" {
		q.Service = j.Policy.Service
	}
	*j = j.WithPolicy(q)
}

// markDirty marks the job's record as changed, so that it is written by the next commit.
func (c *Core) markDirty(j *job) {
	if !j.dirty {
		j.dirty = true
		c.dirty = append(c.dirty, j)
	}
}

// removeDirty removes a job from those with changes.
func (c *Core) removeDirty(j *job) {
	c.dirty = slices.DeleteFunc(c.dirty, func(o *job) bool { return o == j })
}

// note records a decision for TakeNotes.
func (c *Core) note(n Note) { c.notes = append(c.notes, n) }

// TakeNotes returns the decisions since the last call.
func (c *Core) TakeNotes() []Note {
	notes := c.notes
	c.notes = nil
	return notes
}

// JobCount returns the number of jobs in memory, including those that ended recently.
func (c *Core) JobCount() int { return len(c.jobs) }

// HasJob reports whether a job is in memory, durable or not.
func (c *Core) HasJob(id string) bool { return c.jobs[id] != nil }

// MarkDirty marks a job's record as changed, so that it is written again.
func (c *Core) MarkDirty(id string) {
	if j, ok := c.jobs[id]; ok {
		c.markDirty(j)
	}
}

// MarkInInbox records that a job is stored in the cell's inbox. The job then counts as accepted,
// even if no record of it was committed yet.
func (c *Core) MarkInInbox(id string) {
	if j, ok := c.jobs[id]; ok {
		j.inInbox = true
		c.markDirty(j)
	}
}

// WorkerIDs returns the IDs of all known workers.
func (c *Core) WorkerIDs() []string {
	ids := make([]string, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	return ids
}

// HasWorker reports whether a worker is known.
func (c *Core) HasWorker(id string) bool { return c.workers[id] != nil }

// TakeAckable returns the IDs of workers for which run ends became durable since the last call, so
// that these ends can be acknowledged.
func (c *Core) TakeAckable() []string {
	var ids []string
	for id := range c.ackable {
		ids = append(ids, id)
	}
	clear(c.ackable)
	return ids
}

// WithdrawStart withdraws a start command that the leader is no longer allowed to send.
func (c *Core) WithdrawStart(cmd Command, now time.Time) {
	if cmd.run != nil && cmd.run.state == runPending {
		c.withdrawRun(cmd.run, now)
	}
}

// WithdrawUnsent withdraws all start commands that were not sent.
func (c *Core) WithdrawUnsent(now time.Time) {
	c.withdrawUnsent(now, func(*worker) bool { return true })
}

// withdrawUnsent withdraws the start commands for the selected workers that were not sent.
func (c *Core) withdrawUnsent(now time.Time, selected func(*worker) bool) {
	for _, w := range c.workersByID() {
		if !selected(w) {
			continue
		}
		for _, r := range sortedRuns(w.runs) {
			if r.state == runPending {
				c.withdrawRun(r, now)
			}
		}
	}
}

// LimitRenewals records that earlier leaders renew leases until the given time at most. It shortens
// the wait for the workers that this leader has not contacted yet.
func (c *Core) LimitRenewals(until time.Time) {
	c.renewalsUntil = until
	if latest := c.latestExpiry(until); latest.Before(c.uncontactedExpiry) {
		c.uncontactedExpiry = latest
	}
	for _, w := range c.workers {
		if w.contacted {
			continue
		}
		if expiry := later(c.expiryAfter(w, until), w.lateLeasesEnd); expiry.Before(w.leasesExpireAt) {
			w.leasesExpireAt = expiry
		}
	}
}

// UncontactedExpiry returns when runs are given up at a worker that this leader never contacts, at the latest.
func (c *Core) UncontactedExpiry() time.Time { return c.uncontactedExpiry }

// expiryAfter returns the time by which all leases that earlier leaders granted to a worker until the
// given time are guaranteed to have expired. A young worker that is known to have restarted may execute their
// calls late.
func (c *Core) expiryAfter(w *worker, until time.Time) time.Time {
	if len(w.runs) > 0 && !w.hasSettledRun() {
		if w.restarted {
			until = until.Add(maxLateness * c.timing.MaxLease)
		}
		return c.latestExpiry(until)
	}
	return until.Add(time.Duration(float64(lease.Longer(c.timing.Lease))/minClockRate) + expirySlack)
}
