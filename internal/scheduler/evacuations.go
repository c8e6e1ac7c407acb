package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/store"
)

// EvacuationKeys are the keys in the store by which operators have data centres evacuated: while a key
// exists, nothing is started in its data centre.
type EvacuationKeys struct {
	// Prefix is the prefix of the keys; Decode returns the data centre that a key names.
	Prefix string
	Decode func(key string) (dataCentre string, err error)
	// Deadline is how long after a key was written a start may still arrive in its data centre.
	Deadline time.Duration
}

const (
	// evacuationReadInterval is the longest time between two readings of the evacuation keys.
	evacuationReadInterval = time.Second
	// evacuationReadTimeout bounds one reading; a slow store answers within 300 ms.
	evacuationReadTimeout = 500 * time.Millisecond
	// evacuationRetryInterval is the pause after a reading that failed.
	evacuationRetryInterval = 100 * time.Millisecond
	// startTransit is how long a start command may take from the check whether it may be sent to its worker.
	startTransit = time.Second
	// minEvacuationDeadline is the shortest deadline that is kept: with less, a slow store would keep the
	// leader from starting anything.
	minEvacuationDeadline = time.Second
)

// maxAge returns for how long after the keys were read runs may be started.
func (k *EvacuationKeys) maxAge() time.Duration {
	deadline := max(k.Deadline, minEvacuationDeadline)
	return max(deadline-startTransit, deadline/2)
}

// readInterval returns the time between two readings of the keys.
func (k *EvacuationKeys) readInterval() time.Duration {
	return min(evacuationReadInterval, k.maxAge()/4)
}

// restoreEvacuations gives a new core the evacuated data centres, whose keys were read after a time.
func (l *Leader) restoreEvacuations(core *batch.Core, s store.Snapshot, readAt time.Time) {
	if l.Evacuations == nil {
		return
	}
	core.SetMaxEvacuationAge(l.Evacuations.maxAge())
	core.SetEvacuated(l.evacuated(s), readAt, readAt)
}

// followEvacuations reads the evacuation keys until the term ends. It reads them all each time instead of
// watching them: a watch without changes does not tell how old the leader's knowledge is.
func (l *Leader) followEvacuations(ctx context.Context) error {
	defer l.Metrics.Evacuated(0)
	current := true
	for {
		wait := l.Evacuations.readInterval()
		if err := l.readEvacuations(ctx); err != nil && ctx.Err() == nil {
			l.Log.Emit(eventlog.StoreUnavailable, zap.String("use", "evacuations"), zap.Error(err))
			wait = min(wait, evacuationRetryInterval)
		}
		current = l.reportEvacuationAge(current)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(wait):
		}
	}
}

// readEvacuations reads the evacuation keys and gives the data centres to the core.
func (l *Leader) readEvacuations(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, evacuationReadTimeout)
	defer cancel()
	sent := l.Now()
	s, err := l.Store.List(call, l.Evacuations.Prefix)
	if err != nil {
		return err
	}
	dataCentres := l.evacuated(s)
	l.guarded("evacuations", func() { l.withLock(func() { l.core.SetEvacuated(dataCentres, sent, l.Now()) }) })
	l.Metrics.Evacuated(len(dataCentres))
	l.signal(l.planNeeded)
	return nil
}

// evacuated returns the data centres that the keys name. A key that cannot be decoded names none.
func (l *Leader) evacuated(s store.Snapshot) []string {
	var dataCentres []string
	for _, e := range s.Entries {
		d, err := l.Evacuations.Decode(e.Key)
		if err != nil {
			if l.unreadableKeys == nil {
				l.unreadableKeys = map[string]int64{}
			}
			if l.unreadableKeys[e.Key] != e.Revision {
				l.unreadableKeys[e.Key] = e.Revision
				l.Log.Emit(eventlog.EvacuationUnreadable, zap.String("key", e.Key), zap.Int64("revision", e.Revision), zap.Error(err))
			}
			continue
		}
		dataCentres = append(dataCentres, d)
	}
	return dataCentres
}

// reportEvacuationAge logs whether the last reading of the keys is recent enough for runs to be started, if
// that has changed.
func (l *Leader) reportEvacuationAge(before bool) bool {
	var current bool
	l.withLock(func() { current = l.core.AreEvacuationsCurrent(l.Now()) })
	switch {
	case before && !current:
		l.Log.Emit(eventlog.EvacuationsUnconfirmed, zap.Duration("limit", l.Evacuations.maxAge()), zap.Int64("token", l.Token))
	case !before && current:
		l.Log.Emit(eventlog.EvacuationsConfirmed, zap.Int64("token", l.Token))
	}
	return current
}
