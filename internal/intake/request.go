package intake

import (
	"net/http"
	"time"
)

// extendInterval is the time between two changes of a read deadline, which are not free.
const extendInterval = time.Second

// ReadRequest reads the body of a request, of at most limit bytes, from a client that sends some within each
// stallTimeout. Beside the errors of Lease.ReadBody, it returns an *http.MaxBytesError for a larger body,
// and one that matches os.ErrDeadlineExceeded if the client stalls.
func ReadRequest(w http.ResponseWriter, r *http.Request, limit int64, stallTimeout time.Duration) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if r.ContentLength > limit {
		return nil, &http.MaxBytesError{Limit: limit}
	}
	control := http.NewResponseController(w)
	// The deadline is not supported by all writers, such as those of tests.
	var extendedAt time.Time
	extend := func() {
		if now := time.Now(); now.Sub(extendedAt) >= extendInterval {
			extendedAt = now
			_ = control.SetReadDeadline(now.Add(stallTimeout + extendInterval))
		}
	}
	extend()
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	return FromContext(r.Context()).ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, extend)
}
