package oriolepond

import (
	"context"
	"net/http"
	"time"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/roster"
)

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
			return i.configs.HandleAnnouncement(id, revision), nil
		},
		Newest: func(_ context.Context, have config.Snapshot) (config.Snapshot, bool, error) {
			c, newer := i.configs.NewerThan(have.Head().Revision)
			return c, newer, nil
		},
		Burn: func(context.Context) (burn.Snapshot, error) {
			return i.burned.Snapshot(time.Now()), nil
		},
		StoreBurn: i.storeBurn,
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
		all = append(all, config.Peer{ID: p.id, Announce: p.operate.Announce, FetchNewer: p.operate.Newest})
	}
	return all
}
