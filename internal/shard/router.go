package shard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/pkg/release"
)

const (
	// KeyPrefix is the prefix of the idempotency keys of submissions in the store.
	KeyPrefix = "/oriolepond/job/"
	// keyTTL is how long a key is kept after its submission. keyLeaseAge is how long one store
	// lease is used for new keys.
	keyTTL      = 31 * 24 * time.Hour
	keyLeaseAge = 24 * time.Hour
	// resubmitWindow is how long after the first submission a repeat still submits the job's tasks
	// to shards that don't have them. It is shorter than any retention, so that a job that was
	// dropped never runs again.
	resubmitWindow = time.Hour
	// retryWindow bounds the wait for a shard that has no leader at the moment. retryEvery is the
	// pause between attempts.
	retryWindow = 5 * time.Second
	retryEvery  = 100 * time.Millisecond
)

// Router accepts calls about jobs and forwards them to the leaders of the jobs' shards.
type Router struct {
	Store *store.Client
	// Writer writes the idempotency keys.
	Writer *store.Writer
	// Local serves the shards that this instance leads. Peer returns the calls of another instance.
	Local *Calls
	Peer  func(instance string) (*Calls, error)
	// LeaderOf returns the instance that leads a shard, and Shards all shards that have a leader.
	LeaderOf func(shard string) string
	Shards   func() []string
	Config   func() release.Config
	List     func() roster.List

	mu      sync.Mutex
	lease   store.LeaseID
	leaseAt time.Time
}

// reservation is the value of an idempotency key in the store: the job that the key was first used
// for.
type reservation struct {
	ID    string
	Job   string
	Share string
	Tasks int
	At    time.Time
	Parts []ShardPart
}

// Submit submits a job to its shards. It returns once all of them have committed their tasks. A
// repeat with the same key returns the same job.
func (r *Router) Submit(ctx context.Context, s task.Submission) (task.Status, error) {
	key := KeyPrefix + url.PathEscape(s.Neighbour) + "/" + url.PathEscape(s.Key)
	reserved, found, err := r.readReservation(ctx, key)
	if err != nil {
		return task.Status{}, err
	}
	if !found {
		if reserved, err = r.reserve(ctx, key, s); err != nil {
			return task.Status{}, err
		}
	}
	if reserved.Job != s.Job || reserved.Tasks != s.Tasks {
		return task.Status{}, &task.RefusedError{Reason: "the key was used for another submission"}
	}
	if found && time.Since(reserved.At) > resubmitWindow {
		return r.Describe(ctx, s.Neighbour, reserved.ID)
	}
	var sum task.Status
	for _, p := range reserved.Parts {
		status, err := callLeader(ctx, r, p.Shard, func(c *Calls) (task.Status, error) { return c.Submit(ctx, p.Shard, p.Part) })
		if err != nil {
			return task.Status{}, err
		}
		sum = status.Plus(sum)
	}
	return sum, nil
}

func (r *Router) readReservation(ctx context.Context, key string) (reservation, bool, error) {
	e, ok, err := r.Store.Read(ctx, key)
	if err != nil || !ok {
		return reservation{}, false, err
	}
	known, err := decodeReservation(e.Value)
	return known, true, err
}

// reserve writes the idempotency key of a new job. If another submission wrote it first, reserve
// returns that one's reservation.
func (r *Router) reserve(ctx context.Context, key string, s task.Submission) (reservation, error) {
	n, err := r.newReservation(s)
	if err != nil {
		return reservation{}, err
	}
	lease, err := r.keyLease(ctx)
	if err != nil {
		return reservation{}, err
	}
	value, err := encodeReservation(n)
	if err != nil {
		return reservation{}, err
	}
	result, err := r.Writer.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: key}},
		Then: []store.Op{store.Put(key, value).WithLease(lease)},
	})
	if err != nil {
		r.forgetLease()
		return reservation{}, err
	}
	if result.Done {
		return n, nil
	}
	first, found, err := r.readReservation(ctx, key)
	if err == nil && !found {
		err = &store.UnavailableError{Call: "reserve", Err: errors.New("the key came and went")}
	}
	return first, err
}

// newReservation checks a submission and divides its tasks among shards.
func (r *Router) newReservation(s task.Submission) (reservation, error) {
	config := r.Config()
	f, ok := config.Job(s.Job)
	if !ok || f.Neighbour != s.Neighbour {
		return reservation{}, &task.RefusedError{Reason: fmt.Sprintf("no job family %q", s.Job)}
	}
	jobShare, ok := config.Share(f.Share)
	if !ok {
		return reservation{}, &task.RefusedError{Reason: fmt.Sprintf("no share %q", f.Share)}
	}
	unique := strings.ReplaceAll(uuid.Must(uuid.NewV7()).String(), "-", "")
	quotas := NewQuotas("", Divide(r.List()), config)
	part := task.Part{ID: unique, Neighbour: s.Neighbour, Share: f.Share, Name: s.Job, Tasks: s.Tasks}
	parts := quotas.Split(jobShare, part)
	if len(parts) == 0 {
		return reservation{}, &task.RefusedError{Reason: "the pool has no workers"}
	}
	var shards []string
	for _, p := range parts {
		shards = append(shards, p.Shard)
	}
	id := JobID(unique, shards)
	for i := range parts {
		parts[i].ID = id
	}
	return reservation{ID: id, Job: s.Job, Share: f.Share, Tasks: s.Tasks, At: time.Now(), Parts: parts}, nil
}

