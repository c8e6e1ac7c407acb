package scheduler

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/store"
)

var errAnswerLost = errors.New("answer lost")

// maxTxnEntries is the maximum number of conditions and writes that the platform's store accepts in one commit.
const maxTxnEntries = 32

// maxStoredValue is the greatest value that the platform's store accepts.
const maxStoredValue = 1 << 20

// fakeStore is a store in memory with injected faults. Each of its clients belongs to one node.
type fakeStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]store.Entry
	leases   map[store.LeaseID]time.Time
	ttl      map[store.LeaseID]time.Duration
	events   []store.Change
	changed  chan struct{}
	// refuseAll refuses the calls of all clients, refusedClients those of the named ones.
	refuseAll      bool
	refusedClients map[string]bool
	// refusedPrefix is a prefix whose listings are refused; empty means none.
	refusedPrefix string
	// unansweredClients are the clients whose calls get no answer.
	unansweredClients map[string]bool
	// stalledWatches are the clients whose watches deliver nothing. Once a client is removed, what it
	// missed is no longer in the store's history.
	stalledWatches map[string]bool
	// latency delays the answers to the calls of each client.
	latency map[string]time.Duration
	// loseAnswer decides for each commit whether its answer is lost, and after which delay it is
	// applied if so.
	loseAnswer func(t store.Txn) (lost bool, late time.Duration)
	// beforeCommit is called before each commit of a client, without s.mu, and returns the error for its answer if the
	// commit is not to be applied. It may be nil.
	beforeCommit func(client string, t store.Txn) error
	// unresponsive applies and answers no calls; a commit waits until its context ends.
	unresponsive bool
	commits      int
	// refuseValue decides for each written value whether the store refuses the commit; nil means that
	// it refuses values over the limit of the platform's store. refusedValues counts the refusals.
	refuseValue      func(key string, value []byte) bool
	refusedValues    int
	oversizedCommits int
}

func newFakeStore() *fakeStore {
	return &fakeStore{
		items: map[string]store.Entry{}, leases: map[store.LeaseID]time.Time{}, ttl: map[store.LeaseID]time.Duration{},
		changed: make(chan struct{}), refusedClients: map[string]bool{}, unansweredClients: map[string]bool{}, stalledWatches: map[string]bool{}, latency: map[string]time.Duration{}, revision: 1,
	}
}

