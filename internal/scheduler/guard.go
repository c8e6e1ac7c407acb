package scheduler

import (
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// goGuarded runs f in a goroutine of the term; a panic ends the term.
func (l *Leader) goGuarded(activity string, f func()) {
	l.goroutines.Go(func() { l.guarded(activity, f) })
}

// guarded runs f, and ends the term instead of the process if f panics: the core may
// be half changed, and the next leader restores what was committed.
func (l *Leader) guarded(activity string, f func()) {
	defer func() {
		if fault := recover(); fault != nil {
			l.Log.Emit(eventlog.MessagePanicked, zap.String("part", activity), zap.Int64("token", l.Token),
				zap.Any("fault", fault), zap.Stack("stack"))
			l.endTerm("panic in " + activity)
		}
	}()
	f()
}

// withLock runs f with l.mu locked, and unlocks it even if f panics.
func (l *Leader) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// callPanicked makes a call to a worker and reports whether handling its answer
// panicked. It is unknown then whether the worker carried the call out.
func (l *Leader) callPanicked(worker string, call func()) (failed bool) {
	defer func() {
		if fault := recover(); fault != nil {
			failed = true
			l.Log.Emit(eventlog.MessagePanicked, zap.String("worker", worker), zap.Int64("token", l.Token),
				zap.Any("fault", fault), zap.Stack("stack"))
		}
	}()
	call()
	return false
}
