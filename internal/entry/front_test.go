package entry

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

const token = "secret"

// newFront returns a front for a dispatcher, with one route of each class.
func newFront(d *Dispatcher) *Front {
	sum := sha256.Sum256([]byte(token))
	routes := []release.Route{route(release.Idempotent), route(release.NonIdempotent), route(release.Stream)}
	for i, path := range []string{"/check", "/fee", "/watch"} {
		routes[i].Path, routes[i].MaxRequest = path, 1024
	}
	config := release.Config{Declarations: release.Declarations{
		Neighbours: []share.Neighbour{{Name: "n", TokenHash: hex.EncodeToString(sum[:])}},
		Services:   []release.Service{{Name: "s", Neighbour: "n", Routes: routes}},
	}}
	return &Front{Config: func() release.Config { return config }, Dispatcher: d, Jobs: &Jobs{}, Log: eventlog.Discard()}
}

// Invalid requests are refused with the outcome NotRun and reach no runner.
func TestInvalidRequestsAreNotRun(t *testing.T) {
	fx := newFixture(t, 1, 4, 0)
	address := listen(t, newFront(fx.Dispatcher))
	long := strings.Repeat("k", maxKeyBytes+1)
	cases := []struct {
		name   string
		method string
		path   string
		header http.Header
		body   string
		status int
	}{
		{"no token", "POST", "/s/s/check", http.Header{HeaderToken: nil}, "", 401},
		{"wrong token", "POST", "/s/s/check", http.Header{HeaderToken: {"Bearer x"}}, "", 401},
		{"no service", "POST", "/s/other/check", nil, "", 404},
		{"no route", "POST", "/s/s/none", nil, "", 404},
		{"no key", "POST", "/s/s/fee", nil, "", 400},
		{"long key", "POST", "/s/s/fee", http.Header{HeaderKey: {long}}, "", 400},
		{"key with a space", "POST", "/s/s/fee", http.Header{HeaderKey: {"a b"}}, "", 400},
		{"large body", "POST", "/s/s/check", nil, strings.Repeat("b", 1025), 413},
		{"relative segment", "POST", "/s/s/check/../fee", nil, "", 400},
		{"escaped relative segment", "POST", "/s/s/check/%2e%2e/fee", nil, "", 400},
		{"escaped separator", "POST", "/s/s/check%2F..%2Ffee", nil, "", 400},
		{"separator that moves the route", "POST", "/s/s%2Fcheck/fee", nil, "", 400},
		{"backslash", "POST", "/s/s/check%5C..%5Cfee", nil, "", 400},
		{"empty segment", "POST", "/s/s/check//fee", nil, "", 400},
		{"method", "TRACE", "/s/s/check", nil, "", 405},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, err := http.NewRequest(c.method, "http://"+address+c.path, strings.NewReader(c.body))
			require.NoError(t, err)
			r.Header.Set(HeaderToken, "Bearer "+token)
			r.Header.Set(standin.CallerHeader, c.name)
			for name, values := range c.header {
				r.Header[name] = values
			}
			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			defer response.Body.Close()
			require.Equal(t, c.status, response.StatusCode)
			require.Equal(t, string(NotRun), response.Header.Get(HeaderOutcome))
			require.Zero(t, fx.ledger.Runs(c.name))
		})
	}
}

// The target gets the path with the caller's own escaping.
func TestPathIsForwardedUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	address := listen(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.RequestURI
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
	}))
	front := listen(t, newFront(newDispatcher([]target.Target{{ID: "x", Service: "s", Address: address, Slots: 1}})))
	for _, path := range []string{"/check/a%20b", "/check/%25zz", "/check/a%3Fb?q=%2F&r", "/check?", "/check/%C3%A9"} {
		r, err := http.NewRequest(http.MethodGet, "http://"+front+"/s/s"+path, nil)
		require.NoError(t, err)
		r.Header.Set(HeaderToken, "Bearer "+token)
		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		response.Body.Close()
		require.Equal(t, http.StatusOK, response.StatusCode, path)
		require.Equal(t, strings.TrimSuffix(path, "?"), <-seen)
	}
}

