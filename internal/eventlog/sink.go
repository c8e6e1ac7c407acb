package eventlog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// sinkBytes bounds the lines that wait to be written.
	sinkBytes = 256 << 10
	// sinkBytesPerSecond bounds the volume of the log; a holder at 350 workers writes about half of it.
	sinkBytesPerSecond = 1 << 20
	// gatherTime lets lines share one write.
	gatherTime = 20 * time.Millisecond
)

// Sink writes lines to an output in the background. It never blocks those who
// log: what exceeds its bounds is dropped and counted in a line of its own.
// Its fields are set before Run.
type Sink struct {
	Out io.Writer
	// Bytes and BytesPerSecond bound what waits and what is written; zero means the defaults.
	Bytes          int
	BytesPerSecond int

	mu      sync.Mutex
	buffer  []byte
	spare   []byte
	dropped int
	budget  float64
	at      time.Time
	wake    chan struct{}
	once    sync.Once
}

func (s *Sink) init() {
	s.once.Do(func() {
		s.wake = make(chan struct{}, 1)
		if s.Bytes == 0 {
			s.Bytes = sinkBytes
		}
		if s.BytesPerSecond == 0 {
			s.BytesPerSecond = sinkBytesPerSecond
		}
		s.budget, s.at = float64(s.BytesPerSecond), time.Now()
	})
}

// Write takes one line; it never fails and never waits.
func (s *Sink) Write(line []byte) (int, error) {
	s.init()
	s.mu.Lock()
	at := time.Now()
	s.budget = min(float64(s.BytesPerSecond), s.budget+at.Sub(s.at).Seconds()*float64(s.BytesPerSecond))
	s.at = at
	if len(s.buffer)+len(line) > s.Bytes || s.budget < float64(len(line)) {
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

// Sync writes what waits, for the end of a process.
func (s *Sink) Sync() error {
	s.init()
	return s.flush()
}

// Run writes lines until done is closed, and what waits then.
func (s *Sink) Run(done <-chan struct{}) {
	s.init()
	for {
		select {
		case <-done:
			_ = s.flush() // There is nowhere left to report a failure.
			return
		case <-s.wake:
		}
		time.Sleep(gatherTime)
		_ = s.flush() // A failure of the log's own output cannot be logged.
	}
}

// flush writes all lines that wait.
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
