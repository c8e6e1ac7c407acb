package peer

import (
	"context"
	"time"

	"github.com/oriolepond/oriolepond/internal/peer/taskpb"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/task"
)

// Room tells of which job families a shard could take tasks.
func (s *tasksServer) Room(ctx context.Context, q *taskpb.RoomRequest) (*taskpb.RoomReply, error) {
	rooms, err := s.calls.FreeCapacity(ctx, q.Shard, q.From, q.Families)
	if err != nil {
		return nil, encodeError(err)
	}
	reply := &taskpb.RoomReply{}
	for _, r := range rooms {
		reply.Rows = append(reply.Rows, &taskpb.RoomRow{Family: r.Family, Fits: r.Fits, Idle: int32(r.Startable)})
	}
	return reply, nil
}

// Transfer takes queued tasks of another shard.
func (s *tasksServer) Transfer(ctx context.Context, q *taskpb.TransferRequest) (*taskpb.TransferReply, error) {
	if err := s.calls.Transfer(ctx, q.Shard, decodeTransfer(q)); err != nil {
		return nil, encodeError(err)
	}
	return &taskpb.TransferReply{}, nil
}

// Report takes what has become of tasks that were handed to another shard.
func (s *tasksServer) Report(ctx context.Context, q *taskpb.ReportRequest) (*taskpb.ReportReply, error) {
	if err := s.calls.Report(ctx, q.Shard, decodeMoved(q)); err != nil {
		return nil, encodeError(err)
	}
	return &taskpb.ReportReply{}, nil
}

func decodeRooms(reply *taskpb.RoomReply, err error) ([]shard.FreeCapacity, error) {
	if err != nil {
		return nil, decodeError(err)
	}
	var all []shard.FreeCapacity
	for _, r := range reply.Rows {
		all = append(all, shard.FreeCapacity{Family: r.Family, Fits: r.Fits, Startable: int(r.Idle)})
	}
	return all, nil
}

func encodeTransfer(id string, t shard.Transfer) *taskpb.TransferRequest {
	q := &taskpb.TransferRequest{Shard: id, From: t.From, Epoch: t.Epoch, Number: t.Number, Cancelled: t.Cancelled}
	for _, j := range t.Jobs {
		m := &taskpb.MovedJob{Id: j.ID, Neighbour: j.Neighbour, Share: j.Share, Name: j.Name}
		for _, each := range j.Tasks {
			m.Tasks = append(m.Tasks, &taskpb.MovedTask{
				Number:       int32(each.Number),
				Incarnation:  each.Incarnation,
				Checkpoint:   each.Checkpoint,
				Failures:     int32(each.Failures),
				Reason:       each.Reason,
				WaitedMillis: each.Waited.Milliseconds(),
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
		for _, each := range m.Tasks {
			j.Tasks = append(j.Tasks, shard.MovedTask{
				Number:      int(each.Number),
				Incarnation: each.Incarnation,
				Checkpoint:  each.Checkpoint,
				Failures:    int(each.Failures),
				Reason:      each.Reason,
				Waited:      time.Duration(each.WaitedMillis) * time.Millisecond,
			})
		}
		t.Jobs = append(t.Jobs, j)
	}
	return t
}

func encodeMoved(id string, r shard.Report) *taskpb.ReportRequest {
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

func decodeMoved(q *taskpb.ReportRequest) shard.Report {
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
