package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// calls returns what the holder answers.
func (h *Holder) calls() *Calls {
	return &Calls{Submit: h.submit, Cancel: h.cancel, State: h.state, Pending: h.pending}
}

func (h *Holder) submit(ctx context.Context, j batch.Job) error {
	if h.isAway(h.Now()) {
		return h.whileAway(j.ID)
	}
	done := make(chan batch.State, 1)
	h.mu.Lock()
	err := h.core.Submit(j, h.Now(), func(s batch.State) { done <- s })
	h.mu.Unlock()
	if err != nil {
		return err
	}
	h.kick(h.plan)
	select {
	case s := <-done:
		if s == batch.Dropped {
			return &UnavailableError{Reason: "the store does not answer", RetryAfter: retryAfter}
		}
		return nil
	case <-ctx.Done():
		return &UnknownError{Err: ctx.Err()}
	}
}

// whileAway answers a submission while the store does not answer: one that
// came before may be on its way into the store.
func (h *Holder) whileAway(id string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.core.HasJob(id) {
		return &UnknownError{Err: errors.New("the store does not answer")}
	}
	return &UnavailableError{Reason: "the store does not answer", RetryAfter: retryAfter}
}

func (h *Holder) cancel(ctx context.Context, id string) (bool, error) {
	done := make(chan batch.State, 1)
	h.mu.Lock()
	known := h.core.Cancel(id, h.Now(), func(s batch.State) { done <- s })
	h.mu.Unlock()
	if !known {
		return false, nil
	}
	h.kick(h.plan)
	select {
	case s := <-done:
		if s == batch.Dropped {
			// Whether the inbox has the job is not known here.
			return true, &NotLeaderError{}
		}
		if s == batch.Moved {
			return true, h.movedTo(id)
		}
		return true, nil
	case <-ctx.Done():
		return true, &UnknownError{Err: ctx.Err()}
	}
}

func (h *Holder) state(_ context.Context, id string) (batch.State, bool, error) {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if cell, moved := h.core.ForwardedTo(id); moved {
		return "", true, &MovedError{Cell: cell}
	}
	state, known := h.core.State(id)
	if !state.Final() && !now.Before(h.validUntil) {
		// Another holder may have gone on with the job; what has ended stays so.
		return "", false, &NotLeaderError{}
	}
	if !known && h.core.HasJob(id) {
		// It is being committed.
		return batch.Queued, true, nil
	}
	return state, known, nil
}

// movedTo returns where a job was handed, as an error.
func (h *Holder) movedTo(id string) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	cell, _ := h.core.ForwardedTo(id)
	return &MovedError{Cell: cell}
}

// pendingAge is how old a count of waiting jobs may be: callers are promised 2 s.
const pendingAge = 2 * time.Second

func (h *Holder) pending(_ context.Context, queue string) (int, error) {
	now := h.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !now.Before(h.validUntil.Add(pendingAge)) {
		return 0, &NotLeaderError{}
	}
	return h.core.Pending(queue), nil
}
