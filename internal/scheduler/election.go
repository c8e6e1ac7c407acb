package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
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
	// maxRTTDelay bounds the former, since nothing is decided meanwhile. The latter exceeds the time
	// that an election takes at a slow store.
	rttDelayFactor = 12
	maxRTTDelay    = 500 * time.Millisecond
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
	for ctx.Err() == nil {
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
	return nil
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
	delay := min(rttDelayFactor*s.rtt, maxRTTDelay) + delayPerTerm*time.Duration(s.terms)
	if s.bestShare > s.CPUShare {
		delay += shareDelay(s.CPUShare, s.bestShare)
	}
	return delay
}

// shareDelay returns how long a node waits for one with a greater CPU share to be elected.
func shareDelay(share, greater float64) time.Duration {
	return time.Duration(float64(maxShareDelay) * (1 - share/greater))
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
	var former store.Entry
	var found bool
	var readErr error
	var read sync.WaitGroup
	read.Go(func() { former, found, readErr = m.readTerms(ctx) })
	id, err := m.grantLease(ctx)
	read.Wait()
	if err != nil {
		return
	}
	if readErr != nil {
		m.revokeLease(id)
		return
	}
	if !m.becomeCandidate() {
		m.revokeLease(id)
		return
	}
	defer m.endCandidacy()
	record := m.successor(former, found)
	token, ok := m.acquireKey(ctx, id, record, former.Revision)
	if !ok {
		m.revokeLease(id)
		return
	}
	earlier := newTerms(record, token, m.scheduler.renewalLimit(), m.scheduler.now())
	earlier.first, earlier.inherited = !found, inheritedContacts(former)
	m.serveTerm(ctx, id, earlier, requestedAt)
}

// becomeCandidate records that the node may be about to begin a term, unless it is stopping.
func (m *cellMember) becomeCandidate() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidate = !m.steppedDown
	return m.candidate
}

func (m *cellMember) endCandidacy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidate = false
}

// readTerms reads the record of terms.
func (m *cellMember) readTerms(ctx context.Context) (store.Entry, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	return m.scheduler.Store.Read(ctx, m.keys.terms)
}

func (m *cellMember) grantLease(ctx context.Context) (store.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	return m.scheduler.Store.GrantLease(ctx, leaderTTL)
}

// acquireKey writes the leader's key if there is none, and the record of terms if it still has the
// given revision. If the answer is lost, it reads the key to find out whether the write took effect.
func (m *cellMember) acquireKey(ctx context.Context, id store.LeaseID, record wireTerms, revision int64) (token int64, ok bool) {
	value, err := json.Marshal(wireLeader{ID: m.scheduler.ID, Address: m.scheduler.Address, CPUShare: m.scheduler.CPUShare})
	if err != nil {
		return 0, false
	}
	terms, err := json.Marshal(record)
	if err != nil {
		return 0, false
	}
	call, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	result, err := m.scheduler.Store.Commit(call, store.Txn{
		If:   []store.Condition{{Key: m.keys.leader}, {Key: m.keys.terms, Revision: revision}},
		Then: []store.Op{store.Put(m.keys.leader, value).WithLease(id), store.Put(m.keys.terms, terms)},
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
func (m *cellMember) serveTerm(ctx context.Context, id store.LeaseID, earlier *terms, requestedAt time.Time) {
	token := earlier.own.Token
	m.mu.Lock()
	previous := m.previous
	m.latestToken = token
	table := m.table
	m.mu.Unlock()
	leader := &Leader{
		Token: token, Cell: m.Cell, keys: m.keys, terms: earlier, ID: m.scheduler.ID, Store: m.scheduler.Store, Workers: m.scheduler.Workers, Timing: m.scheduler.Timing,
		WorkerPrefix: m.scheduler.WorkerPrefix, DecodeWorker: m.scheduler.DecodeWorker, Log: m.Log, Metrics: m.scheduler.Metrics, Now: m.scheduler.now,
		MaxStoreValue: m.scheduler.MaxStoreValue, Evacuations: m.scheduler.Evacuations,
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
		latestTable, stopping := m.table, m.steppedDown
		m.mu.Unlock()
		if stopping {
			leader.endTerm(plannedStop)
		}
		leader.setTable(latestTable)
		go m.awaitEarlierTerms(term, leader)
		go leader.fenceEarlierTerms(term)
		m.Log.Emit(eventlog.TermServing, zap.Int64("token", token), zap.Duration("loaded", m.scheduler.now().Sub(startedAt)),
			zap.Int("jobs", leader.jobCount()), zap.String("commit", leader.latestCommit()))
		err = leader.run(term)
	}
	m.mu.Lock()
	m.ownTerm = nil
	m.retiredToken = token
	m.candidate = false
	if m.leader.Token == token {
		m.leader = leaderRef{}
	}
	m.mu.Unlock()
	leader.retire()
	m.revokeLease(id)
	m.Log.Emit(eventlog.TermEnded, zap.Int64("token", token), zap.String("commit", leader.latestCommit()), zap.Error(err))
}

// unreachedRunLimit returns how long runs may go on at workers that this leader never
// reaches: the longest lease there, plus the time for which an earlier leader
// without the store may still renew it.
func (m *cellMember) unreachedRunLimit() time.Duration {
	return lease.Longer(m.scheduler.Timing.MaxLease+m.scheduler.Timing.RenewGrace) + time.Second
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
