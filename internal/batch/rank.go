package batch

import (
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/precedence"
)

// rank is a waiting stage with its claim, which gives its position in the order of placement.
type rank struct {
	stage *stage
	claim precedence.Claim
}

// rankOf returns the rank of a stage. A job with filler tasks is considered due later the more
// unfinished tasks it has, since it delays the other jobs for longer.
func (c *Core) rankOf(s *stage, now time.Time) rank {
	j := s.job
	q := j.Policy
	claim := precedence.Claim{Priority: q.Priority}
	if s.step.LongRunning {
		claim.LongRunning, claim.Interrupted = true, s.isInterrupted()
		claim.Due = s.readyAt.Add(q.Target)
		return rank{stage: s, claim: claim}
	}
	submitted := c.submittedAt(s)
	claim.Objective = time.Duration(q.Slack*float64(j.criticalPath)) + q.Target
	claim.Waited = now.Sub(submitted)
	claim.Due = submitted.Add(claim.Objective)
	if s.step.Filler {
		claim.Due = claim.Due.Add(time.Duration(j.unfinished()) * fillerDuePerTask)
	}
	return rank{stage: s, claim: claim}
}

// isInterrupted reports whether a queued task of the stage has had a run.
func (s *stage) isInterrupted() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return t.state == taskQueued && t.lastRun > 0 })
}

// submittedAt returns when the stage's job was accepted, or when the occurrence of a repeated job was due.
// Later leaders know it, too.
func (c *Core) submittedAt(s *stage) time.Time {
	j := s.job
	if j.Repeat.Count > 0 {
		return j.Repeat.First.Add(time.Duration(s.occurrence) * j.Repeat.Every).Add(-c.wallOffset)
	}
	return j.accepted
}

// fillerDuePerTask is how much later a job with filler tasks is considered due for each of its
// unfinished tasks. Tasks run for a second or two, some of them in parallel.
const fillerDuePerTask = 250 * time.Millisecond

// waiting returns the stages with queued tasks in the order of placement.
func (c *Core) waiting(now time.Time) []rank {
	ranks := c.ranks[:0]
	for _, j := range c.active {
		if j.isSetAside {
			continue
		}
		for _, s := range j.stages {
			if s.queued > 0 {
				ranks = append(ranks, c.rankOf(s, now))
			}
		}
	}
	c.ranks = ranks
	slices.SortStableFunc(ranks, func(a, b rank) int { return a.claim.Compare(b.claim) })
	return ranks
}
