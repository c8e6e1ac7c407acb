// Package store is a client of the platform's key-value service: reads, atomic
// commits under conditions on key revisions, leases and watches.
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

// LeaseID identifies a lease of the store; zero means no lease.
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

// Condition holds if the key was last written at Revision; zero means that the key is absent.
type Condition struct {
	Key      string
	Revision int64
}

// OpKind is the kind of a write: put or delete.
type OpKind string

// The kinds of writes.
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

// WithLease returns a copy of the operation whose key is removed when the lease ends.
func (o Op) WithLease(id LeaseID) Op {
	o.Lease = id
	return o
}

// Txn is a set of writes that take effect together if all conditions hold.
type Txn struct {
	If   []Condition
	Then []Op
}

// Result is the outcome of a commit.
type Result struct {
	// Done reports whether the conditions held and the writes took effect.
	Done bool
	// Revision is the store's revision after the commit.
	Revision int64
}

// Update is one message of a watch. An update without changes only reports that
// the watch has seen everything up to Revision.
type Update struct {
	Revision int64
	Changes  []Change
}

// Change is one write reported by a watch.
type Change struct {
	Entry   Entry
	Deleted bool
}

// UnavailableError means that a call got no answer; a write may still have taken effect.
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

// LeaseExpiredError means that the store no longer knows a lease.
type LeaseExpiredError struct {
	Lease LeaseID
}

// Error returns a message that names the lease.
func (e *LeaseExpiredError) Error() string {
	return fmt.Sprintf("store lease %d has expired", e.Lease)
}

// CompactedError means that a watch asked for revisions that the store has discarded.
type CompactedError struct {
	From int64
}

// Error returns the requested revision.
func (e *CompactedError) Error() string {
	return fmt.Sprintf("store watch: revision %d has been compacted", e.From)
}

// PollRequest describes one long poll for changes.
type PollRequest struct {
	Prefix string
	// From is the first revision whose changes are returned.
	From int64
	// Wait bounds how long the store keeps the poll open until there is a change.
	Wait time.Duration
	// MaxBytes bounds the size of the response; zero leaves it to the client.
	MaxBytes int64
}

// ResponseTooLargeError means that a response was not read because it exceeds the byte limit.
type ResponseTooLargeError struct {
	Call     string
	MaxBytes int64
}

// Error returns the call and the limit.
func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("store %s: the answer exceeds %d bytes", e.Call, e.MaxBytes)
}

// Client is the set of calls to one store.
type Client struct {
	// Read returns the entry of a key, and whether the key exists.
	Read func(ctx context.Context, key string) (Entry, bool, error)
	// List returns all entries whose keys have the prefix.
	List func(ctx context.Context, prefix string) (Snapshot, error)
	// Commit applies the writes of a transaction if its conditions hold.
	Commit func(ctx context.Context, t Txn) (Result, error)
	// GrantLease returns a lease that expires ttl after its last renewal; ttl is in whole seconds.
	GrantLease func(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; the error is a *LeaseExpiredError if it no longer exists.
	KeepAlive func(ctx context.Context, id LeaseID) error
	// RevokeLease ends a lease and removes its keys.
	RevokeLease func(ctx context.Context, id LeaseID) error
	// Watch calls handle for each update of a prefix from a revision on. It returns when the
	// context ends, the connection breaks, or no message arrives within the idle timeout.
	Watch func(ctx context.Context, prefix string, from int64, handle func(Update)) error
	// Poll returns the requested changes, or none if the wait passes without one. The error is a
	// *ResponseTooLargeError if the response exceeds the limit. Poll is nil if the store has no such call.
	Poll func(ctx context.Context, r PollRequest) (Update, error)
}

// RefusedError means that the store refused a call, which therefore had no effect.
type RefusedError struct {
	Call   string
	Status int
}

// Error returns the call and the status.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("store %s: refused with status %d", e.Call, e.Status)
}

// ContendedError is returned when each attempt at a write conflicted with another write.
type ContendedError struct {
	// Subject is what was to be written.
	Subject string
}

// Error names the subject.
func (e *ContendedError) Error() string { return e.Subject + " change too often" }

// InvalidError means that the store rejected a call as malformed or too large;
// a retry cannot succeed.
type InvalidError struct {
	Call   string
	Status int
}

// Error returns the call and the status.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("store %s: not possible, status %d", e.Call, e.Status)
}
