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
	// testListLag bounds the lag of the instance list, which these tests do not read.
	testListLag = 5 * time.Second
	// testMaxRequestTime bounds how long a request can be in flight.
	testMaxRequestTime = 300 * time.Millisecond
	waitTimeout        = 30 * time.Second
	pollInterval       = 5 * time.Millisecond
)

// fleet is a set of keepers that share one store and one target.
type fleet struct {
	t              testing.TB
	ttl            time.Duration
	maxRequestTime time.Duration
	store          *standin.Store
	url            string
	mu             sync.Mutex
	members        map[string]*member
	started        int
	running        atomic.Int64
	maxRunning     atomic.Int64
}

// member is one keeper with its requests at the target.
type member struct {
	keeper   *membership.Keeper
	storeCut atomic.Bool
	cuts     atomic.Int64
	stop     context.CancelFunc
	done     chan struct{}

	mu         sync.Mutex
	usable     int
	allocation int
	inFlight   int
}

func newFleet(t testing.TB) *fleet {
	t.Helper()
	f := &fleet{t: t, ttl: testTTL, maxRequestTime: testMaxRequestTime, store: standin.NewStore(), members: map[string]*member{}}
	server := httptest.NewServer(f.store)
	t.Cleanup(server.Close)
	f.url = server.URL
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go f.exchange(ctx, done)
	t.Cleanup(func() {
		cancel()
		<-done
		for id := range f.currentMembers() {
			f.crash(id)
		}
	})
	return f
}

func (f *fleet) currentMembers() map[string]*member {
	f.mu.Lock()
	defer f.mu.Unlock()
	members := map[string]*member{}
	for id, m := range f.members {
		members[id] = m
	}
	return members
}

