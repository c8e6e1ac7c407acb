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

// slowedInterval is how often an instance brings the slowed targets up to date.
const slowedInterval = time.Second

var slowedGauge = metrics.GetOrCreateGauge("oriolepond_request_targets_slowed", nil)

// buildSlowed lets samples say whether batch work slowed their target.
func (i *Instance) buildSlowed() {
	i.slowedPeers.Start = i.followSlowed
	i.requests.Slowed = func(target string) bool {
		slowed := i.slowedTargets.Load()
		return slowed != nil && (*slowed)[target]
	}
}

// followSlowed hears of a peer's slowed runners until the context ends.
func (i *Instance) followSlowed(ctx context.Context, p membership.Peer) {
	for ctx.Err() == nil {
		if conn, err := i.pool.Conn(p.PeerAddress); err == nil {
			_ = peer.FollowSlowed(ctx, conn, func(c shard.SlowedChange) { i.marks.Update(p.ID, c, time.Now()) })
		}
		select {
		case <-ctx.Done():
		case <-time.After(slowedInterval):
		}
	}
}

// findSlowed brings the slowed targets up to date until the context ends.
func (i *Instance) findSlowed(ctx context.Context) error {
	ticker := time.NewTicker(slowedInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		i.marks.Update(i.Settings.ID, shard.SlowedChange{Full: true, Added: i.shards.Slowed()}, now)
		targets := i.targetsOn(i.marks.Slowed(now))
		slowedGauge.Set(float64(len(targets)))
		i.slowedTargets.Store(&targets)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// targetsOn returns the targets among slowed runners.
func (i *Instance) targetsOn(slowed map[shard.Slowed]bool) map[string]bool {
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

// followPeersSlowed keeps to the peers of this region: they hold its workers.
func (i *Instance) followPeersSlowed(others []membership.Peer) {
	var near []membership.Peer
	for _, p := range others {
		if p.Region == i.Settings.Region {
			near = append(near, p)
		}
	}
	i.slowedPeers.Set(near)
}
