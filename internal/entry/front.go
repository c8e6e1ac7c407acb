// Package entry implements the request path of an entry instance. It accepts callers' requests,
// finds their routes, dispatches them to runners, and returns either a runner's complete response
// or an error that states whether the request ran.
//
// Front is the http.Handler for callers. It authenticates and validates each request and passes it
// to a Dispatcher, or to Jobs if it is about batch jobs. The Dispatcher makes one or more attempts,
// each at a runner (a target) of which this instance has a free slot, or through a Peer, another
// entry instance. If neither is available the request waits in a queue. Retries and hedges, which
// are second attempts while the first still runs, stay within a budget per service.
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
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/pkg/release"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// ServicePrefix is the path prefix of requests to services: /s/<service>/<path>.
const ServicePrefix = "/s/"

// maxKeyBytes limits the length of the key in HeaderKey.
const maxKeyBytes = 128

// Front is the http.Handler for callers' requests.
type Front struct {
	// Config returns the current configuration.
	Config func() release.Config
	// Dispatcher sends requests to runners.
	Dispatcher *Dispatcher
	// Jobs handles the paths below JobsPath.
	Jobs http.Handler
	// Leaving reports whether each connection is to be closed after its next response; nil means
	// never.
	Leaving func() bool
	// Draining reports whether new requests are refused; nil means never.
	Draining func() bool
	Log      *eventlog.Log
}

// neighbourKey is the context key of the authenticated neighbour.
type neighbourKey struct{}

// ServeHTTP authenticates a request and serves it by its path.
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
	if servicePath, ok := strings.CutPrefix(r.URL.Path, ServicePrefix); ok {
		f.serveService(w, r, n, servicePath)
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

// serveService serves a request to a service; servicePath is the path after ServicePrefix.
func (f *Front) serveService(w http.ResponseWriter, r *http.Request, n share.Neighbour, servicePath string) {
	q, err := f.readRequest(w, r, n, servicePath)
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
	var cutError *CutError
	if errors.As(err, &cutError) {
		// The response has already begun, so only a broken connection tells the caller that it is
		// incomplete.
		panic(http.ErrAbortHandler)
	}
	outcomeOf(err).write(w)
}

// callerWriteTimeout limits the time that a caller may take to receive one write of its response.
const callerWriteTimeout = time.Minute

// serveStream dispatches a request and copies the streamed response to the caller.
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

// serveUnary dispatches a request and writes its complete response to the caller.
func (f *Front) serveUnary(w http.ResponseWriter, r *http.Request, q Request) error {
	response, err := f.Dispatcher.Do(r.Context(), q)
	if err != nil {
		return err
	}
	copyHeader(w.Header(), response.Header)
	if len(response.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if err := intake.FromContext(r.Context()).Enter(intake.Answering); err != nil {
		return &CutError{Err: err}
	}
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
	return nil
}

// readRequest finds the route of a request, validates the request and reads its body.
func (f *Front) readRequest(w http.ResponseWriter, r *http.Request, n share.Neighbour, servicePath string) (Request, error) {
	name, path, _ := strings.Cut(servicePath, "/")
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

// allowedMethods are the HTTP methods that callers may use.
var allowedMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodPost: true, http.MethodPut: true,
	http.MethodPatch: true, http.MethodDelete: true, http.MethodOptions: true,
}

// validKey reports whether a key consists of 1 to maxKeyBytes printable ASCII characters without
// spaces.
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

// forwardedPath returns the path below the service in the caller's own escaping. It returns false
// if a target would decode that to a path other than routedPath, by which the route was found.
func forwardedPath(u *url.URL, routedPath string) (string, bool) {
	path := strings.TrimPrefix(u.EscapedPath(), ServicePrefix)
	_, path, _ = strings.Cut(path, "/")
	path = "/" + path
	decoded, err := url.PathUnescape(path)
	return path, err == nil && decoded == routedPath
}

// readBody reads the body within the size limit and the deadline of the route.
func readBody(w http.ResponseWriter, r *http.Request, route release.Route) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit := int64(route.MaxRequest); r.ContentLength > limit {
		w.Header().Set("Connection", "close")
		return nil, bodyError(&http.MaxBytesError{Limit: limit})
	}
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(max(route.Deadline, minBodyTimeout)))
	body, err := intake.FromContext(r.Context()).ReadBody(http.MaxBytesReader(w, r.Body, int64(route.MaxRequest)), r.ContentLength, nil)
	_ = control.SetReadDeadline(time.Time{})
	if err != nil {
		w.Header().Set("Connection", "close")
		return nil, bodyError(err)
	}
	return body, nil
}

// bodyError returns the refusal of a request whose body was not read completely.
func bodyError(err error) *OutcomeError {
	var (
		tooLarge *http.MaxBytesError
		full     *intake.FullError
	)
	switch {
	case errors.As(err, &tooLarge):
		return callerError(http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
	case errors.As(err, &full):
		return notRun(http.StatusServiceUnavailable, "%v", full).WithRetryAfter(intake.RetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return callerError(http.StatusRequestTimeout, "the body did not arrive in time")
	}
	return callerError(http.StatusBadRequest, "the body was cut short")
}

// RefusalHeader returns the header of responses to requests that are refused before a handler gets them.
func RefusalHeader() http.Header { return http.Header{HeaderOutcome: {string(NotRun)}} }

// minBodyTimeout is the time that a caller has to send its body even if the route's deadline is
// shorter.
const minBodyTimeout = 10 * time.Second

// callerError returns the refusal of a request that is invalid.
func callerError(status int, format string, args ...any) *OutcomeError {
	return notRun(status, format, args...).WithCause(CauseCaller)
}
