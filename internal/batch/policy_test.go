package batch

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// failAll commits, starts and fails all runs that the core places, for a number of rounds with a
// configuration each. It returns how often each task was started.
func failAll(t *testing.T, c *Core, now time.Time, versions []QueueConfig) map[TaskName]int {
	t.Helper()
	starts := map[TaskName]int{}
	ends := map[string]int64{}
	for _, version := range versions {
		c.SetQueueConfig(version)
		c.Plan(now)
		reports := map[string]Report{}
		for _, call := range commitAndStart(t, c, now) {
			starts[call.Task]++
			ends[call.Worker]++
			r := reports[call.Worker]
			r.Incarnation, r.Clock = 1, time.Hour
			r.Ended = append(r.Ended, EndedRow{Number: ends[call.Worker], Task: call.Task, Run: call.Run, How: EndFailed})
			reports[call.Worker] = r
		}
		now = now.Add(time.Minute)
		for _, worker := range []string{"a", "b", "c", "d"} {
			if r, ended := reports[worker]; ended {
				c.ApplyReport(worker, r, now, now)
			}
		}
		now = now.Add(time.Minute)
	}
	return starts
}

// Guards against accepted jobs that run without limit, nowhere, or on other workers, because their
// queue was removed from the configuration or changed.
func TestAcceptedJobKeepsItsPolicy(t *testing.T) {
	const rounds = 24
	now := time.Unix(1_000_000_000, 0)
	submitAll := func(c *Core) {
		for id, queue := range map[string]string{"0000000000000001": "check", "0000000000000002": "review"} {
			require.NoError(t, c.Submit(Job{ID: id, Queue: queue, Steps: []Step{{Tasks: 2, Size: share.Resources{Processors: 100}}}}, now, nil))
		}
	}
	unchanged := make([]QueueConfig, rounds)
	for i := range unchanged {
		unchanged[i] = simQueueConfig()
	}
	core := fourWorkerCore(t, now)
	submitAll(core)
	want := failAll(t, core, now, unchanged)
	require.Len(t, want, 4)
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 0))
		versions := make([]QueueConfig, rounds)
		for i := range versions {
			versions[i] = randomQueueConfig(random, int64(i))
		}
		core := fourWorkerCore(t, now)
		submitAll(core)
		require.Equal(t, want, failAll(t, core, now, versions), "seed %d", seed)
		for _, j := range core.jobs {
			require.Equal(t, "pool", j.Policy.Service)
			require.Equal(t, Failed, j.state)
		}
	}
}

// randomQueueConfig returns a configuration from which queues are removed or changed at random.
func randomQueueConfig(random *rand.Rand, version int64) QueueConfig {
	config := simQueueConfig()
	config.Version = version
	for _, name := range slices.Sorted(maps.Keys(config.Queues)) {
		q := config.Queues[name]
		switch random.IntN(4) {
		case 0:
			delete(config.Queues, name)
		case 1:
			q.Service, q.Attempts, q.Advised = "other", random.IntN(9), true
			config.Queues[name] = q
		}
	}
	return config
}

// Guards against a job that loses its policy on the way through a record, the inbox or another cell.
func TestPolicyOutlastsTransfers(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	submitted := Job{ID: "0000000000000001", Queue: "check", Steps: []Step{{Tasks: 1, Size: share.Resources{Processors: 100}}}}
	policy := Queue{Name: "check", Service: "pool", Priority: 2, Attempts: 3, Slack: 1.5, Target: 2 * time.Second, Advised: true}
	withPolicy := submitted.WithPolicy(policy)
	for _, c := range []struct {
		name string
		// transfer returns a core without the job's queue that has received the job.
		transfer func(t *testing.T, c *Core)
		want     Queue
	}{
		{"record", func(t *testing.T, c *Core) {
			value, err := encodeJob(&job{Job: withPolicy, state: Queued, accepted: now}, 0)
			require.NoError(t, err)
			require.NoError(t, c.Restore(value, now))
		}, policy},
		{"inbox", func(t *testing.T, c *Core) {
			value, err := EncodeJob(withPolicy)
			require.NoError(t, err)
			require.NoError(t, c.AcceptHandedOver(value, now))
		}, policy},
		{"record of an earlier version", func(t *testing.T, c *Core) {
			value := []byte(`{"id":"0000000000000001","queue":"check","service":"pool","state":"queued","steps":[{"tasks":1}]}`)
			require.NoError(t, c.Restore(value, now))
		}, Queue{Service: "pool"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := NewCore(DefaultTiming(), now, now)
			c.transfer(t, core)
			require.Equal(t, c.want, core.jobs[submitted.ID].Policy)
			config := simQueueConfig()
			core.SetQueueConfig(config)
			if c.want.Name == "" {
				require.Equal(t, config.Queues["check"].Attempts, core.jobs[submitted.ID].Policy.Attempts)
				return
			}
			require.Equal(t, c.want, core.jobs[submitted.ID].Policy)
		})
	}
}
