// Package operate implements the HTTP API for operators and its clients. API serves
// release notes, the accounts of shares, service-level burn rates, health probes and
// metrics; Client calls it. Periods stores the accounts at the end of each accounting
// period. JobsClient calls the API with which callers submit jobs.
//
// # Usage
//
//	api := &operate.API{TokenHash: hash, Apply: keeper.Apply, Accounts: accounts, Log: log}
//	server := &http.Server{Handler: api.Handler()}
package operate

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/jsonc"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// The paths of the operators' API.
const (
	NotesPath   = "/v1/notes"
	ConfigPath  = "/v1/config"
	AccountPath = "/v1/account"
	PeriodsPath = "/v1/account/periods"
	BurnPath    = "/v1/burn"
)

const (
	// maxNoteBytes is the largest size of a release note.
	maxNoteBytes = 4 << 20
	// applyTimeout is the timeout for applying a note.
	applyTimeout = 10 * time.Second
	// defaultHistory is the number of notes in a history if the call gives none.
	defaultHistory = 20
)

// API serves the calls of operators by calling its functions.
type API struct {
	// TokenHash is the lower-case hexadecimal SHA-256 of the operators' token.
	TokenHash string
	// Ready reports whether the instance is ready to receive requests.
	Ready func() bool
	// Apply applies a note that was written against revision since; zero is the newest.
	Apply func(ctx context.Context, n release.Note, since int64) (release.Report, error)
	// Status returns the report on an accepted note.
	Status func(ctx context.Context, note string) (release.Report, error)
	// History returns up to n accepted notes.
	History func(ctx context.Context, n int) ([]release.Record, error)
	// Config returns the configuration in force.
	Config func() release.Config
	// Accounts returns the usage of all shares up to now.
	Accounts func(ctx context.Context) ([]Account, error)
	// Periods returns the usage in each of the last n accounting periods.
	Periods func(ctx context.Context, n int) ([]WirePeriod, error)
	// Burn reports the burn rates of all services.
	Burn func(ctx context.Context) (burn.Report, error)
	Log  *eventlog.Log
}

// Handler returns the handler of the API, its probes and its metrics.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("POST "+NotesPath, a.requireToken(a.apply))
	mux.HandleFunc("GET "+NotesPath, a.requireToken(a.history))
	mux.HandleFunc("GET "+NotesPath+"/{note}", a.requireToken(a.status))
	mux.HandleFunc("GET "+ConfigPath, a.requireToken(a.config))
	mux.HandleFunc("GET "+AccountPath, a.requireToken(a.account))
	mux.HandleFunc("GET "+PeriodsPath, a.requireToken(a.periods))
	mux.HandleFunc("GET "+BurnPath, a.requireToken(a.burn))
	return mux
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

var operatorsRefused = metrics.GetOrCreateCounter("oriolepond_operate_refused_total")

// requireToken wraps a handler to refuse calls without the operators' token.
func (a *API) requireToken(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(a.TokenHash)) != 1 {
			operatorsRefused.Inc()
			a.Log.Emit(eventlog.OperatorRefused, zap.String("from", r.RemoteAddr), zap.String("path", r.URL.Path))
			writeError(w, http.StatusUnauthorized, wireError{Error: "the operators' token is wrong"})
			return
		}
		h(w, r)
	}
}

func (a *API) apply(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoteBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, wireError{Error: err.Error()})
		return
	}
	since, err := queryNumber(r, "base", 0)
	if err != nil {
		writeFailure(w, err)
		return
	}
	n, err := release.Parse("note", text)
	if err != nil {
		writeFailure(w, err)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout)
	defer cancel()
	report, err := a.Apply(ctx, n, since)
	if err != nil {
		writeFailure(w, err)
		return
	}
	if !report.Refused() {
		// The note is accepted even if its status cannot be read.
		if now, err := a.Status(r.Context(), n.Name); err == nil {
			report = now
		} else {
			report = report.WithoutStatus(err)
		}
	}
	writeJSON(w, encodeReport(report))
}

func (a *API) status(w http.ResponseWriter, r *http.Request) {
	report, err := a.Status(r.Context(), r.PathValue("note"))
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, encodeReport(report))
}

func (a *API) history(w http.ResponseWriter, r *http.Request) {
	n, err := queryNumber(r, "n", defaultHistory)
	if err != nil {
		writeFailure(w, err)
		return
	}
	all, err := a.History(r.Context(), int(n))
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, encodeHistory(all))
}

func (a *API) config(w http.ResponseWriter, _ *http.Request) {
	text, err := release.EncodeConfig(a.Config())
	if err != nil {
		writeFailure(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

func (a *API) account(w http.ResponseWriter, r *http.Request) {
	all, err := a.Accounts(r.Context())
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, encodeAccounts(all))
}

func (a *API) periods(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.Atoi(r.URL.Query().Get("n"))
	if err != nil || n < 1 || n > KeptPeriods {
		writeError(w, http.StatusBadRequest, wireError{Error: fmt.Sprintf("n is not between 1 and %d", KeptPeriods)})
		return
	}
	last, err := a.Periods(r.Context(), n)
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, last)
}

func (a *API) burn(w http.ResponseWriter, r *http.Request) {
	report, err := a.Burn(r.Context())
	if err != nil {
		writeFailure(w, err)
		return
	}
	writeJSON(w, encodeBurn(report))
}

// badNumberError is returned for a query parameter that is not a whole number.
type badNumberError struct {
	Name string
}

// Error names the parameter.
func (e *badNumberError) Error() string { return "the parameter " + e.Name + " is not a whole number" }

// queryNumber returns a query parameter as a number, or fallback if it is not given.
func queryNumber(r *http.Request, name string, fallback int64) (int64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		return 0, &badNumberError{Name: name}
	}
	return n, nil
}

// writeFailure writes an error with the status code that corresponds to it.
func writeFailure(w http.ResponseWriter, err error) {
	var conflict *config.ConflictError
	var taken *config.NameTakenError
	var large *config.TooLargeError
	var unknown *config.UnknownNoteError
	var number *badNumberError
	var syntax *jsonc.SyntaxError
	var faults *jsonc.FaultsError
	status := http.StatusServiceUnavailable
	wire := wireError{Error: err.Error()}
	switch {
	case errors.As(err, &conflict):
		status = http.StatusConflict
		wire.Conflicts = encodeConflicts(conflict.Conflicts)
	case errors.As(err, &taken):
		status = http.StatusConflict
	case errors.As(err, &large):
		status = http.StatusRequestEntityTooLarge
	case errors.As(err, &unknown):
		status = http.StatusNotFound
	case errors.As(err, &number), errors.As(err, &syntax), errors.As(err, &faults):
		status = http.StatusBadRequest
	default:
		wire.Error = "no answer of the store or of peers, the outcome is unknown; make the same call again: " + wire.Error
	}
	writeError(w, status, wire)
}

func writeError(w http.ResponseWriter, status int, wire wireError) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wire)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
