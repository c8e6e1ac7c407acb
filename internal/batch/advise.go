package batch

import (
	"cmp"
	"slices"
	"time"
)

// askState is how far the question for advice on a stage is.
type askState struct {
	underWay bool
	// again is when the next question may be put.
	again time.Time
	// asked are the workers that were asked for.
	asked map[string]bool
}

// AdviserQuery asks which workers may run a step.
type AdviserQuery struct {
	stage   *stage
	Step    string
	Workers []string
}

// Admission is what an adviser said of one worker.
type Admission struct {
	Worker string
	Ticket string
}

const (
	// askedWorkers bounds one question: the platform reckons with about 30 workers a step.
	askedWorkers = 30
	// askPause is how long a question that found no answer waits.
	askPause = 300 * time.Millisecond
	// ticketMargin is how long before its end a ticket is not used any more.
	ticketMargin = 300 * time.Millisecond
)

// isAdvised reports whether the stage's queue has an adviser.
func (c *Core) isAdvised(s *stage) bool { return c.table.Queues[s.job.Queue].Advised }

// isAdmitted reports whether the stage may be placed; it puts a question if
// there are no tickets.
func (c *Core) isAdmitted(s *stage, now time.Time) bool {
	if !c.isAdvised(s) {
		return true
	}
	valid := 0
	for id := range s.tickets {
		if w := c.workers[id]; w != nil && s.hasTicket(w, now) && c.mayTake(w, now) && s.step.Size.Fits(w.free()) {
			valid++
		}
	}
	if valid == 0 && !s.asked.underWay && !now.Before(s.asked.again) {
		c.ask(s, now)
	}
	return valid > 0
}

// ask puts a question on the workers with the most room.
func (c *Core) ask(s *stage, now time.Time) {
	var fit []*worker
	for _, w := range c.workers {
		if w.Service == s.job.service && c.mayTake(w, now) && !s.asked.asked[w.ID] {
			fit = append(fit, w)
		}
	}
	if len(fit) == 0 {
		// All were asked for; tickets have run out.
		s.asked.asked = nil
		s.asked.again = now.Add(askPause)
		return
	}
	slices.SortFunc(fit, func(a, b *worker) int {
		return cmp.Or(cmp.Compare(b.free().Processors, a.free().Processors), cmp.Compare(a.ID, b.ID))
	})
	q := AdviserQuery{stage: s, Step: TaskName{Job: s.job.ID, Occurrence: s.occurrence, Step: s.index}.StepName()}
	if s.asked.asked == nil {
		s.asked.asked = map[string]bool{}
	}
	for _, w := range fit[:min(len(fit), askedWorkers)] {
		q.Workers = append(q.Workers, w.ID)
		s.asked.asked[w.ID] = true
	}
	s.asked.underWay = true
	c.questions = append(c.questions, q)
}

// TakeQueries returns the questions to advisers that are to be put.
func (c *Core) TakeQueries() []AdviserQuery {
	all := c.questions
	c.questions = nil
	return all
}

// HandleAdvice takes an adviser's answer; admissions hold for a time from when the question was put.
func (c *Core) HandleAdvice(q AdviserQuery, admitted []Admission, valid time.Duration, err error, sent, now time.Time) {
	s := q.stage
	s.asked.underWay = false
	if err != nil {
		for _, id := range q.Workers {
			delete(s.asked.asked, id)
		}
		s.asked.again = now.Add(askPause)
		return
	}
	if s.tickets == nil {
		s.tickets = map[string]ticket{}
	}
	for _, a := range admitted {
		if w := c.workers[a.Worker]; w != nil {
			s.tickets[a.Worker] = ticket{text: a.Ticket, born: w.Incarnation, until: sent.Add(valid - ticketMargin)}
		}
	}
}

// hasTicket reports whether the stage may run on a worker.
func (s *stage) hasTicket(w *worker, now time.Time) bool {
	t, ok := s.tickets[w.ID]
	return ok && t.born == w.Incarnation && now.Before(t.until)
}