// exchange sends the status of each member to all others, over and over.
func (f *fleet) exchange(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for ctx.Err() == nil {
		members := f.currentMembers()
		for _, from := range members {
			from.keeper.RecheckUsage()
			table, _ := grant.Encode(from.keeper.View().Table)
			for _, to := range members {
				if from != to {
					_ = to.keeper.ReceiveStatus(from.keeper.Status(), table)
				}
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
}

// start starts a member that sends as many requests as it may.
func (f *fleet) start() string {
	f.t.Helper()
	f.started++
	id := fmt.Sprintf("entry-%d", f.started)
	m := &member{done: make(chan struct{})}
	base := &http.Transport{}
	f.t.Cleanup(base.CloseIdleConnections)
	transport := roundTripper(func(r *http.Request) (*http.Response, error) {
		if m.storeCut.Load() {
			return nil, errors.New("cut")
		}
		return base.RoundTrip(r)
	})
	m.keeper = &membership.Keeper{
		Store:          store.NewEtcd([]string{f.url}, &http.Client{Transport: transport}),
		Self:           membership.Peer{ID: id, Region: region},
		TTL:            f.ttl,
		Log:            eventlog.Discard(),
		MaxRequestTime: func() time.Duration { return f.maxRequestTime },
		ListLag:        testListLag,
		Apply:          m.apply,
		Cut:            func() { m.cuts.Add(1) },
		AskPromise: func(_ context.Context, p membership.Peer, name string) (string, bool) {
			if to := f.currentMembers()[p.ID]; to != nil {
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
		group.Go(func() { f.runRequests(ctx, m) })
	}
	go func() {
		group.Wait()
		close(m.done)
	}()
	return id
}

type roundTripper func(*http.Request) (*http.Response, error)

// RoundTrip calls f.
func (f roundTripper) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// apply reads the member's limits at the target from its keeper.
func (m *member) apply() (over []string, busy bool) {
	usable := m.keeper.Usable("t", region, simSlots)
	allocation := m.keeper.Allocation("t", region, simSlots)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.usable, m.allocation = usable, allocation
	if m.inFlight > allocation {
		over = []string{"t"}
	}
	return over, m.inFlight > 0
}

// runRequests runs requests at the target one after the other, while slots are free.
func (f *fleet) runRequests(ctx context.Context, m *member) {
	for ctx.Err() == nil {
		if !m.acquire() {
			wait(ctx, pollInterval)
			continue
		}
		now := f.running.Add(1)
		for highest := f.maxRunning.Load(); now > highest && !f.maxRunning.CompareAndSwap(highest, now); highest = f.maxRunning.Load() {
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

// crash stops a member without a planned stop.
func (f *fleet) crash(id string) {
	f.mu.Lock()
	m := f.members[id]
	delete(f.members, id)
	f.mu.Unlock()
	m.stop()
	<-m.done
}

// usable returns how many slots a member may use now, or zero if it has crashed.
func (f *fleet) usable(id string) int {
	m := f.currentMembers()[id]
	if m == nil || !m.keeper.Entitled() {
		return 0
	}
	return m.keeper.Usable("t", region, simSlots)
}

// awaitUsable waits until each of the members may use the wanted number of slots.
func (f *fleet) awaitUsable(want map[string]int) {
	f.t.Helper()
	require.Eventually(f.t, func() bool {
		for id, n := range want {
			if f.usable(id) != n {
				return false
			}
		}
		return true
	}, waitTimeout, pollInterval, "want %v", want)
}

// awaitShared waits until the members may use all slots together, divided evenly.
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
	}, waitTimeout, pollInterval, "all slots are shared by %v", ids)
}

// requireSlotsNotExceeded checks that requests ran, and that there were never more in
// flight than slots.
func (f *fleet) requireSlotsNotExceeded() {
	f.t.Helper()
	require.LessOrEqual(f.t, f.maxRunning.Load(), int64(simSlots), "requests in flight at the target")
	require.Positive(f.t, f.maxRunning.Load())
}

// newLoadedFleet returns a fleet of two members under load, each with half of the slots.
func newLoadedFleet(t *testing.T) (f *fleet, a, b string) {
	t.Helper()
	f = newFleet(t)
	a = f.start()
	f.awaitUsable(map[string]int{a: simSlots})
	b = f.start()
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	return f, a, b
}

// The slots of a member that crashes under load go to the other member. At no time are
// more requests in flight than the target has slots.
func TestCrashUnderLoadReleasesSlots(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	f.crash(b)
	f.awaitUsable(map[string]int{a: simSlots})
	f.requireSlotsNotExceeded()
	require.Eventually(t, func() bool { return len(f.currentMembers()[a].keeper.View().Table.Departed) == 0 }, waitTimeout, pollInterval,
		"the table forgets the crashed member")
}

// A planned stop hands the slots over although the lease is valid for much longer.
func TestPlannedStopHandsSlotsOver(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	m := f.currentMembers()[b]
	require.NoError(t, m.keeper.Leave(context.Background()))
	f.awaitUsable(map[string]int{a: simSlots, b: 0})
	f.crash(b)
	f.requireSlotsNotExceeded()
	require.Eventually(t, func() bool {
		v := f.currentMembers()[a].keeper.View()
		return len(v.Table.Departed) == 0 && len(v.Peers) == 1
	}, waitTimeout, pollInterval)
}

// All members keep their allocations during a store outage that is longer than the lease.
func TestSlotsKeptThroughStoreOutage(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	epoch := f.currentMembers()[a].keeper.View().Table.Epoch
	f.store.SetDown(true)
	outageEnd := time.After(2 * testTTL)
	for done := false; !done; {
		select {
		case <-outageEnd:
			done = true
		case <-time.After(pollInterval):
			require.Equal(t, simSlots/2, f.usable(a))
			require.Equal(t, simSlots/2, f.usable(b))
		}
	}
	f.store.SetDown(false)
	require.Eventually(t, func() bool { return len(f.currentMembers()[a].keeper.View().Peers) == 2 }, waitTimeout, pollInterval)
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	require.Equal(t, epoch, f.currentMembers()[a].keeper.View().Table.Epoch, "an outage must not change the table")
	f.requireSlotsNotExceeded()
}

// A member that alone cannot reach the store stops using its slots and others take them
// over. When it reaches the store again, it gets an allocation again.
func TestMemberCutOffFromStoreLosesSlots(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	f.currentMembers()[b].storeCut.Store(true)
	f.awaitUsable(map[string]int{a: simSlots, b: 0})
	f.currentMembers()[b].storeCut.Store(false)
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	f.requireSlotsNotExceeded()
}

// A member that restarts during a store outage may use nothing before the store has
// recovered.
func TestRestartInStoreOutageUsesNoSlots(t *testing.T) {
	t.Parallel()
	f, a, b := newLoadedFleet(t)
	c := f.start()
	f.awaitShared(a, b, c)
	f.store.SetDown(true)
	f.crash(b)
	d := f.start()
	outageEnd := time.After(2 * testTTL)
	for done := false; !done; {
		select {
		case <-outageEnd:
			done = true
		case <-time.After(pollInterval):
			require.Zero(t, f.usable(d))
			require.Positive(t, f.usable(a))
		}
	}
	f.store.SetDown(false)
	f.awaitShared(a, c, d)
	f.requireSlotsNotExceeded()
}

// Lost answers from the store neither add a member twice nor remove one.
func TestLostStoreAnswersKeepMembership(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.store.SetLostAnswers(0.3, 5)
	a, b := f.start(), f.start()
	f.awaitUsable(map[string]int{a: simSlots / 2, b: simSlots / 2})
	f.crash(b)
	f.awaitUsable(map[string]int{a: simSlots})
	f.store.SetLostAnswers(0, 0)
	f.requireSlotsNotExceeded()
	require.Len(t, f.currentMembers()[a].keeper.View().Table.Members, 1)
}

// BenchmarkStoreCalls measures the calls to the store while membership does not change, for
// a join and for a planned stop.
func BenchmarkStoreCalls(b *testing.B) {
	const instances, idleTime = 7, 20 * time.Second
	f := newFleet(b)
	f.ttl = 10 * time.Second
	var ids []string
	for range instances {
		ids = append(ids, f.start())
	}
	f.awaitShared(ids...)
	for b.Loop() {
		before := f.store.Counts()
		wait(context.Background(), idleTime)
		atRest := f.store.Counts()
		id := f.start()
		f.awaitShared(append(ids, id)...)
		joined := f.store.Counts()
		require.NoError(b, f.currentMembers()[id].keeper.Leave(context.Background()))
		f.crash(id)
		f.awaitShared(ids...)
		left := f.store.Counts()
		perSecond := func(n int64) float64 { return float64(n) / idleTime.Seconds() / instances }
		b.ReportMetric(perSecond(atRest.Reads-before.Reads), "reads/s/instance")
		b.ReportMetric(perSecond(atRest.Writes-before.Writes), "writes/s/instance")
		b.ReportMetric(perSecond(atRest.LeaseCalls-before.LeaseCalls), "renewals/s/instance")
		b.ReportMetric(float64(joined.Writes-atRest.Writes), "writes/join")
		b.ReportMetric(float64(joined.Reads-atRest.Reads), "reads/join")
		b.ReportMetric(float64(left.Writes-joined.Writes), "writes/stop")
		b.ReportMetric(float64(left.Reads-joined.Reads), "reads/stop")
	}
}
