package peer

import (
	"context"
	"time"

	"github.com/oriolepond/oriolepond/internal/peer/taskpb"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/task"
)

// Room returns for which job families a shard has free capacity.
func (s *tasksServer) Room(ctx context.Context, q *taskpb.RoomRequest) (*taskpb.RoomReply, error) {
	capacities, err := s.calls.FreeCapacity(ctx, q.Shard, q.From, q.Families)
	if err != nil {
		return nil, encodeError(err)
	}
	reply := &taskpb.RoomReply{}
	for _, r := range capacities {
		reply.Rows = append(reply.Rows, &taskpb.RoomRow{Family: r.Family, Fits: r.Fits, Idle: int32(r.Startable)})
	}
	return reply, nil
}

// Transfer accepts queued tasks from another shard.
func (s *tasksServer) Transfer(ctx context.Context, q *taskpb.TransferRequest) (*taskpb.TransferReply, error) {
	if err := s.calls.Transfer(ctx, q.Shard, decodeTransfer(q)); err != nil {
		return nil, encodeError(err)
	}
	return &taskpb.TransferReply{}, nil
}

// Report receives the states of tasks that were handed over to another shard.
func (s *tasksServer) Report(ctx context.Context, q *taskpb.ReportRequest) (*taskpb.ReportReply, error) {
	if err := s.calls.Report(ctx, q.Shard, decodeTaskReport(q)); err != nil {
		return nil, encodeError(err)
	}
	return &taskpb.ReportReply{}, nil
}

func decodeFreeCapacities(reply *taskpb.RoomReply, err error) ([]shard.FreeCapacity, error) {
	if err != nil {
		return nil, decodeError(err)
	}
	var capacities []shard.FreeCapacity
	for _, r := range reply.Rows {
		capacities = append(capacities, shard.FreeCapacity{Family: r.Family, Fits: r.Fits, Startable: int(r.Idle)})
	}
	return capacities, nil
}

func encodeTransfer(id string, t shard.Transfer) *taskpb.TransferRequest {
	q := &taskpb.TransferRequest{Shard: id, From: t.From, Epoch: t.Epoch, Number: t.Number, Cancelled: t.Cancelled}
	for _, j := range t.Jobs {
		m := &taskpb.MovedJob{Id: j.ID, Neighbour: j.Neighbour, Share: j.Share, Name: j.Name}
		for _, movedTask := range j.Tasks {
			m.Tasks = append(m.Tasks, &taskpb.MovedTask{
				Number:       int32(movedTask.Number),
				Incarnation:  movedTask.Incarnation,
				Checkpoint:   movedTask.Checkpoint,
				Failures:     int32(movedTask.Failures),
				Reason:       movedTask.Reason,
				WaitedMillis: movedTask.Waited.Milliseconds(),
			})
		}
		q.Jobs = append(q.Jobs, m)
	}
	return q
}

func decodeTransfer(q *taskpb.TransferRequest) shard.Transfer {
	t := shard.Transfer{From: q.From, Epoch: q.Epoch, Number: q.Number, Cancelled: q.Cancelled}
	for _, m := range q.Jobs {
		j := shard.MovedJob{ID: m.Id, Neighbour: m.Neighbour, Share: m.Share, Name: m.Name}
		for _, movedTask := range m.Tasks {
			j.Tasks = append(j.Tasks, shard.MovedTask{
				Number:      int(movedTask.Number),
				Incarnation: movedTask.Incarnation,
				Checkpoint:  movedTask.Checkpoint,
				Failures:    int(movedTask.Failures),
				Reason:      movedTask.Reason,
				Waited:      time.Duration(movedTask.WaitedMillis) * time.Millisecond,
			})
		}
		t.Jobs = append(t.Jobs, j)
	}
	return t
}

func encodeTaskReport(id string, r shard.Report) *taskpb.ReportRequest {
	q := &taskpb.ReportRequest{Shard: id, From: r.From}
	for _, row := range r.Rows {
		q.Rows = append(q.Rows, &taskpb.ReportRow{
			Job:         row.Job,
			Number:      int32(row.Number),
			Transfer:    row.Transfer,
			State:       string(row.State),
			Incarnation: row.Incarnation,
			Checkpoint:  row.Checkpoint,
			Failures:    int32(row.Failures),
			Reason:      row.Reason,
		})
	}
	return q
}

func decodeTaskReport(q *taskpb.ReportRequest) shard.Report {
	r := shard.Report{From: q.From}
	for _, row := range q.Rows {
		r.Rows = append(r.Rows, shard.MovedState{
			Job:         row.Job,
			Number:      int(row.Number),
			Transfer:    row.Transfer,
			State:       task.State(row.State),
			Incarnation: row.Incarnation,
			Checkpoint:  row.Checkpoint,
			Failures:    int(row.Failures),
			Reason:      row.Reason,
		})
	}
	return r
}
