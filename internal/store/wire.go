package store

import (
	"encoding/json"
	"fmt"
	"strconv"
)

// int64String is a 64-bit integer that the JSON gateway encodes as a string.
type int64String int64

// MarshalJSON writes the number as a string.
func (n int64String) MarshalJSON() ([]byte, error) {
	return []byte(`"` + strconv.FormatInt(int64(n), 10) + `"`), nil
}

// UnmarshalJSON accepts a string or a plain number.
func (n *int64String) UnmarshalJSON(text []byte) error {
	var s string
	if len(text) > 0 && text[0] == '"' {
		if err := json.Unmarshal(text, &s); err != nil {
			return err
		}
	} else {
		s = string(text)
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return fmt.Errorf("not a whole number: %s", text)
	}
	*n = int64String(v)
	return nil
}

// The requests and answers of the etcd v3 JSON gateway.
type (
	wireHeader struct {
		Revision int64String `json:"revision"`
	}
	wirePair struct {
		Key         []byte      `json:"key"`
		Value       []byte      `json:"value,omitempty"`
		ModRevision int64String `json:"mod_revision"`
		Lease       int64String `json:"lease"`
	}
	rangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}
	rangeAnswer struct {
		Header wireHeader `json:"header"`
		Pairs  []wirePair `json:"kvs"`
	}
	wireCompare struct {
		Key         []byte      `json:"key"`
		Target      string      `json:"target"`
		Result      string      `json:"result"`
		ModRevision int64String `json:"mod_revision"`
	}
	wirePut struct {
		Key   []byte      `json:"key"`
		Value []byte      `json:"value"`
		Lease int64String `json:"lease"`
	}
	wireDelete struct {
		Key []byte `json:"key"`
	}
	wireOp struct {
		Put    *wirePut    `json:"request_put,omitempty"`
		Delete *wireDelete `json:"request_delete_range,omitempty"`
	}
	txnRequest struct {
		Compare []wireCompare `json:"compare,omitempty"`
		Success []wireOp      `json:"success,omitempty"`
	}
	txnAnswer struct {
		Header    wireHeader `json:"header"`
		Succeeded bool       `json:"succeeded"`
	}
	leaseRequest struct {
		ID  int64String `json:"ID"`
		TTL int64String `json:"TTL"`
	}
	leaseAnswer struct {
		ID  int64String `json:"ID"`
		TTL int64String `json:"TTL"`
	}
	keepAliveAnswer struct {
		Result leaseAnswer `json:"result"`
	}
	statusAnswer struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
	watchCreate struct {
		Key            []byte      `json:"key"`
		RangeEnd       []byte      `json:"range_end,omitempty"`
		StartRevision  int64String `json:"start_revision"`
		ProgressNotify bool        `json:"progress_notify"`
	}
	watchRequest struct {
		Create watchCreate `json:"create_request"`
	}
	wireEvent struct {
		Type string   `json:"type,omitempty"`
		Pair wirePair `json:"kv"`
	}
	watchResult struct {
		Header          wireHeader  `json:"header"`
		Created         bool        `json:"created,omitempty"`
		Canceled        bool        `json:"canceled,omitempty"`
		CompactRevision int64String `json:"compact_revision"`
		Events          []wireEvent `json:"events,omitempty"`
	}
	watchAnswer struct {
		Result watchResult `json:"result"`
	}
)

func (p wirePair) entry() Entry {
	return Entry{Key: string(p.Key), Value: p.Value, Revision: int64(p.ModRevision), Lease: LeaseID(p.Lease)}
}

func (a watchAnswer) update() Update {
	u := Update{Revision: int64(a.Result.Header.Revision)}
	for _, ev := range a.Result.Events {
		u.Changes = append(u.Changes, Change{Entry: ev.Pair.entry(), Deleted: ev.Type == "DELETE"})
	}
	return u
}

func encodeTxn(t Txn) txnRequest {
	var w txnRequest
	for _, c := range t.If {
		w.Compare = append(w.Compare, wireCompare{
			Key:         []byte(c.Key),
			Target:      "MOD",
			Result:      "EQUAL",
			ModRevision: int64String(c.Revision),
		})
	}
	for _, o := range t.Then {
		if o.Kind == OpDelete {
			w.Success = append(w.Success, wireOp{Delete: &wireDelete{Key: []byte(o.Key)}})
			continue
		}
		put := &wirePut{Key: []byte(o.Key), Value: o.Value, Lease: int64String(o.Lease)}
		w.Success = append(w.Success, wireOp{Put: put})
	}
	return w
}
