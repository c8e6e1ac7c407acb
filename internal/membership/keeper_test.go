package membership_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

const (
	testTTL = 2 * time.Second
	// testListLag is how far the instance list lags at most.
	testListLag = 5 * time.Second
	// heldLong is the longest deadline of the tests' requests.
	heldLong = 300 * time.Millisecond
	patience = 30 * time.Second
	poll     = 5 * time.Millisecond
)

// fleet is several keepers that share one store and one target.
type fleet struct {
	t       testing.TB
	ttl     time.Duration
	longest time.Duration
	store   *standin.Store
	url     string
	mu      sync.Mutex
	members map[string]*member
	names   int
	running atomic.Int64
	most    atomic.Int64
}

// member is one keeper with its requests at the target.
type member struct {
	keeper *membership.Keeper
	cut    atomic.Bool
	cuts   atomic.Int64
	stop   context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	usable   int
	part     int
	inFlight int
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, ttl: testTTL, longest: heldLong, store: standin.NewStore(), members: map[string]*member{}}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.url = server.URL
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go f.exchange(ctx, done)
	t.Cleanup(func() {
		cancel()
		<-done
		for id := range f.all() {
			f.crash(id)
		}
	})
	return f
}

func (f *fleet) all() map[string]*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]*member{}
	for id, m := range f.members {
		all[id] = m
	}
	return all
}

// exchange passes the statuses of all members on to all others.
func (f *fleet) exchange(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		all := f.all()
		for _, from := range all {
			from.keeper.RecheckUsage()
			table, _ := grant.Encode(from.keeper.View().Table)
			for _, to := range all {
				if from != to {
					_ = to.keeper.ReceiveStatus(from.keeper.Status(), table)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(poll):
		}
	}
}

// start starts a member under load.
func (f *fleet) start() string {
	f.t.Helper()
	f.names++
	id := fmt.Sprintf("entry-%d", f.names)
	m := &member{done: make(chan struct{})}
	base := &http.Transport{}
	f.t.Cleanup(base.CloseIdleConnections)
	transport := roundTripper(func(r *http.Request) (*http.Response, error) {
		if m.cut.Load() {
			return nil, errors.New("cut")
		}
		return base.RoundTrip(r)
	})
	m.keeper = &membership.Keeper{
		Store:          store.NewEtcd([]string{f.url}, &http.Client{Transport: transport}),
		Self:           membership.Peer{ID: id, Region: region},
		TTL:            f.ttl,
		Log:            eventlog.Discard(),
		MaxRequestTime: func() time.Duration { return f.longest },
		ListLag:        testListLag,
		Apply:          m.apply,
		Cut:            func() { m.cuts.Add(1) },
		AskPromise: func(_ context.Context, p membership.Peer, name string) (string, bool) {
			if to := f.all()[p.ID]; to != nil {
				return to.keeper.GrantPromise(name)
			}
			return "", false
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = cancel
	f.mu.Lock()
	f.members[id] = m
	f.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { _ = m.keeper.Run(ctx) })
	for range simSlots {
		group.Go(func() { f.load(ctx, m) })
	}
	go func() {
		group.Wait()
		close(m.done)
	}()
	return id
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip makes the call.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// apply takes the member's limit at the target.
func (m *member) apply() (over []string, busy bool) {
	usable := m.keeper.Usable("t", region, simSlots)
	part := m.keeper.Allocation("t", region, simSlots)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usable, m.part = usable, part
	if m.inFlight > part {
		over = []string{"t"}
	}
	return over, m.inFlight > 0
}

// load runs one request at the target after the other, as far as slots allow.
func (f *fleet) load(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		if !m.acquire() {
			wait(ctx, poll)
			continue
		}
		now := f.running.Add(1)
		for most := f.most.Load(); now > most && !f.most.CompareAndSwap(most, now); most = f.most.Load() {
		}
		wait(ctx, 10*time.Millisecond)
		f.running.Add(-1)
		m.mu.Lock()
		m.inFlight--
		m.mu.Unlock()
	}
}

func (m *member) acquire() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.inFlight >= m.usable || !m.keeper.Entitled() {
		return false
	}
	m.inFlight++
	return true
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// crash ends a member without a planned stop.
func (f *fleet) crash(id string) {
	f.mu.Lock()
	m := f.members[id]
	delete(f.members, id)
	f.mu.Unlock()
	m.stop()
	<-m.done
}

// usable returns how many slots a member may use now.
func (f *fleet) usable(id string) int {
	m := f.all()[id]
	if m == nil || !m.keeper.Entitled() {
		return 0
	}
	return m.keeper.Usable("t", region, simSlots)
}

// awaitUsable waits until the members may use these numbers of slots.
func (f *fleet) awaitUsable(want map[string]int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for id, n := range want {
			if f.usable(id) != n {
				return false
			}
		}
		return true
	}, patience, poll, "want %v", want)
}

