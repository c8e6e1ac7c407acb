package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/oriolepond/oriolepond/internal/entry"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/home"
	"github.com/oriolepond/oriolepond/internal/peer/requestpb"
)

// maxMessageBytes bounds the size of a message between peers. It exceeds the largest body
// that a route allows.
const maxMessageBytes = 128 << 20

// windowBytes is the flow-control window of a connection and of each call on it. It
// exceeds the bytes that the link between regions can have in flight. A fixed window also
// keeps gRPC from sending a bandwidth-estimation ping with each message.
const windowBytes = 1 << 20

// handshakeTimeout bounds the time that a peer may take to set up a connection; otherwise
// the connection is closed.
const handshakeTimeout = 3 * time.Second

// ServerOptions returns the options of the server that handles peers' calls. Panics in
// handlers are logged.
func ServerOptions(log *eventlog.Log) []grpc.ServerOption {
	handler := panicHandler{log: log}
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(handler.unary),
		grpc.StreamInterceptor(handler.stream),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
	}
}

const (
	// maxJobMessageBytes bounds a message to a node: a job whose record fits into the store, with each of its bytes
	// escaped.
	maxJobMessageBytes = 8 << 20
	// jobStreamWindowBytes and jobConnWindowBytes are the flow-control windows of a call to a node, most of which
	// are small, and of a connection.
	jobStreamWindowBytes = 64 << 10
	jobConnWindowBytes   = 256 << 10
	// maxJobHeaderBytes bounds the header of a call to a node.
	maxJobHeaderBytes = 16 << 10
	// maxJobCalls bounds the calls of one connection to a node.
	maxJobCalls = 1024
)

// JobServerOptions returns the options of the server that handles calls about jobs.
func JobServerOptions(log *eventlog.Log) []grpc.ServerOption {
	return append(ServerOptions(log),
		grpc.MaxRecvMsgSize(maxJobMessageBytes),
		grpc.MaxHeaderListSize(maxJobHeaderBytes),
		grpc.MaxConcurrentStreams(maxJobCalls),
		grpc.StaticStreamWindowSize(jobStreamWindowBytes),
		grpc.StaticConnWindowSize(jobConnWindowBytes))
}

// Requests handles callers' requests that are forwarded between instances, either at this
// instance or at the peer at the other end of a connection.
type Requests struct {
	// Do runs a request and returns its whole response. Stream runs one and passes the
	// response to a sink, piece by piece.
	Do     func(ctx context.Context, q entry.Request) (entry.Response, error)
	Stream func(ctx context.Context, q entry.Request, to entry.Sink) error
	// Begin and Finish record the start and the outcome of requests with idempotency
	// keys. They are called at the home of the key, which is the instance that the key's
	// hash selects.
	Begin  func(ctx context.Context, k entry.Key) error
	Finish func(ctx context.Context, k entry.Key, o entry.Outcome) error
	// State returns the statement of a previous home about a key: whether it may have let
	// a request with the key run.
	State func(ctx context.Context, k entry.Key) (home.Statement, error)
	// Resolve finds the service and route of a forwarded request in the configuration.
	// Only a server needs it.
	Resolve func(neighbour, service, route string) (entry.Request, bool)
	// Idle returns the number of free slots of a service, for the reply to a peer. If it
	// is nil, replies don't contain it.
	Idle func(service string) int
	// OnIdle handles the number of free slots that a reply contains. It may be nil.
	OnIdle func(service string, idle int)
}

// NewRequests returns a client for the requests that are forwarded to the peer at the
// other end of a connection.
func NewRequests(conn *grpc.ClientConn) *Requests {
	c := &requestsClient{
		conn:   conn,
		client: requestpb.NewRequestsClient(conn),
		options: []grpc.CallOption{
			grpc.MaxCallRecvMsgSize(maxMessageBytes),
			grpc.MaxCallSendMsgSize(maxMessageBytes),
		},
	}
	r := &Requests{Stream: c.stream, Begin: c.begin, Finish: c.finish, State: c.state}
	r.Do = func(ctx context.Context, q entry.Request) (entry.Response, error) {
		return c.do(ctx, q, r.OnIdle)
	}
	return r
}

