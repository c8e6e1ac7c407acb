package peer

import (
	"context"
	"errors"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/oriolepond/oriolepond/internal/batch"
	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/peer/jobpb"
	"github.com/oriolepond/oriolepond/internal/scheduler"
)

// NewJobs returns the calls about the jobs of a cell, handled by the node at the other
// end of a connection.
func NewJobs(conn *grpc.ClientConn, cell int) *scheduler.Calls {
	c, cellNumber := jobpb.NewJobsClient(conn), int32(cell)
	return &scheduler.Calls{
		Submit: func(ctx context.Context, j batch.Job) error {
			value, err := batch.EncodeJob(j)
			if err != nil {
				return err
			}
			var server peer.Peer
			_, err = c.Submit(ctx, &jobpb.SubmitRequest{Job: value, Cell: cellNumber}, grpc.Peer(&server))
			return decodeSubmitError(err, server)
		},
		Relay: func(ctx context.Context, j batch.Job) error {
			value, err := batch.EncodeJob(j)
			if err != nil {
				return err
			}
			var server peer.Peer
			_, err = c.Submit(ctx, &jobpb.SubmitRequest{Job: value, Relayed: true, Cell: cellNumber}, grpc.Peer(&server))
			return decodeSubmitError(err, server)
		},
		Cancel: func(ctx context.Context, id string) (bool, error) {
			r, err := c.Cancel(ctx, &jobpb.JobRequest{Id: id, Cell: cellNumber})
			return r.GetKnown(), decodeStateError(r, err)
		},
		State: func(ctx context.Context, id string) (batch.State, bool, error) {
			r, err := c.State(ctx, &jobpb.JobRequest{Id: id, Cell: cellNumber})
			return batch.State(r.GetState()), r.GetKnown(), decodeStateError(r, err)
		},
		Pending: func(ctx context.Context, queue string) (int, error) {
			r, err := c.Pending(ctx, &jobpb.PendingRequest{Queue: queue, Cell: cellNumber})
			return int(r.GetJobs()), decodeJobError(err)
		},
		Retired: func(ctx context.Context, token int64) (bool, error) {
			r, err := c.Retired(ctx, &jobpb.RetiredRequest{Token: token, Cell: cellNumber})
			return r.GetRetired(), err
		},
	}
}

// decodeSubmitError returns the error of a submission. The server is set once the call has been
// assigned to a connection; without one, the call was not sent.
func decodeSubmitError(err error, server peer.Peer) error {
	if err != nil && server.Addr == nil {
		return &scheduler.UnreachableError{Err: err}
	}
	return decodeJobError(err)
}

// decodeStateError returns the error of a reply, which may state the cell to which a job
// was moved.
func decodeStateError(r *jobpb.StateReply, err error) error {
	if err == nil && r.GetMoved() {
		return &scheduler.MovedError{Cell: int(r.GetMovedTo())}
	}
	return decodeJobError(err)
}

// RegisterJobs registers the handlers of peers' calls about the jobs of a cell. Jobs limits the memory for
// the jobs that they submit at once; nil means no limit.
func RegisterJobs(server *grpc.Server, calls func(cell int) *scheduler.Calls, jobs *intake.Budget) {
	jobpb.RegisterJobsServer(server, &jobsServer{calls: calls, jobs: jobs})
}

type jobsServer struct {
	jobpb.UnimplementedJobsServer
	calls func(cell int) *scheduler.Calls
	jobs  *intake.Budget
}

// submissionBytes is how much memory a submission needs for each byte of the encoded job.
const submissionBytes = 8

// lease takes the memory for a submission of so many bytes. The error is a *scheduler.UnavailableError.
func (s *jobsServer) lease(bytes int64) (*intake.Lease, error) {
	if s.jobs == nil {
		return nil, nil
	}
	l, err := s.jobs.Open(func() {})
	if err == nil {
		_ = l.Enter(intake.Working)
		if err = l.Take(submissionBytes * bytes); err == nil {
			return l, nil
		}
		l.Close()
	}
	return nil, &scheduler.UnavailableError{Reason: err.Error(), RetryAfter: intake.RetryAfter}
}

