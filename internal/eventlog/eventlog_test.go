package eventlog_test

import (
	"flag"
	"fmt"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/oriolepond/oriolepond/internal/eventlog"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md from the code")

const cataloguePath = "../../docs/EVENTS.md"

// catalogue returns the text of docs/EVENTS.md.
func catalogue() string {
	var b strings.Builder
	b.WriteString("# Events\n\nEvery log line carries the number of its event in the field `event`. The meaning\nof a number never changes. This page is generated from the code:\n`go test ./internal/eventlog -update`.\n\n")
	b.WriteString("| Number | Level | Message | Meaning | What to do |\n|---|---|---|---|---|\n")
	for _, e := range eventlog.Catalogue() {
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", e.Number, e.Level, e.Message, e.Meaning, e.Advice)
	}
	return b.String()
}

func TestCatalogueIsDocumented(t *testing.T) {
	if *update {
		require.NoError(t, os.WriteFile(cataloguePath, []byte(catalogue()), 0o644))
	}
	page, err := os.ReadFile(cataloguePath)
	require.NoError(t, err)
	require.Equal(t, catalogue(), string(page), "run: go test ./internal/eventlog -update")
}

func TestEventsAreComplete(t *testing.T) {
	message := regexp.MustCompile(`^[a-z][a-z0-9 ,'()-]+$`)
	messages := map[string]eventlog.Number{}
	for _, e := range eventlog.Catalogue() {
		require.Regexp(t, message, e.Message, "event %d", e.Number)
		require.NotEmpty(t, e.Meaning, "event %d", e.Number)
		require.NotEmpty(t, e.Advice, "event %d", e.Number)
		require.NotContains(t, e.Meaning+e.Advice, "|", "event %d", e.Number)
		require.NotContains(t, messages, e.Message, "events %d and %d", e.Number, messages[e.Message])
		messages[e.Message] = e.Number
		if e.Level >= zapcore.WarnLevel {
			require.NotEqual(t, "None.", e.Advice, "event %d: a warning must have advice", e.Number)
		}
	}
}

func TestLinesCarryEventNumber(t *testing.T) {
	core, lines := observer.New(zapcore.DebugLevel)
	log := eventlog.New(zap.New(core)).With(zap.String("instance", "entry-1"))
	log.Emit(eventlog.OperatorRefused, zap.String("path", "/v1/notes"))
	require.Equal(t, 1, lines.Len())
	require.Equal(t, map[string]any{"event": int64(eventlog.OperatorRefused.Number), "instance": "entry-1", "path": "/v1/notes"},
		lines.All()[0].ContextMap())
}