type requestsClient struct {
	conn    *grpc.ClientConn
	client  requestpb.RequestsClient
	options []grpc.CallOption
}

// reachable reports whether the connection is ready, and starts to connect if it isn't. A
// failed call on a connection that isn't ready would leave open whether the request was
// sent.
func (c *requestsClient) reachable() bool {
	if c.conn.GetState() == connectivity.Ready {
		return true
	}
	c.conn.Connect()
	return false
}

func unreachableError() error {
	return &entry.OutcomeError{
		Outcome: entry.NotRun, Status: http.StatusServiceUnavailable,
		Reason: "the peer cannot be reached", Cause: entry.CauseTarget,
	}
}

func noReplyError(err error) error {
	return &entry.OutcomeError{
		Outcome: entry.Unknown, Status: http.StatusBadGateway,
		Reason: "the peer did not answer: " + err.Error(), Cause: entry.CauseTarget,
	}
}

func (c *requestsClient) do(ctx context.Context, q entry.Request, onIdle func(string, int)) (entry.Response, error) {
	if !c.reachable() {
		return entry.Response{}, unreachableError()
	}
	reply, err := c.client.Do(ctx, encodeRequest(q), c.options...)
	if err != nil {
		return entry.Response{}, noReplyError(err)
	}
	if onIdle != nil && reply.Idle != nil {
		onIdle(q.Service.Name, int(*reply.Idle))
	}
	if reply.Outcome != nil {
		return entry.Response{}, decodeOutcome(reply.Outcome)
	}
	return entry.Response{
		Status: int(reply.Status), Header: decodeHeaders(reply.Headers), Body: reply.Body, Slowed: reply.Slowed,
	}, nil
}

func (c *requestsClient) stream(ctx context.Context, q entry.Request, to entry.Sink) error {
	if !c.reachable() {
		return unreachableError()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call, err := c.client.Stream(ctx, encodeRequest(q), c.options...)
	if err != nil {
		return noReplyError(err)
	}
	first, err := call.Recv()
	if err != nil {
		return noReplyError(err)
	}
	if first.Outcome != nil {
		return decodeOutcome(first.Outcome)
	}
	if first.Slowed && to.Slowed != nil {
		to.Slowed()
	}
	if err := to.Head(int(first.Status), decodeHeaders(first.Headers)); err != nil {
		return &entry.CutError{Err: err}
	}
	for {
		message, err := call.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = to.Write(message.Piece)
		}
		if err != nil {
			return &entry.CutError{Err: err}
		}
	}
}

func (c *requestsClient) state(ctx context.Context, k entry.Key) (home.Statement, error) {
	reply, err := c.client.State(ctx, &requestpb.StateRequest{Key: encodeKey(k)})
	if err != nil {
		return home.Statement{}, fmt.Errorf("ask a previous home: %w", err)
	}
	return home.Statement{Begun: reply.Begun, Since: time.UnixMicro(reply.SinceMicros)}, nil
}

func (c *requestsClient) begin(ctx context.Context, k entry.Key) error {
	reply, err := c.client.Begin(ctx, &requestpb.BeginRequest{Key: encodeKey(k)})
	if err != nil {
		return err
	}
	if reply.Taken {
		return &entry.KeyTakenError{Key: k}
	}
	return nil
}

func (c *requestsClient) finish(ctx context.Context, k entry.Key, o entry.Outcome) error {
	_, err := c.client.Finish(ctx, &requestpb.FinishRequest{Key: encodeKey(k), Outcome: string(o)})
	return err
}

// RegisterRequests registers the handlers of requests that peers forward.
func RegisterRequests(server *grpc.Server, r *Requests) {
	requestpb.RegisterRequestsServer(server, &requestsServer{requests: r})
}

type requestsServer struct {
	requestpb.UnimplementedRequestsServer
	requests *Requests
}

