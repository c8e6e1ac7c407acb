package scheduler

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/store"
)

// toldJob is a job with what callers were told about it.
type toldJob struct {
	job batch.Job
	// accepted and refused are the answers to its submission, neither if the outcome is not known. cancelledAt is when a cancel
	// was confirmed, cancelTried that one was sent.
	accepted, refused bool
	cancelTried       bool
	cancelledAt       time.Time
}

// callers submit, cancel and query jobs by chance, and remember what they were told.
type callers struct {
	cl     *cluster
	random *rand.Rand
	calls  sync.WaitGroup

	mu   sync.Mutex
	jobs []*toldJob
	// broken describes the answers that contradict earlier ones.
	broken []string
}

// call makes a call through a node by chance. The answer of a node that has crashed meanwhile is lost.
func (c *callers) call(f func(ctx context.Context, node *Scheduler) (answered func())) {
	name := []string{"a", "b", "c"}[c.random.IntN(3)]
	node, dead := c.cl.nodes[name], c.cl.dead[name]
	if node == nil {
		return
	}
	timeout := time.Duration(500+c.random.IntN(2500)) * time.Millisecond
	c.calls.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		answered := f(ctx, node)
		if dead.Load() {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		answered()
	})
}

// maxLongRunning is how many long-running tasks the workers have space for, beside others.
const maxLongRunning = 24

// longRunning returns how many long-running tasks the jobs have that no caller has cancelled.
func (c *callers) longRunning() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, told := range c.jobs {
		if told.job.Steps[0].LongRunning && told.cancelledAt.IsZero() {
			n += told.job.Steps[0].Tasks
		}
	}
	return n
}

// submit submits a job, a third of which have long-running tasks as far as there is space.
func (c *callers) submit() {
	id := c.random.IntN(1 << 30)
	j := testJob(id, 1+c.random.IntN(4))
	// Its record changes again and again, for longer than a leader needs to read the inbox.
	for range c.random.IntN(20) {
		last := j.Steps[len(j.Steps)-1]
		last.After = []int{len(j.Steps) - 1}
		j.Steps = append(j.Steps, last)
	}
	if tasks := 1 + c.random.IntN(8); c.random.IntN(3) == 0 && c.longRunning()+tasks <= maxLongRunning {
		j = longRunningJob(j, tasks)
		c.cl.workers.update(func(f *fakeWorkers) { f.durations[j.ID] = time.Hour })
	}
	told := &toldJob{job: j}
	c.mu.Lock()
	c.jobs = append(c.jobs, told)
	c.mu.Unlock()
	c.call(func(ctx context.Context, node *Scheduler) func() {
		err := node.Submit(ctx, j)
		return func() {
			told.accepted = err == nil
			told.refused = errors.As(err, new(*UnavailableError)) || errors.As(err, new(*batch.InvalidError))
		}
	})
}

// withAccepted calls f with one of the accepted jobs.
func (c *callers) withAccepted(f func(told *toldJob)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var accepted []*toldJob
	for _, told := range c.jobs {
		if told.accepted {
			accepted = append(accepted, told)
		}
	}
	if len(accepted) > 0 {
		f(accepted[len(accepted)-1-c.random.IntN(min(len(accepted), 6))])
	}
}

func (c *callers) cancel() {
	c.withAccepted(func(told *toldJob) {
		told.cancelTried = true
		c.call(func(ctx context.Context, node *Scheduler) func() {
			known, err := node.Cancel(ctx, told.job.ID)
			return func() {
				switch {
				case err == nil && known && told.cancelledAt.IsZero():
					told.cancelledAt = time.Now()
				case err == nil && !known:
					c.broken = append(c.broken, told.job.ID+": cancel of an accepted job answered as unknown")
				}
			}
		})
	})
}

func (c *callers) query() {
	c.withAccepted(func(told *toldJob) {
		c.call(func(ctx context.Context, node *Scheduler) func() {
			_, known, err := node.State(ctx, told.job.ID)
			return func() {
				if err == nil && !known {
					c.broken = append(c.broken, told.job.ID+": an accepted job is unknown")
				}
			}
		})
	})
}

// loseStore keeps the store from answering a node for some time.
func loseStore(cl *cluster, name string, d time.Duration) {
	cl.store.update(func(s *fakeStore) { s.unansweredClients[name] = true })
	time.AfterFunc(d, func() {
		cl.store.update(func(s *fakeStore) { s.unansweredClients[name] = false })
	})
}

// disturbCommits makes the store delay, refuse or lose commits of leaders, by chance.
func disturbCommits(cl *cluster, seed uint64) {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, 2))
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	lost := &store.UnavailableError{Call: "commit", Err: errAnswerLost}
	apply := func(txn store.Txn) {
		cl.store.update(func(s *fakeStore) {
			s.expireLeases()
			_, _ = s.apply(txn)
		})
	}
	cl.store.update(func(s *fakeStore) {
		s.beforeCommit = func(client string, txn store.Txn) error {
			isHead := func(op store.Op) bool { return strings.HasSuffix(op.Key, "/head") }
			if len(txn.Then) == 0 || !isHead(txn.Then[0]) {
				return nil
			}
			if slices.ContainsFunc(txn.Then, func(op store.Op) bool { return op.Kind == store.OpDelete && strings.HasSuffix(op.Key, cancelSuffix) }) && draw(2) == 0 {
				// The leader is lost before its next commit.
				time.AfterFunc(time.Millisecond, func() { loseStore(cl, client, 3*time.Second) })
				return nil
			}
			switch n := draw(100); {
			case n < 10:
				time.Sleep(time.Duration(draw(400)) * time.Millisecond)
			case n < 25 && len(txn.Then) > 2:
				// Meanwhile the leader reads the inbox; then it commits the records one by one.
				time.Sleep(time.Duration(draw(300)) * time.Millisecond)
				return &store.InvalidError{Call: "commit", Status: 413}
			case n < 30:
				return &store.RefusedError{Call: "commit", Status: 503}
			case n < 35:
				apply(txn)
				return lost
			case n < 40:
				time.AfterFunc(time.Duration(draw(1500))*time.Millisecond, func() { apply(txn) })
				return lost
			case n < 45:
				return lost
			}
			return nil
		}
	})
}

