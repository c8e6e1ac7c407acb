package scheduler

import (
	"encoding/json"
	"strconv"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// maxCells is the greatest number of cells that a node accepts as valid: with 300
// workers each, a hundred times the size that the scheduler is designed for.
const maxCells = 400

func (s *Scheduler) applyLeaderUpdate(u store.Update) {
	for _, c := range u.Changes {
		if c.Deleted && c.Entry.Key != ConfigCopyKey {
			s.setLeader(c.Entry.Key, leaderRef{})
		} else if !c.Deleted {
			s.applyLeaderKey(c.Entry)
		}
	}
}

// setLeader records the value of a leader's key; a zero ref means that the key does not exist.
func (s *Scheduler) setLeader(key string, ref leaderRef) {
	s.mu.Lock()
	if s.leaders == nil {
		s.leaders = map[string]leaderRef{}
	}
	s.leaders[key] = ref
	members := s.members
	s.mu.Unlock()
	for _, m := range members {
		if key == m.keys.leader {
			m.setLeader(ref)
		}
	}
}

// applyLeaderSnapshot applies a listing of all keys under leaderPrefix.
func (s *Scheduler) applyLeaderSnapshot(entries []store.Entry) {
	found := map[string]bool{}
	for _, e := range entries {
		found[e.Key] = true
		s.applyLeaderKey(e)
	}
	for _, m := range s.allMembers() {
		if !found[m.keys.leader] {
			s.setLeader(m.keys.leader, leaderRef{})
		}
	}
	if s.OnConfigCopies != nil {
		s.OnConfigCopies(nil, true)
	}
}

// applyLeaderKey applies one existing key under leaderPrefix.
func (s *Scheduler) applyLeaderKey(e store.Entry) {
	switch e.Key {
	case bestShareKey:
		s.setBestShare(e.Value)
	case ConfigCopyKey:
		if s.OnConfigCopies != nil {
			s.OnConfigCopies([]store.Entry{e}, false)
		}
	case CellsKey:
		count, err := strconv.Atoi(string(e.Value))
		if err != nil || count < 1 || count > maxCells {
			s.Log.Emit(eventlog.RecordUnreadable, zap.String("key", CellsKey), zap.ByteString("value", e.Value), zap.Error(err))
			return
		}
		s.setCellCount(count)
	default:
		s.setLeader(e.Key, decodeLeader(e))
	}
}

// wireLeader is the JSON value of a leader's key.
type wireLeader struct {
	ID       string  `json:"id"`
	Address  string  `json:"address"`
	CPUShare float64 `json:"cpuShare,omitempty"`
}

func decodeLeader(e store.Entry) leaderRef {
	var w wireLeader
	if err := json.Unmarshal(e.Value, &w); err != nil {
		// An unreadable key still keeps other nodes from becoming leader.
		return leaderRef{ID: "unreadable", Token: e.Revision}
	}
	return leaderRef{ID: w.ID, Address: w.Address, Token: e.Revision, CPUShare: w.CPUShare}
}
