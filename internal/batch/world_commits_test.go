package batch

import (
	"time"

	"github.com/stretchr/testify/require"
)

// simCommitFaults are the durations and outcomes of commits. The zero value means that each commit takes
// simCommitTime and is carried out.
type simCommitFaults struct {
	// latency is the mean time that a request to the store and its answer take each.
	latency time.Duration
	// lost is the probability that a request or its answer is lost, late that a request is carried out up to 4 s late.
	lost float64
	late float64
	// rejection is the mean time between periods of up to 1.5 s in which the store carries out nothing, and says so.
	rejection time.Duration
	// silence is the mean time between periods of up to 7 s in which the store does not answer the leader, which loses its key
	// in most of them.
	silence time.Duration
	// freeze is the mean time between periods of up to 6 s in which the leader does nothing; half of the times it is replaced.
	freeze time.Duration
}

func (f simCommitFaults) areEnabled() bool { return f != simCommitFaults{} }

// The times of the leader's commits, as in the package scheduler.
const (
	simCommitTime         = 5 * time.Millisecond
	simCommitTimeout      = 700 * time.Millisecond
	simCommitRetry        = 60 * time.Millisecond
	simCommitsUnavailable = 400 * time.Millisecond
)

// simStore simulates the store's part in commits. The head names the latest commit; the leader's key has the token of the
// world's leader.
type simStore struct {
	head                      int
	stamp                     *simCommit
	rejectsUntil, silentUntil time.Time
	// withdrawn and lost count the commits that were withdrawn and those that were lost with their leader.
	withdrawn, lost int
}

// simCommit is a commit of a leader until its outcome is known.
type simCommit struct {
	changes Changes
	// rest are the other parts of changes that the store has refused as a whole.
	rest []Changes
	// inboxKeys are the keys of the inbox that a commit of each record removes.
	inboxKeys map[string][]string
	token     int64
	head      int
	startedAt time.Time
	// unanswered means that an earlier try may have taken effect.
	unanswered bool
}

// simOutcome is the store's answer to a try of a commit.
type simOutcome int

const (
	simApplied simOutcome = iota
	simInvalid
	simRejected
	simConditionFailed
	simNoAnswer
)

// asLeader does something in a term, once its leader is not frozen.
func (sim *simWorld) asLeader(token int64, do func()) {
	switch {
	case token != sim.token:
	case sim.now.Before(sim.frozenUntil):
		sim.after(sim.frozenUntil.Sub(sim.now), func() { sim.asLeader(token, do) })
	default:
		do()
	}
}

// startCommit commits changes, unless there are none. No other commit starts before its outcome is known.
func (sim *simWorld) startCommit(changes Changes, rest []Changes, inboxKeys map[string][]string) {
	if changes.IsEmpty() {
		return
	}
	c := &simCommit{changes: changes, rest: rest, inboxKeys: inboxKeys, token: sim.token, head: sim.head, startedAt: sim.now}
	sim.committing = c
	sim.tryCommit(c)
}

// tryCommit sends a commit once.
func (sim *simWorld) tryCommit(c *simCommit) {
	answered := false
	answer := func(o simOutcome) {
		sim.asLeader(c.token, func() {
			if !answered {
				answered = true
				sim.handleOutcome(c, o)
			}
		})
	}
	if !sim.faults.commits.areEnabled() {
		sim.after(simCommitTime, func() { answer(sim.carryOut(c)) })
		return
	}
	sim.after(simCommitTimeout, func() { answer(simNoAnswer) })
	if sim.now.Before(sim.store.silentUntil) || sim.chance(sim.faults.commits.lost) {
		return
	}
	latency := sim.exponential(sim.faults.commits.latency)
	if sim.chance(sim.faults.commits.late) {
		latency += time.Duration(sim.random.Int64N(int64(4 * time.Second)))
	}
	sim.after(latency, func() {
		outcome := simRejected
		if !sim.now.Before(sim.store.rejectsUntil) {
			outcome = sim.carryOut(c)
		}
		if sim.now.Before(sim.store.silentUntil) || sim.chance(sim.faults.commits.lost) {
			return
		}
		sim.after(sim.exponential(sim.faults.commits.latency), func() { answer(outcome) })
	})
}

