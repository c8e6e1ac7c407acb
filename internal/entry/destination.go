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

// serviceState is what the dispatcher keeps for one service.
type serviceState struct {
	name string

	mu     sync.Mutex
	queue  queue.Queue
	budget attempt.Budget
}

// destination is where a request goes: to a target, or to a peer.
type destination struct {
	slot target.Slot
	peer Peer
	// remote peers stand in another region.
	remote     bool
	acquiredAt time.Time
	err        *OutcomeError
}

// waiter is a request that waits for a place.
type waiter struct {
	item     queue.Item
	assigned chan destination
	// forwardable requests may go to a peer.
	forwardable bool
}

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

// spend reports whether the service may make one further attempt.
func (svc *serviceState) spend() bool {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return svc.budget.Spend()
}

func (svc *serviceState) earn() {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.budget.Earn()
}

// destinationFilter says which places a request takes.
type destinationFilter struct {
	// excludeTarget is a target that is not chosen, excludePeer a peer.
	excludeTarget string
	excludePeer   string
	// localOnly requests go to no peer; hasty ones do not wait.
	localOnly bool
	noWait    bool
	// refusals counts the peers that refused the request; after some it waits here until a peer tells of free slots.
	refusals int
}

// maxRefusalsBeforeWait is how many peers are asked in a row before a request waits.
const maxRefusalsBeforeWait = 2

// acquire finds a place for a request, and waits for one if need be.
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
	timeout := time.Until(svc.queue.GiveUpAt(&w.item))
	svc.mu.Unlock()
	if refused != nil {
		return d.acquireElsewhere(q, filter, refused)
	}
	return d.awaitDestination(ctx, svc, w, timeout)
}

// tryAcquire returns a place that is free now. The lane is locked.
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

// enqueue makes a request wait. The lane is locked.
func (d *Dispatcher) enqueue(svc *serviceState, q Request, filter destinationFilter) (*waiter, *OutcomeError) {
	svc.queue.Slots = d.Targets.Capacity(svc.name)
	svc.queue.Limit = d.QueuedPerTarget * d.Targets.Count(svc.name)
	w := &waiter{assigned: make(chan destination, 1), forwardable: !q.Forwarded && !filter.localOnly}
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
	// noSlotsRetryAfter is when a caller of an instance without slots may come back.
	noSlotsRetryAfter = time.Second
	// minRetryAfter is the shortest time that a refused caller is told to stay away.
	minRetryAfter = time.Second
)

// displacedError is the refusal of a request that others displaced.
func (svc *serviceState) displacedError(item *queue.Item) *OutcomeError {
	return notRun(http.StatusServiceUnavailable, "the queue is full").
		WithRetryAfter(max(svc.queue.RetryAfter(item), minRetryAfter)).WithCause(CauseRefusal)
}

func noSlotError() *OutcomeError {
	return notRun(http.StatusServiceUnavailable, "no free slot").WithRetryAfter(minRetryAfter).WithCause(CauseRefusal)
}

// acquireElsewhere finds a place for a request that cannot be served here in time: a
// peer that holds slots, or else the other region.
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

// awaitDestination waits for a place until it is too late to run the request.
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

// release gives a slot back and hands free slots to those who wait.
func (d *Dispatcher) release(svc *serviceState, dest destination, observe bool) {
	d.Targets.Release(dest.slot)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if observe {
		svc.queue.Observe(time.Since(dest.acquiredAt))
	}
	d.assignFree(svc)
}

// Wake hands places that have become free by other means, such as changed
// targets or a peer's idle slots, to the requests of a service that wait.
func (d *Dispatcher) Wake(service string) {
	svc := d.serviceState(service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	d.assignFree(svc)
}

// WakeAll wakes all services.
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

// assignFree gives free places to waiting requests. The lane is locked.
func (d *Dispatcher) assignFree(svc *serviceState) {
	for svc.queue.Len() > 0 {
		dest := destination{acquiredAt: time.Now()}
		slot, local := d.Targets.Acquire(target.Criteria{Service: svc.name, Now: dest.acquiredAt})
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

// idlePeer finds a peer for the next waiting request. The lane is locked.
func (d *Dispatcher) idlePeer(svc *serviceState, dest *destination) bool {
	if d.IdlePeer == nil || !svc.queue.Peek().Value.(*waiter).forwardable {
		return false
	}
	var ok bool
	dest.peer, ok = d.IdlePeer(svc.name, "")
	return ok
}

// assignNext places the next waiting request that can still meet its deadline, and
// refuses those before it that cannot.
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

func (d *Dispatcher) weight(neighbour string) int {
	if d.WeightOf == nil {
		return 1
	}
	return d.WeightOf(neighbour)
}
