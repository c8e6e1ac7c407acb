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
	// budgetRatio is the number of extra attempts allowed per request; budgetBurst is how many unused
	// ones may accumulate.
	budgetRatio = 0.1
	budgetBurst = 20
)

// serviceState is the dispatcher's queue and retry budget for one service.
type serviceState struct {
	name string

	mu     sync.Mutex
	queue  queue.Queue
	budget attempt.Budget
}

// destination is where an attempt is sent: the target of a slot, or a peer. If err is set there is
// none.
type destination struct {
	slot target.Slot
	peer Peer
	// remote is set if the peer is in another region.
	remote     bool
	acquiredAt time.Time
	err        *OutcomeError
}

// waiter is a request that waits for a destination.
type waiter struct {
	item     queue.Item
	assigned chan destination
	// forwardable is set if the request may be sent to a peer.
	forwardable bool
	// idempotent is set if the request may probe an ejected target.
	idempotent bool
}

// serviceState returns the state of a service, which it creates on first use.
func (d *Dispatcher) serviceState(service string) *serviceState {
	d.mu.Lock()
	defer d.mu.Unlock()
	svc, ok := d.services[service]
	if !ok {
		if d.services == nil {
			d.services = map[string]*serviceState{}
		}
		svc = &serviceState{name: service, budget: attempt.Budget{Ratio: budgetRatio, Burst: budgetBurst}}
		d.services[service] = svc
	}
	return svc
}

// spend reports whether the retry budget of the service allows one extra attempt, and counts it if
// so.
func (svc *serviceState) spend() bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.budget.Spend()
}

// earn counts one request for the retry budget.
func (svc *serviceState) earn() {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.budget.Earn()
}

// destinationFilter restricts the destinations of an attempt.
type destinationFilter struct {
	// excludeTarget and excludePeer are ids that must not be chosen.
	excludeTarget string
	excludePeer   string
	// localOnly excludes peers. With noWait a request is never queued: it uses a destination that is
	// free now, ahead of the queued requests, or fails.
	localOnly bool
	noWait    bool
	// refusals counts the peers that have refused the request so far.
	refusals int
}

// maxRefusalsBeforeWait is the number of refusals by peers after which a request waits in the
// local queue instead of trying further peers. It may still be assigned to a peer that reports
// idle slots later.
const maxRefusalsBeforeWait = 2

// acquire finds a destination for a request. If none is free it may queue the request and wait.
func (d *Dispatcher) acquire(ctx context.Context, svc *serviceState, q Request, filter destinationFilter) (destination, *OutcomeError) {
	svc.mu.Lock()
	dest, ok := d.tryAcquire(svc, q, filter)
	if ok || filter.noWait {
		svc.mu.Unlock()
		if !ok {
			return destination{}, noSlotError()
		}
		return dest, nil
	}
	if q.Forwarded && !q.MayQueue {
		svc.mu.Unlock()
		return destination{}, noSlotError()
	}
	w, refused := d.enqueue(svc, q, filter)
	timeout := time.Until(svc.queue.LatestStart(&w.item))
	svc.mu.Unlock()
	if refused != nil {
		return d.acquireElsewhere(q, filter, refused)
	}
	return d.awaitDestination(ctx, svc, w, timeout)
}

// tryAcquire returns a destination that is free now. The caller holds svc.mu.
func (d *Dispatcher) tryAcquire(svc *serviceState, q Request, filter destinationFilter) (destination, bool) {
	now := time.Now()
	if svc.queue.Len() == 0 || filter.noWait {
		criteria := target.Criteria{
			Service: svc.name, Exclude: filter.excludeTarget, Now: now,
			Idempotent: q.Route.Class == release.Idempotent && !filter.noWait,
		}
		if slot, ok := d.Targets.Acquire(criteria); ok {
			return destination{slot: slot, acquiredAt: now}, true
		}
	}
	if q.Forwarded || filter.localOnly || filter.refusals >= maxRefusalsBeforeWait || d.IdlePeer == nil {
		return destination{}, false
	}
	if peer, ok := d.IdlePeer(svc.name, filter.excludePeer); ok {
		return destination{peer: peer, acquiredAt: now}, true
	}
	return destination{}, false
}

// enqueue adds a request to the queue of its service. The caller holds svc.mu.
func (d *Dispatcher) enqueue(svc *serviceState, q Request, filter destinationFilter) (*waiter, *OutcomeError) {
	svc.queue.Slots = d.Targets.Capacity(svc.name)
	svc.queue.Limit = d.QueuedPerTarget * d.Targets.Count(svc.name)
	w := &waiter{
		assigned: make(chan destination, 1), forwardable: !q.Forwarded && !filter.localOnly,
		idempotent: q.Route.Class == release.Idempotent,
	}
	w.item = queue.Item{Neighbour: q.Neighbour.Name, Weight: d.weight(q.Neighbour.Name), Deadline: q.Deadline, Value: w}
	if svc.queue.Slots == 0 {
		return w, notRun(http.StatusServiceUnavailable, "this instance holds no slot of the service").
			WithRetryAfter(noSlotsRetryAfter).WithCause(CauseRefusal)
	}
	displaced, err := svc.queue.Push(time.Now(), &w.item)
	if displaced != nil {
		displaced.Value.(*waiter).assigned <- destination{err: svc.displacedError(displaced)}
	}
	var refused *queue.RefusedError
	if errors.As(err, &refused) {
		return w, notRun(http.StatusServiceUnavailable, "%s", refused.Reason).
			WithRetryAfter(max(refused.RetryAfter, minRetryAfter)).WithCause(CauseRefusal)
	}
	return w, nil
}

