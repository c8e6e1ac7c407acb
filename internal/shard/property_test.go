package shard

import (
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/property"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// TestMain fixes the size of the property test in an ordinary run.
func TestMain(m *testing.M) {
	property.Fix(property.Size{Checks: 1500, Steps: 80})
	os.Exit(m.Run())
}

// check fails if a rule of the product is broken at this moment.
func (w *world) check(t require.TestingT) {
	require.Zero(t, w.ledger.DoubleRuns(), "a task ran in two places")
	require.Zero(t, w.ledger.Overcommits(), "a worker was over its capacity")
	require.Zero(t, w.ledger.ResumeDoubles(), "a checkpoint was resumed twice")
	require.Zero(t, w.ledger.ResumeLosses(), "a committed checkpoint was not resumed")
	for _, h := range w.holders {
		for _, s := range w.workers {
			var held share.Resources
			if known, ok := h.core.workers[s.ID]; ok {
				for _, e := range known.tasks {
					held = held.Plus(e.Size)
				}
			}
			require.True(t, held.Fits(s.Capacity), "a holder promises more than a worker has")
		}
		w.checkAccounts(t, h)
	}
}

// No interleaving of crashes, pauses, lost, late and doubled messages,
// take-overs and outages of the store breaks a rule, and once all faults end
// every accepted job ends with each of its tasks finished once or cancelled.
func TestRulesHoldUnderFaults(t *testing.T) {
	t.Run("one shard", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) {
			w := newWorld()
			if rapid.Bool().Draw(t, "busy") {
				w.fill()
			}
			t.Repeat(w.actions())
			require.True(t, w.heal(), "a job does not end after all faults have")
			w.check(t)
			w.checkEnds(t)
		})
	})
	t.Run("tasks go from shard to shard", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) {
			p := newPool(rapid.IntRange(2, 3).Draw(t, "shards"))
			for _, w := range p.worlds {
				w.timing.MoveAfter, w.timing.StrandedAfter = 0, 7*time.Second
				w.takeAnew()
			}
			p.worlds[0].fill()
			t.Repeat(p.actions())
			require.True(t, p.heal(), "a job does not end after all faults have")
			p.check(t)
			for _, w := range p.worlds {
				w.checkEnds(t)
			}
		})
	})
}

// checkEnds fails if an accepted job has not ended with each task finished or cancelled.
func (w *world) checkEnds(t require.TestingT) {
	for id, tasks := range w.accepted {
		s, err := w.holders[0].core.Describe("n", id)
		require.NoError(t, err, "an accepted job is lost")
		require.Equal(t, tasks, s.States[task.Finished]+s.States[task.Cancelled], "of job %s: %v", id, s.States)
		if !w.cancelled[id] {
			require.Equal(t, tasks, s.States[task.Finished], "of job %s: %v", id, s.States)
		}
	}
}

