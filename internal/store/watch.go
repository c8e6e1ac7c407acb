package store

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// watchIdleTimeout ends a watch without any message; the store sends progress notifications more often.
const watchIdleTimeout = 3 * time.Second

// watch follows a prefix until the context ends, the connection breaks, or no
// message arrives for watchIdleTimeout.
func (e *etcd) watch(ctx context.Context, prefix string, from int64, handle func(Update)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(watchIdleTimeout, cancel)
	defer idleTimer.Stop()

	create := watchCreate{Key: []byte(prefix), RangeEnd: PrefixEnd(prefix), StartRevision: int64String(from), ProgressNotify: true}
	r, err := e.post(ctx, "/v3/watch", watchRequest{Create: create})
	if err != nil {
		e.closeIdleConnections()
		return &UnavailableError{Call: "watch", Err: err}
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return &UnavailableError{Call: "watch", Err: fmt.Errorf("status %d", r.StatusCode)}
	}
	decoder := json.NewDecoder(r.Body)
	for {
		var answer watchAnswer
		if err := decoder.Decode(&answer); err != nil {
			e.closeIdleConnections()
			return &UnavailableError{Call: "watch", Err: err}
		}
		idleTimer.Reset(watchIdleTimeout)
		if answer.Result.CompactRevision > 0 {
			return &CompactedError{From: from}
		}
		if answer.Result.Canceled {
			return &UnavailableError{Call: "watch", Err: fmt.Errorf("cancelled by the store")}
		}
		handle(answer.update())
	}
}