// awaitShared waits until the members may together use all slots, each a part.
func (f *fleet) awaitShared(ids ...string) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		sum := 0
		for _, id := range ids {
			n := f.usable(id)
			if n < simSlots/len(ids) {
				return false
			}
			sum += n
		}
		return sum == simSlots
	}, patience, poll, "all slots are shared by %v", ids)
}

func (f *fleet) verify() {
	f.t.Helper()
	require.LessOrEqual(f.t, f.most.Load(), int64(simSlots), "requests in flight at the target")
	require.Positive(f.t, f.most.Load())
}

func newLoadedFleet(t *testing.T) (f *fleet, a, b string) {
	t.Helper()
	f = newFleet(t)
	a = f.start()
	f.awaitUsable(map[string]int{a: simSlots})
	b = f.start()
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	return f, a, b
}

// A member that dies under load gives its slots to the other, exactly.
func TestDeathUnderLoad(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	f.crash(b)
	f.awaitUsable(map[string]int{a: simSlots})
	f.verify()
	require.Eventually(t, func() bool { return len(f.all()[a].keeper.View().Table.Departed) == 0 }, patience, poll,
		"the table forgets who is gone")
}

// A planned stop hands the slots over although the lease has long to run.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	m := f.all()[b]
	require.NoError(t, m.keeper.Leave(context.Background()))
	f.awaitUsable(map[string]int{a: simSlots, b: 0})
	f.crash(b)
	f.verify()
	require.Eventually(t, func() bool {
		v := f.all()[a].keeper.View()
		return len(v.Table.Departed) == 0 && len(v.Peers) == 1
	}, patience, poll)
}

// All members keep their parts through an outage that outlasts the lease.
func TestOutageOutlastsLease(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	epoch := f.all()[a].keeper.View().Table.Epoch
	f.store.SetDown(true)
	over := time.After(2 * testTTL)
	for done := false; !done; {
		select {
		case <-over:
			done = true
		case <-time.After(poll):
			require.Equal(t, simSlots/2, f.usable(a))
			require.Equal(t, simSlots/2, f.usable(b))
		}
	}
	f.store.SetDown(false)
	require.Eventually(t, func() bool { return len(f.all()[a].keeper.View().Peers) == 2 }, patience, poll)
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	require.Equal(t, epoch, f.all()[a].keeper.View().Table.Epoch, "an outage changes no table")
	f.verify()
}

// A member that alone lacks the store stops, and others take its slots; after
// its return it takes part again.
func TestCutOffFromStore(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	f.all()[b].cut.Store(true)
	f.awaitUsable(map[string]int{a: simSlots, b: 0})
	f.all()[b].cut.Store(false)
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	f.verify()
}

// A member that restarts in an outage gets nothing before the store is back.
func TestRestartInOutage(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	c := f.start()
	f.awaitShared(a, b, c)
	f.store.SetDown(true)
	f.crash(b)
	d := f.start()
	over := time.After(2 * testTTL)
	for done := false; !done; {
		select {
		case <-over:
			done = true
		case <-time.After(poll):
			require.Zero(t, f.usable(d))
			require.Positive(t, f.usable(a))
		}
	}
	f.store.SetDown(false)
	f.awaitShared(a, c, d)
	f.verify()
}

// Lost answers of the store neither double a member nor lose one.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.SetLostAnswers(0.3, 5)
	a, b := f.start(), f.start()
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	f.crash(b)
	f.awaitUsable(map[string]int{a: simSlots})
	f.store.SetLostAnswers(0, 0)
	f.verify()
	require.Len(t, f.all()[a].keeper.View().Table.Members, 1)
}

// The calls that the store takes: at rest, and for a join and a planned stop.
func BenchmarkStoreCalls(b *testing.B) {
	const instances, rest = 7, 20 * time.Second
	f := newFleet(b)
	f.ttl = 10 * time.Second
	var ids []string
	for range instances {
		ids = append(ids, f.start())
	}
	f.awaitShared(ids...)
	for b.Loop() {
		before := f.store.Counts()
		wait(context.Background(), rest)
		atRest := f.store.Counts()
		id := f.start()
		f.awaitShared(append(ids, id)...)
		joined := f.store.Counts()
		require.NoError(b, f.all()[id].keeper.Leave(context.Background()))
		f.crash(id)
		f.awaitShared(ids...)
		left := f.store.Counts()
		perSecond := func(n int64) float64 { return float64(n) / rest.Seconds() / instances }
		b.ReportMetric(perSecond(atRest.Reads-before.Reads), "reads/s/instance")
		b.ReportMetric(perSecond(atRest.Writes-before.Writes), "writes/s/instance")
		b.ReportMetric(perSecond(atRest.LeaseCalls-before.LeaseCalls), "renewals/s/instance")
		b.ReportMetric(float64(joined.Writes-atRest.Writes), "writes/join")
		b.ReportMetric(float64(joined.Reads-atRest.Reads), "reads/join")
		b.ReportMetric(float64(left.Writes-joined.Writes), "writes/stop")
		b.ReportMetric(float64(left.Reads-joined.Reads), "reads/stop")
	}
}
