//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// storeLatency is how long the store takes for an answer, as on the users' small sites.
const storeLatency = 4 * time.Millisecond

const (
	maxTxnEntries = 32
	maxPageItems  = 500
	minLeaseTTL   = 1000
	// maxValueBytes is valueBytes of the settings.
	maxValueBytes = 1 << 20
)

// item is one key of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
	At       int64  `json:"at,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// kvStore is the platform's metadata store.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	leases   map[int64]storeLease
	events   []item
	changed  chan struct{}
	// refused counts the commits with a value that is too large.
	refused atomic.Int64
}

func newStore() *kvStore {
	s := &kvStore{revision: 1, items: map[string]item{}, leases: map[int64]storeLease{}, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a key as the operator or a runner does.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
}

// remove removes a key as the platform does.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
}

func (s *kvStore) set(key string, value []byte, lease int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.event(it)
}

func (s *kvStore) unset(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.event(item{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *kvStore) event(e item) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, it := range s.items {
		if it.Lease == id {
			s.unset(key)
		}
	}
}

func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	path := strings.TrimPrefix(r.URL.Path, "/oriolepond/")
	switch {
	case path == "kv-key":
		s.serveKey(w, r)
	case path == "kv-range":
		s.serveRange(w, r)
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTxn(w, r)
	case path == "kv-lease":
		s.serveLease(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
		s.mu.Lock()
		s.endLease(id)
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // The caller may have left.
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	it.At = s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, it)
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > maxPageItems
	if more {
		found = found[:maxPageItems]
	}
	answer(w, http.StatusOK, map[string]any{"items": found, "hasMore": more, "at": at})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expect []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expect"`
		Set []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"setKeys"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expect)+len(t.Set)+len(t.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	held, current := true, []item{}
	for _, e := range t.Expect {
		it := s.items[e.Key]
		held = held && it.Revision == e.Revision
		if it.Key != "" {
			current = append(current, it)
		}
	}
	if !held {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range t.Set {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if len(p.Value) > maxValueBytes {
			s.refused.Add(1)
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	if len(t.Set)+len(t.Remove) > 0 {
		s.revision++
	}
	for _, p := range t.Set {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *kvStore) serveLease(w http.ResponseWriter, r *http.Request) {
	var q struct {
		TTL int64 `json:"ttlMs"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || q.TTL < minLeaseTTL {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := time.Duration(q.TTL) * time.Millisecond
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = storeLease{ttl: ttl, until: time.Now().Add(ttl)}
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": q.TTL})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	s.expire()
	l, ok := s.leases[id]
	if ok {
		l.until = time.Now().Add(l.ttl)
		s.leases[id] = l
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, map[string]any{"ttlMs": l.ttl.Milliseconds()})
}

// largest returns the size of the largest value.
func (s *kvStore) largest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, it := range s.items {
		n = max(n, len(it.Value))
	}
	return n
}
