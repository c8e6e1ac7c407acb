package membership_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/membership"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

// runEntryKeeper runs a keeper with the given client until the end of the test.
func runEntryKeeper(t *testing.T, client *store.Client) *membership.Keeper {
	k := &membership.Keeper{
		Store: client, Self: membership.Peer{ID: "entry", Region: region}, TTL: testTTL, Log: eventlog.Discard(),
		MaxRequestTime: func() time.Duration { return testMaxRequestTime }, ListLag: testListLag,
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = k.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	return k
}

// Guards against a registration that ends while its holder counts on it: a commit whose answer was lost arrived after the next one,
// and attached the key to a lease that nobody renews.
func TestLateRegistrationKeepsItsLease(t *testing.T) {
	t.Parallel()
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := store.NewEtcd([]string{server.URL}, server.Client())
	var held atomic.Bool
	late := make(chan store.Txn, 1)
	slow := *client
	slow.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
		if held.CompareAndSwap(true, false) {
			late <- txn
			return store.Result{}, &store.UnavailableError{Call: "commit", Err: errors.New("no answer")}
		}
		return client.Commit(ctx, txn)
	}
	k := runEntryKeeper(t, &slow)
	registered := func() bool { return k.Lease() != 0 && k.Entitled() }
	require.Eventually(t, registered, waitTimeout, pollInterval)
	first := k.Lease()
	held.Store(true)
	s.ExpireLeases()
	txn := <-late
	require.Eventually(t, func() bool { return registered() && k.Lease() != first }, waitTimeout, pollInterval)
	_, _ = client.Commit(t.Context(), txn)
	for end := time.Now().Add(2 * testTTL); time.Now().Before(end); time.Sleep(testTTL / 10) {
		e, found, err := client.Read(t.Context(), membership.MemberPrefix+k.View().Self)
		require.NoError(t, err)
		require.True(t, found, "the registration has ended, and the instance uses its allocation: %v", k.Entitled())
		require.Equal(t, k.Lease(), e.Lease)
	}
}

// Guards against a copy of the registry that goes back: a listing from before a change that the watch had delivered arrived after it,
// and the change did not show again before the next full reading.
func TestLateListingKeepsNewerChanges(t *testing.T) {
	t.Parallel()
	s := standin.NewStore()
	server := httptest.NewServer(s)
	t.Cleanup(server.Close)
	client := store.NewEtcd([]string{server.URL}, server.Client())
	// With armed set, the first listing after the next commit waits for release.
	var armed, committed atomic.Bool
	listed, release := make(chan struct{}), make(chan struct{})
	slow := *client
	slow.Commit = func(ctx context.Context, txn store.Txn) (store.Result, error) {
		result, err := client.Commit(ctx, txn)
		committed.Store(armed.Swap(false))
		return result, err
	}
	slow.List = func(ctx context.Context, prefix string) (store.Snapshot, error) {
		snapshot, err := client.List(ctx, prefix)
		if committed.Swap(false) {
			close(listed)
			<-release
		}
		return snapshot, err
	}
	k := runEntryKeeper(t, &slow)
	require.Eventually(t, func() bool { return k.Lease() != 0 && k.View().Joined() }, waitTimeout, pollInterval)
	armed.Store(true)
	s.ExpireLeases()
	<-listed
	_, err := client.Commit(t.Context(), store.Txn{Then: []store.Op{store.Put(membership.MemberPrefix+"other~1", []byte(`{"id": "other", "region": "r"}`))}})
	require.NoError(t, err)
	knowsOther := func() bool {
		_, known := k.View().Peer("other")
		return known
	}
	require.Eventually(t, knowsOther, waitTimeout, pollInterval)
	close(release)
	require.Never(t, func() bool { return !knowsOther() }, time.Second, pollInterval)
}
