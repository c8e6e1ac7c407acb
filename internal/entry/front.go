// Package entry is the front of an entry instance: it takes callers' requests,
// finds the route, dispatches to a runner and returns the whole answer, or
// says truthfully whether the request was run.
//
// # Usage
//
//	front := &entry.Front{Config: keeper.Current, Dispatcher: dispatcher, Log: log}
//	server := &http.Server{Handler: front}
package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// ServicePrefix is where the services stand: /s/<service>/<path>.
const ServicePrefix = "/s/"

// maxKeyBytes bounds a key.
const maxKeyBytes = 128

// Front answers callers. It is an http.Handler.
type Front struct {
	// Config returns the configuration in force.
	Config func() release.Config
	// Dispatcher runs requests on runners.
	Dispatcher *Dispatcher
	// Jobs answers below /v1/jobs.
	Jobs http.Handler
	// Leaving reports whether connections end with their next answer; nil means never.
	Leaving func() bool
	// Draining reports whether new work is refused; nil means never.
	Draining func() bool
	Log      *eventlog.Log
}

type neighbourKey struct{}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Leaving != nil && f.Leaving() {
		w.Header().Set("Connection", "close")
	}
	if f.Draining != nil && f.Draining() {
		notRun(http.StatusServiceUnavailable, "instance is stopping").write(w)
		return
	}
	n, ok := f.authenticate(r)
	if !ok {
		notRun(http.StatusUnauthorized, "the token is unknown").write(w)
		return
	}
	if rest, ok := strings.CutPrefix(r.URL.Path, ServicePrefix); ok {
		f.serveService(w, r, n, rest)
		return
	}
	if strings.HasPrefix(r.URL.Path, JobsPath) {
		f.Jobs.ServeHTTP(w, r.WithContext(withNeighbour(r.Context(), n)))
		return
	}
	notRun(http.StatusNotFound, "no such path").write(w)
}

// authenticate returns the neighbour whose token the request carries.
func (f *Front) authenticate(r *http.Request) (share.Neighbour, bool) {
	token, ok := strings.CutPrefix(r.Header.Get(HeaderToken), "Bearer ")
	if !ok || token == "" {
		return share.Neighbour{}, false
	}
	sum := sha256.Sum256([]byte(token))
	return f.Config().NeighbourByToken(hex.EncodeToString(sum[:]))
}

func (f *Front) serveService(w http.ResponseWriter, r *http.Request, n share.Neighbour, rest string) {
	q, err := f.readRequest(w, r, n, rest)
	if err == nil {
		if q.Route.Class == release.Stream {
			err = f.serveStream(w, r, q)
		} else {
			err = f.serveUnary(w, r, q)
		}
	}
	if err == nil {
		return
	}
	var cut *CutError
	if errors.As(err, &cut) {
		// Only a broken connection tells the caller that the answer is not whole.
		panic(http.ErrAbortHandler)
	}
	outcomeOf(err).write(w)
}

// callerWriteTimeout bounds the time in which a caller takes a piece of its answer.
const callerWriteTimeout = time.Minute

// serveStream passes a streamed answer on.
func (f *Front) serveStream(w http.ResponseWriter, r *http.Request, q Request) error {
	control := http.NewResponseController(w)
	return f.Dispatcher.Stream(r.Context(), q, Sink{
		Head: func(status int, h http.Header) error {
			copyHeader(w.Header(), h)
			w.WriteHeader(status)
			return control.Flush()
		},
		Write: func(piece []byte) error {
			if err := control.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
				return err
			}
			if _, err := w.Write(piece); err != nil {
				return err
			}
			return control.Flush()
		},
	})
}

// serveUnary dispatches a request and writes its whole answer.
func (f *Front) serveUnary(w http.ResponseWriter, r *http.Request, q Request) error {
	a, err := f.Dispatcher.Do(r.Context(), q)
	if err != nil {
		return err
	}
	copyHeader(w.Header(), a.Header)
	if len(a.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	return nil
}

// readRequest finds the route of a request and reads its body.
func (f *Front) readRequest(w http.ResponseWriter, r *http.Request, n share.Neighbour, rest string) (Request, error) {
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	s, ok := f.Config().Service(name)
	if !ok {
		return Request{}, callerError(http.StatusNotFound, "no service %q", name)
	}
	route, ok := s.Route(path)
	if !ok {
		return Request{}, callerError(http.StatusNotFound, "service %q has no route for %q", name, path)
	}
	forwarded, ok := forwardedPath(r.URL, path)
	if !ok || unsafePath(path) {
		return Request{}, callerError(http.StatusBadRequest, "the path has an empty or relative segment, a backslash or an escaped separator")
	}
	if r.URL.RawQuery != "" {
		forwarded += "?" + r.URL.RawQuery
	}
	if !allowedMethods[r.Method] {
		return Request{}, callerError(http.StatusMethodNotAllowed, "the method %q is not passed on", r.Method)
	}
	key := r.Header.Get(HeaderKey)
	if route.Class != release.Idempotent && !validKey(key) {
		return Request{}, callerError(http.StatusBadRequest, "the route needs a key of 1 to %d printable ASCII characters in %s", maxKeyBytes, HeaderKey)
	}
	body, err := readBody(w, r, route)
	if err != nil {
		return Request{}, err
	}
	return Request{
		Neighbour: n,
		Service:   s,
		Route:     route,
		Method:    r.Method,
		Path:      forwarded,
		Header:    r.Header,
		Body:      body,
		Key:       key,
		Deadline:  time.Now().Add(route.Deadline),
	}, nil
}

// allowedMethods are the methods that callers may use.
var allowedMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// validKey reports whether a key may be remembered and passed on.
func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] <= ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

// forwardedPath returns the path below the service's own as the caller wrote it,
// and whether a target reads it as the path whose route was found.
func forwardedPath(u *url.URL, found string) (string, bool) {
	path := strings.TrimPrefix(u.EscapedPath(), ServicePrefix)
	_, path, _ = strings.Cut(path, "/")
	path = "/" + path
	decoded, err := url.PathUnescape(path)
	return path, err == nil && decoded == found
}

// readBody reads the body within the route's bound and deadline.
func readBody(w http.ResponseWriter, r *http.Request, route release.Route) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(max(route.Deadline, minBodyTimeout)))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(route.MaxRequest)))
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, callerError(http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	}
	return nil, callerError(http.StatusBadRequest, "the body was cut short")
}

// minBodyTimeout is the least time in which a caller may send its body.
const minBodyTimeout = 10 * time.Second

// callerError refuses a request for what the caller sent.
func callerError(status int, format string, args ...any) *OutcomeError {
	return notRun(status, format, args...).WithCause(CauseCaller)
}
