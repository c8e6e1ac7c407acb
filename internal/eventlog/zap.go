package eventlog

import (
	"io"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// NewZap returns a zap logger that writes lines of JSON to out, from level debug on.
func NewZap(out io.Writer) *zap.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	encoder.EncodeDuration = zapcore.MillisDurationEncoder
	return zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), zapcore.AddSync(out), zapcore.DebugLevel))
}
