package entry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/attempt"
	"github.com/oriolepond/oriolepond/internal/queue"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// budgetRatio is the greatest number of further attempts per request; budgetBurst may be saved up.
	budgetRatio = 0.1
	budgetBurst = 20
)

// lane is what the dispatcher keeps for one service.
type lane struct {
	service string

	mu     sync.Mutex
	queue  queue.Queue
	budget attempt.Budget
}

// place is where a request goes: to a target, or to a peer.
type place struct {
	slot target.Slot
	peer Peer
	// remote peers stand in another region.
	remote bool
	taken  time.Time
	err    *OutcomeError
}

// waiter is a request that waits for a place.
type waiter struct {
	item   queue.Item
	placed chan place
	// forwardable requests may go to a peer.
	forwardable bool
}

func (d *Dispatcher) lane(service string) *lane {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.lanes[service]
	if !ok {
		if d.lanes == nil {
			d.lanes = map[string]*lane{}
		}
		l = &lane{service: service, budget: attempt.Budget{Ratio: budgetRatio, Burst: budgetBurst}}
		d.lanes[service] = l
	}
	return l
}

// spend reports whether the service may make one further attempt.
func (l *lane) spend() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Spend()
}

func (l *lane) earn() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Earn()
}

// search says which places a request takes.
type search struct {
	// exclude is a target that is not chosen, excludePeer a peer.
	exclude     string
	excludePeer string
	// local requests go to no peer; hasty ones do not wait.
	local bool
	hasty bool
	// refusals counts the peers that refused the request; after some it waits here until a peer tells of free slots.
	refusals int
}

// maxRefusals is how many peers are asked in a row before a request waits.
const maxRefusals = 2

// acquire finds a place for a request, and waits for one if need be.
func (d *Dispatcher) acquire(ctx context.Context, l *lane, q Request, s search) (place, *OutcomeError) {
	l.mu.Lock()
	p, ok := d.immediate(l, q, s)
	if ok || s.hasty {
		l.mu.Unlock()
		if !ok {
			return place{}, noSlot()
		}
		return p, nil
	}
	if q.Forwarded && !q.MayQueue {
		l.mu.Unlock()
		return place{}, noSlot()
	}
	w, refused := d.enqueue(l, q, s)
	giveUp := time.Until(l.queue.LatestStart(&w.item))
	l.mu.Unlock()
	if refused != nil {
		return d.elsewhere(q, s, refused)
	}
	return d.await(ctx, l, w, giveUp)
}

// immediate returns a place that is free now. The lane is locked.
func (d *Dispatcher) immediate(l *lane, q Request, s search) (place, bool) {
	now := time.Now()
	if l.queue.Len() == 0 || s.hasty {
		want := target.Want{
			Service: l.service, Exclude: s.exclude, Now: now,
			Idempotent: q.Route.Class == release.Idempotent && !s.hasty,
		}
		if slot, ok := d.Targets.Acquire(want); ok {
			return place{slot: slot, taken: now}, true
		}
	}
	if q.Forwarded || s.local || s.refusals >= maxRefusals || d.IdlePeer == nil {
		return place{}, false
	}
	if peer, ok := d.IdlePeer(l.service, s.excludePeer); ok {
		return place{peer: peer, taken: now}, true
	}
	return place{}, false
}

// enqueue makes a request wait. The lane is locked.
func (d *Dispatcher) enqueue(l *lane, q Request, s search) (*waiter, *OutcomeError) {
	l.queue.Slots = d.Targets.Capacity(l.service)
	l.queue.Limit = d.QueuedPerTarget * d.Targets.Count(l.service)
	w := &waiter{placed: make(chan place, 1), forwardable: !q.Forwarded && !s.local}
	w.item = queue.Item{Neighbour: q.Neighbour.Name, Weight: d.weight(q.Neighbour.Name), Deadline: q.Deadline, Value: w}
	if l.queue.Slots == 0 {
		return w, notRun(http.StatusServiceUnavailable, "this instance holds no slot of the service").
			WithRetryAfter(slotlessRetry).WithCause(CauseRefusal)
	}
	displaced, err := l.queue.Push(time.Now(), &w.item)
	if displaced != nil {
		displaced.Value.(*waiter).placed <- place{err: l.full(displaced)}
	}
	var refused *queue.RefusedError
	if errors.As(err, &refused) {
		return w, notRun(http.StatusServiceUnavailable, "%s", refused.Reason).
			WithRetryAfter(max(refused.RetryAfter, minRetryAfter)).WithCause(CauseRefusal)
	}
	return w, nil
}

const (
	// slotlessRetry is when a caller of an instance without slots may come back.
	slotlessRetry = time.Second
	// minRetryAfter is the shortest time that a refused caller is told to stay away.
	minRetryAfter = time.Second
)

