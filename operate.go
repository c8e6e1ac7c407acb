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

// adminHandler returns the HTTP handler for operators.
func (i *Instance) adminHandler() http.Handler {
	api := &operate.API{
		TokenHash: i.Settings.OperatorTokenHash,
		Ready:     i.ready,
		Apply:     i.configs.Apply,
		Status:    i.configs.Status,
		History:   i.configs.History,
		Config:    i.configs.Current,
		Accounts:  i.accounts,
		Periods:   i.periods.Last,
		Burn:      i.burnReport,
		Log:       i.Log,
	}
	return api.Handler()
}

// localOperate returns this instance's implementation of the operator API that peers call.
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
			return i.burnRecorder.Snapshot(time.Now()), nil
		},
		StoreBurn: i.flushBurn,
	}
}

// operatorPeer is another entry instance with a client for its operator API.
type operatorPeer struct {
	id      string
	operate *peer.Operate
}

// operatorPeers returns the other registered instances, and those on the platform's
// list. While the store is down, only the list is known.
func (i *Instance) operatorPeers() []operatorPeer {
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
	var all []operatorPeer
	for id, address := range addresses {
		conn, err := i.peerConns.Conn(address)
		if err == nil {
			all = append(all, operatorPeer{id: id, operate: peer.NewOperate(conn)})
		}
	}
	return all
}

// configPeers returns the other instances in the form that package config uses.
func (i *Instance) configPeers() []config.Peer {
	var all []config.Peer
	for _, p := range i.operatorPeers() {
		all = append(all, config.Peer{ID: p.id, Announce: p.operate.Announce, FetchNewer: p.operate.Newest})
	}
	return all
}
