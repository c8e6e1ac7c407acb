package oriolepond

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/peer"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/shard"
)

// slowedUpdateInterval is how often slowedTargets is updated.
const slowedUpdateInterval = time.Second

var slowedGauge = metrics.GetOrCreateGauge("oriolepond_request_targets_slowed", nil)

// buildSlowed lets the dispatcher mark requests to targets that batch tasks slow down.
func (i *Instance) buildSlowed() {
	i.slowedPeers.Start = i.followSlowed
	i.requests.Slowed = func(target string) bool {
		slowed := i.slowedTargets.Load()
		return slowed != nil && (*slowed)[target]
	}
}

// followSlowed receives the slowed runners of one peer until the context ends.
func (i *Instance) followSlowed(ctx context.Context, p membership.Peer) {
	for ctx.Err() == nil {
		if conn, err := i.peerConns.Conn(p.PeerAddress); err == nil {
			_ = peer.FollowSlowed(ctx, conn, func(c shard.SlowedChange) { i.slowedRunners.Update(p.ID, c, time.Now()) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(slowedUpdateInterval):
		}
	}
}

// updateSlowedTargets keeps slowedTargets up to date until the context ends.
func (i *Instance) updateSlowedTargets(ctx context.Context) error {
	ticker := time.NewTicker(slowedUpdateInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		i.slowedRunners.Update(i.Settings.ID, shard.SlowedChange{Full: true, Added: i.shards.Slowed()}, now)
		targets := i.targetsOnSlowed(i.slowedRunners.Slowed(now))
		slowedGauge.Set(float64(len(targets)))
		i.slowedTargets.Store(&targets)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// targetsOnSlowed returns the IDs of the targets that are slowed runners.
func (i *Instance) targetsOnSlowed(slowed map[shard.Slowed]bool) map[string]bool {
	targets := map[string]bool{}
	if len(slowed) == 0 {
		return targets
	}
	for _, r := range i.currentList().OfKind(roster.KindRunner) {
		if slowed[shard.Slowed{Worker: r.Worker, Service: r.Service}] {
			targets[r.ID] = true
		}
	}
	return targets
}

// setSlowedPeers selects the peers from which slowed runners are received: those of this
// region, since only they lead shards of its workers.
func (i *Instance) setSlowedPeers(others []membership.Peer) {
	var sameRegion []membership.Peer
	for _, p := range others {
		if p.Region == i.Settings.Region {
			sameRegion = append(sameRegion, p)
		}
	}
	i.slowedPeers.Set(sameRegion)
}