// full is the refusal of a request that others displaced.
func (l *lane) full(item *queue.Item) *OutcomeError {
	return notRun(http.StatusServiceUnavailable, "the queue is full").
		WithRetryAfter(max(l.queue.RetryAfter(item), minRetryAfter)).WithCause(CauseRefusal)
}

func noSlot() *OutcomeError {
	return notRun(http.StatusServiceUnavailable, "no free slot").WithRetryAfter(minRetryAfter).WithCause(CauseRefusal)
}

// elsewhere finds a place for a request that cannot be served here in time: a
// peer that holds slots, or else the other region.
func (d *Dispatcher) elsewhere(q Request, s search, refused *OutcomeError) (place, *OutcomeError) {
	if q.Forwarded || s.local {
		return place{}, refused
	}
	if d.Targets.Capacity(q.Service.Name) == 0 && d.AnyPeer != nil {
		if peer, ok := d.AnyPeer(q.Service.Name, s.excludePeer); ok {
			return place{peer: peer, taken: time.Now()}, nil
		}
	}
	if d.RemotePeer == nil {
		return place{}, refused
	}
	peer, ok := d.RemotePeer(q.Service.Name)
	if !ok || !d.linkFits(q) {
		return place{}, refused
	}
	return place{peer: peer, remote: true, taken: time.Now()}, nil
}

// await waits for a place until it is too late to run the request.
func (d *Dispatcher) await(ctx context.Context, l *lane, w *waiter, giveUp time.Duration) (place, *OutcomeError) {
	timer := time.NewTimer(giveUp)
	defer timer.Stop()
	select {
	case p := <-w.placed:
		return p, p.err
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	if w.item.Waiting() {
		l.queue.Remove(&w.item)
		retry := max(l.queue.RetryAfter(&w.item), minRetryAfter)
		l.mu.Unlock()
		return place{}, notRun(http.StatusServiceUnavailable, "no free slot before the deadline").
			WithRetryAfter(retry).WithCause(CauseQueueing)
	}
	l.mu.Unlock()
	p := <-w.placed
	return p, p.err
}

// release gives a slot back and hands free slots to those who wait.
func (d *Dispatcher) release(l *lane, p place, counted bool) {
	d.Targets.Release(p.slot)
	l.mu.Lock()
	defer l.mu.Unlock()
	if counted {
		l.queue.ObserveRunTime(time.Since(p.taken))
	}
	d.hand(l)
}

// Wake hands places that have become free by other means, such as changed
// targets or a peer's idle slots, to the requests of a service that wait.
func (d *Dispatcher) Wake(service string) {
	l := d.lane(service)
	l.mu.Lock()
	defer l.mu.Unlock()
	d.hand(l)
}

// WakeAll wakes all services.
func (d *Dispatcher) WakeAll() {
	d.mu.Lock()
	services := make([]string, 0, len(d.lanes))
	for service := range d.lanes {
		services = append(services, service)
	}
	d.mu.Unlock()
	for _, service := range services {
		d.Wake(service)
	}
}

// hand gives free places to waiting requests. The lane is locked.
func (d *Dispatcher) hand(l *lane) {
	for l.queue.Len() > 0 {
		p := place{taken: time.Now()}
		slot, local := d.Targets.Acquire(target.Want{Service: l.service, Now: p.taken})
		switch {
		case local:
			p.slot = slot
		case !d.idlePeer(l, &p):
			return
		}
		if !l.give(p) && local {
			d.Targets.Release(slot)
		}
	}
}

// idlePeer finds a peer for the next waiting request. The lane is locked.
func (d *Dispatcher) idlePeer(l *lane, p *place) bool {
	if d.IdlePeer == nil || !l.queue.Peek().Value.(*waiter).forwardable {
		return false
	}
	var ok bool
	p.peer, ok = d.IdlePeer(l.service, "")
	return ok
}

// give places the next waiting request that can still meet its deadline, and
// refuses those before it that cannot.
func (l *lane) give(p place) bool {
	item, expired := l.queue.Pop(p.taken)
	for _, late := range expired {
		refused := notRun(http.StatusServiceUnavailable, "no free slot in time for the deadline").
			WithRetryAfter(minRetryAfter).WithCause(CauseQueueing)
		late.Value.(*waiter).placed <- place{err: refused}
	}
	if item == nil {
		return false
	}
	w := item.Value.(*waiter)
	if p.peer.ID != "" && !w.forwardable {
		w.placed <- place{err: noSlot()}
		return false
	}
	w.placed <- p
	return true
}

func (d *Dispatcher) weight(neighbour string) int {
	if d.WeightOf == nil {
		return 1
	}
	return d.WeightOf(neighbour)
}
