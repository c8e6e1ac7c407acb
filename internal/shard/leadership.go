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

// The values of the handover key.
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
func (h *leadership) transition(e chart.Event) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := leadershipChart.Next(h.state, e)
	if err != nil {
		return false
	}
	h.state = next
	return true
}

// current returns the leader while the shard is led.
func (h *leadership) current() (*Leader, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leader, h.leader != nil && h.state == "holding"
}

// run claims the shard, leads it until the context ends, and releases it.
func (h *leadership) run(ctx context.Context, key, handover store.Entry) {
	defer h.transition("ended")
	if err := h.claim(ctx, key, handover); err != nil {
		h.transition("refused")
		h.logEnd(ctx, err)
		return
	}
	err := h.lead(ctx, string(handover.Value) == valueReleased)
	h.transition("lost")
	h.mu.Lock()
	leader := h.leader
	h.leader = nil
	h.mu.Unlock()
	h.logEnd(ctx, err)
	h.release(err == nil && leader != nil && leader.IsExclusive(time.Now()))
}

// claim writes the leader's key, unless another instance has written it first.
func (h *leadership) claim(ctx context.Context, key, handover store.Entry) error {
	lease, ok := h.keeper.storeLease()
	if !ok {
		return &NotHolderError{Shard: h.shard}
	}
	result, err := h.writer("take").Commit(ctx, store.Txn{
		If: []store.Condition{
			{Key: MapPrefix + h.shard + leaderKey, Revision: key.Revision},
			{Key: MapPrefix + h.shard + handoverKey, Revision: handover.Revision},
		},
		Then: []store.Op{
			store.Put(MapPrefix+h.shard+leaderKey, []byte(h.keeper.ID)).WithLease(lease),
			store.Put(MapPrefix+h.shard+handoverKey, []byte(valueHeld)),
		},
	})
	if err != nil {
		return err
	}
	if !result.Done {
		return &NotHolderError{Shard: h.shard}
	}
	h.mu.Lock()
	h.epoch = result.Revision
	h.mu.Unlock()
	h.transition("taken")
	return nil
}

// writer returns a new writer for one purpose, so that commits of several shards don't wait for
// each other.
func (h *leadership) writer(use string) *store.Writer {
	lease, _ := h.keeper.storeLease()
	id := fmt.Sprintf("%s/%s/%s/%d", h.keeper.ID, h.shard, use, h.keeper.writers.Add(1))
	return &store.Writer{Client: h.keeper.Store, ID: id, Lease: lease}
}

// lead restores the shard from its journal and leads it until the context ends or the shard is
// lost.
func (h *leadership) lead(ctx context.Context, handedOver bool) error {
	k := h.keeper
	leader := &Leader{
		Shard: h.shard,
		ID:    k.ID,
		Epoch: h.epoch,
		Journal: &journal.Log{
			Store:  k.Store,
			Writer: h.writer("journal"),
			Prefix: StatePrefix + h.shard + "/",
			Fence:  store.Condition{Key: MapPrefix + h.shard + leaderKey, Revision: h.epoch},
		},
		Workers:     k.Workers,
		OtherShards: k.otherShards(),
		Timing:      k.timing(),
		Interval:    k.Interval,
		Inputs:      func() Inputs { return k.inputs(h.shard) },
		MayStart:    k.mayStart,
		MayRenew:    func(now time.Time) bool { return k.mayRenew(h.shard, now) },
		Log:         k.Log,
	}
	if err := leader.Open(ctx, handedOver); err != nil {
		return err
	}
	h.mu.Lock()
	h.leader = leader
	h.mu.Unlock()
	if !h.transition("opened") {
		return nil
	}
	k.Log.Emit(eventlog.ShardTaken, zap.String("shard", h.shard), zap.Int64("epoch", h.epoch))
	return leader.Run(ctx)
}

// release deletes the leader's key, so that another instance need not wait until the lease expires.
// A clean release also records that nobody renews tasks of the shard any more.
func (h *leadership) release(clean bool) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	value := valueHeld
	if clean {
		value = valueReleased
	}
	key := MapPrefix + h.shard + leaderKey
	_, err := h.keeper.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: key, Revision: h.epoch}},
		Then: []store.Op{store.Delete(key), store.Put(MapPrefix+h.shard+handoverKey, []byte(value))},
	})
	if err == nil && clean {
		h.keeper.Log.Emit(eventlog.ShardReleased, zap.String("shard", h.shard))
	}
}

// releaseTimeout bounds the last write of a leadership.
const releaseTimeout = 2 * time.Second

// logEnd logs why a leadership has ended, unless it was a planned stop.
func (h *leadership) logEnd(ctx context.Context, err error) {
	var not *NotHolderError
	var fenced *journal.FencedError
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.As(err, &not) || errors.As(err, &fenced):
		h.keeper.Log.Emit(eventlog.ShardLost, zap.String("shard", h.shard), zap.Error(err))
	default:
		h.keeper.Log.Emit(eventlog.ShardFailed, zap.String("shard", h.shard), zap.Error(err))
	}
}
