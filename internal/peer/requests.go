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

// maxMessageBytes bounds a message between peers, above the largest body of a route.
const maxMessageBytes = 128 << 20

// windowBytes is the flow-control window of a connection and of each call on
// it, above what the link between regions holds in flight. A fixed window also spares the
// pings with which the library measures connections, one with each message.
const windowBytes = 1 << 20

// greetingTimeout bounds the making of a connection by a peer; a peer that is
// silent from the start is dropped.
const greetingTimeout = 3 * time.Second

// ServerOptions are the options of the server that answers peers; a fault in
// one answer goes to the log.
func ServerOptions(log *eventlog.Log) []grpc.ServerOption {
	g := guard{log: log}
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(g.unary),
		grpc.StreamInterceptor(g.stream),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.MaxSendMsgSize(maxMessageBytes),
		grpc.ConnectionTimeout(greetingTimeout),
		grpc.StaticStreamWindowSize(windowBytes),
		grpc.StaticConnWindowSize(windowBytes),
	}
}

// Requests is the request plane of an instance, here or at the other end of a connection.
type Requests struct {
	Do     func(ctx context.Context, q entry.Request) (entry.Response, error)
	Stream func(ctx context.Context, q entry.Request, to entry.Sink) error
	// Begin and Finish keep the keys whose home the instance is.
	Begin  func(ctx context.Context, k entry.Key) error
	Finish func(ctx context.Context, k entry.Key, o entry.Outcome) error
	// State says what the instance knows of a key whose home it was.
	State func(ctx context.Context, k entry.Key) (home.Statement, error)
	// Resolve finds what a forwarded request names in the configuration; only a server needs it.
	Resolve func(neighbour, service, route string) (entry.Request, bool)
	// Idle returns the free slots of a service for the answer to a peer; nil tells nothing.
	Idle func(service string) int
	// OnIdle takes the free slots that an answer tells of; nil means nobody asks.
	OnIdle func(service string, idle int)
}

// NewRequests returns the request plane at the other end of a connection.
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

// reachable reports whether the connection stands; a call over another one
// would leave open whether it was sent.
func (c *requestsClient) reachable() bool {
	if c.conn.GetState() == connectivity.Ready {
		return true
	}
	c.conn.Connect()
	return false
}

func unreachable() error {
	return &entry.OutcomeError{
		Outcome: entry.NotRun, Status: http.StatusServiceUnavailable,
		Reason: "the peer cannot be reached", Cause: entry.CauseTarget,
	}
}

func broken(err error) error {
	return &entry.OutcomeError{
		Outcome: entry.Unknown, Status: http.StatusBadGateway,
		Reason: "the peer did not answer: " + err.Error(), Cause: entry.CauseTarget,
	}
}

func (c *requestsClient) do(ctx context.Context, q entry.Request, heard func(string, int)) (entry.Response, error) {
	if !c.reachable() {
		return entry.Response{}, unreachable()
	}
	reply, err := c.client.Do(ctx, encodeRequest(q), c.options...)
	if err != nil {
		return entry.Response{}, broken(err)
	}
	if heard != nil && reply.Idle != nil {
		heard(q.Service.Name, int(*reply.Idle))
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
		return unreachable()
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	parts, err := c.client.Stream(ctx, encodeRequest(q), c.options...)
	if err != nil {
		return broken(err)
	}
	head, err := parts.Recv()
	if err != nil {
		return broken(err)
	}
	if head.Outcome != nil {
		return decodeOutcome(head.Outcome)
	}
	if head.Slowed && to.Slowed != nil {
		to.Slowed()
	}
	if err := to.Head(int(head.Status), decodeHeaders(head.Headers)); err != nil {
		return &entry.CutError{Err: err}
	}
	for {
		part, err := parts.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = to.Write(part.Piece)
		}
		if err != nil {
			return &entry.CutError{Err: err}
		}
	}
}

func (c *requestsClient) state(ctx context.Context, k entry.Key) (home.Statement, error) {
	reply, err := c.client.State(ctx, &requestpb.StateRequest{Key: encodeKey(k)})
	if err != nil {
		return home.Statement{}, fmt.Errorf("ask a former home: %w", err)
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

// RegisterRequests answers the calls of peers with a request plane.
func RegisterRequests(server *grpc.Server, r *Requests) {
	requestpb.RegisterRequestsServer(server, &requestsServer{requests: r})
}

type requestsServer struct {
	requestpb.UnimplementedRequestsServer
	requests *Requests
}

// decode returns the request that a peer forwards.
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

// Do runs a request.
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
	a, err := s.requests.Do(ctx, q)
	if err != nil {
		return &requestpb.Answer{Outcome: encodeOutcome(err)}
	}
	return &requestpb.Answer{Status: int32(a.Status), Headers: encodeHeaders(a.Header), Body: a.Body, Slowed: a.Slowed}
}

// Stream runs a request and passes its answer on.
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

// Begin marks a key as started.
func (s *requestsServer) Begin(ctx context.Context, q *requestpb.BeginRequest) (*requestpb.BeginReply, error) {
	err := s.requests.Begin(ctx, decodeKey(q.Key))
	var taken *entry.KeyTakenError
	if errors.As(err, &taken) {
		return &requestpb.BeginReply{Taken: true}, nil
	}
	return &requestpb.BeginReply{}, err
}

// State says what the instance knows of a key.
func (s *requestsServer) State(ctx context.Context, q *requestpb.StateRequest) (*requestpb.StateReply, error) {
	said, err := s.requests.State(ctx, decodeKey(q.Key))
	if err != nil {
		return nil, err
	}
	return &requestpb.StateReply{Begun: said.Begun, SinceMicros: said.Since.UnixMicro()}, nil
}

// Finish tells how the request with a key ended.
func (s *requestsServer) Finish(ctx context.Context, q *requestpb.FinishRequest) (*requestpb.FinishReply, error) {
	return &requestpb.FinishReply{}, s.requests.Finish(ctx, decodeKey(q.Key), entry.Outcome(q.Outcome))
}
