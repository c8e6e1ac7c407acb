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

// link carries calls to a handler without a network, so that they fit virtual
// time. While it is cut, calls and open answers go silent.
type link struct {
	handler http.Handler
	cut     *atomic.Bool
}

// RoundTrip makes one call, whose answer may go on as long as its context.
func (l link) RoundTrip(r *http.Request) (*http.Response, error) {
	if l.cut.Load() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	reader, writer := io.Pipe()
	w := &answerWriter{pipe: writer, cut: l.cut, header: http.Header{}, begun: make(chan struct{})}
	go func() {
		defer func() {
			if recover() != nil {
				_ = writer.CloseWithError(errors.New("no answer"))
			}
			w.WriteHeader(http.StatusOK)
			_ = writer.Close()
		}()
		l.handler.ServeHTTP(w, r)
	}()
	select {
	case <-w.begun:
		return &http.Response{StatusCode: w.status, Header: w.header, Body: reader, Request: r}, nil
	case <-r.Context().Done():
		_ = reader.Close()
		return nil, r.Context().Err()
	}
}

// answerWriter passes an answer on as it comes.
type answerWriter struct {
	pipe   *io.PipeWriter
	cut    *atomic.Bool
	header http.Header
	status int
	once   sync.Once
	begun  chan struct{}
}

// Header returns the headers of the answer.
func (w *answerWriter) Header() http.Header { return w.header }

// WriteHeader begins the answer.
func (w *answerWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.begun)
	})
}

// Write passes a piece on, or loses it.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	if w.cut.Load() {
		return len(p), nil
	}
	return w.pipe.Write(p)
}

// Flush does nothing; nothing is held back.
func (w *answerWriter) Flush() {}

// Two regions lose each other for an hour, one of them the store with it. What
// is accepted meanwhile is in force on the side of the store within its bound,
// and on the other side within the same bound after the hour; nothing reverts.
func TestRegionsPartForAnHour(t *testing.T) {
	const near, far, notes = 3, 3, 6
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: standin.NewStore()}
		var parted atomic.Bool
		f.parted = func(a, b int) bool { return parted.Load() && (a < near) != (b < near) }
		seen := make([][]int64, near+far)
		var mu sync.Mutex
		for i := range near + far {
			k := f.join(t)
			k.Store = store.NewEtcd([]string{"http://store"}, &http.Client{Transport: link{f.store, &f.cut[i]}})
			k.OnChange = func(c release.Config) {
				mu.Lock()
				defer mu.Unlock()
				seen[i] = append(seen[i], c.Revision)
			}
		}
		run(t, f.keepers...)
		wait := func(d time.Duration) { <-time.After(d) }
		at := func(want int64, keepers []*config.Keeper) {
			t.Helper()
			for _, k := range keepers {
				require.Equal(t, want, k.Current().Revision, k.ID)
			}
		}
		first := mustApply(t, f.keepers[0], note(t, "first", floor)).Revision
		wait(inForceWithin)
		at(first, f.keepers)
		part := func(on bool) {
			parted.Store(on)
			for i := near; i < near+far; i++ {
				f.cut[i].Store(on)
			}
		}
		part(true)
		last := first
		for n := range notes {
			last = mustApply(t, f.keepers[n%near], note(t, fmt.Sprintf("note-%d", n), `"changed": `+share("one", n+2))).Revision
			wait(inForceWithin)
			at(last, f.keepers[:near])
			wait(time.Hour/notes - inForceWithin)
			at(first, f.keepers[near:])
		}
		part(false)
		wait(inForceWithin)
		at(last, f.keepers)
		last = mustApply(t, f.keepers[near], note(t, "after", `"changed": `+share("two", 9))).Revision
		wait(inForceWithin)
		at(last, f.keepers)
		mu.Lock()
		defer mu.Unlock()
		for _, revisions := range seen {
			require.True(t, slices.IsSorted(revisions), "%v", revisions)
		}
	})
}
