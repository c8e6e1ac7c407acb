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

// TestMain sets the size of the property test in an ordinary run.
func TestMain(m *testing.M) {
	property.Fix(property.Size{Checks: 1500, Steps: 80})
	os.Exit(m.Run())
}

// checkInvariants fails if an invariant of a shard is currently violated: no double runs, no worker
// over its capacity, no lost or repeated checkpoint, and exact accounts.
func (w *simulation) checkInvariants(t require.TestingT) {
	require.Zero(t, w.ledger.DoubleRuns(), "a task ran on two workers at once")
	require.Zero(t, w.ledger.Overcommits(), "a worker was over its capacity")
	require.Zero(t, w.ledger.DuplicateResumes(), "a checkpoint was resumed twice")
	require.Zero(t, w.ledger.LostCheckpoints(), "a committed checkpoint was not resumed")
	w.checkStatuses(t)
	require.Zero(t, w.startsAfterCancel, "a task was started after its cancellation was confirmed")
	for _, leader := range w.leaders {
		for _, s := range w.workers {
			var reserved share.Resources
			if known, ok := leader.core.workers[s.ID]; ok {
				for _, e := range known.tasks {
					reserved = reserved.Plus(e.Size)
				}
			}
			require.True(t, reserved.Fits(s.Capacity), "a leader has reserved more than a worker's capacity")
		}
		w.checkAccounts(t, leader)
	}
}

// Guards against interleavings of faults that violate an invariant: crashes, pauses, commits that take time
// or are lost with their leader, lost, late and
// repeated messages, takeovers and outages of the store. Once all faults have ended, every accepted
// job must end with each of its tasks finished once or cancelled.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	t.Run("one shard", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) {
			w := newSimulation()
			if rapid.Bool().Draw(t, "busy") {
				w.submitMixedLoad()
			}
			t.Repeat(w.actions())
			require.True(t, w.runToCompletion(), "a job does not end after all faults have")
			w.checkInvariants(t)
			w.checkEnds(t)
		})
	})
	t.Run("tasks move between shards", func(t *testing.T) {
		t.Parallel()
		rapid.Check(t, func(t *rapid.T) {
			p := newShardPool(rapid.IntRange(2, 3).Draw(t, "shards"))
			for _, w := range p.shards {
				w.timing.MoveAfter, w.timing.StrandedAfter = 0, 7*time.Second
				w.replaceLeader()
			}
			p.shards[0].submitMixedLoad()
			t.Repeat(p.actions())
			require.True(t, p.runToCompletion(), "a job does not end after all faults have")
			p.checkInvariants(t)
			for _, w := range p.shards {
				w.checkEnds(t)
			}
		})
	})
}

// checkStatuses asks all leaders for the statuses of all accepted jobs, and fails if the current one reports less tasks of a
// job as ended than any leader has before.
func (w *simulation) checkStatuses(t require.TestingT) {
	for id := range w.accepted {
		for _, leader := range w.leaders {
			s, err := leader.core.DescribeStored("n", id)
			if err != nil {
				continue
			}
			ended := 0
			for state, n := range s.States {
				if state.Final() {
					ended += n
				}
			}
			if leader.epoch == w.epoch {
				require.GreaterOrEqual(t, ended, w.reportedEnds[id], "a task of %s that was reported as ended has not ended: %v", id, s.States)
			}
			w.reportedEnds[id] = max(w.reportedEnds[id], ended)
		}
	}
}

// checkEnds fails unless every accepted job has ended with each of its tasks finished or cancelled.
func (w *simulation) checkEnds(t require.TestingT) {
	for id, tasks := range w.accepted {
		s, err := w.leaders[0].core.Describe("n", id)
		require.NoError(t, err, "an accepted job is lost")
		require.Equal(t, tasks, s.States[task.Finished]+s.States[task.Cancelled], "not all tasks of job %s have ended: %v", id, s.States)
		if !w.cancelled[id] {
			require.Equal(t, tasks, s.States[task.Finished], "not all tasks of job %s have finished: %v", id, s.States)
		}
	}
}

