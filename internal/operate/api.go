// Package operate answers operators: release notes, accounts and probes.
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
	"io"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// The paths of the operators' API.
const (
	NotesPath   = "/v1/notes"
	AccountPath = "/v1/account"
)

// maxNoteBytes bounds a release note.
const maxNoteBytes = 4 << 20

// API answers operators.
type API struct {
	// TokenHash is the lower-case hexadecimal SHA-256 of the operators' token.
	TokenHash string
	// Ready reports whether callers may be sent here.
	Ready    func() bool
	Apply    func(ctx context.Context, n release.Note) (release.Report, error)
	Accounts func(ctx context.Context) ([]shard.Account, error)
	Log      *eventlog.Log
}

// Handler returns the API with its probes and metrics.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /readyz", a.ready)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	mux.HandleFunc("POST "+NotesPath, a.guarded(a.apply))
	mux.HandleFunc("GET "+AccountPath, a.guarded(a.account))
	return mux
}

func (a *API) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

// guarded refuses calls without the operators' token.
func (a *API) guarded(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token := strings.TrimPrefix(r.Header.Get("Authorization"), "Bearer ")
		sum := sha256.Sum256([]byte(token))
		if subtle.ConstantTimeCompare([]byte(hex.EncodeToString(sum[:])), []byte(a.TokenHash)) != 1 {
			a.Log.Emit(eventlog.OperatorRefused)
			writeError(w, http.StatusUnauthorized, "the operators' token is wrong")
			return
		}
		h(w, r)
	}
}

func (a *API) apply(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxNoteBytes))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	n, err := release.Parse("note", text)
	if err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	report, err := a.Apply(r.Context(), n)
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		writeError(w, http.StatusConflict, err.Error())
	case err != nil:
		writeError(w, http.StatusServiceUnavailable, err.Error())
	default:
		writeJSON(w, encodeReport(report))
	}
}

func (a *API) account(w http.ResponseWriter, r *http.Request) {
	all, err := a.Accounts(r.Context())
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeJSON(w, encodeAccounts(all))
}

type wireError struct {
	Error string `json:"error"`
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireError{Error: message})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
