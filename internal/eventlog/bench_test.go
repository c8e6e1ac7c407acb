package eventlog_test

import (
	"io"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// BenchmarkJobLog measures writing the log lines of a job with 8 tasks: the job is
// accepted, 8 tasks are placed, 8 runs end, and the job ends.
func BenchmarkJobLog(b *testing.B) {
	count := &countingWriter{}
	sink := &eventlog.Sink{Out: count, BufferBytes: 1 << 30, BytesPerSecond: 1 << 40}
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		sink.Run(done)
		close(ended)
	}()
	log := eventlog.New(eventlog.NewZap(sink)).With(zap.String("node", "edge-a-1"), zap.String("dataCentre", "bajio-a"))
	b.ReportAllocs()
	jobs := 0
	for b.Loop() {
		jobs++
		log.Emit(eventlog.JobAccepted, zap.String("job", "5c0e7a21d94b36f8"), zap.String("reason", "review"), zap.Int64("token", 7))
		for range 8 {
			log.Emit(eventlog.TaskPlaced, zap.String("task", "5c0e7a21d94b36f8.0.0.7"), zap.Int64("run", 1),
				zap.String("worker", "i-7356aed658"), zap.Duration("age", time.Millisecond), zap.Int64("token", 7))
			log.Emit(eventlog.RunEnded, zap.String("task", "5c0e7a21d94b36f8.0.0.7"), zap.Int64("run", 1),
				zap.String("worker", "i-7356aed658"), zap.String("reason", "done"), zap.Int64("token", 7))
		}
		log.Emit(eventlog.JobEnded, zap.String("job", "5c0e7a21d94b36f8"), zap.Duration("age", time.Second),
			zap.String("reason", "completed: all tasks have ended"), zap.Int64("token", 7))
	}
	close(done)
	<-ended
	b.ReportMetric(float64(count.bytes)/float64(jobs), "B/job")
}

// countingWriter counts the bytes written to it and discards them.
type countingWriter struct{ bytes int }

func (w *countingWriter) Write(p []byte) (int, error) {
	w.bytes += len(p)
	return io.Discard.Write(p)
}
