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
var holdText []byte

var holdChart = chart.Must("holder.chart.jsonc", holdText)

// The keys of the shards in the store. The map holds for each shard the key of
// its holder, which vanishes with the holder's lease, and whether the last
// holder gave it up; the state holds its journal.
const (
	MapPrefix   = "/oriolepond/shardmap/"
	StatePrefix = "/oriolepond/shard/"
	holderKey   = "/holder"
	handoverKey = "/handover"
)

// The values of the handover key.
const (
	valueHeld     = "held"
	valueReleased = "released"
)

// hold is one shard in the hands of an instance, or on the way there.
type hold struct {
	keeper *Keeper
	shard  string

	mu     sync.Mutex
	state  chart.State
	holder *Holder
	epoch  int64
	stop   context.CancelFunc
}

// on takes an event through the chart and reports whether the state took it.
func (h *hold) on(e chart.Event) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	next, err := holdChart.Next(h.state, e)
	if err != nil {
		return false
	}
	h.state = next
	return true
}

// current returns the holder while the shard is held.
func (h *hold) current() (*Holder, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder, h.holder != nil && h.state == "holding"
}

// run takes the shard, holds it until the context ends, and gives it up.
func (h *hold) run(ctx context.Context, key, handover store.Entry) {
	defer h.on("ended")
	if err := h.take(ctx, key, handover); err != nil {
		h.on("refused")
		h.report(ctx, err)
		return
	}
	err := h.serve(ctx, string(handover.Value) == valueReleased)
	h.on("lost")
	h.mu.Lock()
	holder := h.holder
	h.holder = nil
	h.mu.Unlock()
	h.report(ctx, err)
	h.release(err == nil && holder != nil && holder.IsSole(time.Now()))
}

// take writes the holder's key if nobody else has.
func (h *hold) take(ctx context.Context, key, handover store.Entry) error {
	lease, ok := h.keeper.storeLease()
	if !ok {
		return &NotLeaderError{Shard: h.shard}
	}
	result, err := h.writer("take").Commit(ctx, store.Txn{
		If: []store.Condition{
			{Key: MapPrefix + h.shard + holderKey, Revision: key.Revision},
			{Key: MapPrefix + h.shard + handoverKey, Revision: handover.Revision},
		},
		Then: []store.Op{
			store.Put(MapPrefix+h.shard+holderKey, []byte(h.keeper.ID)).WithLease(lease),
			store.Put(MapPrefix+h.shard+handoverKey, []byte(valueHeld)),
		},
	})
	if err != nil {
		return err
	}
	if !result.Done {
		return &NotLeaderError{Shard: h.shard}
	}
	h.mu.Lock()
	h.epoch = result.Revision
	h.mu.Unlock()
	h.on("taken")
	return nil
}

// writer returns a writer of its own for one use, so that commits of several shards do not wait for each other.
func (h *hold) writer(use string) *store.Writer {
	lease, _ := h.keeper.storeLease()
	id := fmt.Sprintf("%s/%s/%s/%d", h.keeper.ID, h.shard, use, h.keeper.uses.Add(1))
	return &store.Writer{Client: h.keeper.Store, ID: id, Lease: lease}
}

// serve reads back the journal and holds the shard.
func (h *hold) serve(ctx context.Context, handedOver bool) error {
	k := h.keeper
	holder := &Holder{
		Shard: h.shard,
		ID:    k.ID,
		Epoch: h.epoch,
		Journal: &journal.Log{
			Store:  k.Store,
			Writer: h.writer("journal"),
			Prefix: StatePrefix + h.shard + "/",
			Fence:  store.Condition{Key: MapPrefix + h.shard + holderKey, Revision: h.epoch},
		},
		Workers:   k.Workers,
		Others:    k.others(),
		Timing:    k.timing(),
		Interval:  k.Interval,
		Situation: func() Situation { return k.situation(h.shard) },
		MayStart:  k.mayStart,
		MayRenew:  func(now time.Time) bool { return k.mayRenew(h.shard, now) },
		Log:       k.Log,
	}
	if err := holder.Open(ctx, handedOver); err != nil {
		return err
	}
	h.mu.Lock()
	h.holder = holder
	h.mu.Unlock()
	if !h.on("opened") {
		return nil
	}
	k.Log.Emit(eventlog.ShardAcquired, zap.String("shard", h.shard), zap.Int64("epoch", h.epoch))
	return holder.Run(ctx)
}

// release gives the key up, so that another instance need not wait for the
// lease. A clean release says that nobody renews tasks of the shard any more.
func (h *hold) release(clean bool) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	value := valueHeld
	if clean {
		value = valueReleased
	}
	key := MapPrefix + h.shard + holderKey
	_, err := h.keeper.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: key, Revision: h.epoch}},
		Then: []store.Op{store.Delete(key), store.Put(MapPrefix+h.shard+handoverKey, []byte(value))},
	})
	if err == nil && clean {
		h.keeper.Log.Emit(eventlog.ShardReleased, zap.String("shard", h.shard))
	}
}

// releaseTimeout bounds the last write of a hold.
const releaseTimeout = 2 * time.Second

// report logs why a hold has ended, if not by plan.
func (h *hold) report(ctx context.Context, err error) {
	var not *NotLeaderError
	var fenced *journal.FencedError
	switch {
	case err == nil || ctx.Err() != nil:
	case errors.As(err, &not) || errors.As(err, &fenced):
		h.keeper.Log.Emit(eventlog.ShardLost, zap.String("shard", h.shard), zap.Error(err))
	default:
		h.keeper.Log.Emit(eventlog.ShardNotAcquired, zap.String("shard", h.shard), zap.Error(err))
	}
}
