package config

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

const (
	// peerPollInterval is the time between two polls of peers for their revisions.
	peerPollInterval = 2 * time.Second
	// joinFanout is the number of random peers that are polled at a time while this instance has
	// no configuration.
	joinFanout = 3
	// retryFanout is the largest number of peers that are polled in addition to the random ones
	// because they have not confirmed the revision of this instance.
	retryFanout = 8
	// announceDelay gives the store's watch time to deliver a new revision to peers, so that few
	// announcements are needed.
	announceDelay = 100 * time.Millisecond
	// peerTimeout is the timeout of a call to a peer.
	peerTimeout = time.Second
)

// Peer is another instance, with the calls that the keeper makes to it.
type Peer struct {
	ID string
	// Announce sends the caller's id and revision, and returns the peer's revision.
	Announce func(ctx context.Context, id string, revision int64) (int64, error)
	// FetchNewer returns the peer's snapshot and true if it is newer than have, the caller's.
	FetchNewer func(ctx context.Context, have Snapshot) (Snapshot, bool, error)
}

var fetchedTotal = metrics.GetOrCreateCounter("oriolepond_config_fetched_from_peers_total")

// newerPeersChan returns the channel of the ids of peers that announced a newer revision, and
// creates it on first use.
func (k *Keeper) newerPeersChan() chan string {
	k.newerPeersOnce.Do(func() { k.newerPeers = make(chan string, retryFanout) })
	return k.newerPeers
}

// HandleAnnouncement records the revision that a peer announced, and returns the revision in force
// on this instance. If the peer's revision is newer, its snapshot is fetched in the background.
func (k *Keeper) HandleAnnouncement(id string, revision int64) int64 {
	k.peerRevisions.Store(id, revision)
	local := k.Snapshot().head.Revision
	if revision > local {
		select {
		case k.newerPeersChan() <- id:
		default:
		}
	}
	return local
}

// NewerThan returns the snapshot in force, and whether it is newer than the given revision.
func (k *Keeper) NewerThan(revision int64) (Snapshot, bool) {
	s := k.Snapshot()
	return s, s.head.Revision > revision
}

// exchangeWithPeers polls peers at intervals, and fetches snapshots from peers that announce newer
// ones, until the context ends.
func (k *Keeper) exchangeWithPeers(ctx context.Context) {
	ticker := time.NewTicker(peerPollInterval)
	defer ticker.Stop()
	for {
		k.pollPeers(ctx)
		select {
		case <-ctx.Done():
			return
		case id := <-k.newerPeersChan():
			k.fetchFromID(ctx, id)
		case <-ticker.C:
		}
	}
}

// pollPeers exchanges revisions with a few random peers, and with some that have not confirmed the
// revision in force on this instance.
func (k *Keeper) pollPeers(ctx context.Context) {
	fanout := 1
	if k.Snapshot().head.Revision == 0 {
		fanout = joinFanout
	}
	selected := k.randomPeers(fanout)
	if unconfirmed := k.unconfirmedPeers(); len(unconfirmed) > 0 {
		selected = append(selected, unconfirmed[:min(retryFanout, len(unconfirmed))]...)
	}
	k.exchangeRevisionsWith(ctx, selected)
	k.pruneRevisions()
}

// pruneRevisions deletes the recorded revisions of instances that are no longer peers.
func (k *Keeper) pruneRevisions() {
	ids := map[string]bool{}
	for _, p := range k.peers() {
		ids[p.ID] = true
	}
	k.peerRevisions.Range(func(id, _ any) bool {
		if !ids[id.(string)] {
			k.peerRevisions.Delete(id)
		}
		return true
	})
}

// unconfirmedPeers returns, in random order, the peers that have not confirmed the revision in
// force on this instance. There are none while this instance has no configuration.
func (k *Keeper) unconfirmedPeers() []Peer {
	local := k.Snapshot().head.Revision
	return slices.DeleteFunc(k.randomPeers(len(k.peers())), func(p Peer) bool {
		revision, ok := k.peerRevisions.Load(p.ID)
		return local == 0 || ok && revision.(int64) >= local
	})
}

// exchangeRevisionsWith exchanges revisions with several peers concurrently.
func (k *Keeper) exchangeRevisionsWith(ctx context.Context, peers []Peer) {
	var group sync.WaitGroup
	for _, p := range peers {
		group.Go(func() { k.exchangeRevisions(ctx, p) })
	}
	group.Wait()
}

// fetchFromID fetches the snapshot of the peer with the given id; an id that is not a peer is
// ignored.
func (k *Keeper) fetchFromID(ctx context.Context, id string) {
	all := k.peers()
	if i := slices.IndexFunc(all, func(p Peer) bool { return p.ID == id }); i >= 0 {
		k.fetchFrom(ctx, all[i])
	}
}

// exchangeRevisions announces this instance's revision to a peer, and fetches the peer's snapshot
// if that is newer.
func (k *Keeper) exchangeRevisions(ctx context.Context, p Peer) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	local := k.Snapshot().head.Revision
	remote, err := k.announce(callCtx, p, local)
	if err == nil && remote > local {
		k.fetchFrom(ctx, p)
	}
}

// announce sends a revision to a peer, and records the revision that the peer returns.
func (k *Keeper) announce(ctx context.Context, p Peer, local int64) (int64, error) {
	remote, err := p.Announce(ctx, k.ID, local)
	if err == nil {
		k.peerRevisions.Store(p.ID, remote)
	}
	return remote, err
}

// fetchFrom puts a peer's snapshot in force if it is newer.
func (k *Keeper) fetchFrom(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s, newer, err := p.FetchNewer(ctx, k.Snapshot())
	if err != nil {
		k.Log.Emit(eventlog.ConfigPeerFailed, zap.String("peer", p.ID), zap.Error(err))
		return
	}
	if newer && k.Set(s) {
		fetchedTotal.Inc()
	}
}

// announceToPeers announces a new revision to the peers that have not confirmed it; they fetch the
// snapshot from this instance.
func (k *Keeper) announceToPeers(revision int64) {
	if k.Snapshot().head.Revision > revision {
		return // The newer revision is announced by a call of its own.
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range k.unconfirmedPeers() {
		group.Go(func() { _, _ = k.announce(ctx, p, revision) })
	}
	group.Wait()
}

func (k *Keeper) peers() []Peer {
	if k.Peers == nil {
		return nil
	}
	return k.Peers()
}

// randomPeers returns up to n peers in random order.
func (k *Keeper) randomPeers(n int) []Peer {
	all := slices.Clone(k.peers())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// LaggingInstances returns the sorted ids of the instances, this one included, that have not
// confirmed a revision: those at a lower one and those that do not respond.
func (k *Keeper) LaggingInstances(ctx context.Context, revision int64) []string {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var lagging []string
	var group sync.WaitGroup
	local := k.Snapshot().head.Revision
	if local < revision {
		lagging = append(lagging, k.ID)
	}
	for _, p := range k.peers() {
		group.Go(func() {
			remote, err := k.announce(ctx, p, local)
			if err != nil || remote < revision {
				mu.Lock()
				lagging = append(lagging, p.ID)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(lagging)
	return lagging
}
