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

// shardPool simulates several shards of one region under one clock, which hand over tasks to each
// other.
type shardPool struct {
	shards []*simulation
	// delayedMessages are messages between shards that have not arrived.
	delayedMessages []func()
	// previousLeaders selects the leader that receives a shard's messages: 0 for the newest, 1 for
	// the one before it, and so on.
	previousLeaders int
}

func newShardPool(shards int) *shardPool {
	p := &shardPool{}
	ledger := standin.NewTaskLedger()
	for i := range shards {
		w := newShardSimulation(fmt.Sprintf("r.%d", i), fmt.Sprintf("%c", 'a'+i), ledger)
		// The quota is large enough to be divided among all shards, and larger than what the
		// workers of a shard have.
		w.config.Shares[0].Quota = simCapacity.Times(2 * simWorkers * shards)
		w.workersByShard, w.advanceAll = p.workersByShard, p.advance
		p.shards = append(p.shards, w)
	}
	for _, w := range p.shards {
		w.takeOver()
	}
	return p
}

// replaceLeader replaces the leaders of a simulation by a new one, which has the current timing.
func (w *simulation) replaceLeader() {
	w.leaders = nil
	w.takeOver()
}

func (p *shardPool) workersByShard() map[string][]roster.Instance {
	workers := map[string][]roster.Instance{}
	for _, w := range p.shards {
		if l := w.listing().Workers; len(l) > 0 {
			workers[w.shard] = l
		}
	}
	return workers
}

func (p *shardPool) advance(d time.Duration) {
	for _, w := range p.shards {
		w.advanceOne(d)
	}
}

func (p *shardPool) checkInvariants(t require.TestingT) {
	for _, w := range p.shards {
		w.checkInvariants(t)
	}
}

// callLeader makes a call to a leader, and calls answer once the effect is durable there.
func (w *simulation) callLeader(leader *simLeader, call func(*Core) error, answer func()) {
	if call(leader.core) != nil {
		return
	}
	if batch := leader.core.PendingBatch(); batch > leader.core.changes.durable {
		leader.pendingAnswers = append(leader.pendingAnswers, pendingAnswer{batch: batch, answer: answer})
		return
	}
	answer()
}

// send makes a call to another shard. The call reaches the newest leader that the shard has when
// the message arrives, or an earlier one, see previousLeaders.
func (p *shardPool) send(to *simulation, f delivery, call func(*Core) error, answer func()) {
	if f == answerLost {
		answer = func() {}
	}
	older := p.previousLeaders
	arrive := func() {
		if n := len(to.leaders); n > 0 {
			to.callLeader(to.leaders[max(0, n-1-older)], call, answer)
		}
	}
	switch f {
	case lostSend:
	case delayed:
		p.delayedMessages = append(p.delayedMessages, arrive)
	default:
		arrive()
	}
}

// transfer sends the transfer that a leader has committed for another shard.
func (p *shardPool) transfer(leader *simLeader, to *simulation, f delivery) {
	t, ok := leader.core.Outgoing(to.shard)
	if !ok {
		return
	}
	t.Epoch = leader.epoch
	p.send(to, f, func(c *Core) error { return c.Accept(t, to.now) }, func() { leader.core.TransferCommitted(to.shard, t) })
}

// report sends another shard the states of that shard's tasks here.
func (p *shardPool) report(leader *simLeader, to *simulation, f delivery) {
	r, ok := leader.core.Report(to.shard)
	if !ok {
		return
	}
	p.send(to, f, func(c *Core) error { return c.ApplyMovedReport(r, to.now) }, func() { leader.core.ReportCommitted(to.shard, r) })
}

// move makes one round of hand-overs from a leader, like Leader.moveOnce.
func (p *shardPool) move(w *simulation, leader *simLeader) {
	families, receivers := leader.core.Surplus(w.now)
	for _, to := range p.shards {
		if to == w {
			continue
		}
		if n := len(to.leaders); slices.Contains(receivers, to.shard) && n > 0 {
			leader.core.HandOver(to.shard, to.leaders[n-1].core.FreeCapacity(w.shard, families, w.now), w.now)
		}
		w.commit(leader, false)
		p.transfer(leader, to, answered)
		p.report(leader, to, answered)
	}
}

