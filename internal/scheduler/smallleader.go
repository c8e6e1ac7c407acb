package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

const (
	// muchSmallerShare is the fraction of a node's CPU share below which a leader's share is much
	// smaller. A change of leader costs more than a small difference is worth.
	muchSmallerShare = 0.5
	// smallLeaderDelay is how long a leader with a much smaller share leads before another node asks for
	// the end of its term. It lets a node that has just started learn the configuration and open its
	// connections.
	smallLeaderDelay = 2 * time.Second
	// maxSmallLeaderDelay bounds the delay, which doubles with each term that was ended this way: the
	// small node is elected again if no large one can lead.
	maxSmallLeaderDelay = time.Minute
)

// replaceSmallLeaders ends the terms of leaders with a much smaller CPU share than this node's. A node
// that is too small for its cell renews its lease, but starts tasks late or not at all, and would lead
// until its own end.
func (m *cellMember) replaceSmallLeaders(ctx context.Context) error {
	delay := smallLeaderDelay
	for {
		ref, changed := m.currentLeader()
		wait, replaceable := leaderTTL, m.canReplace(ref)
		switch {
		case replaceable:
			wait = delay
		case ref.Token != 0:
			delay = smallLeaderDelay
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
			continue
		case <-time.After(wait):
		}
		if !replaceable || !m.canReplace(ref) || !m.readsLeader(ctx, ref) {
			continue
		}
		m.Log.Emit(eventlog.SmallLeaderReplaced, zap.String("holder", ref.ID), zap.Int64("token", ref.Token), zap.Float64("cpuShare", ref.CPUShare))
		m.isLeaderRetired(ctx, ref)
		delay = min(2*delay, maxSmallLeaderDelay)
	}
}

// canReplace reports whether the leader's CPU share is much smaller than this node's, so that this node
// would win an election against it.
func (m *cellMember) canReplace(ref leaderRef) bool {
	share := m.scheduler.CPUShare
	if ref.CPUShare == 0 || ref.CPUShare >= muchSmallerShare*share || !m.mayRun() {
		return false
	}
	return m.scheduler.electionDelay() < shareDelay(ref.CPUShare, share)
}

// readsLeader reports whether the store serves this node, and still names the leader.
func (m *cellMember) readsLeader(ctx context.Context, ref leaderRef) bool {
	call, cancel := context.WithTimeout(ctx, electionCallTimeout)
	defer cancel()
	e, found, err := m.scheduler.Store.Read(call, m.keys.leader)
	return err == nil && found && e.Revision == ref.Token
}
