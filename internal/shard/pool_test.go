package shard

import (
	"fmt"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/task"
)

// pool is several shards of one region under one clock, which hand tasks to each other.
type pool struct {
	worlds []*world
	// stuck are messages between shards that have not arrived.
	stuck []func()
	// older lets messages arrive at that many holders before the newest of a shard.
	older int
}

func newPool(shards int) *pool {
	p := &pool{}
	ledger := standin.NewTaskLedger()
	for i := range shards {
		w := newShardWorld(fmt.Sprintf("r.%d", i), fmt.Sprintf("%c", 'a'+i), ledger)
		// The quota feeds all shards, and does not bind any before its workers do.
		w.config.Shares[0].Quota = worldSize.Times(2 * worldWorkers * shards)
		w.listed, w.pass = p.listed, p.pass
		p.worlds = append(p.worlds, w)
	}
	for _, w := range p.worlds {
		w.take()
	}
	return p
}

// takeAnew replaces the first holder of a world, so that it has the world's present timing.
func (w *world) takeAnew() {
	w.holders = nil
	w.take()
}

func (p *pool) listed() map[string][]roster.Instance {
	all := map[string][]roster.Instance{}
	for _, w := range p.worlds {
		if l := w.listing().Workers; len(l) > 0 {
			all[w.shard] = l
		}
	}
	return all
}

func (p *pool) pass(d time.Duration) {
	for _, w := range p.worlds {
		w.elapse(d)
	}
}

func (p *pool) check(t require.TestingT) {
	for _, w := range p.worlds {
		w.check(t)
	}
}

// answer makes a call at a holder of a shard and answers once that is durable there.
func (w *world) answer(h *worldHolder, call func(*Core) error, answer func()) {
	if call(h.core) != nil {
		return
	}
	if batch := h.core.PendingBatch(); batch > h.core.changes.durable {
		h.answers = append(h.answers, worldAnswer{batch: batch, answer: answer})
		return
	}
	answer()
}

// send makes a call between two shards; it arrives at a holder that the
// receiver has by then, perhaps one that was replaced.
func (p *pool) send(to *world, f fate, call func(*Core) error, answer func()) {
	if f == answerLost {
		answer = func() {}
	}
	older := p.older
	arrive := func() {
		if n := len(to.holders); n > 0 {
			to.answer(to.holders[max(0, n-1-older)], call, answer)
		}
	}
	switch f {
	case lostSend:
	case delayed:
		p.stuck = append(p.stuck, arrive)
	default:
		arrive()
	}
}

// transfer sends what a holder has committed for another shard.
func (p *pool) transfer(h *worldHolder, to *world, f fate) {
	t, ok := h.core.Outgoing(to.shard)
	if !ok {
		return
	}
	t.Epoch = h.epoch
	p.send(to, f, func(c *Core) error { return c.Accept(t, to.now) }, func() { h.core.Confirmed(to.shard, t) })
}

// report tells another shard of its tasks.
func (p *pool) report(h *worldHolder, to *world, f fate) {
	r, ok := h.core.Report(to.shard)
	if !ok {
		return
	}
	p.send(to, f, func(c *Core) error { return c.Settle(r, to.now) }, func() { h.core.Reported(to.shard, r) })
}

// move is one step of the hand-over by a holder, as Holder makes it.
func (p *pool) move(w *world, h *worldHolder) {
	families, takers := h.core.Surplus(w.now)
	for _, to := range p.worlds {
		if to == w {
			continue
		}
		if n := len(to.holders); slices.Contains(takers, to.shard) && n > 0 {
			h.core.Give(to.shard, to.holders[n-1].core.Room(w.shard, families, w.now), w.now)
		}
		w.commit(h, false)
		p.transfer(h, to, answered)
		p.report(h, to, answered)
	}
}

// coast lets time pass with all holders of all shards at work.
func (p *pool) coast(seconds int) {
	for range seconds {
		p.pass(time.Second)
		for _, w := range p.worlds {
			for _, h := range slices.Clone(w.holders) {
				w.round(h)
				p.move(w, h)
			}
		}
	}
}

