// Package peer implements the calls between entry instances, over gRPC: reports
// about slots, forwarded requests, configuration and request counts for operators,
// and the calls about jobs and tasks. An entry instance accepts requests from
// callers and forwards those that it has no slot for.
//
// For each kind of call, NewX returns a client for the peer at the other end of a
// connection, and RegisterX registers the handlers of this instance. Jobs belong
// to cells and tasks to shards; both are partitions of the workers, each led by
// one instance.
//
// # Usage
//
//	peer.RegisterTasks(server, calls)
//	tasks := peer.NewTasks(conn)
//	status, err := tasks.Submit(ctx, shardID, part)
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

// NewTasks returns the calls to the shards that the peer at the other end of a connection
// leads.
func NewTasks(conn *grpc.ClientConn) *shard.Calls {
	c := taskpb.NewTasksClient(conn)
	return &shard.Calls{
		Submit: func(ctx context.Context, id string, p task.Part) (task.Status, error) {
			return decodeStatus(c.Submit(ctx, encodeSubmission(id, p)))
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
			return decodeFreeCapacities(c.Room(ctx, &taskpb.RoomRequest{Shard: id, From: from, Families: families}))
		},
		Transfer: func(ctx context.Context, id string, t shard.Transfer) error {
			_, err := c.Transfer(ctx, encodeTransfer(id, t))
			return decodeError(err)
		},
		Report: func(ctx context.Context, id string, r shard.Report) error {
			_, err := c.Report(ctx, encodeTaskReport(id, r))
			return decodeError(err)
		},
	}
}

// RegisterTasks registers the handlers of peers' calls to the shards that this instance
// leads.
func RegisterTasks(server *grpc.Server, c *shard.Calls) {
	taskpb.RegisterTasksServer(server, &tasksServer{calls: c})
}

type tasksServer struct {
	taskpb.UnimplementedTasksServer
	calls *shard.Calls
}

func encodeSubmission(id string, p task.Part) *taskpb.SubmitRequest {
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

// Submit accepts a range of the tasks of a job.
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

// Describe returns how many tasks of a job are in each state.
func (s *tasksServer) Describe(ctx context.Context, q *taskpb.JobRequest) (*taskpb.JobReply, error) {
	return encodeStatus(s.calls.Describe(ctx, q.Shard, q.Neighbour, q.Id))
}

// Cancel withdraws the tasks of a job that have not finished.
func (s *tasksServer) Cancel(ctx context.Context, q *taskpb.JobRequest) (*taskpb.JobReply, error) {
	return encodeStatus(s.calls.Cancel(ctx, q.Shard, q.Neighbour, q.Id))
}

// Account returns the usage of each share, and a bound on the usage of its tasks that is
// not known yet.
func (s *tasksServer) Account(ctx context.Context, q *taskpb.AccountRequest) (*taskpb.AccountReply, error) {
	accounts, err := s.calls.Accounts(ctx, q.Shard)
	if err != nil {
		return nil, encodeError(err)
	}
	reply := &taskpb.AccountReply{}
	for _, a := range accounts {
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
	var accounts []shard.Account
	for _, r := range reply.Rows {
		accounts = append(accounts, shard.Account{
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
	return accounts, nil
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

// encodeError maps the errors of task calls to status codes.
func encodeError(err error) error {
	var missing *task.NotFoundError
	var refused *task.RefusedError
	var notLeader *shard.NotLeaderError
	switch {
	case errors.As(err, &missing):
		return status.Error(codes.NotFound, missing.ID)
	case errors.As(err, &refused):
		return status.Error(codes.FailedPrecondition, refused.Reason)
	case errors.As(err, &notLeader):
		return status.Error(codes.Aborted, notLeader.Leader)
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