// run advances the time by the given seconds, with all leaders of all shards working.
func (p *shardPool) run(seconds int) {
	for range seconds {
		p.advance(time.Second)
		for _, w := range p.shards {
			for _, leader := range slices.Clone(w.leaders) {
				w.leaderRound(leader)
				p.move(w, leader)
			}
		}
	}
}

// runToCompletion ends all faults and runs until every accepted job has ended. It returns false if
// that doesn't happen within 3000 rounds.
func (p *shardPool) runToCompletion() bool {
	p.previousLeaders = 0
	for _, w := range p.shards {
		w.endFaults()
	}
	for range 3000 {
		p.run(1)
		settled := true
		for _, w := range p.shards {
			w.takeOver()
			settled = settled && w.allJobsEnded()
		}
		if settled {
			return true
		}
	}
	return false
}

// states counts the tasks of all accepted jobs of a shard by state, as the jobs' statuses report
// them.
func (w *simulation) states() map[task.State]int {
	sum := map[task.State]int{}
	for id := range w.accepted {
		s, _ := w.leaders[len(w.leaders)-1].core.Describe("n", id)
		for state, n := range s.States {
			sum[state] += n
		}
	}
	return sum
}

// actions returns the steps that rapid draws from, by name: those of each shard, and those between
// two shards.
func (p *shardPool) actions() map[string]func(*rapid.T) {
	var single []map[string]func(*rapid.T)
	for _, w := range p.shards {
		single = append(single, w.actions())
	}
	actions := map[string]func(*rapid.T){}
	for name := range single[0] {
		actions[name] = func(t *rapid.T) { single[rapid.IntRange(0, len(single)-1).Draw(t, "shard")][name](t) }
	}
	actions[""] = func(t *rapid.T) { p.checkInvariants(t) }
	deliveries := rapid.SampledFrom([]delivery{answered, answered, answered, answerLost, lostSend, delayed})
	between := func(f func(t *rapid.T, w *simulation, leader *simLeader, to *simulation)) func(*rapid.T) {
		return func(t *rapid.T) {
			w := rapid.SampledFrom(p.shards).Draw(t, "from")
			to := rapid.SampledFrom(p.shards).Draw(t, "to")
			if w != to && len(w.leaders) > 0 {
				f(t, w, rapid.SampledFrom(w.leaders).Draw(t, "holder"), to)
			}
		}
	}
	// The invariants must hold whatever free capacity a shard reports.
	give := between(func(t *rapid.T, w *simulation, leader *simLeader, to *simulation) {
		var free []FreeCapacity
		for _, family := range []string{"batch", "plain", "urgent"} {
			free = append(free, FreeCapacity{Family: family, Fits: true, Startable: rapid.IntRange(0, 3).Draw(t, "idle")})
		}
		leader.core.HandOver(to.shard, free, w.now)
	})
	transfer := between(func(t *rapid.T, _ *simulation, leader *simLeader, to *simulation) {
		p.transfer(leader, to, deliveries.Draw(t, "fate"))
	})
	report := between(func(t *rapid.T, _ *simulation, leader *simLeader, to *simulation) {
		p.report(leader, to, deliveries.Draw(t, "fate"))
	})
	move := between(func(_ *rapid.T, w *simulation, leader *simLeader, _ *simulation) { p.move(w, leader) })
	actions["give"], actions["give2"] = give, give
	actions["transfer"], actions["transfer2"] = transfer, transfer
	actions["report"], actions["report2"] = report, report
	actions["move"], actions["move2"], actions["move3"] = move, move, move
	actions["aim"] = func(t *rapid.T) { p.previousLeaders = rapid.IntRange(0, 1).Draw(t, "older") }
	actions["surplus"] = between(func(_ *rapid.T, w *simulation, leader *simLeader, _ *simulation) { leader.core.Surplus(w.now) })
	actions["late"] = func(t *rapid.T) {
		if len(p.delayedMessages) > 0 {
			i := rapid.IntRange(0, len(p.delayedMessages)-1).Draw(t, "message")
			arrive := p.delayedMessages[i]
			p.delayedMessages = slices.Delete(p.delayedMessages, i, i+1)
			arrive()
		}
	}
	actions["coastAll"] = func(t *rapid.T) { p.run(rapid.IntRange(1, 20).Draw(t, "seconds")) }
	actions["racksGone"] = func(t *rapid.T) {
		w := rapid.SampledFrom(p.shards).Draw(t, "shard")
		for i := range w.workers {
			w.toggleWorker(i)
		}
	}
	return actions
}