// keyLease returns the store lease for new keys. A lease is used for new keys only for keyLeaseAge,
// so that every key is kept for at least keyTTL less keyLeaseAge.
func (r *Router) keyLease(ctx context.Context) (store.LeaseID, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lease != 0 && time.Since(r.leaseAt) < keyLeaseAge {
		return r.lease, nil
	}
	lease, err := r.Store.GrantLease(ctx, keyTTL)
	if err != nil {
		return 0, err
	}
	r.lease, r.leaseAt = lease, time.Now()
	return lease, nil
}

// forgetLease makes the next key obtain a new lease, since the store may no longer know the old
// one.
func (r *Router) forgetLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = 0
}

// Describe returns the status of a job.
func (r *Router) Describe(ctx context.Context, neighbour, id string) (task.Status, error) {
	return r.callAllShards(ctx, id, func(shard string, c *Calls) (task.Status, error) {
		return c.Describe(ctx, shard, neighbour, id)
	})
}

// Cancel cancels the tasks of a job that have not ended.
func (r *Router) Cancel(ctx context.Context, neighbour, id string) (task.Status, error) {
	return r.callAllShards(ctx, id, func(shard string, c *Calls) (task.Status, error) {
		return c.Cancel(ctx, shard, neighbour, id)
	})
}

// callAllShards calls the leaders of all shards of a job and returns the sum of the statuses.
func (r *Router) callAllShards(ctx context.Context, id string, call func(shard string, c *Calls) (task.Status, error)) (task.Status, error) {
	shards := ShardsOf(id)
	if len(shards) == 0 {
		return task.Status{}, &task.NotFoundError{ID: id}
	}
	var sum task.Status
	for _, shard := range shards {
		status, err := callLeader(ctx, r, shard, func(c *Calls) (task.Status, error) { return call(shard, c) })
		if err != nil {
			return task.Status{}, err
		}
		sum = status.Plus(sum)
	}
	return sum, nil
}

// Accounts returns the usage of all shares, summed over all shards.
func (r *Router) Accounts(ctx context.Context) ([]Account, error) {
	indexByShare := map[string]int{}
	var totals []Account
	for _, shard := range r.Shards() {
		accounts, err := callLeader(ctx, r, shard, func(c *Calls) ([]Account, error) { return c.Accounts(ctx, shard) })
		if err != nil {
			return nil, err
		}
		for _, a := range accounts {
			i, known := indexByShare[a.Share]
			if !known {
				indexByShare[a.Share] = len(totals)
				totals = append(totals, a)
				continue
			}
			totals[i].Usage = totals[i].Usage.Sum(a.Usage)
			totals[i].OpenTasks += a.OpenTasks
			totals[i].OpenAtMost = totals[i].OpenAtMost.Plus(a.OpenAtMost)
		}
	}
	return totals, nil
}

// callLeader calls the leader of a shard. While the shard has no leader it retries for up to
// retryWindow.
func callLeader[T any](ctx context.Context, r *Router, shard string, call func(*Calls) (T, error)) (T, error) {
	deadline := time.Now().Add(retryWindow)
	for {
		result, err := callLeaderOnce(r, shard, call)
		var notLeader *NotLeaderError
		if !errors.As(err, &notLeader) || time.Now().After(deadline) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(retryEvery):
		}
	}
}

// callLeaderOnce calls the leader of a shard, in this instance or at a peer.
func callLeaderOnce[T any](r *Router, shard string, call func(*Calls) (T, error)) (T, error) {
	result, err := call(r.Local)
	leader, elsewhere := LeaderOf(err)
	if !elsewhere || leader == "" {
		return result, err
	}
	peer, err := r.Peer(leader)
	if err != nil {
		return result, err
	}
	return call(peer)
}

type (
	wirePart struct {
		Shard string `json:"shard"`
		First int    `json:"first,omitempty"`
		Tasks int    `json:"tasks"`
	}
	wireReservation struct {
		ID        string     `json:"id"`
		Neighbour string     `json:"neighbour"`
		Job       string     `json:"job"`
		Share     string     `json:"share"`
		Tasks     int        `json:"tasks"`
		AtMillis  int64      `json:"atMillis"`
		Parts     []wirePart `json:"parts"`
	}
)

func encodeReservation(n reservation) ([]byte, error) {
	w := wireReservation{ID: n.ID, Job: n.Job, Share: n.Share, Tasks: n.Tasks, AtMillis: n.At.UnixMilli()}
	for _, p := range n.Parts {
		w.Neighbour = p.Neighbour
		w.Parts = append(w.Parts, wirePart{Shard: p.Shard, First: p.First, Tasks: p.Tasks})
	}
	return json.Marshal(w)
}

func decodeReservation(text []byte) (reservation, error) {
	var w wireReservation
	if err := json.Unmarshal(text, &w); err != nil {
		return reservation{}, fmt.Errorf("decode idempotency key: %w", err)
	}
	n := reservation{ID: w.ID, Job: w.Job, Share: w.Share, Tasks: w.Tasks, At: time.UnixMilli(w.AtMillis)}
	for _, p := range w.Parts {
		n.Parts = append(n.Parts, ShardPart{Shard: p.Shard, Part: task.Part{
			ID: w.ID, Neighbour: w.Neighbour, Share: w.Share, Name: w.Job, First: p.First, Tasks: p.Tasks,
		}})
	}
	return n, nil
}
