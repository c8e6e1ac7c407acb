package scheduler

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
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

// withLock runs f with l.mu locked, and unlocks it even if f panics. Nothing of the core is stored after that.
func (l *Leader) withLock(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	returned := false
	defer func() { l.corePanicked = l.corePanicked || !returned }()
	f()
	returned = true
}

// RecordFaultError is the error for a record on which the core panicked.
type RecordFaultError struct {
	Fault any
}

func (e *RecordFaultError) Error() string { return fmt.Sprintf("panic: %v", e.Fault) }

// restoreRecord restores a job from its record. A panic counts as an unreadable record; otherwise
// each next leader would end on the same one.
func (l *Leader) restoreRecord(core *batch.Core, value []byte, now time.Time) (err error) {
	defer func() {
		if fault := recover(); fault != nil {
			l.Log.Emit(eventlog.MessagePanicked, zap.String("part", "record"), zap.Int64("token", l.Token),
				zap.Any("fault", fault), zap.Stack("stack"))
			err = &RecordFaultError{Fault: fault}
		}
	}()
	return core.Restore(value, now)
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
