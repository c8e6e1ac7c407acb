package eventlog_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

func TestBlockedOutputDoesNotBlockLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		sink := &eventlog.Sink{Out: out, BufferBytes: 10_000, BytesPerSecond: 1 << 30}
		done := make(chan struct{})
		ended := make(chan struct{})
		go func() {
			sink.Run(done)
			close(ended)
		}()
		log := eventlog.New(eventlog.NewZap(sink))
		log.Emit(eventlog.JobAccepted)
		time.Sleep(time.Second)
		synctest.Wait() // The sink waits for its output now.
		began := time.Now()
		for range 10_000 {
			log.Emit(eventlog.JobAccepted, zap.String("job", "5c0e7a21d94b36f8"))
		}
		require.Zero(t, time.Since(began), "logging must not wait for the output")
		close(out.release)
		close(done)
		<-ended
		require.NoError(t, sink.Sync())
		out.mu.Lock()
		defer out.mu.Unlock()
		require.Contains(t, out.text.String(), eventlog.LinesDropped.Message)
		require.Less(t, out.text.Len(), 30_000, "the buffer must be bounded")
	})
}

func TestLogVolumeIsBounded(t *testing.T) {
	var out bytes.Buffer
	sink := &eventlog.Sink{Out: &out, BufferBytes: 1 << 20, BytesPerSecond: 5_000}
	log := eventlog.New(eventlog.NewZap(sink))
	for range 1_000 {
		log.Emit(eventlog.JobAccepted)
	}
	require.NoError(t, sink.Sync())
	lines := strings.Count(out.String(), "\n")
	require.Greater(t, lines, 10)
	require.Less(t, out.Len(), 20_000)
	require.Contains(t, out.String(), `"lines":`)
}
