package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestExplainMergesLogsOfNodes(t *testing.T) {
	dir := t.TempDir()
	first := filepath.Join(dir, "a.log")
	second := filepath.Join(dir, "b.log")
	require.NoError(t, os.WriteFile(first, []byte(strings.Join([]string{
		`  1.1 a {"ts":"2026-01-01T00:00:01.000Z","msg":"job taken in","node":"a","event":4020,"job":"5c0e7a21d94b36f8"}`,
		`{"ts":"2026-01-01T00:00:01.010Z","msg":"task placed","node":"a","event":4030,"task":"5c0e7a21d94b36f8.0.0.1","run":1,"worker":"i-1"}`,
		`{"ts":"2026-01-01T00:00:01.010Z","msg":"task placed","node":"a","event":4030,"task":"0000000000000001.0.0.1","run":1}`,
		"not a line",
		`{"ts":"2026-01-01T00:00:02.000Z","msg":"term ended","node":"a","event":4003}`,
	}, "\n")), 0o600))
	require.NoError(t, os.WriteFile(second, []byte(
		`{"ts":"2026-01-01T00:00:01.500Z","msg":"call not served","node":"b","event":4050,"job":"5c0e7a21d94b36f8","status":504}`), 0o600))
	for _, c := range []struct {
		id     string
		status exit
		want   []string
	}{
		{id: "5c0e7a21d94b36f8", want: []string{"job taken in", "task placed", "call not served", "term ended"}},
		{id: "5c0e7a21d94b36f8.0.0.1", want: []string{"task placed", "term ended"}},
		{id: "none", status: exitFailed},
	} {
		var out, errs bytes.Buffer
		term := &terminal{in: strings.NewReader(""), out: &out, err: &errs, env: func(string) string { return "" }}
		status := term.run(context.Background(), []string{"explain", "-log", first, "-log", second, c.id})
		require.Equal(t, int(c.status), status, errs.String())
		var got []string
		for line := range strings.Lines(out.String()) {
			for _, m := range []string{"job taken in", "task placed", "call not served", "term ended"} {
				if strings.Contains(line, m) {
					got = append(got, m)
				}
			}
		}
		require.Equal(t, c.want, got)
	}
}

func TestExplainTellsWhyATaskWaits(t *testing.T) {
	log := filepath.Join(t.TempDir(), "a.log")
	require.NoError(t, os.WriteFile(log, []byte(
		`{"ts":"2026-01-01T00:00:01.000Z","msg":"task waits","node":"a","event":4040,"task":"5c0e7a21d94b36f8.0.0.0","run":0,"age":1003,`+
			`"reason":"data centre is evacuated","workers":{"data centre is evacuated":58,"no worker with the label":292}}`), 0o600))
	var out, errs bytes.Buffer
	term := &terminal{in: strings.NewReader(""), out: &out, err: &errs, env: func(string) string { return "" }}
	require.Equal(t, int(exitDone), term.run(context.Background(), []string{"explain", "-log", log, "5c0e7a21d94b36f8"}), errs.String())
	require.Contains(t, out.String(), "reason=data centre is evacuated")
	require.Contains(t, out.String(), "data centre is evacuated:58")
}
