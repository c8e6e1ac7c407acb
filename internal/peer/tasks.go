// Package peer carries the calls between entry instances, over gRPC.
//
// # Usage
//
//	peer.RegisterTasks(server, holder)
//	tasks := peer.NewTasks(conn)
//	status, err := tasks.Submit(ctx, submission)
package peer

import (
	"context"
	"errors"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/oriolepond/oriolepond/internal/peer/taskpb"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

// NewTasks returns the calls of the shards that the other end of a connection holds.
func NewTasks(conn *grpc.ClientConn) *shard.Calls {
	c := taskpb.NewTasksClient(conn)
	return &shard.Calls{
		Submit: func(ctx context.Context, id string, p task.Part) (task.Status, error) {
			return decodeStatus(c.Submit(ctx, encodePart(id, p)))
		},
		Describe: func(ctx context.Context, id, neighbour, job string) (task.Status, error) {
			return decodeStatus(c.Describe(ctx, &taskpb.JobRequest{Shard: id, Neighbour: neighbour, Id: job}))
		},
		Cancel: func(ctx context.Context, id, neighbour, job string) (task.Status, error) {
			return decodeStatus(c.Cancel(ctx, &taskpb.JobRequest{Shard: id, Neighbour: neighbour, Id: job}))
		},
		Accounts: func(ctx context.Context, id string) ([]shard.Account, error) {
			return decodeAccounts(c.Account(ctx, &taskpb.AccountRequest{Shard: id}))
		},
		FreeCapacity: func(ctx context.Context, id, from string, families []string) ([]shard.FreeCapacity, error) {
			return decodeRooms(c.Room(ctx, &taskpb.RoomRequest{Shard: id, From: from, Families: families}))
		},
		Transfer: func(ctx context.Context, id string, t shard.Transfer) error {
			_, err := c.Transfer(ctx, encodeTransfer(id, t))
			return decodeError(err)
		},
		Report: func(ctx context.Context, id string, r shard.Report) error {
			_, err := c.Report(ctx, encodeMoved(id, r))
			return decodeError(err)
		},
	}
}

// RegisterTasks answers the calls of peers to the shards that are held here.
func RegisterTasks(server *grpc.Server, c *shard.Calls) {
	taskpb.RegisterTasksServer(server, &tasksServer{calls: c})
}

type tasksServer struct {
	taskpb.UnimplementedTasksServer
	calls *shard.Calls
}

func encodePart(id string, p task.Part) *taskpb.SubmitRequest {
	return &taskpb.SubmitRequest{
		Shard:     id,
		Id:        p.ID,
		Neighbour: p.Neighbour,
		Share:     p.Share,
		Name:      p.Name,
		First:     int32(p.First),
		Tasks:     int32(p.Tasks),
	}
}

// Submit accepts a part of a job.
func (s *tasksServer) Submit(ctx context.Context, q *taskpb.SubmitRequest) (*taskpb.JobReply, error) {
	part := task.Part{
		ID:        q.Id,
		Neighbour: q.Neighbour,
		Share:     q.Share,
		Name:      q.Name,
		First:     int(q.First),
		Tasks:     int(q.Tasks),
	}
	return encodeStatus(s.calls.Submit(ctx, q.Shard, part))
}

// Describe returns the state of a job.
func (s *tasksServer) Describe(ctx context.Context, q *taskpb.JobRequest) (*taskpb.JobReply, error) {
	return encodeStatus(s.calls.Describe(ctx, q.Shard, q.Neighbour, q.Id))
}

// Cancel withdraws what of a job has not finished.
func (s *tasksServer) Cancel(ctx context.Context, q *taskpb.JobRequest) (*taskpb.JobReply, error) {
	return encodeStatus(s.calls.Cancel(ctx, q.Shard, q.Neighbour, q.Id))
}

// Account returns the usage of all shares.
func (s *tasksServer) Account(ctx context.Context, q *taskpb.AccountRequest) (*taskpb.AccountReply, error) {
	all, err := s.calls.Accounts(ctx, q.Shard)
	if err != nil {
		return nil, encodeError(err)
	}
	reply := &taskpb.AccountReply{}
	for _, a := range all {
		reply.Rows = append(reply.Rows, &taskpb.AccountRow{
			Neighbour:             a.Neighbour,
			Share:                 a.Share,
			ProcessorMicros:       a.Usage.Processor.Microseconds(),
			MemoryByteSeconds:     a.Usage.MemoryTime,
			AcceleratorMicros:     a.Usage.Accelerator.Microseconds(),
			OpenTasks:             int64(a.OpenTasks),
			OpenProcessorMicros:   a.OpenAtMost.Processor.Microseconds(),
			OpenMemoryByteSeconds: a.OpenAtMost.MemoryTime,
			OpenAcceleratorMicros: a.OpenAtMost.Accelerator.Microseconds(),
		})
	}
	return reply, nil
}

func decodeAccounts(reply *taskpb.AccountReply, err error) ([]shard.Account, error) {
	if err != nil {
		return nil, decodeError(err)
	}
	var all []shard.Account
	for _, r := range reply.Rows {
		all = append(all, shard.Account{
			Neighbour: r.Neighbour,
			Share:     r.Share,
			Usage: worker.Total{
				Processor:   worker.SpanOfMicroseconds(r.ProcessorMicros),
				MemoryTime:  r.MemoryByteSeconds,
				Accelerator: worker.SpanOfMicroseconds(r.AcceleratorMicros),
			},
			OpenTasks: int(r.OpenTasks),
			OpenAtMost: decodeUsage(
				r.OpenProcessorMicros, r.OpenMemoryByteSeconds, r.OpenAcceleratorMicros),
		})
	}
	return all, nil
}

func decodeUsage(processorMicros int64, memory float64, acceleratorMicros int64) worker.Usage {
	return worker.Usage{
		Processor:   time.Duration(processorMicros) * time.Microsecond,
		MemoryTime:  memory,
		Accelerator: time.Duration(acceleratorMicros) * time.Microsecond,
	}
}

func encodeStatus(s task.Status, err error) (*taskpb.JobReply, error) {
	if err != nil {
		return nil, encodeError(err)
	}
	reply := &taskpb.JobReply{Id: s.ID, Job: s.Job, States: map[string]int32{}, Reason: s.Reason}
	for state, n := range s.States {
		reply.States[string(state)] = int32(n)
	}
	return reply, nil
}

func decodeStatus(reply *taskpb.JobReply, err error) (task.Status, error) {
	if err != nil {
		return task.Status{}, decodeError(err)
	}
	s := task.Status{ID: reply.Id, Job: reply.Job, States: map[task.State]int{}, Reason: reply.Reason}
	for state, n := range reply.States {
		s.States[task.State(state)] = int(n)
	}
	return s, nil
}

// encodeError maps the errors of the task plane to status codes.
func encodeError(err error) error {
	var missing *task.NotFoundError
	var refused *task.RefusedError
	var not *shard.NotLeaderError
	switch {
	case errors.As(err, &missing):
		return status.Error(codes.NotFound, missing.ID)
	case errors.As(err, &refused):
		return status.Error(codes.FailedPrecondition, refused.Reason)
	case errors.As(err, &not):
		return status.Error(codes.Aborted, not.Leader)
	}
	return status.Error(codes.Unavailable, err.Error())
}

// decodeError is the inverse of encodeError.
func decodeError(err error) error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	switch s.Code() {
	case codes.NotFound:
		return &task.NotFoundError{ID: s.Message()}
	case codes.FailedPrecondition:
		return &task.RefusedError{Reason: s.Message()}
	case codes.Aborted:
		return &shard.NotLeaderError{Leader: s.Message()}
	}
	return err
}
