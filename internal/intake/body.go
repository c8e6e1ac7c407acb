package intake

import (
	"context"
	"errors"
	"io"
)

const (
	// firstRead and declaredRead are the sizes of the first buffer for a body, without and with a declared
	// size. A declared size is not trusted beyond that.
	firstRead    = 1 << 10
	declaredRead = 12 << 10
)

// ReadBody reads a body to its end. Declared is its size in bytes, or negative if it is unknown. Each time
// that bytes have arrived and more are expected, onBytes is called unless it is nil. The bytes
// stay taken until the response has been sent. The error is a *FullError, a *ClosedError or that of the
// reader.
func (l *Lease) ReadBody(body io.Reader, declared int64, onBytes func()) ([]byte, error) {
	if err := l.Enter(Body); err != nil {
		return nil, err
	}
	text, err := l.read(body, declared, onBytes, l.Take)
	// A connection that was closed meanwhile fails here, so that its request is not served.
	if enterErr := l.Enter(Working); err == nil {
		err = enterErr
	}
	return text, err
}

// Read reads an answer to its end, in the current phase. If bytes are missing, it waits for them until the
// context is done. The text is what arrived if there is an error; its bytes are then given back.
func (l *Lease) Read(ctx context.Context, answer io.Reader, declared int64) ([]byte, error) {
	return l.read(answer, declared, nil, func(bytes int64) error { return l.Await(ctx, bytes) })
}

// read reads to the end, with a function that takes bytes.
func (l *Lease) read(source io.Reader, declared int64, onBytes func(), take func(bytes int64) error) ([]byte, error) {
	size := int64(firstRead)
	if declared >= 0 {
		size = min(declared+1, declaredRead)
	}
	if err := take(size); err != nil {
		return nil, err
	}
	buffer := make([]byte, 0, size)
	if err := l.fill(&buffer, source, declared, onBytes, take); err != nil {
		l.Give(int64(cap(buffer)))
		return buffer, err
	}
	return buffer, nil
}

// fill reads to the end into a buffer, which it replaces by larger ones.
func (l *Lease) fill(buffer *[]byte, source io.Reader, declared int64, onBytes func(), take func(bytes int64) error) error {
	for {
		text := *buffer
		n, err := source.Read(text[len(text):cap(text)])
		text = text[:len(text)+n]
		*buffer = text
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if n > 0 {
			l.Progress(n)
			if onBytes != nil {
				onBytes()
			}
		}
		if len(text) < cap(text) {
			continue
		}
		if *buffer, err = l.grow(text, declared, take); err != nil {
			return err
		}
	}
}

// grow returns a full buffer with twice the capacity, or that of the declared size if it is smaller. If it
// fails, it returns the buffer as it was.
func (l *Lease) grow(text []byte, declared int64, take func(bytes int64) error) ([]byte, error) {
	size := 2 * int64(cap(text))
	if declared >= int64(cap(text)) {
		size = min(size, declared+1)
	}
	if err := take(size); err != nil {
		return text, err
	}
	larger := make([]byte, len(text), size)
	copy(larger, text)
	l.Give(int64(cap(text)))
	return larger, nil
}
