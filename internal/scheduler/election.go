package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/lease"
	"github.com/oriolepond/oriolepond/internal/store"
)

const (
	// leaderTTL is the TTL of the lease on the leader's key: short, since after the
	// loss of a leader nothing is decided until it expires, and long enough for three
	// renewals at a slow store.
	leaderTTL = 1500 * time.Millisecond
	// renewInterval lets two renewals fail before the lease expires.
	renewInterval = leaderTTL / 3
	// renewTimeout bounds one renewal; a slow store answers within 300 ms.
	renewTimeout = 450 * time.Millisecond
	// electionCallTimeout bounds one call to the store during an election.
	electionCallTimeout = 700 * time.Millisecond
	// electionRetryInterval is the wait between two tries to become leader.
	electionRetryInterval = 150 * time.Millisecond
	// rttDelayFactor, in round trips, and maxShareDelay delay the candidacy of a node that is far
	// from the store or has a smaller CPU share than others: a leader uses most of its node's share.
	// The latter delay exceeds the time that an election takes at a slow store.
	rttDelayFactor = 12
	maxShareDelay  = 1500 * time.Millisecond
	// delayPerTerm delays a node for each term that it serves or runs for, so that the cells spread
	// over the nodes, those with the greatest CPU share first.
	delayPerTerm = 150 * time.Millisecond
	// electionJitter keeps equal nodes from running for election at the same moment.
	electionJitter = 20 * time.Millisecond
	// firstCountDelay lets all nodes of a new deployment publish their CPU share before
	// the number of cells is decided, and so before the first election.
	firstCountDelay = 1500 * time.Millisecond
)

// runElections runs for election whenever the cell has no leader, and serves each term that it wins.
func (m *cellMember) runElections(ctx context.Context) error {
	for {
		ref, changed := m.currentLeader()
		if ref.Token != 0 || !m.mayRun() {
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			case <-time.After(leaderTTL):
			}
			continue
		}
		if !m.scheduler.awaitElectionTurn(ctx, changed) {
			continue
		}
		m.scheduler.addTerms(1)
		m.runForLeader(ctx)
		m.scheduler.addTerms(-1)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(electionRetryInterval):
		}
	}
}

// mayRun reports whether the node may run for election: it has a configuration and is not stopping.
func (m *cellMember) mayRun() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.steppedDown && m.table.Queues != nil
}

// awaitElectionTurn waits until the node's turn to run for election: nodes near the store,
// with a large CPU share and few terms come first. It reports whether there is still no
// leader then. The delay is recomputed meanwhile, since it shrinks when
// the node loses an election or its term in another cell.
func (s *Scheduler) awaitElectionTurn(ctx context.Context, changed <-chan struct{}) bool {
	jitter := time.Duration(rand.Int64N(int64(electionJitter)))
	for startedAt := s.now(); ; {
		remainingDelay := s.electionDelay() + jitter - s.now().Sub(startedAt)
		if remainingDelay <= 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-changed:
			return false
		case <-time.After(min(remainingDelay, electionJitter)):
		}
	}
}

// electionDelay returns how long the node waits before it runs for election.
func (s *Scheduler) electionDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := rttDelayFactor*s.rtt + delayPerTerm*time.Duration(s.terms)
	if s.bestShare > s.CPUShare {
		delay += time.Duration(float64(maxShareDelay) * (1 - s.CPUShare/s.bestShare))
	}
	return delay
}

// addTerms changes the number of terms that the node serves or runs for.
func (s *Scheduler) addTerms(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.terms += delta
}

// runForLeader acquires the leader's key if it is free, and serves the term until it ends.
func (m *cellMember) runForLeader(ctx context.Context) {
	requestedAt := m.scheduler.now()
	id, err := m.grantLease(ctx)
	if err != nil {
		return
	}
	token, ok := m.acquireKey(ctx, id)
	if !ok {
		m.revokeLease(id)
		return
	}
	m.serveTerm(ctx, id, token, requestedAt)
}

func (m *cellMember) grantLease(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	return m.scheduler.Store.GrantLease(ctx, leaderTTL)
}

// acquireKey writes the leader's key if there is none. If the answer is lost, it reads
// the key to find out whether the write took effect.
func (m *cellMember) acquireKey(ctx context.Context, id store.LeaseID) (token int64, ok bool) {
	value, err := json.Marshal(wireLeader{ID: m.scheduler.ID, Address: m.scheduler.Address})
	if err != nil {
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	result, err := m.scheduler.Store.Commit(call, store.Txn{
		If:   []store.Condition{{Key: m.keys.leader}},
		Then: []store.Op{store.Put(m.keys.leader, value).WithLease(id)},
	})
	if err == nil {
		return result.Revision, result.Done
	}
	again, stop := context.WithTimeout(ctx, electionCallTimeout)
	defer stop()
	e, found, err := m.scheduler.Store.Read(again, m.keys.leader)
	if err != nil || !found || e.Lease != id {
		return 0, false
	}
	return e.Revision, true
}

// revokeLease gives up the lease of a term, so that a late commit of that term fails.
func (m *cellMember) revokeLease(id store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), renewTimeout)
	defer cancel()
	if err := m.scheduler.Store.RevokeLease(ctx, id); err != nil {
		// The lease expires by itself within leaderTTL.
		m.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "end of lease"), zap.Error(err))
	}
}

