package exchange

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"
)

// Reply is the answer to an attempt. It is read to io.EOF or closed.
type Reply struct {
	*http.Response
	conn     *conn
	progress time.Duration
	once     sync.Once
}

// Read reads the body. It returns io.EOF only at the true end of the answer;
// a body that was cut short ends in io.ErrUnexpectedEOF.
func (r *Reply) Read(b []byte) (int, error) {
	r.conn.arm(r.progress)
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

// Close gives the attempt up unless its answer was read whole.
func (r *Reply) Close() {
	r.once.Do(func() { r.conn.giveUp() })
}
