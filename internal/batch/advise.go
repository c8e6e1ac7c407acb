package batch

import (
	"cmp"
	"slices"
	"time"
)

// queryState tracks the adviser queries for a stage.
type queryState struct {
	inFlight bool
	// notBefore is the earliest time of the next query.
	notBefore time.Time
	// queriedWorkers are the IDs of the workers that the adviser was already queried for.
	queriedWorkers map[string]bool
	// admittedWorkers are the IDs of the workers for which the adviser has ever issued a ticket. It issues them
	// others when these expire.
	admittedWorkers map[string]bool
}

// AdviserQuery asks an adviser which workers may run a step.
type AdviserQuery struct {
	stage   *stage
	Step    string
	Workers []string
}

// Admission is an adviser's permission to run a step on a worker.
type Admission struct {
	Worker string
	Ticket string
}

const (
	// maxQueriedWorkers limits the workers in one query. The platform expects about 30 workers per
	// step.
	maxQueriedWorkers = 30
	// maxQueriesInFlight limits the concurrent queries; the platform refuses more than 32.
	maxQueriesInFlight = 16
	// queryPause is how long the next query waits after one that failed or after all workers were
	// queried.
	queryPause = 300 * time.Millisecond
	// ticketMargin is how long before its expiry a ticket is no longer used.
	ticketMargin = 300 * time.Millisecond
)

// isAdvised reports whether the stage's queue has an adviser.
func (c *Core) isAdvised(s *stage) bool { return s.job.Policy.Advised }

// isAdmitted reports whether the stage has a valid ticket, or needs none. It queries the adviser if its tickets
// are not for workers that have capacity for another task of the stage, or for all tasks of a gang.
func (c *Core) isAdmitted(s *stage, now time.Time) bool {
	if !c.isAdvised(s) {
		return true
	}
	admitted, fitting, needed := false, 0, 1
	if s.step.Gang {
		needed = s.queued
	}
	for id, ticket := range s.tickets {
		w := c.workers[id]
		switch {
		case !now.Before(ticket.validUntil):
			delete(s.tickets, id)
		case w != nil && s.hasTicket(w, now) && c.acceptsRuns(w, now):
			if s.mayRunOn(w) {
				fitting += s.fittingOn(w, needed)
			}
			if fitting >= needed {
				return true
			}
			admitted = true
		}
	}
	if !s.query.inFlight && c.queriesInFlight < maxQueriesInFlight && !now.Before(s.query.notBefore) {
		c.queryAdviser(s, now)
	}
	return admitted
}

// fittingOn returns how many tasks of the stage a worker has capacity for, up to a limit.
func (s *stage) fittingOn(w *worker, limit int) int {
	if s.step.MaxPerWorker > 0 {
		limit = min(limit, s.step.MaxPerWorker-s.runsByWorker[w])
	}
	n := 0
	for free := w.free(); n < limit && s.step.Size.Fits(free); free = free.Minus(s.step.Size) {
		n++
	}
	return n
}

// mayRunOn reports whether tasks of the stage may run on a worker of its service and label.
func (s *stage) mayRunOn(w *worker) bool {
	return w.Service == s.job.Policy.Service && (s.step.RequiredLabel == "" || w.hasLabel(s.step.RequiredLabel))
}

// isAtLimit reports whether as many tasks of the stage run on a worker as its step permits.
func (s *stage) isAtLimit(w *worker) bool {
	return s.step.MaxPerWorker > 0 && s.runsByWorker[w] >= s.step.MaxPerWorker
}

// queryAdviser queries the adviser for the workers that were not queried yet: first for those that it has admitted
// before, then for those with the most free processors. Workers with a valid ticket are left out.
func (c *Core) queryAdviser(s *stage, now time.Time) {
	var candidates []*worker
	for _, w := range c.workers {
		if s.mayRunOn(w) && c.acceptsRuns(w, now) && !s.query.queriedWorkers[w.ID] && !s.hasTicket(w, now) {
			candidates = append(candidates, w)
		}
	}
	if len(candidates) == 0 {
		// The adviser was queried for all workers, and no ticket is usable now. Query again later.
		s.query.queriedWorkers = nil
		s.query.notBefore = now.Add(queryPause)
		return
	}
	unknown := func(w *worker) int {
		if s.query.admittedWorkers[w.ID] {
			return 0
		}
		return 1
	}
	slices.SortFunc(candidates, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(unknown(a), unknown(b)), cmp.Compare(b.free().Processors, a.free().Processors), cmp.Compare(a.ID, b.ID))
	})
	q := AdviserQuery{stage: s, Step: TaskName{Job: s.job.ID, Occurrence: s.occurrence, Step: s.index}.StepName()}
	if s.query.queriedWorkers == nil {
		s.query.queriedWorkers = map[string]bool{}
	}
	for _, w := range candidates[:min(len(candidates), maxQueriedWorkers)] {
		q.Workers = append(q.Workers, w.ID)
		s.query.queriedWorkers[w.ID] = true
	}
	s.query.inFlight = true
	c.queriesInFlight++
	c.queries = append(c.queries, q)
}

// TakeQueries returns the adviser queries to be sent.
func (c *Core) TakeQueries() []AdviserQuery {
	queries := c.queries
	c.queries = nil
	return queries
}

// HandleAdvice handles an adviser's response to a query that was sent at the time sent. The
// admissions are valid for the duration valid after that time.
func (c *Core) HandleAdvice(q AdviserQuery, admitted []Admission, valid time.Duration, err error, sent, now time.Time) {
	s := q.stage
	s.query.inFlight = false
	c.queriesInFlight--
	if err != nil {
		for _, id := range q.Workers {
			delete(s.query.queriedWorkers, id)
		}
		s.query.notBefore = now.Add(queryPause)
		return
	}
	s.failedSearch = failedSearch{}
	if s.tickets == nil {
		s.tickets, s.query.admittedWorkers = map[string]ticket{}, map[string]bool{}
	}
	for _, a := range admitted {
		if w := c.workers[a.Worker]; w != nil {
			s.query.admittedWorkers[a.Worker] = true
			s.tickets[a.Worker] = ticket{text: a.Ticket, incarnation: w.Incarnation, validUntil: sent.Add(valid - ticketMargin)}
		}
	}
}

// hasTicket reports whether the stage has an unexpired ticket for a worker's present incarnation.
func (s *stage) hasTicket(w *worker, now time.Time) bool {
	t, ok := s.tickets[w.ID]
	return ok && t.incarnation == w.Incarnation && now.Before(t.validUntil)
}