const (
	// noSlotsRetryAfter is the RetryAfter of a refusal if the instance has no slots of the service.
	noSlotsRetryAfter = time.Second
	// minRetryAfter is the shortest RetryAfter of a refusal.
	minRetryAfter = time.Second
)

// displacedError returns the refusal of a queued request that was displaced by another one.
func (svc *serviceState) displacedError(item *queue.Item) *OutcomeError {
	return notRun(http.StatusServiceUnavailable, "the queue is full").
		WithRetryAfter(max(svc.queue.RetryAfter(item), minRetryAfter)).WithCause(CauseRefusal)
}

// noSlotError returns the refusal of a request that found no free slot and may not wait.
func noSlotError() *OutcomeError {
	return notRun(http.StatusServiceUnavailable, "no free slot").WithRetryAfter(minRetryAfter).WithCause(CauseRefusal)
}

// acquireElsewhere finds a destination for a request that this instance cannot serve in time: if the
// instance has no slots, any peer of this region that has some, and otherwise a peer of another
// region, as far as the link has capacity. If there is none it returns the error refused.
func (d *Dispatcher) acquireElsewhere(q Request, filter destinationFilter, refused *OutcomeError) (destination, *OutcomeError) {
	if q.Forwarded || filter.localOnly {
		return destination{}, refused
	}
	if d.Targets.Capacity(q.Service.Name) == 0 && d.AnyPeer != nil {
		if peer, ok := d.AnyPeer(q.Service.Name, filter.excludePeer); ok {
			return destination{peer: peer, acquiredAt: time.Now()}, nil
		}
	}
	if d.RemotePeer == nil {
		return destination{}, refused
	}
	peer, ok := d.RemotePeer(q.Service.Name)
	if !ok || !d.linkHasCapacity(q) {
		return destination{}, refused
	}
	return destination{peer: peer, remote: true, acquiredAt: time.Now()}, nil
}

// awaitDestination waits until the queued request is assigned a destination, or until the timeout,
// after which it could not meet its deadline.
func (d *Dispatcher) awaitDestination(ctx context.Context, svc *serviceState, w *waiter, timeout time.Duration) (destination, *OutcomeError) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case dest := <-w.assigned:
		return dest, dest.err
	case <-timer.C:
	case <-ctx.Done():
	}
	svc.mu.Lock()
	if w.item.Waiting() {
		svc.queue.Remove(&w.item)
		retry := max(svc.queue.RetryAfter(&w.item), minRetryAfter)
		svc.mu.Unlock()
		return destination{}, notRun(http.StatusServiceUnavailable, "no free slot before the deadline").
			WithRetryAfter(retry).WithCause(CauseQueueing)
	}
	svc.mu.Unlock()
	dest := <-w.assigned
	return dest, dest.err
}

// release returns a slot and assigns free slots to waiting requests. With observe it adds the time
// for which the slot was in use to the queue's mean run time.
func (d *Dispatcher) release(svc *serviceState, dest destination, observe bool) {
	d.Targets.Release(dest.slot)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if observe {
		svc.queue.ObserveRunTime(time.Since(dest.acquiredAt))
	}
	d.assignFree(svc)
}

// Wake assigns free destinations to the waiting requests of a service. It is called when
// destinations may have become free by other means than release, such as a change of targets or a
// peer's idle slots.
func (d *Dispatcher) Wake(service string) {
	svc := d.serviceState(service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	d.assignFree(svc)
}

// WakeAll calls Wake for all services.
func (d *Dispatcher) WakeAll() {
	d.mu.Lock()
	services := make([]string, 0, len(d.services))
	for service := range d.services {
		services = append(services, service)
	}
	d.mu.Unlock()
	for _, service := range services {
		d.Wake(service)
	}
}

// assignFree assigns free destinations to waiting requests. The caller holds svc.mu.
func (d *Dispatcher) assignFree(svc *serviceState) {
	for svc.queue.Len() > 0 {
		dest := destination{acquiredAt: time.Now()}
		// If this one turns out to be late, another one may be the probe.
		next := svc.queue.Peek().Value.(*waiter)
		slot, local := d.Targets.Acquire(target.Criteria{Service: svc.name, Now: dest.acquiredAt, Idempotent: next.idempotent})
		switch {
		case local:
			dest.slot = slot
		case !d.idlePeer(svc, &dest):
			return
		}
		if !svc.assignNext(dest) && local {
			d.Targets.Release(slot)
		}
	}
}

// idlePeer sets dest to an idle peer for the next waiting request. It returns false if there is
// none or if the request may not be forwarded. The caller holds svc.mu.
func (d *Dispatcher) idlePeer(svc *serviceState, dest *destination) bool {
	if d.IdlePeer == nil || !svc.queue.Peek().Value.(*waiter).forwardable {
		return false
	}
	var ok bool
	dest.peer, ok = d.IdlePeer(svc.name, "")
	return ok
}

// assignNext assigns a destination to the next waiting request that can still meet its deadline,
// and refuses the requests before it that cannot. It returns false if the destination was not
// used.
func (svc *serviceState) assignNext(dest destination) bool {
	item, expired := svc.queue.Pop(dest.acquiredAt)
	for _, late := range expired {
		refused := notRun(http.StatusServiceUnavailable, "no free slot in time for the deadline").
			WithRetryAfter(minRetryAfter).WithCause(CauseQueueing)
		late.Value.(*waiter).assigned <- destination{err: refused}
	}
	if item == nil {
		return false
	}
	w := item.Value.(*waiter)
	if dest.peer.ID != "" && !w.forwardable {
		w.assigned <- destination{err: noSlotError()}
		return false
	}
	w.assigned <- dest
	return true
}

// weight returns the weight of a neighbour, by default 1.
func (d *Dispatcher) weight(neighbour string) int {
	if d.WeightOf == nil {
		return 1
	}
	return d.WeightOf(neighbour)
}
