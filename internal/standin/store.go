// Package standin contains small stand-ins for the systems around oriolepond: the
// platform's store and instance list, runners, workers, and a proxy that injects
// faults. Each of them counts what it sees, so that tests can check it.
//
// A Cluster runs the stand-ins of one example deployment, behind a Network if faults are
// to be injected into connections. Its Ledger and TaskLedger record the requests and the
// tasks that were run.
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
	// progressInterval is how often a watch without events reports the store's revision.
	progressInterval = 500 * time.Millisecond
	// leaseSweepInterval is the minimum time between two searches for expired leases.
	leaseSweepInterval = 50 * time.Millisecond
	// maxEvents bounds the number of past events that are kept for watches.
	maxEvents = 100_000
	// maxStoreBody bounds the body of a request, in bytes.
	maxStoreBody = 8 << 20
	// MaxStoreValue is the largest value that the store accepts, in bytes.
	MaxStoreValue = 1 << 20
)

// StoreCounts counts the calls to the store.
type StoreCounts struct {
	Reads, Writes, LeaseCalls, Watches int64
	WriteBytes                         int64
	// OpenWatches is the number of watches that are open now.
	OpenWatches int64
}

// Store is a stand-in for the platform's key-value service. It implements those calls of
// the etcd v3 API's JSON gateway that oriolepond uses. It is an http.Handler.
type Store struct {
	mu       sync.Mutex
	revision int64
	pairs    map[string]storePair
	leases   map[int64]*storeLease
	events   []storeEvent
	changed  chan struct{}
	counts   StoreCounts

	down            bool
	delay           time.Duration
	lostAnswerRatio float64
	random          *rand.Rand
	lastSweep       time.Time
	mux             *http.ServeMux
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

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mux.ServeHTTP(w, r)
}

// SetDown makes every call fail and ends every watch, until it is called with false.
// Leases expire while the store is down just as while it is up.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notifyWatches()
}

// SetDelay delays every call before it takes effect.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// SetLostAnswers makes a fraction of the calls, from 0 to 1, take effect without a response.
func (s *Store) SetLostAnswers(ratio float64, seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostAnswerRatio = ratio
	s.random = rand.New(rand.NewPCG(seed, seed))
}

// Counts returns the counts of the calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ExpireLeases ends all leases at once, as if they had expired.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.removeLease(id)
	}
}

// notifyWatches wakes all watches after a change; s.mu is held.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler handles the body of one call; s.mu is held.
type handler func(body []byte) (answer any, err *storeError)

// storeError is the gateway's error response.
type storeError struct {
	status  int
	code    int
	message string
}

// serve wraps a handler with the injected faults and with the encoding of the response.
func (s *Store) serve(h handler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := readBody(w, r, maxStoreBody)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if !s.waitAvailable(r) {
			http.Error(w, "store down", http.StatusServiceUnavailable)
			return
		}
		s.mu.Lock()
		s.removeExpiredLeases()
		answer, failure := h(body)
		lost := s.lostAnswerRatio > 0 && s.random.Float64() < s.lostAnswerRatio
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

// waitAvailable waits for the injected delay and reports whether the store is up.
func (s *Store) waitAvailable(r *http.Request) bool {
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

// removeExpiredLeases removes expired leases with their keys; s.mu is held.
func (s *Store) removeExpiredLeases() {
	now := time.Now()
	if now.Sub(s.lastSweep) < leaseSweepInterval {
		return
	}
	s.lastSweep = now
	for id, l := range s.leases {
		if now.After(l.expires) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease and its keys; s.mu is held.
func (s *Store) removeLease(id int64) {
	delete(s.leases, id)
	for key, p := range s.pairs {
		if p.lease == id {
			s.revision++
			s.deleteKey(key)
		}
	}
	s.notifyWatches()
}

// deleteKey deletes a key at the current revision; s.mu is held.
func (s *Store) deleteKey(key string) {
	if _, ok := s.pairs[key]; !ok {
		return
	}
	delete(s.pairs, key)
	s.recordEvent(storeEvent{revision: s.revision, key: key, deleted: true, pair: storePair{revision: s.revision}})
}

// recordEvent keeps an event for watches; s.mu is held.
func (s *Store) recordEvent(e storeEvent) {
	s.events = append(s.events, e)
	if len(s.events) > maxEvents {
		s.events = append([]storeEvent(nil), s.events[maxEvents/2:]...)
	}
}

func decode(body []byte, into any) *storeError {
	if err := json.Unmarshal(body, into); err != nil {
		return &storeError{status: http.StatusBadRequest, code: 3, message: err.Error()}
	}
	return nil
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
