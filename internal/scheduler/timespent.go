package scheduler

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// timeSpent is what a leader spent its time on. The durations include the time for which the processor
// ran other goroutines meanwhile.
type timeSpent struct {
	planning time.Duration
	// applying is the time in which the core applied reports.
	applying time.Duration
	reports  int
	// encoding is the time in which the core encoded the records of commits.
	encoding time.Duration
	commits  int
	// starts counts the start commands that were sent.
	starts int
}

// loadLogInterval is how often a leader logs its load.
const loadLogInterval = time.Second

// logLoad logs the leader's load regularly until the term ends.
func (l *Leader) logLoad(ctx context.Context) error {
	for {
		startedAt := l.Now()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(loadLogInterval):
		}
		now := l.Now()
		l.mu.Lock()
		spent, work, uncommittedSince := l.spent, l.core.TakeWork(now), l.uncommittedSince
		l.spent = timeSpent{}
		l.mu.Unlock()
		var unanswered time.Duration
		if !uncommittedSince.IsZero() {
			unanswered = now.Sub(uncommittedSince)
		}
		l.Log.Emit(eventlog.LeaderLoad, zap.Int64("token", l.Token), zap.Duration("interval", now.Sub(startedAt)),
			zap.Int("plans", work.Plans), zap.Duration("planning", spent.planning), zap.Int("searches", work.Searches), zap.Int("examined", work.Examined),
			zap.Int("reports", spent.reports), zap.Duration("applying", spent.applying),
			zap.Int("commits", spent.commits), zap.Duration("encoding", spent.encoding),
			zap.Int("jobs", work.Jobs), zap.Int("waitingSteps", work.WaitingStages), zap.Int("queuedTasks", work.QueuedTasks),
			zap.Int("fillerRuns", work.FillerRuns), zap.Int("suspendedRuns", work.SuspendedRuns),
			zap.Float64("declaredIdle", work.DeclaredIdle), zap.Float64("measuredIdle", work.MeasuredIdle),
			zap.Duration("oldestContact", work.OldestContact), zap.Int("starts", spent.starts), zap.Int("placed", work.Placed),
			zap.Duration("leaseRemaining", l.leaseEnd().Sub(now)), zap.Duration("commitUnanswered", unanswered),
			zap.Int("uncontacted", work.Uncontacted), zap.Int("unreachedRuns", work.UnreachedRuns), zap.Duration("unreachedFor", work.UnreachedFor))
	}
}
