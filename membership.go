package oriolepond

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/target"
)

// buildMembership sets up the registration of this instance and the division of target slots among instances.
func (i *Instance) buildMembership(client *store.Client) {
	s := i.Settings
	i.directory = &peer.Directory{UnresponsiveAfter: func(remote bool) time.Duration { return i.fleet().UnresponsiveAfter(remote) }}
	i.members = &membership.Keeper{
		Store: client,
		Self: membership.Peer{
			ID: s.ID, Region: s.Region, DataCentre: s.DataCentre,
			Address: s.Advertise, PeerAddress: s.PeerAdvertise,
		},
		TTL:            s.LeaseTTL,
		Log:            i.Log,
		MaxRequestTime: i.longestDeadline,
		ListLag:        s.ListLag,
		Apply:          i.updateTargets,
		Changed:        func(membership.View) { i.updateReporters() },
		Cut:            i.streamCanceller.CancelAll,
		AskPromise:     i.askPromise,
	}
	i.targets.MayUseSlots = i.members.Entitled
	i.keyJournal = &home.Journal{Store: client}
	i.requests.Keys = i.newKeys()
}

// longestDeadline returns the longest deadline of any configured route.
func (i *Instance) longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, s := range i.configs.Current().Services {
		for _, r := range s.Routes {
			longest = max(longest, r.Deadline)
		}
	}
	return longest
}

// updateTargets updates the target table from the instance list and this instance's
// allocation. It returns the targets that have more requests in flight than allocated,
// and whether any request is in flight.
func (i *Instance) updateTargets() (over []string, busy bool) {
	var targets []target.Target
	allocations := map[string]int{}
	for _, r := range i.currentList().OfKind(roster.KindRunner) {
		allocations[r.ID] = i.members.Allocation(r.ID, r.Region, r.Slots)
		targets = append(targets, target.Target{
			ID:      r.ID,
			Service: r.Service,
			Address: r.Address,
			Region:  r.Region, DataCentre: r.DataCentre,
			Slots:       i.members.Usable(r.ID, r.Region, r.Slots),
			Connections: i.members.Usable(r.ID, r.Region, r.Connections),
			Leaving:     r.State != roster.Live,
		})
	}
	i.targets.Set(targets)
	i.requests.WakeAll()
	return i.targets.OverLimit(allocations)
}

// applyList applies a newly read instance list.
func (i *Instance) applyList(list roster.List) {
	before := i.instanceList.Swap(&list)
	changed := before == nil || before.Version != list.Version
	listed := map[string]bool{}
	for _, e := range list.OfKind(roster.KindEntry) {
		listed[e.ID] = true
	}
	i.members.ObserveList(listed, changed)
	if changed {
		i.updateReporters()
	}
}

// otherPeers returns the other registered instances, and those on the platform's list.
// An instance that starts while the store is down knows only the list.
func (i *Instance) otherPeers() []membership.Peer {
	all := map[string]membership.Peer{}
	for _, r := range i.currentList().OfKind(roster.KindEntry) {
		if r.State == roster.Live && r.PeerAddress != "" {
			all[r.ID] = membership.Peer{
				ID: r.ID, Region: r.Region, DataCentre: r.DataCentre,
				Address: r.Address, PeerAddress: r.PeerAddress,
			}
		}
	}
	for _, p := range i.members.View().Peers {
		all[p.ID] = p
	}
	delete(all, i.Settings.ID)
	peers := make([]membership.Peer, 0, len(all))
	for _, p := range all {
		peers = append(peers, p)
	}
	return peers
}

// updateReporters keeps one report stream open to each other instance.
func (i *Instance) updateReporters() {
	peers := i.otherPeers()
	known := make(map[string]membership.Peer, len(peers))
	for _, p := range peers {
		known[p.ID] = p
	}
	i.peerSnapshot.Store(&peerSnapshot{peers: known, fleet: countFleet(peers, i.Settings.Region)})
	i.reporters.Set(peers)
	i.setSlowedPeers(peers)
}

// otherPeer returns another instance by its ID.
func (i *Instance) otherPeer(id string) (membership.Peer, bool) {
	known := i.peerSnapshot.Load()
	if known == nil {
		return membership.Peer{}, false
	}
	p, ok := known.peers[id]
	return p, ok
}

// peerSnapshot contains the other instances by ID, and their numbers, as last updated.
type peerSnapshot struct {
	peers map[string]membership.Peer
	fleet peer.Fleet
}

// fleet returns the numbers of other instances, in this region and in other regions.
func (i *Instance) fleet() peer.Fleet {
	if known := i.peerSnapshot.Load(); known != nil {
		return known.fleet
	}
	return peer.Fleet{}
}

// countFleet counts the peers inside and outside a region.
func countFleet(peers []membership.Peer, region string) peer.Fleet {
	var f peer.Fleet
	for _, p := range peers {
		if p.Region == region {
			f.Near++
		} else {
			f.Remote++
		}
	}
	return f
}

