package scheduler

import (
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// decisionEvents maps the kinds of decisions to the events under which they are logged.
var decisionEvents = map[batch.NoteKind]eventlog.Event{
	batch.NoteAccepted:           eventlog.JobAccepted,
	batch.NotePlaced:             eventlog.TaskPlaced,
	batch.NoteEnded:              eventlog.RunEnded,
	batch.NoteEndedAfterJob:      eventlog.RunOfEndedJobEnded,
	batch.NoteJobEnded:           eventlog.JobEnded,
	batch.NoteStopping:           eventlog.RunStopping,
	batch.NoteUnconfirmed:        eventlog.StartUnanswered,
	batch.NoteLost:               eventlog.RunLost,
	batch.NoteWorkerUnresponsive: eventlog.WorkerUnresponsive,
	batch.NoteWorkerRecovered:    eventlog.WorkerRecovered,
	batch.NoteWorkerCrashed:      eventlog.WorkerCrashed,
	batch.NoteCrashCounted:       eventlog.CrashCounted,
	batch.NoteGivenUp:            eventlog.JobGivenUp,
	batch.NoteQuarantined:        eventlog.WorkerQuarantined,
	batch.NoteThrottled:          eventlog.RunThrottleChanged,
	batch.NoteOrphaned:           eventlog.RunOrphaned,
	batch.NoteMoved:              eventlog.JobHandedOver,
	batch.NoteDelegated:          eventlog.TaskDelegated,
	batch.NoteWaits:              eventlog.TaskWaiting,
	batch.NoteReserved:           eventlog.WorkerReserved,
	batch.NotePreempted:          eventlog.RunPreempted,
	batch.NoteSetAside:           eventlog.JobSetAside,
	batch.NoteResumed:            eventlog.JobResumed,
	batch.NoteEvacuated:          eventlog.DataCentreEvacuated,
	batch.NoteReadmitted:         eventlog.DataCentreReadmitted,
}

// logDecision logs one decision of the core under its event, with the fields that are set.
func (l *Leader) logDecision(decision batch.Note) {
	fields := make([]zap.Field, 0, 8)
	if decision.Job != "" {
		fields = append(fields, zap.String("job", decision.Job))
	}
	if decision.Task.Job != "" {
		fields = append(fields, zap.Stringer("task", decision.Task), zap.Int64("run", decision.Run))
	}
	if decision.Worker != "" {
		fields = append(fields, zap.String("worker", decision.Worker))
	}
	if decision.Age != 0 {
		fields = append(fields, zap.Duration("age", decision.Age))
	}
	if decision.Kind == batch.NoteWorkerCrashed {
		l.Metrics.WorkerCrashed()
		fields = append(fields, zap.Int("runs", decision.Runs), zap.Int("earlyRuns", decision.EarlyRuns))
	}
	if decision.Crashes != 0 {
		fields = append(fields, zap.Int("crashes", decision.Crashes), zap.Int("confirmed", decision.ConfirmedCrashes))
	}
	if decision.Kind == batch.NoteGivenUp {
		l.Metrics.JobGivenUp()
	}
	if decision.Remaining != 0 {
		fields = append(fields, zap.Int("runs", decision.Runs), zap.Duration("givenUpIn", decision.Remaining))
	}
	if decision.Kind == batch.NoteSetAside {
		l.Metrics.JobSetAside()
	}
	if decision.Reason != "" {
		fields = append(fields, zap.String("reason", decision.Reason))
	}
	if decision.Kind == batch.NoteMoved || decision.Kind == batch.NoteDelegated {
		fields = append(fields, zap.Int("to", decision.Cell))
	}
	if decision.Kind == batch.NotePreempted {
		l.Metrics.RunPreempted()
		fields = append(fields, zap.Int("percent", decision.Percent))
	}
	if decision.Kind == batch.NoteThrottled {
		fields = append(fields, zap.Int("percent", decision.Percent), zap.Float64("strain", decision.TailRatio), zap.Float64("headroom", decision.Headroom))
	}
	if decision.DataCentre != "" {
		fields = append(fields, zap.String("evacuated", decision.DataCentre))
	}
	if decision.Kind == batch.NoteEvacuated {
		fields = append(fields, zap.Int("workers", decision.Workers), zap.Int("runs", decision.Runs))
	}
	if decision.Reason == string(batch.EvacuatedDataCentre) {
		l.Metrics.WaitsForEvacuation()
	}
	if decision.Kind == batch.NoteWaits {
		workers := make([]zap.Field, 0, len(decision.Obstacles))
		for _, o := range decision.Obstacles {
			workers = append(workers, zap.Int(string(o.Obstacle), o.Workers))
		}
		fields = append(fields, zap.Dict("workers", workers...))
		if decision.DeclaredIdle != 0 || decision.MeasuredIdle != 0 {
			fields = append(fields, zap.Float64("declaredIdle", decision.DeclaredIdle), zap.Float64("measuredIdle", decision.MeasuredIdle))
		}
	}
	l.Log.Emit(decisionEvents[decision.Kind], append(fields, zap.Int64("token", l.Token))...)
}
