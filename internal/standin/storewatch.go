package standin

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

type (
	watchRequest struct {
		Create struct {
			Key           []byte `json:"key"`
			RangeEnd      []byte `json:"range_end"`
			StartRevision string `json:"start_revision"`
		} `json:"create_request"`
	}
	watchEvent struct {
		Type string `json:"type,omitempty"`
		Pair kvPair `json:"kv"`
	}
	watchResult struct {
		Header          kvHeader     `json:"header"`
		Created         bool         `json:"created,omitempty"`
		CompactRevision string       `json:"compact_revision,omitempty"`
		Events          []watchEvent `json:"events,omitempty"`
	}
	watchAnswer struct {
		Result watchResult `json:"result"`
	}
)

// watch streams the changes of a range. It reports the revision at least every progressInterval.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	body, err := readBody(w, r, maxStoreBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var q watchRequest
	if e := decode(body, &q); e != nil {
		http.Error(w, e.message, e.status)
		return
	}
	if !s.waitAvailable(r) {
		http.Error(w, "store down", http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.counts.Watches++
	s.counts.OpenWatches++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.counts.OpenWatches--
	}()
	next, _ := strconv.ParseInt(q.Create.StartRevision, 10, 64)
	send := func(result watchResult) {
		_ = json.NewEncoder(w).Encode(watchAnswer{Result: result})
		_ = http.NewResponseController(w).Flush()
	}
	s.mu.Lock()
	created := watchResult{Header: s.header(), Created: true}
	s.mu.Unlock()
	send(created)
	for {
		s.mu.Lock()
		s.removeExpiredLeases()
		result, compacted, down := s.eventsSince(next, q), s.compactedAt(next), s.down
		next = s.revision + 1
		changed := s.changed
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if compacted > 0 {
			send(watchResult{CompactRevision: formatInt(compacted)})
			return
		}
		send(result)
		select {
		case <-changed:
		case <-time.After(progressInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// eventsSince returns the events of a range from a revision on; revision 0 skips all past
// events. s.mu is held.
func (s *Store) eventsSince(from int64, q watchRequest) watchResult {
	result := watchResult{Header: s.header()}
	first := len(s.events)
	for first > 0 && s.events[first-1].revision >= from {
		first--
	}
	if from == 0 {
		first = len(s.events)
	}
	for _, e := range s.events[first:] {
		if !inRange(e.key, string(q.Create.Key), q.Create.RangeEnd) {
			continue
		}
		event := watchEvent{Pair: encodePair(e.key, e.pair)}
		if e.deleted {
			event.Type = "DELETE"
		}
		result.Events = append(result.Events, event)
	}
	return result
}

// compactedAt returns the oldest revision that is kept if from lies before it, otherwise 0; s.mu is held.
func (s *Store) compactedAt(from int64) int64 {
	if from == 0 || len(s.events) == 0 || len(s.events) < maxEvents/2 || from >= s.events[0].revision {
		return 0
	}
	return s.events[0].revision
}
