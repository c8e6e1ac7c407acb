package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/peer/operatepb"
)

// Operate contains the calls about the configuration and the request counts of an
// instance, which operators need. They go to a peer or are the handlers of this instance.
type Operate struct {
	// Announce sends the caller's id and configuration revision, and returns the callee's
	// revision.
	Announce func(ctx context.Context, id string, revision int64) (int64, error)
	// Newest returns the callee's configuration if it is newer than the caller's.
	Newest func(ctx context.Context, have config.Snapshot) (config.Snapshot, bool, error)
	// Burn returns the callee's request counts and latencies for error budgets.
	Burn func(ctx context.Context) (burn.Snapshot, error)
	// StoreBurn makes the callee write its request counts and latencies to the store. It
	// returns the name under which they are stored, which is new for each start of an
	// instance.
	StoreBurn func(ctx context.Context) (string, error)
}

// NewOperate returns a client for the peer at the other end of a connection.
func NewOperate(conn *grpc.ClientConn) *Operate {
	c := operatepb.NewOperateClient(conn)
	return &Operate{
		Announce: func(ctx context.Context, id string, revision int64) (int64, error) {
			reply, err := c.Announce(ctx, &operatepb.AnnounceRequest{Id: id, Revision: revision})
			return reply.GetRevision(), err
		},
		Newest: func(ctx context.Context, have config.Snapshot) (config.Snapshot, bool, error) {
			reply, err := c.Newest(ctx, &operatepb.NewestRequest{Revision: have.Head().Revision, Known: have.Hashes()})
			if err != nil || reply.Revision == 0 {
				return config.Snapshot{}, false, err
			}
			h := config.Head{Revision: reply.Revision, Note: reply.Note, Chunks: reply.Chunks}
			received, err := config.FromPeer(h, reply.Values, have)
			return received, err == nil, err
		},
		Burn: func(ctx context.Context) (burn.Snapshot, error) {
			reply, err := c.Burn(ctx, &operatepb.BurnRequest{}, grpc.MaxCallRecvMsgSize(maxBurnBytes))
			if err != nil {
				return burn.Snapshot{}, err
			}
			return burn.DecodeReply(reply), nil
		},
		StoreBurn: func(ctx context.Context) (string, error) {
			reply, err := c.Burn(ctx, &operatepb.BurnRequest{Stored: true})
			return reply.GetInstance(), err
		},
	}
}

// maxBurnBytes bounds the size of a reply to Burn.
const maxBurnBytes = 64 << 20

// RegisterOperate registers the handlers of peers' calls about the configuration and the
// request counts.
func RegisterOperate(server *grpc.Server, o *Operate) {
	operatepb.RegisterOperateServer(server, &operateServer{operate: o})
}

type operateServer struct {
	operatepb.UnimplementedOperateServer
	operate *Operate
}

// Announce receives the caller's configuration revision and returns this instance's.
func (s *operateServer) Announce(ctx context.Context, q *operatepb.AnnounceRequest) (*operatepb.AnnounceReply, error) {
	revision, err := s.operate.Announce(ctx, q.Id, q.Revision)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &operatepb.AnnounceReply{Revision: revision}, nil
}

// Newest returns this instance's configuration if it is newer. Chunks that the caller has
// are left out.
func (s *operateServer) Newest(ctx context.Context, q *operatepb.NewestRequest) (*operatepb.NewestReply, error) {
	c, _, err := s.operate.Newest(ctx, config.Snapshot{})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	h := c.Head()
	if h.Revision <= q.Revision {
		return &operatepb.NewestReply{}, nil
	}
	known := map[string]bool{}
	for _, hash := range q.Known {
		known[hash] = true
	}
	reply := &operatepb.NewestReply{Revision: h.Revision, Note: h.Note, Chunks: h.Chunks, Values: map[string][]byte{}}
	for _, hash := range c.Hashes() {
		if !known[hash] {
			reply.Values[hash] = c.Chunk(hash)
		}
	}
	return reply, nil
}

// Burn returns this instance's request counts and latencies, or writes them to the store.
func (s *operateServer) Burn(ctx context.Context, q *operatepb.BurnRequest) (*operatepb.BurnReply, error) {
	if q.Stored {
		id, err := s.operate.StoreBurn(ctx)
		if err != nil {
			return nil, status.Error(codes.Unavailable, err.Error())
		}
		return &operatepb.BurnReply{Instance: id}, nil
	}
	snapshot, err := s.operate.Burn(ctx)
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return burn.EncodeReply(snapshot), nil
}