// serveTerm restores the cell's jobs and leads the cell until the term ends. The lease was
// requested at requestedAt, from which its validity counts.
func (m *cellMember) serveTerm(ctx context.Context, id store.LeaseID, token int64, requestedAt time.Time) {
	m.mu.Lock()
	previous := m.previous
	m.latestToken = token
	table := m.table
	m.mu.Unlock()
	leader := &Leader{
		Token: token, Cell: m.Cell, keys: m.keys, ID: m.scheduler.ID, Store: m.scheduler.Store, Workers: m.scheduler.Workers, Timing: m.scheduler.Timing,
		WorkerPrefix: m.scheduler.WorkerPrefix, DecodeWorker: m.scheduler.DecodeWorker, Log: m.Log, Metrics: m.scheduler.Metrics, Now: m.scheduler.now,
		MaxStoreValue: m.scheduler.MaxStoreValue,
	}
	leader.leaseRenewed(requestedAt)
	term, cancel := context.WithCancel(ctx)
	defer cancel()
	leader.stop = cancel
	go m.renewLease(term, leader, id)
	startedAt := m.scheduler.now()
	m.Log.Emit(eventlog.TermBegun, zap.Int64("token", token), zap.String("former", previous.ID))
	err := leader.restore(term, table, m.unreachedRunLimit())
	if err == nil {
		m.mu.Lock()
		m.ownTerm = leader
		latestTable := m.table
		m.mu.Unlock()
		leader.setTable(latestTable)
		go m.awaitReplacedLeaders(term, leader)
		m.Log.Emit(eventlog.TermServing, zap.Int64("token", token), zap.Duration("loaded", m.scheduler.now().Sub(startedAt)),
			zap.Int("jobs", leader.jobCount()))
		err = leader.run(term)
	}
	m.mu.Lock()
	m.ownTerm = nil
	m.retiredToken = token
	if m.leader.Token == token {
		m.leader = leaderRef{}
	}
	m.mu.Unlock()
	m.revokeLease(id)
	m.Log.Emit(eventlog.TermEnded, zap.Int64("token", token), zap.Error(err))
}

// unreachedRunLimit returns how long runs may go on at workers that this leader never
// reaches: the longest lease there, plus the time for which an earlier leader
// without the store may still renew it.
func (m *cellMember) unreachedRunLimit() time.Duration {
	return lease.Longer(m.scheduler.Timing.MaxLease+m.scheduler.Timing.RenewGrace) + time.Second
}

// renewalLimit returns how long a leader may renew leases at workers after another
// node has seen that its key is gone.
func (s *Scheduler) renewalLimit() time.Duration {
	return lease.Longer(s.Timing.RenewGrace+leaderTTL) + watchLag
}

// watchLag bounds how late a node learns of a change to a key: the watch ends after 3 s without a message.
const watchLag = 3 * time.Second

// awaitReplacedLeaders asks the replaced leaders until all have stopped renewing leases, and
// then shortens the wait for unreached workers. A leader that the store refused learns
// of its successor from the first such call, and may end its term only after that.
func (m *cellMember) awaitReplacedLeaders(ctx context.Context, leader *Leader) {
	startedAt := m.scheduler.now()
	// Until then, leases may still be renewed by a leader that was replaced before this node started.
	allSeenAt := m.scheduler.startTime().Add(m.scheduler.renewalLimit())
	for deadline := startedAt.Add(m.unreachedRunLimit()); m.scheduler.now().Before(deadline); {
		if !m.scheduler.now().Before(allSeenAt) && m.replacedLeadersRetired(ctx, leader.Token) {
			leader.withLock(func() { leader.core.ShortenUncontactedExpiry(leader.Now()) })
			m.Log.Emit(eventlog.PreviousLeadersStopped, zap.Int64("token", leader.Token), zap.Duration("after", m.scheduler.now().Sub(startedAt)))
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(retiredCheckInterval):
		}
	}
}

// retiredCheckInterval is the pause between two rounds of calls to the replaced leaders.
const retiredCheckInterval = time.Second

// replacedLeadersRetired reports whether every replaced leader that may still renew
// leases confirms that it does not. An unanswered call counts as no confirmation.
func (m *cellMember) replacedLeadersRetired(ctx context.Context, token int64) bool {
	now := m.scheduler.now()
	m.mu.Lock()
	m.replaced = slices.DeleteFunc(m.replaced, func(r replacedLeader) bool { return now.After(r.renewsUntil) })
	replaced := slices.Clone(m.replaced)
	m.mu.Unlock()
	for _, r := range replaced {
		if r.Token < token && !m.isLeaderRetired(ctx, r.leaderRef) {
			return false
		}
	}
	return true
}

func (m *cellMember) isLeaderRetired(ctx context.Context, leader leaderRef) bool {
	if leader.Address == m.scheduler.Address {
		return true
	}
	c, err := m.scheduler.Peer(leader.Address, m.Cell.Index)
	if err != nil {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	retired, err := c.Retired(bounded, leader.Token)
	return err == nil && retired
}

// renewLease renews the lease of a term until the term ends.
func (m *cellMember) renewLease(ctx context.Context, leader *Leader, id store.LeaseID) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(renewInterval):
		}
		sent := m.scheduler.now()
		call, cancel := context.WithTimeout(ctx, renewTimeout)
		err := m.scheduler.Store.KeepAlive(call, id)
		cancel()
		var expired *store.LeaseExpiredError
		switch {
		case err == nil:
			leader.leaseRenewed(sent)
		case errors.As(err, &expired):
			leader.endTerm("the store no longer knows the lease")
			return
		case ctx.Err() == nil && m.scheduler.now().After(leader.renewalsEnd()):
			leader.endTerm("the store was unavailable for too long")
			return
		}
	}
}