// runDurabilityWorld runs callers and nodes amid faults for some time, and checks what is left after all nodes were lost.
func runDurabilityWorld(t *testing.T, seed uint64, cells int) {
	random := rand.New(rand.NewPCG(seed, 1))
	cl := newCellCluster(t, cells, time.Second, "a", "b", "c")
	defer cl.stop()
	cl.workers.durations = map[string]time.Duration{}
	c := &callers{cl: cl, random: random}
	disturbCommits(cl, seed)
	var back sync.WaitGroup
	var isBack atomic.Pointer[string]
	for range 200 {
		time.Sleep(100 * time.Millisecond)
		if name := isBack.Swap(nil); name != nil {
			cl.addNode(*name)
		}
		switch n := random.IntN(100); {
		case n < 20:
			c.submit()
		case n < 35:
			c.cancel()
		case n < 50:
			c.query()
		case n < 56 && len(cl.nodes) == 3:
			name, leader := cl.leaderOf(random.IntN(cells))
			if leader == nil {
				continue
			}
			if random.IntN(3) == 0 {
				cl.nodes[name].StepDown()
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
				cl.kill(name)
			} else {
				cl.crash(name)
			}
			back.Go(func() {
				time.Sleep(time.Second)
				isBack.Store(&name)
			})
		case n < 59:
			name := []string{"a", "b", "c"}[random.IntN(3)]
			loseStore(cl, name, time.Duration(random.IntN(1500))*time.Millisecond)
		case n < 65:
			// Its callers' submissions and cancels go to the inbox.
			name := []string{"a", "b", "c"}[random.IntN(3)]
			cl.setUnreachable(name, true)
			time.AfterFunc(time.Duration(random.IntN(3000))*time.Millisecond, func() { cl.setUnreachable(name, false) })
		}
	}
	back.Wait()
	c.calls.Wait()
	time.Sleep(2 * time.Second)
	cl.store.update(func(s *fakeStore) { s.beforeCommit = nil })
	for name := range cl.nodes {
		cl.crash(name)
	}
	for _, name := range []string{"a", "b", "c"} {
		cl.addNode(name)
	}
	time.Sleep(40 * time.Second)
	c.check(t)
}

// maxReading is how long after the confirmation of a cancel a leader may still start tasks of the job: it has to read the inbox first.
const maxReading = 8 * time.Second

// check checks what the nodes know and the workers have run against what the callers were told.
func (c *callers) check(t *testing.T) {
	t.Helper()
	require.Empty(t, c.broken)
	cancelled := 0
	for _, told := range c.jobs {
		id := told.job.ID
		lastStart := c.cl.workers.lastStart(id)
		switch {
		case told.refused:
			require.Zero(t, lastStart, "refused job %s has run", id)
		case !told.cancelledAt.IsZero():
			cancelled++
			require.True(t, state(t, c.cl.nodes["a"], id).Final(), "cancelled job %s goes on", id)
			require.Zero(t, c.cl.runningTasks(id), "cancelled job %s", id)
			require.Less(t, lastStart.Sub(told.cancelledAt), maxReading, "cancelled job %s", id)
		case told.accepted:
			state(t, c.cl.nodes["a"], id)
		}
	}
	c.checkProgress(t)
	c.cl.store.update(func(s *fakeStore) {
		for i := range len(c.cl.nodes["a"].allMembers()) {
			require.Empty(t, s.withPrefix(keysOfCell(i).inbox), "entries stay in the inbox")
		}
	})
	t.Logf("%d jobs, %d cancelled", len(c.jobs), cancelled)
}

// checkProgress checks that the accepted jobs that nobody has cancelled run or complete, once long-running tasks leave space in each cell.
func (c *callers) checkProgress(t *testing.T) {
	t.Helper()
	const spaceInSmallestCell = 7
	kept := 0
	for _, told := range c.jobs {
		switch tasks := told.job.Steps[0].Tasks; {
		case !told.job.Steps[0].LongRunning:
		case told.accepted && !told.cancelTried && kept+tasks <= spaceInSmallestCell:
			kept += tasks
		default:
			told.cancelTried = true
			cancel(t, c.cl.nodes["a"], told.job.ID)
		}
	}
	time.Sleep(20 * time.Second)
	for _, told := range c.jobs {
		id := told.job.ID
		switch {
		case !told.accepted || told.cancelTried:
		case told.job.Steps[0].LongRunning:
			require.Equal(t, told.job.Steps[0].Tasks, c.cl.runningTasks(id), "job %s", id)
		default:
			require.Equal(t, batch.Completed, state(t, c.cl.nodes["a"], id), "job %s", id)
		}
	}
}

var durableSeeds = flag.Uint64("durable.seeds", 10, "how many seeds TestNothingConfirmedIsLost runs with each number of cells")

// Whatever happens to commits and leaders, nothing that callers were told is lost with them.
func TestNothingConfirmedIsLost(t *testing.T) {
	for _, cells := range []int{1, 2} {
		for seed := range *durableSeeds {
			t.Run(fmt.Sprintf("cells %d, seed %d", cells, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runDurabilityWorld(t, seed, cells) })
			})
		}
	}
}
