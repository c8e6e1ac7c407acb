package scheduler

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// cellMember represents a node in one cell: it runs for election as the cell's
// leader, and passes calls about the cell's jobs to the current leader.
type cellMember struct {
	Cell batch.Cell
	Log  *eventlog.Log

	scheduler *Scheduler
	keys      keys

	mu     sync.Mutex
	table  batch.QueueConfig
	leader leaderRef
	// previous is the last known leader other than this node.
	previous leaderRef
	// ownTerm is this node's current term as leader, nil while it does not lead the cell.
	ownTerm *Leader
	// leaderChanged is closed when leader changes, or when the node gets its first configuration and
	// may run for election.
	leaderChanged chan struct{}
	// retiredToken is the highest fencing token under which this node has stopped renewing leases;
	// latestToken is the token of its latest term.
	retiredToken int64
	latestToken  int64
	// candidate is true from before the node writes the leader's key until its term has ended.
	candidate   bool
	steppedDown bool
	// lastContact is when each peer last answered, by address.
	lastContact map[string]time.Time
	// unreachable is when each node, by address, could not be reached for a relayed submission.
	unreachable map[string]time.Time
}

// leaderRef is the content of a leader's key; the zero value means that there is no leader.
// Token is the fencing token of the term: the revision at which the key was written. CPUShare is that
// of the leader's node, zero if the key does not contain it.
type leaderRef struct {
	ID       string
	Address  string
	Token    int64
	CPUShare float64
}

// setTable applies a configuration to this node's member of the cell, and to its term if it leads.
func (m *cellMember) setTable(t batch.QueueConfig) {
	m.mu.Lock()
	if m.table.Queues == nil {
		m.signalLeaderChanged()
	}
	m.table = t
	term := m.ownTerm
	m.mu.Unlock()
	if term != nil {
		term.setTable(t)
	}
}

// setLeader records the cell's leader as last read from the store.
func (m *cellMember) setLeader(ref leaderRef) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ref == m.leader {
		return
	}
	m.Log.Emit(eventlog.LeaderChanged,
		zap.String("holder", ref.ID), zap.String("address", ref.Address), zap.Int64("token", ref.Token))
	m.leader = ref
	if ref.Token != 0 && ref.ID != m.scheduler.ID {
		m.previous = ref
	}
	if term := m.ownTerm; term != nil && ref.Token > term.Token {
		term.supersede()
	}
	m.signalLeaderChanged()
}

// signalLeaderChanged ends the waits for a change of leader; m.mu is held.
func (m *cellMember) signalLeaderChanged() {
	close(m.leaderChanged)
	m.leaderChanged = make(chan struct{})
}

// currentLeader returns the last known leader, and a channel that is closed when it changes.
func (m *cellMember) currentLeader() (leaderRef, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leader, m.leaderChanged
}

// localLeader returns the leader if this node leads the cell and its term has begun, else nil.
func (m *cellMember) localLeader() *Leader {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownTerm
}

// isRetired reports whether this node has stopped renewing workers' leases under all
// fencing tokens up to the given one. If it still leads under one of them, it ends its term and reports false.
func (m *cellMember) isRetired(token int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if term := m.ownTerm; term != nil && term.Token <= token {
		go term.endTerm("another node asked for its end")
		return false
	}
	if m.ownTerm == nil && m.candidate {
		// The token of the term that may begin is not known here yet, or its term has not begun.
		return false
	}
	return m.latestToken <= m.retiredToken || m.latestToken > token
}

// stepDown ends the node's term, if it leads the cell, and keeps it from running for election again.
func (m *cellMember) stepDown() {
	m.mu.Lock()
	m.steppedDown = true
	term := m.ownTerm
	m.mu.Unlock()
	if term != nil {
		term.endTerm(plannedStop)
	}
}

// plannedStop is the reason for the end of a term of a node that is stopping.
const plannedStop = "planned stop"
