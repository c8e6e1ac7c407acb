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
	// Draining reports whether new work is refused; nil means never.
	Draining func() bool
	Log      *eventlog.Log
}

type neighbourKey struct{}

// ServeHTTP answers one request.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.Draining != nil && f.Draining() {
		w.Header().Set("Connection", "close")
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
	q, err := f.read(w, r, n, rest)
	if err == nil {
		if q.Route.Class == release.Stream {
			err = f.Dispatcher.Stream(r.Context(), q, w)
		} else {
			err = f.answer(w, r, q)
		}
	}
	if err == nil {
		return
	}
	var outcome *OutcomeError
	if !errors.As(err, &outcome) {
		outcome = unknown(http.StatusBadGateway, "%v", err)
	}
	outcome.write(w)
}

// answer dispatches a request and writes its whole answer.
func (f *Front) answer(w http.ResponseWriter, r *http.Request, q Request) error {
	a, err := f.Dispatcher.Do(r.Context(), q)
	if err != nil {
		return err
	}
	copyHeader(w.Header(), a.Header)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
	return nil
}

// read finds the route of a request and reads its body.
func (f *Front) read(w http.ResponseWriter, r *http.Request, n share.Neighbour, rest string) (Request, error) {
	name, path, _ := strings.Cut(rest, "/")
	path = "/" + path
	s, ok := f.Config().Service(name)
	if !ok {
		return Request{}, notRun(http.StatusNotFound, "no service %q", name)
	}
	route, ok := s.Route(path)
	if !ok {
		return Request{}, notRun(http.StatusNotFound, "service %q has no route for %q", name, path)
	}
	key := r.Header.Get(HeaderKey)
	if route.Class != release.Idempotent && (key == "" || len(key) > maxKeyBytes) {
		return Request{}, notRun(http.StatusBadRequest, "the route needs a key of at most %d bytes in %s", maxKeyBytes, HeaderKey)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(route.MaxRequest)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return Request{}, notRun(http.StatusRequestEntityTooLarge, "the body exceeds %d bytes", tooLarge.Limit)
		}
		return Request{}, notRun(http.StatusBadRequest, "the body was cut short")
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return Request{
		Neighbour: n,
		Service:   s,
		Route:     route,
		Method:    r.Method,
		Path:      path,
		Header:    r.Header,
		Body:      body,
		Key:       key,
		Deadline:  time.Now().Add(route.Deadline),
	}, nil
}
