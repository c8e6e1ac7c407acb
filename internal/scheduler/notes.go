package scheduler

import (
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// noteEvents are the events by which decisions are logged.
var noteEvents = map[batch.NoteKind]eventlog.Event{
	batch.NoteAccepted:           eventlog.JobAccepted,
	batch.NotePlaced:             eventlog.TaskPlaced,
	batch.NoteEnded:              eventlog.RunEnded,
	batch.NoteJobEnded:           eventlog.JobEnded,
	batch.NoteStopping:           eventlog.RunStopping,
	batch.NoteUnconfirmed:        eventlog.StartUnanswered,
	batch.NoteLost:               eventlog.RunLost,
	batch.NoteWorkerUnresponsive: eventlog.WorkerUnresponsive,
	batch.NoteWorkerRecovered:    eventlog.WorkerRecovered,
	batch.NoteQuarantined:        eventlog.WorkerQuarantined,
	batch.NoteThrottled:          eventlog.RunThrottleChanged,
	batch.NoteOrphaned:           eventlog.RunOrphaned,
	batch.NoteMoved:              eventlog.JobHandedOver,
	batch.NoteDelegated:          eventlog.TaskDelegated,
	batch.NoteWaits:              eventlog.TaskWaiting,
	batch.NoteReserved:           eventlog.WorkerReserved,
}

// log writes the line of one decision.
func (h *Holder) log(n batch.Note) {
	fields := make([]zap.Field, 0, 7)
	if n.Job != "" {
		fields = append(fields, zap.String("job", n.Job))
	}
	if n.Task.Job != "" {
		fields = append(fields, zap.Stringer("task", n.Task), zap.Int64("run", n.Run))
	}
	if n.Worker != "" {
		fields = append(fields, zap.String("worker", n.Worker))
	}
	if n.Age != 0 {
		fields = append(fields, zap.Duration("age", n.Age))
	}
	if n.Reason != "" {
		fields = append(fields, zap.String("reason", n.Reason))
	}
	if n.Kind == batch.NoteMoved || n.Kind == batch.NoteDelegated {
		fields = append(fields, zap.Int("to", n.Cell))
	}
	if n.Kind == batch.NoteThrottled {
		fields = append(fields, zap.Int("percent", n.Percent), zap.Float64("strain", n.TailRatio), zap.Float64("headroom", n.Headroom))
	}
	h.Log.Emit(noteEvents[n.Kind], append(fields, zap.Int64("token", h.Token))...)
}