// actions are the steps that the test draws from.
func (w *world) actions() map[string]func(*rapid.T) {
	withHolder := func(f func(t *rapid.T, h *worldHolder)) func(*rapid.T) {
		return func(t *rapid.T) {
			if len(w.holders) == 0 {
				w.take()
				return
			}
			f(t, rapid.SampledFrom(w.holders).Draw(t, "holder"))
		}
	}
	onWorker := rapid.IntRange(0, worldWorkers-1)
	fates := rapid.SampledFrom([]fate{answered, answered, answered, answered, answerLost, lostSend, delayed})
	exchange := withHolder(func(t *rapid.T, h *worldHolder) {
		w.exchange(h, onWorker.Draw(t, "worker"), fates.Draw(t, "fate"))
	})
	commit := withHolder(func(t *rapid.T, h *worldHolder) {
		w.commit(h, rapid.IntRange(0, 4).Draw(t, "answer") == 0)
	})
	round := withHolder(func(_ *rapid.T, h *worldHolder) { w.round(h) })
	fractions := []time.Duration{0, 40 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.check(t) },
		"pass": func(t *rapid.T) {
			w.advance(rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 16 * time.Second}).Draw(t, "time"))
		},
		"longPause": func(t *rapid.T) { w.advance(w.timing.Grace + w.timing.lapse() + time.Second) },
		"submit": withHolder(func(t *rapid.T, h *worldHolder) {
			family := rapid.SampledFrom([]string{"batch", "plain", "urgent"}).Draw(t, "family")
			w.submit(h, family, rapid.IntRange(1, 4).Draw(t, "tasks"))
		}),
		"cancel": withHolder(func(t *rapid.T, h *worldHolder) {
			if len(w.accepted) == 0 {
				return
			}
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(w.accepted))).Draw(t, "job")
			w.cancelled[id] = true
			_, _ = h.core.Cancel("n", id, w.now)
		}),
		"yield": withHolder(func(t *rapid.T, h *worldHolder) {
			i := onWorker.Draw(t, "worker")
			for _, e := range h.core.worker(w.workers[i].ID).sorted() {
				h.core.Yield(e.id, w.now)
			}
		}),
		"throttle": withHolder(func(t *rapid.T, h *worldHolder) {
			ratio := rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "ratio")
			for _, e := range h.core.worker(w.workers[onWorker.Draw(t, "worker")].ID).sorted() {
				h.core.Throttle(e.id, ratio)
			}
		}),
		"commit": commit, "commit2": commit, "commit3": commit,
		"exchange": exchange, "exchange2": exchange, "exchange3": exchange, "exchange4": exchange,
		"round": round, "round2": round, "round3": round,
		"coast": func(t *rapid.T) {
			w.coast(rapid.IntRange(1, 20).Draw(t, "seconds"), rapid.SampledFrom(fractions).Draw(t, "fraction"))
		},
		"keepAlive": withHolder(func(_ *rapid.T, h *worldHolder) { w.keepAlive(h) }),
		"take":      func(*rapid.T) { w.take() },
		"handOver":  withHolder(func(_ *rapid.T, h *worldHolder) { w.handOver(h) }),
		"holderCrash": withHolder(func(_ *rapid.T, h *worldHolder) {
			w.drop(h)
		}),
		"arrive": func(t *rapid.T) {
			if len(w.stuck) > 0 {
				w.arrive(rapid.IntRange(0, len(w.stuck)-1).Draw(t, "message"))
			}
		},
		"workerCrash": func(t *rapid.T) { w.workers[onWorker.Draw(t, "worker")].Crash() },
		"workerBroken": func(t *rapid.T) {
			w.workers[onWorker.Draw(t, "worker")].SetBroken(rapid.Bool().Draw(t, "broken"))
		},
		"cut": withHolder(func(t *rapid.T, h *worldHolder) {
			pair := [2]int64{h.epoch, int64(onWorker.Draw(t, "worker"))}
			w.cut[pair] = !w.cut[pair]
		}),
		"isolate": withHolder(func(_ *rapid.T, h *worldHolder) { h.isolated = !h.isolated }),
		// The holder decides, but may be gone or replaced before it can commit.
		"plan": withHolder(func(_ *rapid.T, h *worldHolder) { h.core.Plan(w.now) }),
		"gone": func(t *rapid.T) {
			w.replace(onWorker.Draw(t, "worker"))
		},
		"store": func(*rapid.T) { w.storeUp = !w.storeUp },
	}
}

// mend ends all faults.
func (w *world) mend() {
	w.storeUp = true
	clear(w.cut)
	for _, h := range w.holders {
		h.isolated = false
	}
	for i := range w.workers {
		w.gone[i] = false
		w.workers[i].SetBroken(false)
	}
}

// heal ends all faults and runs until every accepted job has ended.
func (w *world) heal() bool {
	w.mend()
	for range 3000 {
		w.advance(time.Second)
		w.take()
		for _, h := range slices.Clone(w.holders) {
			w.round(h)
		}
		if w.settled() {
			return true
		}
	}
	return false
}

func (w *world) settled() bool {
	if len(w.holders) != 1 {
		return false
	}
	for id := range w.accepted {
		s, err := w.holders[0].core.Describe("n", id)
		if err != nil {
			return false
		}
		for state := range s.States {
			if !state.Final() {
				return false
			}
		}
	}
	return true
}