// carryOut lets the store carry out a commit if its conditions hold.
func (sim *simWorld) carryOut(c *simCommit) simOutcome {
	switch {
	case c.token != sim.token || c.head != sim.store.head:
		return simConditionFailed
	case sim.isRefused(c.changes):
		return simInvalid
	}
	sim.store.head++
	sim.store.stamp = c
	for _, r := range c.changes.Records {
		sim.records[r.ID] = r.Value
		if r.Value == nil {
			delete(sim.records, r.ID)
		}
		sim.carryOutTransfers(r, c.inboxKeys[r.ID])
	}
	if c.changes.Unresponsive != nil {
		sim.unresponsive = c.changes.Unresponsive
	}
	return simApplied
}

// handleOutcome does what a leader does with the store's answer.
func (sim *simWorld) handleOutcome(c *simCommit, o simOutcome) {
	if o == simConditionFailed {
		// The leader has its key, so that only this commit has changed the head.
		require.True(sim.t, c.unanswered && sim.store.stamp == c)
		o = simApplied
	}
	switch o {
	case simApplied:
		sim.committing, sim.head = nil, sim.store.head
		sim.sendCommands(sim.core.Committed(c.changes))
		sim.commitRest(c.rest, c.inboxKeys)
	case simInvalid:
		sim.committing = nil
		if len(c.changes.Split()) == 1 {
			sim.refusals++
			sim.restoreInboxKeys(c)
			sim.core.Refuse(c.changes, sim.now)
			sim.commitRest(c.rest, c.inboxKeys)
			return
		}
		sim.commitRest(c.changes.Split(), c.inboxKeys)
	case simRejected:
		if !c.unanswered && sim.now.Sub(c.startedAt) >= simCommitsUnavailable {
			sim.store.withdrawn++
			sim.committing = nil
			sim.restoreInboxKeys(c)
			sim.core.Withdraw(c.changes)
			sim.core.DropUncommitted(sim.now)
			sim.commitRest(c.rest, c.inboxKeys)
			return
		}
		sim.after(simCommitRetry, func() { sim.asLeader(c.token, func() { sim.tryCommit(c) }) })
	case simNoAnswer:
		c.unanswered = true
		sim.after(simCommitRetry, func() { sim.asLeader(c.token, func() { sim.tryCommit(c) }) })
	}
}

// commitRest commits parts one after another.
func (sim *simWorld) commitRest(parts []Changes, inboxKeys map[string][]string) {
	if len(parts) > 0 {
		sim.startCommit(parts[0], parts[1:], inboxKeys)
	}
}

// rejectCommits makes the store carry out nothing for a time.
func (sim *simWorld) rejectCommits() {
	sim.store.rejectsUntil = sim.now.Add(time.Duration(sim.random.Int64N(int64(1500 * time.Millisecond))))
}

// silenceStore makes the store silent towards the leader for a time, often while many jobs are cancelled.
func (sim *simWorld) silenceStore() {
	d := time.Duration(sim.random.Int64N(int64(7 * time.Second)))
	sim.store.silentUntil = sim.now.Add(d)
	if sim.chance(0.7) {
		sim.replaceAfter(d)
	}
	if sim.faults.cancelWave > 0 && sim.chance(0.5) {
		sim.cancelWave()
	}
}

// freeze makes the leader do nothing for a time.
func (sim *simWorld) freeze() {
	d := time.Duration(sim.random.Int64N(int64(6 * time.Second)))
	sim.frozenUntil = sim.now.Add(d)
	if sim.chance(0.5) {
		sim.replaceAfter(d)
	}
}

// replaceAfter replaces the leader after a time, unless that has happened before.
func (sim *simWorld) replaceAfter(d time.Duration) {
	token := sim.token
	sim.after(d, func() {
		if token == sim.token {
			sim.takeOver()
		}
	})
}

// checkAccepted checks that a new leader knows what was acknowledged to callers.
func (sim *simWorld) checkAccepted() {
	for _, id := range sortedKeys(sim.accepted) {
		if sim.home(id) == sim && !sim.core.HasJob(id) {
			sim.violate("job %s is lost, whose submission was acknowledged", id)
		}
	}
	for _, id := range sortedKeys(sim.cancelled) {
		if state, _ := sim.core.State(id); !state.Final() {
			sim.violate("job %s is %q, whose cancel was acknowledged", id, state)
		}
	}
}