// heal ends all faults and runs until every accepted job has ended.
func (p *pool) heal() bool {
	p.older = 0
	for _, w := range p.worlds {
		w.mend()
	}
	for range 3000 {
		p.coast(1)
		settled := true
		for _, w := range p.worlds {
			w.take()
			settled = settled && w.settled()
		}
		if settled {
			return true
		}
	}
	return false
}

// states returns how the tasks of a world's jobs stand, as their callers are told.
func (w *world) states() map[task.State]int {
	sum := map[task.State]int{}
	for id := range w.accepted {
		s, _ := w.holders[len(w.holders)-1].core.Describe("n", id)
		for state, n := range s.States {
			sum[state] += n
		}
	}
	return sum
}

// actions are the steps that the property draws from: those of each shard, and those between two.
func (p *pool) actions() map[string]func(*rapid.T) {
	var single []map[string]func(*rapid.T)
	for _, w := range p.worlds {
		single = append(single, w.actions())
	}
	all := map[string]func(*rapid.T){}
	for name := range single[0] {
		all[name] = func(t *rapid.T) { single[rapid.IntRange(0, len(single)-1).Draw(t, "shard")][name](t) }
	}
	all[""] = func(t *rapid.T) { p.check(t) }
	fates := rapid.SampledFrom([]fate{answered, answered, answered, answerLost, lostSend, delayed})
	between := func(f func(t *rapid.T, w *world, h *worldHolder, to *world)) func(*rapid.T) {
		return func(t *rapid.T) {
			w := rapid.SampledFrom(p.worlds).Draw(t, "from")
			to := rapid.SampledFrom(p.worlds).Draw(t, "to")
			if w != to && len(w.holders) > 0 {
				f(t, w, rapid.SampledFrom(w.holders).Draw(t, "holder"), to)
			}
		}
	}
	// Whatever room was told of, the rules hold.
	give := between(func(t *rapid.T, w *world, h *worldHolder, to *world) {
		var rooms []FreeCapacity
		for _, family := range []string{"batch", "plain", "urgent"} {
			rooms = append(rooms, FreeCapacity{Family: family, Fits: true, Startable: rapid.IntRange(0, 3).Draw(t, "idle")})
		}
		h.core.Give(to.shard, rooms, w.now)
	})
	transfer := between(func(t *rapid.T, _ *world, h *worldHolder, to *world) { p.transfer(h, to, fates.Draw(t, "fate")) })
	report := between(func(t *rapid.T, _ *world, h *worldHolder, to *world) { p.report(h, to, fates.Draw(t, "fate")) })
	move := between(func(_ *rapid.T, w *world, h *worldHolder, _ *world) { p.move(w, h) })
	all["give"], all["give2"] = give, give
	all["transfer"], all["transfer2"] = transfer, transfer
	all["report"], all["report2"] = report, report
	all["move"], all["move2"], all["move3"] = move, move, move
	all["aim"] = func(t *rapid.T) { p.older = rapid.IntRange(0, 1).Draw(t, "older") }
	all["surplus"] = between(func(_ *rapid.T, w *world, h *worldHolder, _ *world) { h.core.Surplus(w.now) })
	all["late"] = func(t *rapid.T) {
		if len(p.stuck) > 0 {
			i := rapid.IntRange(0, len(p.stuck)-1).Draw(t, "message")
			arrive := p.stuck[i]
			p.stuck = slices.Delete(p.stuck, i, i+1)
			arrive()
		}
	}
	all["coastAll"] = func(t *rapid.T) { p.coast(rapid.IntRange(1, 20).Draw(t, "seconds")) }
	all["racksGone"] = func(t *rapid.T) {
		w := rapid.SampledFrom(p.worlds).Draw(t, "shard")
		for i := range w.workers {
			w.replace(i)
		}
	}
	return all
}
