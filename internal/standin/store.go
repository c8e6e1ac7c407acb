// Package standin holds small stand-ins for the systems around oriolepond: the
// platform's store and instance list, runners, workers, and a proxy that
// injects faults. Each counts what it sees, so that a test can judge by it.
//
// # Usage
//
//	s := standin.NewStore()
//	server := httptest.NewServer(s)
//	c := store.NewEtcd([]string{server.URL}, server.Client())
//	s.SetDown(true) // Every call fails from here on.
package standin

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// progressInterval is how often a silent watch tells its revision.
	progressInterval = 500 * time.Millisecond
	// leaseSweepInterval is how often lapsed leases are removed.
	leaseSweepInterval = 50 * time.Millisecond
	// keptEvents bounds the history that a watch can begin in.
	keptEvents = 100_000
	// maxStoreBody bounds a request to the store.
	maxStoreBody = 8 << 20
	// MaxStoreValue is the largest value that the store holds.
	MaxStoreValue = 1 << 20
)

// StoreCounts are the calls that the store has taken.
type StoreCounts struct {
	Reads, Writes, LeaseCalls, Watches int64
	WriteBytes                         int64
	// OpenWatches is how many watches wait now.
	OpenWatches int64
}

// Store is a stand-in for the platform's key-value service that speaks the
// JSON gateway of the etcd v3 API. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	revision int64
	pairs    map[string]storePair
	leases   map[int64]*storeLease
	events   []storeEvent
	changed  chan struct{}
	counts   StoreCounts

	down      bool
	delay     time.Duration
	loseRatio float64
	random    *rand.Rand
	lastSweep time.Time
	mux       *http.ServeMux
}

type storePair struct {
	value    []byte
	revision int64
	lease    int64
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

type storeEvent struct {
	revision int64
	key      string
	pair     storePair
	deleted  bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		revision: 1,
		pairs:    map[string]storePair{},
		leases:   map[int64]*storeLease{},
		changed:  make(chan struct{}),
		random:   rand.New(rand.NewPCG(1, 1)),
		mux:      http.NewServeMux(),
	}
	s.mux.HandleFunc("POST /v3/kv/range", s.serve(s.kvRange))
	s.mux.HandleFunc("POST /v3/kv/txn", s.serve(s.kvTxn))
	s.mux.HandleFunc("POST /v3/lease/grant", s.serve(s.leaseGrant))
	s.mux.HandleFunc("POST /v3/lease/keepalive", s.serve(s.leaseKeepAlive))
	s.mux.HandleFunc("POST /v3/lease/revoke", s.serve(s.leaseRevoke))
	s.mux.HandleFunc("POST /v3/watch", s.watch)
	return s
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetDown makes every call fail, and ends every watch, until it is set back.
// Leases lapse while the store is down, as they do while it is up.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetDelay makes every call wait before it takes effect.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLostAnswers makes a part of the calls, from 0 to 1, take effect without an answer.
func (s *Store) SetLostAnswers(ratio float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseRatio = ratio
	s.random = rand.New(rand.NewPCG(seed, seed))
}

// Counts returns the calls taken so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ExpireLeases ends every lease at once, as if all had lapsed.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// wake tells all watches that something changed; s.mu is held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler answers one decoded call under s.mu.
type handler func(body []byte) (answer any, err *storeError)

type storeError struct {
	status  int
	code    int
	message string
}

// serve wraps a handler with the faults, and with decoding and encoding.
func (s *Store) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(w, r, maxStoreBody)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !s.admit(r) {
			http.Error(w, "store down", http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		s.sweep()
		answer, failure := h(body)
		lost := s.loseRatio > 0 && s.random.Float64() < s.loseRatio
		s.mu.Unlock()
		if lost {
			panic(http.ErrAbortHandler)
		}
		if failure != nil {
			writeJSON(w, failure.status, map[string]any{"code": failure.code, "message": failure.message})
			return
		}
		writeJSON(w, http.StatusOK, answer)
	}
}

// admit waits out the delay and reports whether the store is up.
func (s *Store) admit(r *http.Request) bool {
	s.mu.Lock()
	down, delay := s.down, s.delay
	s.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return false
		}
	}
	return !down
}

// sweep removes lapsed leases; s.mu is held.
func (s *Store) sweep() {
	now := time.Now()
	if now.Sub(s.lastSweep) < leaseSweepInterval {
		return
	}
	s.lastSweep = now
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease and its keys; s.mu is held.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, p := range s.pairs {
		if p.lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

// remove deletes a key at the present revision; s.mu is held.
func (s *Store) remove(key string) {
	if _, ok := s.pairs[key]; !ok {
		return
	}
	delete(s.pairs, key)
	s.record(storeEvent{revision: s.revision, key: key, deleted: true, pair: storePair{revision: s.revision}})
}

// record keeps an event for watches; s.mu is held.
func (s *Store) record(e storeEvent) {
	s.events = append(s.events, e)
	if len(s.events) > keptEvents {
		s.events = append([]storeEvent(nil), s.events[keptEvents/2:]...)
	}
}

func decode(body []byte, into any) *storeError {
	if err := json.Unmarshal(body, into); err != nil {
		return &storeError{status: http.StatusBadRequest, code: 3, message: err.Error()}
	}
	return nil
}

func str(n int64) string { return strconv.FormatInt(n, 10) }
