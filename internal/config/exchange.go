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
	// exchangeInterval is how often one peer is asked for its revision.
	exchangeInterval = 2 * time.Second
	// spreadFanout is how many peers are told of a new revision.
	spreadFanout = 3
	// peerTimeout bounds a call to a peer.
	peerTimeout = time.Second
)

// Peer is another instance, as the keeper calls it.
type Peer struct {
	ID string
	// Announce tells the peer the caller's id and revision, and returns the peer's revision.
	Announce func(ctx context.Context, id string, revision int64) (int64, error)
	// Newest returns the peer's copy if it is newer; have is the caller's.
	Newest func(ctx context.Context, have Copy) (Copy, bool, error)
}

var fetchedTotal = metrics.GetOrCreateCounter("oriolepond_config_fetched_from_peers_total")

// hearing returns the channel of peers that announced a newer revision.
func (k *Keeper) hearing() chan string {
	k.once.Do(func() { k.heard = make(chan string, spreadFanout) })
	return k.heard
}

// Heard takes a peer's announcement and returns the revision in force here.
func (k *Keeper) Heard(id string, revision int64) int64 {
	mine := k.Copy().head.Revision
	if revision > mine {
		select {
		case k.hearing() <- id:
		default:
		}
	}
	return mine
}

// Newest returns the copy in force if it is newer than a revision.
func (k *Keeper) Newest(than int64) (Copy, bool) {
	c := k.Copy()
	return c, c.head.Revision > than
}

// exchange asks peers for newer configurations until the context ends.
func (k *Keeper) exchange(ctx context.Context) {
	ticker := time.NewTicker(exchangeInterval)
	defer ticker.Stop()
	for {
		k.askAny(ctx)
		select {
		case <-ctx.Done():
			return
		case id := <-k.hearing():
			k.askOne(ctx, id)
		case <-ticker.C:
		}
	}
}

// askAny asks one peer for its revision, or all while there is no configuration yet.
func (k *Keeper) askAny(ctx context.Context) {
	fanout := 1
	if k.Copy().head.Revision == 0 {
		fanout = spreadFanout
	}
	for _, p := range k.somePeers(fanout) {
		k.ask(ctx, p)
	}
}

func (k *Keeper) askOne(ctx context.Context, id string) {
	all := k.peers()
	if i := slices.IndexFunc(all, func(p Peer) bool { return p.ID == id }); i >= 0 {
		k.fetch(ctx, all[i])
	}
}

// ask asks a peer for its revision, and fetches its configuration if that is newer.
func (k *Keeper) ask(ctx context.Context, p Peer) {
	mine := k.Copy().head.Revision
	calling, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	theirs, err := p.Announce(calling, k.ID, mine)
	if err == nil && theirs > mine {
		k.fetch(ctx, p)
	}
}

func (k *Keeper) fetch(ctx context.Context, p Peer) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	c, newer, err := p.Newest(ctx, k.Copy())
	if err != nil {
		k.Log.Emit(eventlog.ConfigPeerFailed, zap.String("peer", p.ID), zap.Error(err))
		return
	}
	if newer && k.Set(c) {
		fetchedTotal.Inc()
	}
}

// spread tells some peers of a new revision, which then fetch it here.
func (k *Keeper) spread(revision int64) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	for _, p := range k.somePeers(spreadFanout) {
		if k.Copy().head.Revision > revision {
			return
		}
		_, _ = p.Announce(ctx, k.ID, revision)
	}
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
	mine := k.Copy().head.Revision
	if mine < revision {
		behind = append(behind, k.ID)
	}
	for _, p := range k.peers() {
		group.Go(func() {
			theirs, err := p.Announce(ctx, k.ID, mine)
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
