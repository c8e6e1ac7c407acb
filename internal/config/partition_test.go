package config_test

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// link is an http.RoundTripper that calls a handler without a network, so that it works with the
// virtual time of synctest. While it is cut, calls and open responses hang.
type link struct {
	handler http.Handler
	cut     *atomic.Bool
}

// RoundTrip makes one call. The response body may stream until the context of the request ends.
func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.cut.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	reader, writer := io.Pipe()
	w := &responseWriter{pipe: writer, cut: l.cut, header: http.Header{}, started: make(chan struct{})}
	go func() {
		defer func() {
			if recover() != nil {
				_ = writer.CloseWithError(errors.New("no response"))
			}
			w.WriteHeader(http.StatusOK)
			_ = writer.Close()
		}()
		l.handler.ServeHTTP(w, r)
	}()
	select {
	case <-w.started:
		return &http.Response{StatusCode: w.status, Header: w.header, Body: reader, Request: r}, nil
	case <-r.Context().Done():
		_ = reader.Close()
		return nil, r.Context().Err()
	}
}

// responseWriter is an http.ResponseWriter that streams the body through a pipe.
type responseWriter struct {
	pipe    *io.PipeWriter
	cut     *atomic.Bool
	header  http.Header
	status  int
	once    sync.Once
	started chan struct{}
}

// Header returns the response headers.
func (w *responseWriter) Header() http.Header { return w.header }

// WriteHeader starts the response with a status.
func (w *responseWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.started)
	})
}

// Write streams p as the next bytes of the body, or drops p while the link is cut.
func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.cut.Load() {
		return len(p), nil
	}
	return w.pipe.Write(p)
}

// Flush does nothing, since writes are not buffered.
func (w *responseWriter) Flush() {}

// Two regions cannot reach each other for an hour, and one of them cannot reach the store either.
// Notes accepted meanwhile come into force within inForceTimeout in the region with the store, and
// within the same time after the partition in the other. No instance returns to a lower revision.
func TestRegionsCatchUpAfterPartitionOfAnHour(t *testing.T) {
	const near, far, notes = 3, 3, 6
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: standin.NewStore()}
		var partitioned atomic.Bool
		f.partitioned = func(a, b int) bool { return partitioned.Load() && (a < near) != (b < near) }
		seen := make([][]int64, near+far)
		var mu sync.Mutex
		for i := range near + far {
			k := f.addKeeper(t)
			k.Store = store.NewEtcd([]string{"http://store"}, &http.Client{Transport: link{f.store, &f.cutFromStore[i]}})
			k.OnChange = func(c release.Config) {
				mu.Lock()
				defer mu.Unlock()
				seen[i] = append(seen[i], c.Revision)
			}
		}
		run(t, f.keepers...)
		wait := func(d time.Duration) { <-time.After(d) }
		requireAllAt := func(want int64, keepers []*config.Keeper) {
			t.Helper()
			for _, k := range keepers {
				require.Equal(t, want, k.Current().Revision, k.ID)
			}
		}
		first := mustApply(t, f.keepers[0], note(t, "first", floorBody)).Revision
		wait(inForceTimeout)
		requireAllAt(first, f.keepers)
		setPartitioned := func(on bool) {
			partitioned.Store(on)
			for i := near; i < near+far; i++ {
				f.cutFromStore[i].Store(on)
			}
		}
		setPartitioned(true)
		last := first
		for n := range notes {
			last = mustApply(t, f.keepers[n%near], note(t, fmt.Sprintf("note-%d", n), `"changed": `+shareBody("one", n+2))).Revision
			wait(inForceTimeout)
			requireAllAt(last, f.keepers[:near])
			wait(time.Hour/notes - inForceTimeout)
			requireAllAt(first, f.keepers[near:])
		}
		setPartitioned(false)
		wait(inForceTimeout)
		requireAllAt(last, f.keepers)
		last = mustApply(t, f.keepers[near], note(t, "after", `"changed": `+shareBody("two", 9))).Revision
		wait(inForceTimeout)
		requireAllAt(last, f.keepers)
		mu.Lock()
		defer mu.Unlock()
		for _, revisions := range seen {
			require.True(t, slices.IsSorted(revisions), "%v", revisions)
		}
	})
}
