package peer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// panicHandler recovers from panics in call handlers, so that a panic ends only its call
// and not the process.
type panicHandler struct {
	log *eventlog.Log
}

// recoverPanic turns a panic into the call's error. The error does not state whether the
// call was carried out.
func (h panicHandler) recoverPanic(call string, err *error) {
	if cause := recover(); cause != nil {
		h.log.Emit(eventlog.MessagePanicked, zap.String("call", call), zap.Any("fault", cause), zap.Stack("stack"))
		*err = status.Error(codes.Internal, "fault in the answer to "+call)
	}
}

func (h panicHandler) unary(ctx context.Context, q any, info *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (answer any, err error) {
	defer h.recoverPanic(info.FullMethod, &err)
	return handle(ctx, q)
}

func (h panicHandler) stream(server any, s grpc.ServerStream, info *grpc.StreamServerInfo, handle grpc.StreamHandler) (err error) {
	defer h.recoverPanic(info.FullMethod, &err)
	return handle(server, s)
}