// actions returns the steps that rapid draws from, by name.
func (w *simulation) actions() map[string]func(*rapid.T) {
	withLeader := func(f func(t *rapid.T, leader *simLeader)) func(*rapid.T) {
		return func(t *rapid.T) {
			if len(w.leaders) == 0 {
				w.takeOver()
				return
			}
			f(t, rapid.SampledFrom(w.leaders).Draw(t, "holder"))
		}
	}
	onWorker := rapid.IntRange(0, simWorkers-1)
	deliveries := rapid.SampledFrom([]delivery{answered, answered, answered, answered, answerLost, lostSend, delayed})
	exchange := withLeader(func(t *rapid.T, leader *simLeader) {
		w.exchange(leader, onWorker.Draw(t, "worker"), deliveries.Draw(t, "fate"))
	})
	commit := withLeader(func(t *rapid.T, leader *simLeader) {
		w.commit(leader, rapid.IntRange(0, 4).Draw(t, "answer") == 0)
	})
	begin := withLeader(func(_ *rapid.T, leader *simLeader) { w.beginCommit(leader) })
	round := withLeader(func(_ *rapid.T, leader *simLeader) { w.leaderRound(leader) })
	fractions := []time.Duration{0, 40 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond}
	return map[string]func(*rapid.T){
		"": func(t *rapid.T) { w.checkInvariants(t) },
		"pass": func(t *rapid.T) {
			w.advance(rapid.SampledFrom([]time.Duration{time.Second, 3 * time.Second, 16 * time.Second}).Draw(t, "time"))
		},
		"longPause": func(t *rapid.T) { w.advance(w.timing.Grace + w.timing.leaseExpiry() + time.Second) },
		"submit": withLeader(func(t *rapid.T, leader *simLeader) {
			family := rapid.SampledFrom([]string{"batch", "plain", "urgent"}).Draw(t, "family")
			w.submit(leader, family, rapid.IntRange(1, 4).Draw(t, "tasks"))
		}),
		"cancel": withLeader(func(t *rapid.T, leader *simLeader) {
			if len(w.accepted) == 0 {
				return
			}
			id := rapid.SampledFrom(slices.Sorted(maps.Keys(w.accepted))).Draw(t, "job")
			w.cancelled[id] = true
			w.callLeader(leader, func(c *Core) error {
				_, err := c.Cancel("n", id, w.now)
				return err
			}, func() { w.confirmedCancels[id] = true })
		}),
		"yield": withLeader(func(t *rapid.T, leader *simLeader) {
			i := onWorker.Draw(t, "worker")
			for _, e := range leader.core.worker(w.workers[i].ID).sortedTasks() {
				leader.core.Yield(e.id, w.now)
			}
		}),
		"throttle": withLeader(func(t *rapid.T, leader *simLeader) {
			ratio := rapid.SampledFrom([]float64{0.25, 0.5, 1}).Draw(t, "ratio")
			for _, e := range leader.core.worker(w.workers[onWorker.Draw(t, "worker")].ID).sortedTasks() {
				leader.core.Throttle(e.id, ratio)
			}
		}),
		"commit": commit, "commit2": commit, "commit3": commit,
		// The commit takes time: it is carried out later, or is lost with the leader.
		"beginCommit": begin, "beginCommit2": begin,
		"compact": withLeader(func(_ *rapid.T, leader *simLeader) { w.compact(leader) }),
		"carryOut": withLeader(func(_ *rapid.T, leader *simLeader) {
			if w.storeUp && !leader.isolated {
				w.carryOut(leader)
			}
		}),
		"exchange": exchange, "exchange2": exchange, "exchange3": exchange, "exchange4": exchange,
		"round": round, "round2": round, "round3": round,
		"coast": func(t *rapid.T) {
			w.run(rapid.IntRange(1, 20).Draw(t, "seconds"), rapid.SampledFrom(fractions).Draw(t, "fraction"))
		},
		"keepAlive": withLeader(func(_ *rapid.T, leader *simLeader) { w.keepAlive(leader) }),
		"take":      func(*rapid.T) { w.takeOver() },
		"handOver":  withLeader(func(_ *rapid.T, leader *simLeader) { w.handOver(leader) }),
		"holderCrash": withLeader(func(_ *rapid.T, leader *simLeader) {
			w.removeLeader(leader)
		}),
		"arrive": func(t *rapid.T) {
			if len(w.delayedExchanges) > 0 {
				w.deliver(rapid.IntRange(0, len(w.delayedExchanges)-1).Draw(t, "message"))
			}
		},
		"workerCrash": func(t *rapid.T) { w.workers[onWorker.Draw(t, "worker")].Crash() },
		"workerBroken": func(t *rapid.T) {
			w.workers[onWorker.Draw(t, "worker")].SetBroken(rapid.Bool().Draw(t, "broken"))
		},
		"cut": withLeader(func(t *rapid.T, leader *simLeader) {
			pair := [2]int64{leader.epoch, int64(onWorker.Draw(t, "worker"))}
			w.partitioned[pair] = !w.partitioned[pair]
		}),
		"isolate": withLeader(func(_ *rapid.T, leader *simLeader) { leader.isolated = !leader.isolated }),
		// The leader plans, but may be removed or replaced before it commits the result.
		"plan": withLeader(func(_ *rapid.T, leader *simLeader) { leader.core.Plan(w.now) }),
		"gone": func(t *rapid.T) {
			w.toggleWorker(onWorker.Draw(t, "worker"))
		},
		"store": func(*rapid.T) { w.storeUp = !w.storeUp },
	}
}

// endFaults ends all faults.
func (w *simulation) endFaults() {
	w.storeUp = true
	clear(w.partitioned)
	for _, leader := range w.leaders {
		leader.isolated = false
	}
	for i := range w.workers {
		w.removed[i] = false
		w.workers[i].SetBroken(false)
	}
}

// runToCompletion ends all faults and runs until every accepted job has ended. It returns false if
// that doesn't happen within 3000 rounds.
func (w *simulation) runToCompletion() bool {
	w.endFaults()
	for range 3000 {
		w.advance(time.Second)
		w.takeOver()
		for _, leader := range slices.Clone(w.leaders) {
			w.leaderRound(leader)
		}
		if w.allJobsEnded() {
			return true
		}
	}
	return false
}

func (w *simulation) allJobsEnded() bool {
	if len(w.leaders) != 1 {
		return false
	}
	for id := range w.accepted {
		s, err := w.leaders[0].core.Describe("n", id)
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
