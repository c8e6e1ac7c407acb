package shard

import (
	"context"
	_ "embed"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/chart"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/journal"
	"github.com/oriolepond/oriolepond/internal/store"
)

//go:embed holder.chart.jsonc
var leadershipChartText []byte

var leadershipChart = chart.Must("holder.chart.jsonc", leadershipChartText)

// The keys of the shards in the store. Below MapPrefix, each shard has the key of its leader, which
// expires with the leader's lease, and the handover key, which tells whether the last leader
// stopped cleanly. Below StatePrefix it has its journal.
const (
	MapPrefix   = "/oriolepond/shardmap/"
	StatePrefix = "/oriolepond/shard/"
	leaderKey   = "/holder"
	handoverKey = "/handover"
)

// The values of the handover key: released if the last leader stopped cleanly, and held if it leads
// the shard or may still renew leases of tasks.
const (
	valueHeld     = "held"
	valueReleased = "released"
)

// leadership is the leadership of one shard by this instance, from the attempt to claim the shard
// to its release. Its states are those of holder.chart.jsonc.
type leadership struct {
	keeper *Keeper
	shard  string

	mu     sync.Mutex
	state  chart.State
	leader *Leader
	epoch  int64
	stop   context.CancelFunc
}

// transition applies an event to the state chart and reports whether the current state allows it.
func (l *leadership) transition(e chart.Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	next, err := leadershipChart.Next(l.state, e)
	if err != nil {
		return false
	}
	l.state = next
	return true
}

// current returns the leader while the shard is led.
func (l *leadership) current() (*Leader, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leader, l.leader != nil && l.state == "holding"
}

// run claims the shard, leads it until the context ends, and releases it.
func (l *leadership) run(ctx context.Context, key, handover store.Entry) {
	defer l.transition("ended")
	if err := l.claim(ctx, key, handover); err != nil {
		l.transition("refused")
		l.logEnd(ctx, err)
		return
	}
	err := l.lead(ctx, string(handover.Value) == valueReleased)
	l.transition("lost")
	l.mu.Lock()
	leader := l.leader
	l.leader = nil
	l.mu.Unlock()
	l.logEnd(ctx, err)
	l.release(err == nil && leader != nil && leader.IsExclusive(time.Now()))
}

// claim writes the leader's key, unless another instance has written it first.
func (l *leadership) claim(ctx context.Context, key, handover store.Entry) error {
	lease, ok := l.keeper.storeLease()
	if !ok {
		return &NotLeaderError{Shard: l.shard}
	}
	result, err := l.writer("take").Commit(ctx, store.Txn{
		If: []store.Condition{
			{Key: MapPrefix + l.shard + leaderKey, Revision: key.Revision},
			{Key: MapPrefix + l.shard + handoverKey, Revision: handover.Revision},
		},
		Then: []store.Op{
			store.Put(MapPrefix+l.shard+leaderKey, []byte(l.keeper.ID)).WithLease(lease),
			store.Put(MapPrefix+l.shard+handoverKey, []byte(valueHeld)),
		},
	})
	if err != nil {
		return err
	}
	if !result.Done {
		return &NotLeaderError{Shard: l.shard}
	}
	l.mu.Lock()
	l.epoch = result.Revision
	l.mu.Unlock()
	l.transition("taken")
	return nil
}

// writer returns a new store writer for the given purpose. Each shard has writers of its own, so
// that commits of several shards don't wait for each other.
func (l *leadership) writer(purpose string) *store.Writer {
	lease, _ := l.keeper.storeLease()
	id := fmt.Sprintf("%s/%s/%s/%d", l.keeper.ID, l.shard, purpose, l.keeper.writers.Add(1))
	return &store.Writer{Client: l.keeper.Store, ID: id, Lease: lease}
}

// lead restores the shard from its journal and leads it until the context ends or the shard is
// lost.
func (l *leadership) lead(ctx context.Context, handedOver bool) error {
	k := l.keeper
	leader := &Leader{
		Shard: l.shard,
		ID:    k.ID,
		Epoch: l.epoch,
		Journal: &journal.Log{
			Store:  k.Store,
			Writer: l.writer("journal"),
			Prefix: StatePrefix + l.shard + "/",
			Fence:  store.Condition{Key: MapPrefix + l.shard + leaderKey, Revision: l.epoch},
		},
		Workers:     k.Workers,
		OtherShards: k.otherShards(),
		Timing:      k.timing(),
		Interval:    k.Interval,
		Inputs:      func() Inputs { return k.inputs(l.shard) },
		MayStart:    k.mayStart,
		MayRenew:    func(now time.Time) bool { return k.mayRenew(l.shard, now) },
		Log:         k.Log,
	}
	if err := leader.Open(ctx, handedOver); err != nil {
		return err
	}
	l.mu.Lock()
	l.leader = leader
	l.mu.Unlock()
	if !l.transition("opened") {
		return nil
	}
	k.Log.Emit(eventlog.ShardAcquired, zap.String("shard", l.shard), zap.Int64("epoch", l.epoch))
	return leader.Run(ctx)
}

// release deletes the leader's key, so that another instance need not wait until the lease expires.
// A clean release also records that no leader renews tasks of the shard any more.
func (l *leadership) release(clean bool) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	value := valueHeld
	if clean {
		value = valueReleased
	}
	key := MapPrefix + l.shard + leaderKey
	_, err := l.keeper.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: key, Revision: l.epoch}},
		Then: []store.Op{store.Delete(key), store.Put(MapPrefix+l.shard+handoverKey, []byte(value))},
	})
	if err == nil && clean {
		l.keeper.Log.Emit(eventlog.ShardReleased, zap.String("shard", l.shard))
	}
}

// releaseTimeout bounds the last write of a leadership.
const releaseTimeout = 2 * time.Second

// logEnd logs why a leadership has ended, unless it was a planned stop.
func (l *leadership) logEnd(ctx context.Context, err error) {
	var notLeader *NotLeaderError
	var fenced *journal.FencedError
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.As(err, &notLeader) || errors.As(err, &fenced):
		l.keeper.Log.Emit(eventlog.ShardLost, zap.String("shard", l.shard), zap.Error(err))
	default:
		l.keeper.Log.Emit(eventlog.ShardNotAcquired, zap.String("shard", l.shard), zap.Error(err))
	}
}