// reportTo sends reports to one peer until the context ends.
func (i *Instance) reportTo(ctx context.Context, p membership.Peer) {
	remote := p.Region != i.Settings.Region
	r := &peer.Reporter{
		Conn:    func() (*grpc.ClientConn, error) { return i.peerConns.Conn(p.PeerAddress) },
		Drop:    func() { i.peerConns.Drop(p.PeerAddress) },
		Rate:    func() peer.ReportRate { return i.fleet().ReportRate(remote) },
		Next:    func() peer.Report { return i.reportFor(p.ID) },
		Changed: i.changeNotifier.Changed,
	}
	r.Run(ctx)
}

// notifyChanges checks every PeerInterval for changes that peers must be notified of, until the context ends.
func (i *Instance) notifyChanges(ctx context.Context) error {
	ticker := time.NewTicker(i.Settings.PeerInterval)
	defer ticker.Stop()
	for {
		i.members.RecheckUsage()
		i.changeNotifier.Update(peer.Report{Status: i.members.Status(), Idle: i.idleSlots()}, i.members.View().Table.Epoch)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// reportFor returns the current report for a peer. It includes the grant table, which
// divides the target slots among instances, if the peer is known to use an older one.
func (i *Instance) reportFor(id string) peer.Report {
	r := peer.Report{Status: i.members.Status(), Idle: i.changeNotifier.Idle()}
	view := i.members.View()
	if epoch := i.directory.Epoch(id); epoch > 0 && epoch < view.Table.Epoch {
		r.Table, _ = grant.Encode(view.Table)
	}
	return r
}

// idleSlots returns the number of free slots for each service that has slots on this
// instance. A draining instance reports none.
func (i *Instance) idleSlots() map[string]int {
	idle := map[string]int{}
	if i.stop.draining.Load() {
		return idle
	}
	for _, s := range i.configs.Current().Services {
		if i.targets.Capacity(s.Name) > 0 {
			idle[s.Name] = i.targets.Idle(s.Name)
		}
	}
	return idle
}

// registerSlots registers the gRPC service through which peers exchange reports and promises.
func (i *Instance) registerSlots(server *grpc.Server) {
	peer.RegisterSlots(server, &peer.Slots{
		OnReport: func(r peer.Report) {
			id := membership.IDOf(r.Status.ID)
			p, known := i.otherPeer(id)
			if known {
				i.directory.Update(id, p.Region != i.Settings.Region, r, time.Now())
			}
			if err := i.members.ReceiveStatus(r.Status, r.Table); err == nil && len(r.Status.Report.Over) == 0 {
				i.requests.WakeAll()
			}
		},
		Promise: i.members.GrantPromise,
	})
}

// askPromise asks a peer to promise that it will support no takeover from this
// instance for a while. It returns the member name that gave the promise.
func (i *Instance) askPromise(ctx context.Context, p membership.Peer, member string) (string, bool) {
	conn, err := i.peerConns.Conn(p.PeerAddress)
	if err != nil {
		return "", false
	}
	return peer.AskPromise(ctx, conn, member)
}

// enableForwarding lets the dispatcher forward requests to peers.
func (i *Instance) enableForwarding() {
	i.requests.IdlePeer = func(service, exclude string) (entry.Peer, bool) {
		id, ok := i.directory.ReserveIdle(service, exclude, false, time.Now())
		return i.forwardingPeer(id, ok)
	}
	i.requests.AnyPeer = func(service, exclude string) (entry.Peer, bool) {
		id, ok := i.directory.AnyWithSlots(service, exclude, time.Now())
		return i.forwardingPeer(id, ok)
	}
	i.requests.RemotePeer = func(service string) (entry.Peer, bool) {
		id, ok := i.directory.ReserveIdle(service, "", true, time.Now())
		return i.forwardingPeer(id, ok)
	}
	i.requests.StreamContext = i.streamCanceller.WithCancel
}

// forwardingPeer returns the peer with the given ID in the form that the dispatcher uses,
// or false if ok is false or the peer is not known.
func (i *Instance) forwardingPeer(id string, ok bool) (entry.Peer, bool) {
	p, known := i.otherPeer(id)
	if !ok || !known {
		return entry.Peer{}, false
	}
	conn, err := i.peerConns.Conn(p.PeerAddress)
	if err != nil {
		return entry.Peer{}, false
	}
	requests := peer.NewRequests(conn)
	requests.OnIdle = func(service string, idle int) { i.directory.SetIdle(id, service, idle) }
	return entry.Peer{ID: id, Address: p.PeerAddress, Do: requests.Do, Stream: requests.Stream}, true
}

// leaveMembership hands this instance's allocation over to the others. A planned stop
// calls it once no request is waiting any more; open streams may continue.
func (i *Instance) leaveMembership(ctx context.Context) {
	if err := i.members.Leave(ctx); err != nil {
		i.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
	}
}
