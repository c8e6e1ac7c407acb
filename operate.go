package oriolepond

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/roster"
)

// burnTimeout bounds the time in which peers tell what they counted.
const burnTimeout = 5 * time.Second

func (i *Instance) admin() http.Handler {
	api := &operate.API{
		TokenHash: i.Settings.OperatorTokenHash,
		Ready:     i.ready,
		Apply:     i.configs.Apply,
		Status:    i.configs.Status,
		History:   i.configs.History,
		Config:    i.configs.Current,
		Accounts:  i.accounts,
		Periods:   i.periods.Last,
		Burn:      i.burn,
		Log:       i.Log,
	}
	return api.Handler()
}

// localOperate is the operators' plane of this instance.
func (i *Instance) localOperate() *peer.Operate {
	return &peer.Operate{
		Announce: func(_ context.Context, id string, revision int64) (int64, error) {
			return i.configs.Heard(id, revision), nil
		},
		Newest: func(_ context.Context, have config.Copy) (config.Copy, bool, error) {
			c, newer := i.configs.Newest(have.Head().Revision)
			return c, newer, nil
		},
		Burn: func(context.Context) (burn.Snapshot, error) {
			return i.burned.Snapshot(time.Now()), nil
		},
	}
}

// entryPeer is another entry instance, as it can be called.
type entryPeer struct {
	id      string
	operate *peer.Operate
}

// entryPeers returns the other entry instances: the registered ones, and those
// on the platform's list, which is all that is known while the store is down.
func (i *Instance) entryPeers() []entryPeer {
	addresses := map[string]string{}
	for _, r := range i.currentList().OfKind(roster.KindEntry) {
		if r.State == roster.Live && r.PeerAddress != "" {
			addresses[r.ID] = r.PeerAddress
		}
	}
	for _, p := range i.members.View().Peers {
		addresses[p.ID] = p.PeerAddress
	}
	delete(addresses, i.Settings.ID)
	var all []entryPeer
	for id, address := range addresses {
		conn, err := i.pool.Conn(address)
		if err == nil {
			all = append(all, entryPeer{id: id, operate: peer.NewOperate(conn)})
		}
	}
	return all
}

func (i *Instance) configPeers() []config.Peer {
	var all []config.Peer
	for _, p := range i.entryPeers() {
		all = append(all, config.Peer{ID: p.id, Announce: p.operate.Announce, Newest: p.operate.Newest})
	}
	return all
}

// burn merges what all entry instances counted; those that do not answer are named.
func (i *Instance) burn(ctx context.Context) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, burnTimeout)
	defer cancel()
	now := time.Now()
	snapshots := []burn.Snapshot{i.burned.Snapshot(now)}
	answered, missing := []string{i.Settings.ID}, []string(nil)
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, p := range i.entryPeers() {
		group.Go(func() {
			s, err := p.operate.Burn(ctx)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, p.id)
				return
			}
			answered = append(answered, p.id)
			snapshots = append(snapshots, s)
		})
	}
	group.Wait()
	slices.Sort(answered)
	slices.Sort(missing)
	report := burn.NewReport(i.configs.Current(), burn.Merge(snapshots), now)
	report.Answered, report.Missing = answered, missing
	return report, nil
}
