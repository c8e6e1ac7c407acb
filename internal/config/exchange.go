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
	// exchangeInterval is how often peers are asked for their revisions.
	exchangeInterval = 2 * time.Second
	// joinFanout is how many peers are asked while there is no configuration yet.
	joinFanout = 3
	// retryFanout bounds the peers that are told again in one interval.
	retryFanout = 8
	// spreadDelay lets the store's watch come first, so that few peers need to be told.
	spreadDelay = 100 * time.Millisecond
	// peerTimeout bounds a call to a peer.
	peerTimeout = time.Second
)

// Peer is another instance, as the keeper calls it.
type Peer struct {
	ID string
	// Announce tells the peer the caller's id and revision, and returns the peer's revision.
	Announce func(ctx context.Context, id string, revision int64) (int64, error)
	// FetchNewer returns the peer's copy if it is newer; have is the caller's.
	FetchNewer func(ctx context.Context, have Snapshot) (Snapshot, bool, error)
}

var fetchedTotal = metrics.GetOrCreateCounter("oriolepond_config_fetched_from_peers_total")

// hearing returns the channel of peers that announced a newer revision.
func (k *Keeper) hearing() chan string {
	k.once.Do(func() { k.heard = make(chan string, retryFanout) })
	return k.heard
}

// HandleAnnouncement takes a peer's announcement and returns the revision in force here.
func (k *Keeper) HandleAnnouncement(id string, revision int64) int64 {
	k.known.Store(id, revision)
	mine := k.Snapshot().head.Revision
	if revision > mine {
		select {
		case k.hearing() <- id:
		default:
		}
	}
	return mine
}

// NewerThan returns the copy in force if it is newer than a revision.
func (k *Keeper) NewerThan(than int64) (Snapshot, bool) {
	c := k.Snapshot()
	return c, c.head.Revision > than
}

// exchange asks peers for newer configurations, and tells them of its own,
// until the context ends.
func (k *Keeper) exchange(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		k.round(ctx)
		select {
		case <-ctx.Done():
			return
		case id := <-k.hearing():
			k.askOne(ctx, id)
		case <-ticker.C:
		}
	}
}

// round asks a few peers at random, and some that are not known to be up to date.
func (k *Keeper) round(ctx context.Context) {
	fanout := 1
	if k.Snapshot().head.Revision == 0 {
		fanout = joinFanout
	}
	chosen := k.somePeers(fanout)
	if behind := k.unconfirmed(); len(behind) > 0 {
		chosen = append(chosen, behind[:min(retryFanout, len(behind))]...)
	}
	k.askAll(ctx, chosen)
	k.forget()
}

// forget drops what is known of instances that are no longer peers.
func (k *Keeper) forget() {
	ids := map[string]bool{}
	for _, p := range k.peers() {
		ids[p.ID] = true
	}
	k.known.Range(func(id, _ any) bool {
		if !ids[id.(string)] {
			k.known.Delete(id)
		}
		return true
	})
}

// unconfirmed returns the peers that are not known to have the revision in
// force here, in random order.
func (k *Keeper) unconfirmed() []Peer {
	mine := k.Snapshot().head.Revision
	return slices.DeleteFunc(k.somePeers(len(k.peers())), func(p Peer) bool {
		revision, ok := k.known.Load(p.ID)
		return mine == 0 || ok && revision.(int64) >= mine
	})
}

// askAll asks peers for their revisions side by side.
func (k *Keeper) askAll(ctx context.Context, all []Peer) {
	var group sync.WaitGroup
	for _, p := range all {
		group.Go(func() { k.ask(ctx, p) })
	}
	group.Wait()
}

func (k *Keeper) askOne(ctx context.Context, id string) {
	all := k.peers()
	if i := slices.IndexFunc(all, func(p Peer) bool { return p.ID == id }); i >= 0 {
		k.fetch(ctx, all[i])
	}
}

// ask tells a peer the revision here, and fetches its configuration if that is newer.
func (k *Keeper) ask(ctx context.Context, p Peer) {
	calling, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	mine := k.Snapshot().head.Revision
	theirs, err := k.announce(calling, p, mine)
	if err == nil && theirs > mine {
		k.fetch(ctx, p)
	}
}

// announce tells a peer a revision, and remembers the peer's.
func (k *Keeper) announce(ctx context.Context, p Peer, mine int64) (int64, error) {
	theirs, err := p.Announce(ctx, k.ID, mine)
	if err == nil {
		k.known.Store(p.ID, theirs)
	}
	return theirs, err
}

func (k *Keeper) fetch(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, newer, err := p.FetchNewer(ctx, k.Snapshot())
	if err != nil {
		k.Log.Emit(eventlog.ConfigPeerFailed, zap.String("peer", p.ID), zap.Error(err))
		return
	}
	if newer && k.Set(c) {
		fetchedTotal.Inc()
	}
}

// spread tells the peers that are not known to have a new revision of it; they fetch it here.
func (k *Keeper) spread(revision int64) {
	if k.Snapshot().head.Revision > revision {
		return // The newer one is spread by its own call.
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, p := range k.unconfirmed() {
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

// somePeers returns up to n peers in random order.
func (k *Keeper) somePeers(n int) []Peer {
	all := slices.Clone(k.peers())
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	return all[:min(n, len(all))]
}

// Behind returns the instances that have not confirmed a revision, in order
// of their ids: those that have a lower one and those that do not answer.
func (k *Keeper) Behind(ctx context.Context, revision int64) []string {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var mu sync.Mutex
	var behind []string
	var group sync.WaitGroup
	mine := k.Snapshot().head.Revision
	if mine < revision {
		behind = append(behind, k.ID)
	}
	for _, p := range k.peers() {
		group.Go(func() {
			theirs, err := k.announce(ctx, p, mine)
			if err != nil || theirs < revision {
				mu.Lock()
				behind = append(behind, p.ID)
				mu.Unlock()
			}
		})
	}
	group.Wait()
	slices.Sort(behind)
	return behind
}