// If the target cuts a stream, the caller sees a broken connection instead of a complete response.
func TestTruncatedStreamClosesCallerConnection(t *testing.T) {
	fx := newFixture(t, 1, 1, 0)
	fx.runners[0].SetFault(&standin.RunnerFault{Truncate: true})
	address := listen(t, newFront(fx.Dispatcher))
	r, err := http.NewRequest(http.MethodPost, "http://"+address+"/s/s/watch", nil)
	require.NoError(t, err)
	r.Header.Set(HeaderToken, "Bearer "+token)
	r.Header.Set(HeaderKey, "k")
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		_, err = io.ReadAll(response.Body)
		response.Body.Close()
	}
	require.Error(t, err)
	fx.requireDrained(t)
}

// A request whose caller stops sending in the middle of the body is refused and reaches no runner.
func TestTruncatedRequestIsNotRun(t *testing.T) {
	fx := newFixture(t, 1, 1, 0)
	address := listen(t, newFront(fx.Dispatcher))
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = fmt.Fprintf(c, "POST /s/s/check HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 10\r\n\r\nhalf", token)
	require.NoError(t, err)
	require.NoError(t, c.(*net.TCPConn).CloseWrite())
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	text, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Contains(t, string(text), string(NotRun))
	require.Zero(t, fx.ledger.Runs(""))
}

// FuzzFront sends arbitrary paths, headers and bodies. The front must not panic and must not
// forward a path that belongs to another route.
func FuzzFront(f *testing.F) {
	seeds := []struct{ path, name, value, body string }{
		{"/s/s/check", "X-A", "b", "body"},
		{"/s/s/check/%2e%2e/fee", "Connection", "Authorization", ""},
		{"/s/s%2Fcheck/fee", HeaderOutcome, "notRun", "x"},
		{"/s//", "Expect", "100-continue", "\x00"},
		{"/s/s/check\\..\\fee", "Content-Length", "-1", ""},
		{"/v1/jobs/x/../y", "Transfer-Encoding", "chunked", "0\r\n\r\n"},
	}
	for _, s := range seeds {
		f.Add(s.path, s.name, s.value, s.body)
	}
	runner := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(HeaderRequestID, r.Header.Get(HeaderRequestID))
		w.Header().Set("Seen-Path", url.PathEscape(r.URL.Path))
	})
	front := newFront(newDispatcher([]target.Target{{ID: "x", Service: "s", Address: listen(f, runner), Slots: 1}}))
	f.Fuzz(func(t *testing.T, path, name, value, body string) {
		u, err := url.Parse(path)
		if err != nil || u.Host != "" || u.Opaque != "" {
			return
		}
		r := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader([]byte(body)))
		r.URL = u
		r.Header[http.CanonicalHeaderKey(name)] = []string{value}
		r.Header.Set(HeaderToken, "Bearer "+token)
		w := httptest.NewRecorder()
		front.ServeHTTP(w, r)
		require.GreaterOrEqual(t, w.Code, 200)
		if seen := w.Header().Get("Seen-Path"); seen != "" {
			passed, err := url.PathUnescape(seen)
			require.NoError(t, err)
			require.Equal(t, strings.TrimPrefix(u.Path, "/s/s"), passed)
			require.True(t, strings.HasPrefix(passed, "/check"), passed)
		}
	})
}

// If the caller disconnects, its request is cancelled at the target and the slot becomes free.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	working, cancelled := make(chan struct{}), make(chan struct{})
	address := listen(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // Go's HTTP server detects a disconnect only after the body was read.
		close(working)
		<-r.Context().Done()
		close(cancelled)
	}))
	d := newDispatcher([]target.Target{{ID: "x", Service: "s", Address: address, Slots: 1}})
	front := listen(t, newFront(d))
	c, err := net.Dial("tcp", front)
	require.NoError(t, err)
	_, err = fmt.Fprintf(c, "POST /s/s/check HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody", token)
	require.NoError(t, err)
	for _, step := range []chan struct{}{working, cancelled} {
		select {
		case <-step:
		case <-time.After(testTimeout):
			require.FailNow(t, "the target did not see the request cancelled")
		}
		_ = c.Close()
	}
	(&fixture{Dispatcher: d}).requireDrained(t)
}
