package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

const (
	// callTimeout bounds one call to the store.
	callTimeout = 2 * time.Second
	// maxAnswerBytes bounds the response body of one call.
	maxAnswerBytes = 64 << 20
	// grpcNotFound is the gRPC status code that the gateway returns for an unknown lease.
	grpcNotFound = 5
)

// etcd implements the calls of a Client over the JSON gateway of the etcd v3 API.
type etcd struct {
	urls []string
	http *http.Client
	next atomic.Uint32
}

// NewEtcd returns a client of the etcd v3 JSON gateway at the given base URLs,
// which it uses in turn. The client has no Poll call.
func NewEtcd(urls []string, h *http.Client) *Client {
	e := &etcd{urls: urls, http: h}
	return &Client{
		Read:        e.read,
		List:        e.list,
		Commit:      e.commit,
		GrantLease:  e.grantLease,
		KeepAlive:   e.keepAlive,
		RevokeLease: e.revokeLease,
		Watch:       e.watch,
	}
}

func (e *etcd) read(ctx context.Context, key string) (Entry, bool, error) {
	var answer rangeAnswer
	if err := e.call(ctx, "/v3/kv/range", rangeRequest{Key: []byte(key)}, &answer); err != nil {
		return Entry{}, false, err
	}
	if len(answer.Pairs) == 0 {
		return Entry{}, false, nil
	}
	return answer.Pairs[0].entry(), true, nil
}

func (e *etcd) list(ctx context.Context, prefix string) (Snapshot, error) {
	var answer rangeAnswer
	request := rangeRequest{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix)}
	if err := e.call(ctx, "/v3/kv/range", request, &answer); err != nil {
		return Snapshot{}, err
	}
	s := Snapshot{Revision: int64(answer.Header.Revision)}
	for _, p := range answer.Pairs {
		s.Entries = append(s.Entries, p.entry())
	}
	return s, nil
}

func (e *etcd) commit(ctx context.Context, t Txn) (Result, error) {
	var answer txnAnswer
	if err := e.call(ctx, "/v3/kv/txn", encodeTxn(t), &answer); err != nil {
		return Result{}, err
	}
	return Result{Done: answer.Succeeded, Revision: int64(answer.Header.Revision)}, nil
}

func (e *etcd) grantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var answer leaseAnswer
	request := leaseRequest{TTL: int64String(ttl / time.Second)}
	if err := e.call(ctx, "/v3/lease/grant", request, &answer); err != nil {
		return 0, err
	}
	return LeaseID(answer.ID), nil
}

func (e *etcd) keepAlive(ctx context.Context, id LeaseID) error {
	var answer keepAliveAnswer
	if err := e.call(ctx, "/v3/lease/keepalive", leaseRequest{ID: int64String(id)}, &answer); err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
		return &LeaseExpiredError{Lease: id}
	}
	return nil
}

func (e *etcd) revokeLease(ctx context.Context, id LeaseID) error {
	err := e.call(ctx, "/v3/lease/revoke", leaseRequest{ID: int64String(id)}, &leaseAnswer{})
	var status *statusError
	if errors.As(err, &status) && status.Code == grpcNotFound {
		return nil
	}
	return err
}

// statusError means that the store answered with an error status and the call had no effect.
type statusError struct {
	Status  int
	Code    int
	Message string
}

func (e *statusError) Error() string {
	return fmt.Sprintf("store refused: status %d, code %d: %s", e.Status, e.Code, e.Message)
}

// call posts a request to the next base URL and decodes the response into answer.
func (e *etcd) call(ctx context.Context, path string, request, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := e.post(ctx, path, request)
	if err != nil {
		e.closeIdleConnections()
		return &UnavailableError{Call: path, Err: err}
	}
	defer r.Body.Close()
	body, err := io.ReadAll(io.LimitReader(r.Body, maxAnswerBytes))
	if err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
	if r.StatusCode != http.StatusOK {
		return errorForStatus(path, r.StatusCode, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return &UnavailableError{Call: path, Err: err}
	}
	return nil
}

// closeIdleConnections drops pooled connections after a call or a watch got no
// answer: a fault that made one connection hang may affect the others, too.
func (e *etcd) closeIdleConnections() { e.http.CloseIdleConnections() }

// errorForStatus returns the error for a response whose status is not 200. After a status of 500 or
// higher, which includes calls that ran out of time, or a body that is not a JSON status, the call may
// have had an effect.
func errorForStatus(path string, status int, body []byte) error {
	var w statusAnswer
	if json.Unmarshal(body, &w) != nil || status >= http.StatusInternalServerError {
		return &UnavailableError{Call: path, Err: fmt.Errorf("status %d", status)}
	}
	return &statusError{Status: status, Code: w.Code, Message: w.Message}
}

func (e *etcd) post(ctx context.Context, path string, request any) (*http.Response, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return nil, err
	}
	base := e.urls[int(e.next.Add(1))%len(e.urls)]
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	return e.http.Do(r)
}

// PrefixEnd returns the first key after all keys with the prefix, as etcd expects it for range_end.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return end[:i+1]
		}
	}
	return []byte{0}
}