func (s *fakeStore) record(c store.Change) {
	s.events = append(s.events, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// expireLeases removes the keys of expired leases; s.mu is held.
func (s *fakeStore) expireLeases() {
	for id, until := range s.leases {
		if time.Now().After(until) {
			s.endLease(id)
		}
	}
}

func (s *fakeStore) endLease(id store.LeaseID) {
	delete(s.leases, id)
	for key, e := range s.items {
		if e.Lease == id {
			s.revision++
			delete(s.items, key)
			s.record(store.Change{Entry: store.Entry{Key: key, Revision: s.revision}, Deleted: true})
		}
	}
}

// admit returns the injected error for a call of a client, if there is one; s.mu is held.
func (s *fakeStore) admit(client, call string) error {
	s.expireLeases()
	switch {
	case s.unresponsive || s.unansweredClients[client]:
		return &store.UnavailableError{Call: call, Err: errAnswerLost}
	case s.refuseAll || s.refusedClients[client]:
		return &store.RefusedError{Call: call, Status: 503}
	}
	return nil
}

func (s *fakeStore) apply(t store.Txn) (store.Result, error) {
	if len(t.If)+len(t.Then) > maxTxnEntries {
		s.oversizedCommits++
		return store.Result{}, &store.InvalidError{Call: "commit", Status: 400}
	}
	for _, op := range t.Then {
		refused := len(op.Value) > maxStoredValue
		if s.refuseValue != nil {
			refused = s.refuseValue(op.Key, op.Value)
		}
		if refused {
			s.refusedValues++
			return store.Result{}, &store.InvalidError{Call: "commit", Status: 413}
		}
	}
	for _, c := range t.If {
		if s.items[c.Key].Revision != c.Revision {
			return store.Result{}, nil
		}
	}
	for _, op := range t.Then {
		if op.Lease != 0 {
			if _, ok := s.leases[op.Lease]; !ok {
				return store.Result{}, &store.LeaseExpiredError{Lease: op.Lease}
			}
		}
	}
	s.commits++
	s.revision++
	for _, op := range t.Then {
		e := store.Entry{Key: op.Key, Value: op.Value, Revision: s.revision, Lease: op.Lease}
		if op.Kind == store.OpDelete {
			delete(s.items, op.Key)
			s.record(store.Change{Entry: store.Entry{Key: op.Key, Revision: s.revision}, Deleted: true})
			continue
		}
		s.items[op.Key] = e
		s.record(store.Change{Entry: e})
	}
	return store.Result{Done: true, Revision: s.revision}, nil
}

// await waits for the latency of a client's calls.
func (s *fakeStore) await(client string) {
	s.mu.Lock()
	latency := s.latency[client]
	s.mu.Unlock()
	time.Sleep(latency)
}

// client returns a client of the fake store for one node.
func (s *fakeStore) client(name string) *store.Client {
	return &store.Client{
		Read: func(_ context.Context, key string) (store.Entry, bool, error) {
			s.await(name)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := s.admit(name, "read"); err != nil {
				return store.Entry{}, false, err
			}
			e, ok := s.items[key]
			return e, ok, nil
		},
		List: func(_ context.Context, prefix string) (store.Snapshot, error) {
			s.await(name)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := s.admit(name, "list"); err != nil {
				return store.Snapshot{}, err
			}
			if s.refusedPrefix != "" && prefix == s.refusedPrefix {
				return store.Snapshot{}, &store.RefusedError{Call: "list", Status: 503}
			}
			return store.Snapshot{Entries: s.withPrefix(prefix), Revision: s.revision}, nil
		},
		Commit: func(ctx context.Context, t store.Txn) (store.Result, error) { return s.commit(ctx, name, t) },
		GrantLease: func(_ context.Context, ttl time.Duration) (store.LeaseID, error) {
			s.await(name)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := s.admit(name, "grant"); err != nil {
				return 0, err
			}
			s.revision++
			id := store.LeaseID(s.revision)
			s.leases[id], s.ttl[id] = time.Now().Add(ttl), ttl
			return id, nil
		},
		KeepAlive: func(_ context.Context, id store.LeaseID) error {
			s.await(name)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := s.admit(name, "keep"); err != nil {
				return err
			}
			if _, ok := s.leases[id]; !ok {
				return &store.LeaseExpiredError{Lease: id}
			}
			s.leases[id] = time.Now().Add(s.ttl[id])
			return nil
		},
		RevokeLease: func(_ context.Context, id store.LeaseID) error {
			s.await(name)
			s.mu.Lock()
			defer s.mu.Unlock()
			if err := s.admit(name, "revoke"); err != nil {
				return err
			}
			s.endLease(id)
			return nil
		},
		Watch: func(ctx context.Context, prefix string, from int64, handle func(store.Update)) error {
			return s.watch(ctx, name, prefix, from, handle)
		},
	}
}

func (s *fakeStore) withPrefix(prefix string) []store.Entry {
	var entries []store.Entry
	for key, e := range s.items {
		if strings.HasPrefix(key, prefix) {
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].Key < entries[b].Key })
	return entries
}

func (s *fakeStore) commit(ctx context.Context, name string, t store.Txn) (store.Result, error) {
	s.await(name)
	s.mu.Lock()
	beforeCommit := s.beforeCommit
	s.mu.Unlock()
	if beforeCommit != nil {
		if err := beforeCommit(name, t); err != nil {
			return store.Result{}, err
		}
	}
	s.mu.Lock()
	if err := s.admit(name, "commit"); err != nil {
		unresponsive := s.unresponsive
		s.mu.Unlock()
		if unresponsive {
			<-ctx.Done()
		}
		return store.Result{}, err
	}
	if s.loseAnswer != nil {
		if lost, late := s.loseAnswer(t); lost {
			defer s.mu.Unlock()
			if late == 0 {
				_, _ = s.apply(t)
			} else {
				time.AfterFunc(late, func() {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.expireLeases()
					_, _ = s.apply(t)
				})
			}
			return store.Result{}, &store.UnavailableError{Call: "commit", Err: errAnswerLost}
		}
	}
	defer s.mu.Unlock()
	return s.apply(t)
}

func (s *fakeStore) watch(ctx context.Context, name, prefix string, from int64, handle func(store.Update)) error {
	seen, stalled := 0, false
	for {
		s.mu.Lock()
		if s.stalledWatches[name] {
			s.mu.Unlock()
			stalled = true
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(50 * time.Millisecond):
			}
			continue
		}
		if stalled {
			s.mu.Unlock()
			return &store.CompactedError{From: from}
		}
		if err := s.admit(name, "watch"); err != nil {
			s.mu.Unlock()
			return err
		}
		u := store.Update{Revision: s.revision}
		for _, c := range s.events[seen:] {
			if c.Entry.Revision >= from && strings.HasPrefix(c.Entry.Key, prefix) {
				u.Changes = append(u.Changes, c)
			}
		}
		seen = len(s.events)
		changed, expiry := s.changed, s.untilExpiry()
		s.mu.Unlock()
		s.await(name)
		handle(u)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-time.After(expiry):
		}
	}
}

// untilExpiry returns the time until a lease expires, a second at most; s.mu is held.
func (s *fakeStore) untilExpiry() time.Duration {
	d := time.Second
	for _, until := range s.leases {
		d = min(d, time.Until(until)+time.Millisecond)
	}
	return max(d, time.Millisecond)
}

// put writes a key on behalf of an operator or a worker.
func (s *fakeStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := store.Entry{Key: key, Value: value, Revision: s.revision}
	s.items[key] = e
	s.record(store.Change{Entry: e})
}

func (s *fakeStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(store.Change{Entry: store.Entry{Key: key, Revision: s.revision}, Deleted: true})
}

func (s *fakeStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.items[key]
	return ok
}

func (s *fakeStore) update(change func(*fakeStore)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}