// Submit accepts a job for its cell. This node must lead the cell unless the job is
// relayed.
func (s *jobsServer) Submit(ctx context.Context, q *jobpb.SubmitRequest) (*jobpb.SubmitReply, error) {
	lease, err := s.lease(int64(len(q.Job)))
	if err != nil {
		return nil, encodeJobError(err)
	}
	defer lease.Close()
	j, err := batch.DecodeJob(q.Job)
	if err != nil {
		return nil, encodeJobError(&batch.InvalidError{Reason: err.Error()})
	}
	c := s.calls(int(q.Cell))
	submit := c.Submit
	if q.Relayed {
		submit = c.Relay
	}
	return &jobpb.SubmitReply{}, encodeJobError(submit(ctx, j))
}

// Cancel withdraws a job. The reply states whether the job is known.
func (s *jobsServer) Cancel(ctx context.Context, q *jobpb.JobRequest) (*jobpb.StateReply, error) {
	known, err := s.calls(int(q.Cell)).Cancel(ctx, q.Id)
	return stateReply("", known, err)
}

// State returns the state of a job, or the cell to which the job was moved.
func (s *jobsServer) State(ctx context.Context, q *jobpb.JobRequest) (*jobpb.StateReply, error) {
	return stateReply(s.calls(int(q.Cell)).State(ctx, q.Id))
}

// stateReply returns a reply with the state of a job, or with the cell to which it was
// moved.
func stateReply(state batch.State, known bool, err error) (*jobpb.StateReply, error) {
	var moved *scheduler.MovedError
	if errors.As(err, &moved) {
		return &jobpb.StateReply{Known: true, Moved: true, MovedTo: int32(moved.Cell)}, nil
	}
	return &jobpb.StateReply{Known: known, State: string(state)}, encodeJobError(err)
}

// Pending returns the number of jobs in a queue of which no task has started.
func (s *jobsServer) Pending(ctx context.Context, q *jobpb.PendingRequest) (*jobpb.PendingReply, error) {
	n, err := s.calls(int(q.Cell)).Pending(ctx, q.Queue)
	return &jobpb.PendingReply{Jobs: int32(n)}, encodeJobError(err)
}

// Retired reports whether this node has stopped renewing workers' leases under all fencing
// tokens up to the given one.
func (s *jobsServer) Retired(ctx context.Context, q *jobpb.RetiredRequest) (*jobpb.RetiredReply, error) {
	retired, err := s.calls(int(q.Cell)).Retired(ctx, q.Token)
	return &jobpb.RetiredReply{Retired: retired}, err
}

// encodeJobError maps the errors of scheduler calls to status codes.
func encodeJobError(err error) error {
	var (
		notLeader   *scheduler.NotLeaderError
		invalid     *batch.InvalidError
		noQueue     *batch.NoQueueError
		unavailable *scheduler.UnavailableError
	)
	switch {
	case err == nil:
		return nil
	case errors.As(err, &notLeader):
		return status.Error(codes.FailedPrecondition, err.Error())
	case errors.As(err, &invalid):
		return status.Error(codes.InvalidArgument, invalid.Reason)
	case errors.As(err, &noQueue):
		return status.Error(codes.NotFound, noQueue.Queue)
	case errors.As(err, &unavailable):
		s, detailErr := status.New(codes.ResourceExhausted, unavailable.Reason).
			WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(unavailable.RetryAfter)})
		if detailErr != nil {
			return status.Error(codes.ResourceExhausted, unavailable.Reason)
		}
		return s.Err()
	}
	return status.Error(codes.Unknown, err.Error())
}

// decodeJobError is the inverse of encodeJobError. With an unknown status code, the call
// may have been carried out.
func decodeJobError(err error) error {
	s, ok := status.FromError(err)
	if err == nil || !ok {
		return err
	}
	switch s.Code() {
	case codes.FailedPrecondition:
		return &scheduler.NotLeaderError{}
	case codes.InvalidArgument:
		return &batch.InvalidError{Reason: s.Message()}
	case codes.NotFound:
		return &batch.NoQueueError{Queue: s.Message()}
	case codes.ResourceExhausted:
		u := &scheduler.UnavailableError{Reason: s.Message()}
		for _, d := range s.Details() {
			if info, is := d.(*errdetails.RetryInfo); is {
				u.RetryAfter = info.GetRetryDelay().AsDuration()
			}
		}
		return u
	}
	return &scheduler.UnknownOutcomeError{Err: err}
}
