// Package store speaks to the platform's key-value service: reads, atomic
// commits under conditions on revisions, leases and watches.
//
// Client is a concrete type whose function fields are set by an adapter;
// NewEtcd returns one that speaks the JSON gateway of the etcd v3 API.
//
// # Usage
//
//	c := store.NewEtcd([]string{"http://10.0.0.9:2379"}, http.DefaultClient)
//	w := &store.Writer{Client: c, ID: "entry-1"}
//	result, err := w.Commit(ctx, store.Txn{
//		If:   []store.Condition{{Key: "/oriolepond/config/head", Revision: 12}},
//		Then: []store.Op{store.Put("/oriolepond/config/head", head)},
//	})
package store

import (
	"context"
	"fmt"
	"time"
)

// LeaseID names a lease of the store; zero is none.
type LeaseID int64

// Entry is one key with its value.
type Entry struct {
	Key   string
	Value []byte
	// Revision is the store's revision at which the key was last written.
	Revision int64
	Lease    LeaseID
}

// Snapshot is the state of a prefix at one revision.
type Snapshot struct {
	Entries  []Entry
	Revision int64
}

// Condition holds while the key was last written at Revision; zero means that it is absent.
type Condition struct {
	Key      string
	Revision int64
}

// OpKind is what an operation of a commit does.
type OpKind string

// The kinds of operations.
const (
	OpPut    OpKind = "put"
	OpDelete OpKind = "delete"
)

// Op is one write of a commit.
type Op struct {
	Kind  OpKind
	Key   string
	Value []byte
	Lease LeaseID
}

// Put returns an operation that writes a key.
func Put(key string, value []byte) Op {
	return Op{Kind: OpPut, Key: key, Value: value}
}

// Delete returns an operation that removes a key.
func Delete(key string) Op {
	return Op{Kind: OpDelete, Key: key}
}

// WithLease returns a copy of the operation whose key vanishes with the lease.
func (o Op) WithLease(id LeaseID) Op {
	o.Lease = id
	return o
}

// Txn is a set of writes that take effect together if all conditions hold.
type Txn struct {
	If   []Condition
	Then []Op
}

// Result says what became of a commit.
type Result struct {
	// Done reports whether the conditions held and the writes took effect.
	Done bool
	// Revision is the store's revision after the commit.
	Revision int64
}

// Update is what a watch delivers; without changes it is a sign of progress.
type Update struct {
	Revision int64
	Changes  []Change
}

// Change is one write that a watch saw.
type Change struct {
	Entry   Entry
	Deleted bool
}

// UnavailableError says that a call got no answer; a write may have taken effect.
type UnavailableError struct {
	Call string
	Err  error
}

// Error returns the call and the cause.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store %s: no answer: %v", e.Call, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// LeaseExpiredError says that the store no longer knows a lease.
type LeaseExpiredError struct {
	Lease LeaseID
}

// Error returns the lease.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("store lease %d has lapsed", e.Lease)
}

// CompactedError says that a watch asked for revisions that are gone.
type CompactedError struct {
	From int64
}

// Error returns the revision that was asked for.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store watch: revision %d is compacted", e.From)
}

// PollRequest is what one poll asks for.
type PollRequest struct {
	Prefix string
	// From is the first revision that counts.
	From int64
	// Wait bounds how long the store waits for a change.
	Wait time.Duration
	// MaxBytes bounds the bytes of the answer; zero leaves it to the client.
	MaxBytes int64
}

// ResponseTooLargeError says that an answer was left unread because it exceeds a limit.
type ResponseTooLargeError struct {
	Call     string
	MaxBytes int64
}

// Error returns the call and the limit.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("store %s: the answer exceeds %d bytes", e.Call, e.MaxBytes)
}

// Client is a connection to the store.
type Client struct {
	// Read returns one key, and whether it is there.
	Read func(ctx context.Context, key string) (Entry, bool, error)
	// List returns all keys with a prefix.
	List func(ctx context.Context, prefix string) (Snapshot, error)
	// Commit makes the writes of a transaction.
	Commit func(ctx context.Context, t Txn) (Result, error)
	// GrantLease returns a lease that lapses ttl after its last renewal; whole seconds.
	GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; the error is a *LeaseLapsedError if it is gone.
	KeepAlive func(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease func(ctx context.Context, id LeaseID) error
	// Watch calls handle for each update of a prefix from a revision on, until the context ends
	// or the watch breaks or stays silent for longer than its progress limit.
	Watch func(ctx context.Context, prefix string, from int64, handle func(Update)) error
	// Poll returns the changes of a span, none if its time passes without one. The error
	// is a *LargeError if the answer exceeds the limit; nil means that the store has no such call.
	Poll func(ctx context.Context, s PollRequest) (Update, error)
}

// RefusedError says that the store refused a call and surely did nothing.
type RefusedError struct {
	Call   string
	Status int
}

// Error returns the call and the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store %s: refused with status %d", e.Call, e.Status)
}

// InvalidError says that the store found a call malformed or too large; it will
// never be carried out.
type InvalidError struct {
	Call   string
	Status int
}

// Error returns the call and the status.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("store %s: not possible, status %d", e.Call, e.Status)
}
