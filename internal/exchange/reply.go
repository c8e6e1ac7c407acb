package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Reply is the response to an attempt. The caller reads it until io.EOF or closes it.
type Reply struct {
	*http.Response
	conn            *conn
	progressTimeout time.Duration
	once            sync.Once
}

// Read reads the body. It returns io.EOF only if the response is complete; a truncated body ends
// with io.ErrUnexpectedEOF.
func (r *Reply) Read(b []byte) (int, error) {
	r.conn.setTimeout(r.progressTimeout)
	n, err := r.Body.Read(b)
	if errors.Is(err, io.EOF) {
		r.once.Do(func() { r.conn.finish(!r.Response.Close) })
		return n, err
	}
	if err != nil {
		r.Close()
	}
	return n, err
}

// Close abandons the attempt unless its response was read completely.
func (r *Reply) Close() {
	r.once.Do(func() { r.conn.abandon() })
}
