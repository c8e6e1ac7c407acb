package operate_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// Guards against an operator who is told that a note took effect when no instance was asked, since the store failed right after the
// note was accepted.
func TestNoteIsPendingWhileItsStatusIsUnknown(t *testing.T) {
	report := func(o release.Outcome) release.Report {
		return release.Report{Note: "n", Revision: 2, Entries: []release.EntryReport{{Outcome: o}}}
	}
	for _, c := range []struct {
		name    string
		applied release.Outcome
		status  release.Outcome
		err     error
		want    string
	}{
		{name: "confirmed", applied: release.TookEffect, status: release.TookEffect, want: `"outcome":"tookEffect"`},
		{name: "not confirmed", applied: release.TookEffect, status: release.Pending, want: `"outcome":"pending"`},
		{name: "status unknown", applied: release.TookEffect, err: errors.New("no answer"), want: `"outcome":"pending","reason":"the instances could not be asked: no answer"`},
		{name: "superseded, status unknown", applied: release.Superseded, err: errors.New("no answer"), want: `"outcome":"superseded"`},
		{name: "refused", applied: release.Refused, err: errors.New("no answer"), want: `"outcome":"refused"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			hash := sha256.Sum256([]byte("token"))
			api := &operate.API{
				TokenHash: hex.EncodeToString(hash[:]), Log: eventlog.Discard(),
				Apply:  func(context.Context, release.Note, int64) (release.Report, error) { return report(c.applied), nil },
				Status: func(context.Context, string) (release.Report, error) { return report(c.status), c.err },
			}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, operate.NotesPath, strings.NewReader(`{"name": "n", "withdrawn": {"shares": ["one"]}}`))
			request.Header.Set("Authorization", "Bearer token")
			response := httptest.NewRecorder()
			api.Handler().ServeHTTP(response, request)
			require.Equal(t, http.StatusOK, response.Code, response.Body)
			require.Contains(t, response.Body.String(), c.want)
		})
	}
}
