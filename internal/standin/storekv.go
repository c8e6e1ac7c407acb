package standin

import (
	"net/http"
	"sort"
	"strconv"
)

// The wire types of the gateway, which encodes 64-bit integers as strings.
type (
	kvHeader struct {
		Revision string `json:"revision"`
	}
	kvPair struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value,omitempty"`
		ModRevision string `json:"mod_revision"`
		Lease       string `json:"lease"`
	}
	kvRangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end"`
	}
	kvRangeAnswer struct {
		Header kvHeader `json:"header"`
		Pairs  []kvPair `json:"kvs"`
		Count  string   `json:"count"`
	}
	kvCompare struct {
		Key         []byte `json:"key"`
		Target      string `json:"target"`
		Result      string `json:"result"`
		ModRevision string `json:"mod_revision"`
	}
	kvPut struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease string `json:"lease"`
	}
	kvDelete struct {
		Key []byte `json:"key"`
	}
	kvOp struct {
		Put    *kvPut    `json:"request_put"`
		Delete *kvDelete `json:"request_delete_range"`
	}
	kvTxnRequest struct {
		Compare []kvCompare `json:"compare"`
		Success []kvOp      `json:"success"`
	}
	kvTxnAnswer struct {
		Header    kvHeader `json:"header"`
		Succeeded bool     `json:"succeeded"`
	}
)

func (s *Store) header() kvHeader { return kvHeader{Revision: formatInt(s.revision)} }

func encodePair(key string, p storePair) kvPair {
	return kvPair{Key: []byte(key), Value: p.value, ModRevision: formatInt(p.revision), Lease: formatInt(p.lease)}
}

// inRange reports whether a key equals from or, if end is set, lies between from
// (inclusive) and end (exclusive). An end of "\x00" means no upper bound.
func inRange(key, from string, end []byte) bool {
	if len(end) == 0 {
		return key == from
	}
	return key >= from && (string(end) == "\x00" || key < string(end))
}

func (s *Store) kvRange(body []byte) (any, *storeError) {
	s.counts.Reads++
	var q kvRangeRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	a := kvRangeAnswer{Header: s.header()}
	if len(q.RangeEnd) == 0 {
		if p, ok := s.pairs[string(q.Key)]; ok {
			a.Pairs = append(a.Pairs, encodePair(string(q.Key), p))
		}
	} else {
		for key, p := range s.pairs {
			if inRange(key, string(q.Key), q.RangeEnd) {
				a.Pairs = append(a.Pairs, encodePair(key, p))
			}
		}
		sort.Slice(a.Pairs, func(i, j int) bool { return string(a.Pairs[i].Key) < string(a.Pairs[j].Key) })
	}
	a.Count = strconv.Itoa(len(a.Pairs))
	return a, nil
}

func (s *Store) kvTxn(body []byte) (any, *storeError) {
	s.counts.Writes++
	s.counts.WriteBytes += int64(len(body))
	var q kvTxnRequest
	if err := decode(body, &q); err != nil {
		return nil, err
	}
	for _, c := range q.Compare {
		if c.Target != "MOD" || c.Result != "EQUAL" {
			return nil, &storeError{status: http.StatusBadRequest, code: 3, message: "unsupported compare"}
		}
		if formatInt(s.pairs[string(c.Key)].revision) != c.ModRevision {
			return kvTxnAnswer{Header: s.header()}, nil
		}
	}
	if err := s.checkOps(q.Success); err != nil {
		return nil, err
	}
	s.revision++
	for _, o := range q.Success {
		s.apply(o)
	}
	s.notifyWatches()
	return kvTxnAnswer{Header: s.header(), Succeeded: true}, nil
}

// checkOps rejects a transaction with an unknown lease or too large a value.
func (s *Store) checkOps(ops []kvOp) *storeError {
	for _, o := range ops {
		if o.Put == nil {
			continue
		}
		if len(o.Put.Value) > MaxStoreValue {
			return &storeError{status: http.StatusBadRequest, code: 3, message: "value is too large"}
		}
		lease, _ := strconv.ParseInt(o.Put.Lease, 10, 64)
		if _, known := s.leases[lease]; lease != 0 && !known {
			return &storeError{status: http.StatusNotFound, code: 5, message: "lease not found"}
		}
	}
	return nil
}

func (s *Store) apply(o kvOp) {
	if o.Delete != nil {
		s.deleteKey(string(o.Delete.Key))
		return
	}
	lease, _ := strconv.ParseInt(o.Put.Lease, 10, 64)
	p := storePair{value: o.Put.Value, revision: s.revision, lease: lease}
	s.pairs[string(o.Put.Key)] = p
	s.recordEvent(storeEvent{revision: s.revision, key: string(o.Put.Key), pair: p})
}