// decode returns the request that a peer forwards, with its service and route from this
// instance's configuration.
func (s *requestsServer) decode(p *requestpb.Request) (entry.Request, error) {
	q, ok := s.requests.Resolve(p.Neighbour, p.Service, p.Route)
	if !ok {
		return q, &entry.OutcomeError{
			Outcome: entry.NotRun, Status: http.StatusServiceUnavailable,
			Reason: "the peer does not know the route", Cause: entry.CauseRefusal,
		}
	}
	q.Method, q.Path, q.Key, q.Body = p.Method, p.Path, p.Key, p.Body
	q.Header = decodeHeaders(p.Headers)
	q.Deadline = time.Now().Add(time.Duration(p.LeftMicros) * time.Microsecond)
	q.Forwarded, q.MayQueue = true, p.MayQueue
	return q, nil
}

// Do runs a forwarded request. The reply contains its response or its failure, and the
// number of free slots that the service has left here.
func (s *requestsServer) Do(ctx context.Context, p *requestpb.Request) (*requestpb.Answer, error) {
	reply := s.answer(ctx, p)
	if s.requests.Idle != nil {
		idle := int32(s.requests.Idle(p.Service))
		reply.Idle = &idle
	}
	return reply, nil
}

func (s *requestsServer) answer(ctx context.Context, p *requestpb.Request) *requestpb.Answer {
	q, err := s.decode(p)
	if err != nil {
		return &requestpb.Answer{Outcome: encodeOutcome(err)}
	}
	response, err := s.requests.Do(ctx, q)
	if err != nil {
		return &requestpb.Answer{Outcome: encodeOutcome(err)}
	}
	return &requestpb.Answer{Status: int32(response.Status), Headers: encodeHeaders(response.Header), Body: response.Body, Slowed: response.Slowed}
}

// Stream runs a forwarded request and sends its response piece by piece.
func (s *requestsServer) Stream(p *requestpb.Request, to requestpb.Requests_StreamServer) error {
	q, err := s.decode(p)
	if err != nil {
		return to.Send(&requestpb.Part{Outcome: encodeOutcome(err)})
	}
	slowed := false
	err = s.requests.Stream(to.Context(), q, entry.Sink{
		Slowed: func() { slowed = true },
		Head: func(status int, h http.Header) error {
			return to.Send(&requestpb.Part{Status: int32(status), Headers: encodeHeaders(h), Slowed: slowed})
		},
		Write: func(piece []byte) error { return to.Send(&requestpb.Part{Piece: piece}) },
	})
	var outcome *entry.OutcomeError
	if errors.As(err, &outcome) {
		return to.Send(&requestpb.Part{Outcome: encodeOutcome(outcome)})
	}
	return err
}

// Begin records that the request of a key starts. The reply states whether an earlier
// request with the key may already have run.
func (s *requestsServer) Begin(ctx context.Context, q *requestpb.BeginRequest) (*requestpb.BeginReply, error) {
	err := s.requests.Begin(ctx, decodeKey(q.Key))
	var taken *entry.KeyTakenError
	if errors.As(err, &taken) {
		return &requestpb.BeginReply{Taken: true}, nil
	}
	return &requestpb.BeginReply{}, err
}

// State returns the statement of this instance, as a previous home, about a key.
func (s *requestsServer) State(ctx context.Context, q *requestpb.StateRequest) (*requestpb.StateReply, error) {
	statement, err := s.requests.State(ctx, decodeKey(q.Key))
	if err != nil {
		return nil, err
	}
	return &requestpb.StateReply{Begun: statement.Begun, SinceMicros: statement.Since.UnixMicro()}, nil
}

// Finish records the outcome of the request with a key.
func (s *requestsServer) Finish(ctx context.Context, q *requestpb.FinishRequest) (*requestpb.FinishReply, error) {
	return &requestpb.FinishReply{}, s.requests.Finish(ctx, decodeKey(q.Key), entry.Outcome(q.Outcome))
}
