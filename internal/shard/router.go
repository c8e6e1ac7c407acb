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
	// KeyPrefix is where the idempotency keys of submissions stand in the store.
	KeyPrefix = "/oriolepond/job/"
	// keyTTL is how long a key is remembered after its submission, and keyLeaseAge how long one lease serves for new keys.
	keyTTL      = 31 * 24 * time.Hour
	keyLeaseAge = 24 * time.Hour
	// resubmitWindow is how long after its first submission a job may still be completed by a repeat;
	// it is shorter than any retention, so that a job that was dropped never runs again.
	resubmitWindow = time.Hour
	// retryWindow bounds the wait for a shard that is between two holders, and retryEvery is the pause between tries.
	retryWindow = 5 * time.Second
	retryEvery  = 100 * time.Millisecond
)

// Router takes the calls of callers and makes them at the shards of the job.
type Router struct {
	Store *store.Client
	// Writer makes the writes of idempotency keys.
	Writer *store.Writer
	// Local answers for the shards held here, and Peer for those of another instance.
	Local *Calls
	Peer  func(instance string) (*Calls, error)
	// LeaderOf returns the instance that holds a shard, and Shards all shards.
	LeaderOf func(shard string) string
	Shards   func() []string
	Config   func() release.Config
	List     func() roster.List

	mu      sync.Mutex
	lease   store.LeaseID
	leaseAt time.Time
}

// reservation is what the store keeps of an idempotency key.
type reservation struct {
	ID    string
	Job   string
	Share string
	Tasks int
	At    time.Time
	Parts []PlacedPart
}

// Submit accepts a job once all its parts are committed. A repeat of the key
// returns the same job.
func (r *Router) Submit(ctx context.Context, s task.Submission) (task.Status, error) {
	key := KeyPrefix + url.PathEscape(s.Neighbour) + "/" + url.PathEscape(s.Key)
	known, found, err := r.read(ctx, key)
	if err != nil {
		return task.Status{}, err
	}
	if !found {
		if known, err = r.reserve(ctx, key, s); err != nil {
			return task.Status{}, err
		}
	}
	if known.Job != s.Job || known.Tasks != s.Tasks {
		return task.Status{}, &task.RefusedError{Reason: "the key was used for another submission"}
	}
	if found && time.Since(known.At) > resubmitWindow {
		return r.Describe(ctx, s.Neighbour, known.ID)
	}
	var sum task.Status
	for _, p := range known.Parts {
		status, err := at(ctx, r, p.Shard, func(c *Calls) (task.Status, error) { return c.Submit(ctx, p.Shard, p.Part) })
		if err != nil {
			return task.Status{}, err
		}
		sum = status.Plus(sum)
	}
	return sum, nil
}

func (r *Router) read(ctx context.Context, key string) (reservation, bool, error) {
	e, ok, err := r.Store.Read(ctx, key)
	if err != nil || !ok {
		return reservation{}, false, err
	}
	known, err := decodeReservation(e.Value)
	return known, true, err
}

// reserve writes the key of a new job, unless another submission came first.
func (r *Router) reserve(ctx context.Context, key string, s task.Submission) (reservation, error) {
	n, err := r.divide(s)
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
	first, found, err := r.read(ctx, key)
	if err == nil && !found {
		err = &store.UnavailableError{Call: "reserve", Err: errors.New("the key came and went")}
	}
	return first, err
}

// divide checks a submission and splits it among shards.
func (r *Router) divide(s task.Submission) (reservation, error) {
	config := r.Config()
	f, ok := config.Job(s.Job)
	if !ok || f.Neighbour != s.Neighbour {
		return reservation{}, &task.RefusedError{Reason: fmt.Sprintf("no job family %q", s.Job)}
	}
	owner, ok := config.Share(f.Share)
	if !ok {
		return reservation{}, &task.RefusedError{Reason: fmt.Sprintf("no share %q", f.Share)}
	}
	unique := strings.ReplaceAll(uuid.Must(uuid.NewV7()).String(), "-", "")
	quotas := NewQuotas("", Divide(r.List()), config)
	part := task.Part{ID: unique, Neighbour: s.Neighbour, Share: f.Share, Name: s.Job, Tasks: s.Tasks}
	parts := quotas.Split(owner, part)
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

// keyLease returns the lease of new keys; it lapses long after they were written.
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

// forgetLease makes the next key ask for a new lease: the store may not know the old one any more.
func (r *Router) forgetLease() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lease = 0
}

// Describe returns the state of a job.
func (r *Router) Describe(ctx context.Context, neighbour, id string) (task.Status, error) {
	return r.each(ctx, id, func(shard string, c *Calls) (task.Status, error) {
		return c.Describe(ctx, shard, neighbour, id)
	})
}

// Cancel withdraws what of a job has not ended.
func (r *Router) Cancel(ctx context.Context, neighbour, id string) (task.Status, error) {
	return r.each(ctx, id, func(shard string, c *Calls) (task.Status, error) {
		return c.Cancel(ctx, shard, neighbour, id)
	})
}

// each makes a call at all shards of a job and adds up the answers.
func (r *Router) each(ctx context.Context, id string, call func(shard string, c *Calls) (task.Status, error)) (task.Status, error) {
	shards := ShardsOf(id)
	if len(shards) == 0 {
		return task.Status{}, &task.NotFoundError{ID: id}
	}
	var sum task.Status
	for _, shard := range shards {
		status, err := at(ctx, r, shard, func(c *Calls) (task.Status, error) { return call(shard, c) })
		if err != nil {
			return task.Status{}, err
		}
		sum = status.Plus(sum)
	}
	return sum, nil
}

// Accounts returns the usage of all shares, summed over all shards.
func (r *Router) Accounts(ctx context.Context) ([]Account, error) {
	sums := map[string]int{}
	var all []Account
	for _, shard := range r.Shards() {
		part, err := at(ctx, r, shard, func(c *Calls) ([]Account, error) { return c.Accounts(ctx, shard) })
		if err != nil {
			return nil, err
		}
		for _, a := range part {
			i, known := sums[a.Share]
			if !known {
				sums[a.Share] = len(all)
				all = append(all, a)
				continue
			}
			all[i].Usage = all[i].Usage.Sum(a.Usage)
			all[i].OpenTasks += a.OpenTasks
			all[i].OpenAtMost = all[i].OpenAtMost.Plus(a.OpenAtMost)
		}
	}
	return all, nil
}

// at makes a call at the holder of a shard; between two holders it waits a while.
func at[T any](ctx context.Context, r *Router, shard string, call func(*Calls) (T, error)) (T, error) {
	deadline := time.Now().Add(retryWindow)
	for {
		result, err := atOnce(r, shard, call)
		var not *NotLeaderError
		if !errors.As(err, &not) || time.Now().After(deadline) {
			return result, err
		}
		select {
		case <-ctx.Done():
			return result, err
		case <-time.After(retryEvery):
		}
	}
}

// atOnce makes a call here, or at the instance that holds the shard.
func atOnce[T any](r *Router, shard string, call func(*Calls) (T, error)) (T, error) {
	result, err := call(r.Local)
	holder, elsewhere := HolderOf(err)
	if !elsewhere || holder == "" {
		return result, err
	}
	peer, err := r.Peer(holder)
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
		n.Parts = append(n.Parts, PlacedPart{Shard: p.Shard, Part: task.Part{
			ID: w.ID, Neighbour: w.Neighbour, Share: w.Share, Name: w.Job, First: p.First, Tasks: p.Tasks,
		}})
	}
	return n, nil
}
