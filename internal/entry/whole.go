package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond/internal/attempt"
)

// try is the end of one attempt.
type try struct {
	answer  Response
	err     *OutcomeError
	target  string
	attempt bool
}

// whole makes attempts, one after the other or hedged, until one is answered
// or none may follow.
func (r *run) whole(ctx context.Context) (Response, error) {
	if r.request.Route.HedgeAfter <= 0 || !r.isSafe() {
		return r.sequence(ctx, search{}, nil)
	}
	return r.hedged(ctx)
}

// sequence makes attempts one after the other. Chosen is told of each place.
func (r *run) sequence(ctx context.Context, s search, chosen func(string)) (Response, error) {
	var fallback *Response
	for n := 0; ; n++ {
		t := r.one(ctx, s, n > 0, chosen)
		if t.err == nil && !r.worthRepeating(t.answer) {
			return t.answer, nil
		}
		result := attempt.Answered
		if t.err == nil {
			fallback = &t.answer
		} else {
			result = r.note(t.err)
		}
		again := n < r.request.Route.Retries && t.attempt && ctx.Err() == nil &&
			(t.err == nil || attempt.MayRepeat(r.request.Route.Class, result)) && r.lane.spend()
		if again {
			s.exclude, s.excludePeer = t.target, t.target
			continue
		}
		if fallback != nil {
			return *fallback, nil
		}
		return Response{}, r.certain(t.err)
	}
}

// worthRepeating reports whether a target's own error may be mended by another target.
func (r *run) worthRepeating(a Response) bool {
	return a.Status >= http.StatusInternalServerError && r.isSafe() && !r.request.Forwarded
}

// note keeps that an attempt may have run.
func (r *run) note(e *OutcomeError) attempt.Result {
	if e.Outcome == NotRun {
		return attempt.NotRun
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mayHaveRun = true
	return attempt.Unknown
}

// one finds a place and makes one attempt there. A peer that refuses is not an attempt.
func (r *run) one(ctx context.Context, s search, repeated bool, chosen func(string)) try {
	p, err := r.seek(ctx, s)
	if err != nil {
		return try{err: err}
	}
	if err := r.beginKey(ctx); err != nil {
		r.drop(p)
		return try{err: err}
	}
	if p.peer.ID != "" {
		a, err := r.forward(ctx, p)
		if err != nil && err.Outcome == NotRun && ctx.Err() == nil {
			r.refusedBy(p, &s)
			return r.one(ctx, s, repeated, chosen)
		}
		r.dispatcher.Wake(r.request.Service.Name)
		return try{answer: a, err: err, target: p.peer.ID, attempt: true}
	}
	if chosen != nil {
		chosen(p.slot.Target)
	}
	a, err := r.local(ctx, p, repeated)
	return try{answer: a, err: err, target: p.slot.Target, attempt: true}
}

// maxForwards bounds the peers that refuse one request.
const maxForwards = 4

// refusedBy notes that a peer refused the request, which then goes elsewhere.
func (r *run) refusedBy(p place, s *search) {
	s.refusals++
	s.excludePeer = p.peer.ID
	s.local = s.local || p.remote || s.refusals >= maxForwards
}

// drop gives a place back that was not used.
func (r *run) drop(p place) {
	if p.peer.ID == "" {
		r.dispatcher.release(r.lane, p, false)
	}
}

// forward runs the request at a peer.
func (r *run) forward(ctx context.Context, p place) (Response, *OutcomeError) {
	if p.remote {
		r.dispatcher.linkOut(r.request)
	}
	q := r.request
	q.MayQueue = p.remote || r.dispatcher.Targets.Capacity(q.Service.Name) == 0
	forwardedTotal.Inc()
	a, err := p.peer.Do(ctx, q)
	r.heardSlowed(a, err)
	if p.remote {
		r.dispatcher.linkIn(r.request, len(a.Body)+requestOverhead)
	}
	if err != nil {
		return Response{}, outcomeOf(err)
	}
	return a, nil
}

// hedged sends the request a second time if the first attempt takes long; the
// first answer wins, and the other attempt is given up.
func (r *run) hedged(ctx context.Context) (Response, error) {
	ends := make(chan hedgeEnd, 2)
	first, cancelFirst := context.WithCancelCause(ctx)
	defer cancelFirst(errOvertaken)
	second, cancelSecond := context.WithCancel(ctx)
	defer cancelSecond()
	places := make(chan string, 1+r.request.Route.Retries)
	go r.leg(first, search{}, func(target string) { places <- target }, ends)
	running, hedges := 1, 0
	timer := time.NewTimer(r.request.Route.HedgeAfter)
	defer timer.Stop()
	var failure error
	for running > 0 {
		select {
		case e := <-ends:
			running--
			if e.err == nil {
				return e.answer, nil
			}
			if failure == nil || e.first {
				failure = e.err
			}
		case <-timer.C:
			if hedges == 0 && r.lane.spend() {
				hedges++
				running++
				s := search{hasty: true, exclude: newest(places)}
				go r.leg(second, s, nil, ends)
			}
		}
	}
	return Response{}, r.certain(outcomeOf(failure))
}

// hedgeEnd is the end of one side of a hedged request.
type hedgeEnd struct {
	answer Response
	err    error
	first  bool
}

// leg makes one side's attempts; only the first side retries.
func (r *run) leg(ctx context.Context, s search, chosen func(string), ends chan<- hedgeEnd) {
	if !s.hasty {
		a, err := r.sequence(ctx, s, chosen)
		ends <- hedgeEnd{answer: a, err: err, first: true}
		return
	}
	t := r.one(ctx, s, true, nil)
	if t.err != nil {
		r.note(t.err)
		ends <- hedgeEnd{err: t.err}
		return
	}
	ends <- hedgeEnd{answer: t.answer}
}

// newest returns the last value in a channel, or nothing.
func newest(places <-chan string) string {
	last := ""
	for {
		select {
		case last = <-places:
		default:
			return last
		}
	}
}
