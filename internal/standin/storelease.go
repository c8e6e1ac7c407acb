package standin

import (
	"net/http"
	"strconv"
	"time"
)

type (
	leaseRequest struct {
		ID  string `json:"ID"`
		TTL string `json:"TTL"`
	}
	leaseAnswer struct {
		Header kvHeader `json:"header"`
		ID     string   `json:"ID"`
		TTL    string   `json:"TTL"`
	}
	keepAliveAnswer struct {
		Result leaseAnswer `json:"result"`
	}
)

func (s *Store) leaseGrant(body []byte) (any, *storeError) {
	s.counts.LeaseCalls++
	var q leaseRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	seconds, err := strconv.ParseInt(q.TTL, 10, 64)
	if err != nil || seconds <= 0 {
		return nil, &storeError{status: http.StatusBadRequest, code: 3, message: "bad TTL"}
	}
	id := int64(s.random.Uint64() >> 2)
	ttl := time.Duration(seconds) * time.Second
	s.leases[id] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	return leaseAnswer{Header: s.header(), ID: formatInt(id), TTL: q.TTL}, nil
}

func (s *Store) leaseKeepAlive(body []byte) (any, *storeError) {
	s.counts.LeaseCalls++
	var q leaseRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	id, _ := strconv.ParseInt(q.ID, 10, 64)
	answer := leaseAnswer{Header: s.header(), ID: q.ID, TTL: "0"}
	if l, ok := s.leases[id]; ok {
		l.expires = time.Now().Add(l.ttl)
		answer.TTL = formatInt(int64(l.ttl / time.Second))
	}
	return keepAliveAnswer{Result: answer}, nil
}

func (s *Store) leaseRevoke(body []byte) (any, *storeError) {
	s.counts.LeaseCalls++
	var q leaseRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	id, _ := strconv.ParseInt(q.ID, 10, 64)
	if _, ok := s.leases[id]; !ok {
		return nil, &storeError{status: http.StatusNotFound, code: 5, message: "lease not found"}
	}
	s.removeLease(id)
	return struct {
		Header kvHeader `json:"header"`
	}{s.header()}, nil
}
