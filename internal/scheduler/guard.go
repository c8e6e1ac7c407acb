package scheduler

import (
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// spawnGuarded runs a part of the term's work beside the rest of it.
func (h *Holder) spawnGuarded(part string, work func()) {
	h.running.Go(func() { h.guarded(part, work) })
}

// guarded ends the term instead of the process if its work panics: the core may
// be left half changed, and the next holder reads back what was committed.
func (h *Holder) guarded(part string, work func()) {
	defer func() {
		if fault := recover(); fault != nil {
			h.Log.Emit(eventlog.MessagePanicked, zap.String("part", part), zap.Int64("token", h.Token),
				zap.Any("fault", fault), zap.Stack("stack"))
			h.lose("fault in " + part)
		}
	}()
	work()
}

// locked changes the core; the lock is given back even if that panics.
func (h *Holder) locked(change func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	change()
}

// fails makes a call to a worker, and reports whether it panicked over the
// answer. Whether the worker carried it out is open then.
func (h *Holder) fails(worker string, call func()) (failed bool) {
	defer func() {
		if fault := recover(); fault != nil {
			failed = true
			h.Log.Emit(eventlog.MessagePanicked, zap.String("worker", worker), zap.Int64("token", h.Token),
				zap.Any("fault", fault), zap.Stack("stack"))
		}
	}()
	call()
	return false
}
