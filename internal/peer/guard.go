package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// guard lets a panic in the answer to one call end that call instead of the process.
type guard struct {
	log *eventlog.Log
}

// recovered turns a panic into the call's error, which leaves open whether the
// call was carried out.
func (g guard) recovered(call string, err *error) {
	if fault := recover(); fault != nil {
		g.log.Emit(eventlog.MessagePanicked, zap.String("call", call), zap.Any("fault", fault), zap.Stack("stack"))
		*err = status.Error(codes.Internal, "fault in the answer to "+call)
	}
}

func (g guard) unary(ctx context.Context, q any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (answer any, err error) {
	defer g.recovered(info.FullMethod, &err)
	return handle(ctx, q)
}

func (g guard) stream(server any, s grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	defer g.recovered(info.FullMethod, &err)
	return handle(server, s)
}
