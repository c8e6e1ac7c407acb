package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// defaultBufferBytes is the default limit on buffered lines.
	defaultBufferBytes = 256 << 10
	// defaultBytesPerSecond is the default rate limit; a leader with 350 workers
	// writes about half of it.
	defaultBytesPerSecond = 1 << 20
	// batchDelay is the delay before a write, so that several lines share it.
	batchDelay = 20 * time.Millisecond
)

// Sink is a writer that buffers log lines and writes them to an output in the
// background. It never blocks the callers of Write: lines that exceed its limits
// are dropped, and a line of the event LinesDropped gives their number. Its
// exported fields must be set before the first call.
type Sink struct {
	Out io.Writer
	// BufferBytes limits the size of the buffered lines, and BytesPerSecond the rate at
	// which lines are accepted; zero means the defaults.
	BufferBytes    int
	BytesPerSecond int

	mu      sync.Mutex
	buffer  []byte
	spare   []byte // the buffer of the last write, to be reused
	dropped int
	// budget is the number of bytes that the rate limit still allows, as of refilledAt.
	budget     float64
	refilledAt time.Time
	wake       chan struct{}
	once       sync.Once
}

// init prepares the sink on its first use and applies the defaults.
func (s *Sink) init() {
	s.once.Do(func() {
		s.wake = make(chan struct{}, 1)
		if s.BufferBytes == 0 {
			s.BufferBytes = defaultBufferBytes
		}
		if s.BytesPerSecond == 0 {
			s.BytesPerSecond = defaultBytesPerSecond
		}
		s.budget, s.refilledAt = float64(s.BytesPerSecond), time.Now()
	})
}

// Write buffers one line, or drops it if a limit is exceeded. It never fails or blocks.
func (s *Sink) Write(line []byte) (int, error) {
	s.init()
	s.mu.Lock()
	now := time.Now()
	s.budget = min(float64(s.BytesPerSecond), s.budget+now.Sub(s.refilledAt).Seconds()*float64(s.BytesPerSecond))
	s.refilledAt = now
	if len(s.buffer)+len(line) > s.BufferBytes || s.budget < float64(len(line)) {
		s.dropped++
		s.mu.Unlock()
		return len(line), nil
	}
	s.budget -= float64(len(line))
	s.buffer = append(s.buffer, line...)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Sync writes the buffered lines. It is called at the end of a process.
func (s *Sink) Sync() error {
	s.init()
	return s.flush()
}

// Run writes buffered lines until done is closed, and then those that are still buffered.
func (s *Sink) Run(done <-chan struct{}) {
	s.init()
	for {
		select {
		case <-done:
			_ = s.flush() // A failure cannot be reported anywhere.
			return
		case <-s.wake:
		}
		time.Sleep(batchDelay)
		_ = s.flush() // A failure of the log's own output cannot be logged.
	}
}

// flush writes the buffered lines. If lines were dropped, it adds one line of the event
// LinesDropped with their number.
func (s *Sink) flush() error {
	s.mu.Lock()
	lines := s.buffer
	if s.dropped > 0 {
		lines = fmt.Appendf(lines, `{"level":"warn","msg":%q,"event":%d,"lines":%d}`+"\n",
			LinesDropped.Message, LinesDropped.Number, s.dropped)
		s.dropped = 0
	}
	s.buffer, s.spare = s.spare[:0], nil
	s.mu.Unlock()
	if len(lines) == 0 {
		return nil
	}
	_, err := s.Out.Write(lines)
	s.mu.Lock()
	s.spare = lines[:0]
	s.mu.Unlock()
	return err
}
