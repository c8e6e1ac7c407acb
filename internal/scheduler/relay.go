package scheduler

import (
	"context"
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

const (
	// relayTimeout bounds a submission through other nodes.
	relayTimeout = 800 * time.Millisecond
	// relayInterval is how long a node may take to answer before the next one is asked, too.
	relayInterval = 200 * time.Millisecond
	// probeTimeout bounds the call by which a node is probed before a job is relayed through it.
	probeTimeout = 250 * time.Millisecond
	// unreachablePause is how long no job is relayed through a node that could not be reached.
	unreachablePause = 5 * time.Second
)

// relay submits a job through other nodes, one after the other, until one of them accepts it. The
// error of the submission through this node is kept unless the answers of the others change it.
func (m *cellMember) relay(ctx context.Context, j batch.Job, err error) error {
	if remaining(ctx) < relayTimeout {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	addresses := m.relays()
	results := make(chan error, len(addresses))
	for pending := 0; len(addresses) > 0 || pending > 0; {
		var next <-chan time.Time
		if len(addresses) > 0 {
			address := addresses[0]
			addresses = addresses[1:]
			pending++
			go func() { results <- m.relayThrough(ctx, address, j) }()
			next = time.After(relayInterval)
		}
		if len(addresses) == 0 {
			next = nil
		}
		select {
		case relayErr := <-results:
			pending--
			if err = combineOutcomes(err, relayErr); err == nil {
				return nil
			}
		case <-next:
		}
	}
	return err
}

// combineOutcomes returns the error for a job that was submitted through two nodes. The job is
// accepted if one of them accepted it, and its outcome is unknown if that of one try is.
func combineOutcomes(a, b error) error {
	switch {
	case a == nil || b == nil:
		return nil
	case errors.As(a, new(*UnknownOutcomeError)) || isUnreachable(b) || errors.As(b, new(*UnavailableError)):
		return a
	}
	return b
}

// relayThrough submits a job through the node at an address.
func (m *cellMember) relayThrough(ctx context.Context, address string, j batch.Job) error {
	c, err := m.scheduler.Peer(address, m.Cell.Index)
	if err != nil {
		return &UnreachableError{Err: err}
	}
	if err = m.probe(ctx, address, c, j.ID); err == nil {
		err = c.Relay(ctx, j)
	}
	if isUnreachable(err) {
		m.setUnreachable(address)
	}
	m.Log.Emit(eventlog.SubmissionRelayed, zap.String("job", j.ID), zap.String("peer", address), zap.Error(err))
	return err
}

// probe returns an *UnreachableError unless a node answers a call without effect. A job that is sent
// to a node that does not answer could no longer be refused.
func (m *cellMember) probe(ctx context.Context, address string, c *Calls, id string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := m.scheduler.now()
	_, _, err := c.State(ctx, id)
	m.recordAnswer(address, sent, isUncertain(err) || isUnreachable(err))
	if isUncertain(err) {
		return &UnreachableError{Err: err}
	}
	return nil
}

// acceptRelayed accepts a job that another node could not submit.
func (m *cellMember) acceptRelayed(ctx context.Context, j batch.Job) error {
	ctx, cancel := withAnswerMargin(ctx)
	defer cancel()
	return m.submitLocally(ctx, m.withPolicy(j))
}

// relays returns the addresses of nodes through which this one may submit a job: the peers in
// the settings, and the leaders of other cells, since the store serves these.
func (m *cellMember) relays() []string {
	homeLeader, _ := m.currentLeader()
	addresses := slices.Clone(m.scheduler.Peers)
	for _, other := range m.scheduler.allMembers() {
		if ref, _ := other.currentLeader(); other != m && ref.Address != "" {
			addresses = append(addresses, ref.Address)
		}
	}
	slices.Sort(addresses)
	return slices.DeleteFunc(slices.Compact(addresses), func(address string) bool {
		return address == m.scheduler.Address || address == homeLeader.Address || m.isUnreachableNode(address)
	})
}

// setUnreachable records that the node at an address could not be reached.
func (m *cellMember) setUnreachable(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unreachable == nil {
		m.unreachable = map[string]time.Time{}
	}
	m.unreachable[address] = m.scheduler.now()
}

// isUnreachableNode reports whether the node at an address could not be reached within unreachablePause.
func (m *cellMember) isUnreachableNode(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	since, ok := m.unreachable[address]
	return ok && m.scheduler.now().Sub(since) < unreachablePause
}

// mayRelay reports whether another node may still accept a job after this error.
func mayRelay(err error) bool {
	return errors.As(err, new(*UnavailableError)) || errors.As(err, new(*UnknownOutcomeError))
}
