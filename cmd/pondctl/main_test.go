package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/config"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

const bajioNote = "../../examples/bajio/note.jsonc"

func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// pondctl runs a command line, and returns its exit status and output.
func pondctl(args ...string) (status exit, out, errs string) {
	var o, e bytes.Buffer
	t := &terminal{in: strings.NewReader(""), out: &o, err: &e, env: func(string) string { return "" }}
	return exit(t.run(context.Background(), args)), o.String(), e.String()
}

// startAPI returns the address of an operators' API on a fake store.
func startAPI(t *testing.T, hash string) string {
	t.Helper()
	s := httptest.NewServer(standin.NewStore())
	t.Cleanup(s.Close)
	k := &config.Keeper{ID: "entry-1", Store: store.NewEtcd([]string{s.URL}, s.Client()), Log: eventlog.Discard()}
	a := &operate.API{
		TokenHash: hash, Apply: k.Apply, Status: k.Status, History: k.History, Config: k.Current,
		Log: eventlog.Discard(), Ready: func() bool { return true },
	}
	server := httptest.NewServer(a.Handler())
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// writeNote writes a text to a new file and returns its name.
func writeNote(t *testing.T, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "note.jsonc")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return file
}

func TestHelpOfEachCommandShowsAnExample(t *testing.T) {
	for _, c := range commands() {
		t.Run(c.name, func(t *testing.T) {
			status, out, errs := pondctl(append(strings.Fields(c.name), "-h")...)
			require.Equal(t, exitDone, status)
			require.Contains(t, out, c.example)
			require.Contains(t, out, "Exit status:")
			require.Contains(t, out, "-json")
			require.Empty(t, errs)
		})
	}
}

func TestUserErrorsGiveStatusAndMessage(t *testing.T) {
	unused := "127.0.0.1:1"
	cases := []struct {
		name    string
		args    []string
		want    exit
		message string
	}{
		{"no command", nil, exitUsage, "Usage:"},
		{"unknown command", []string{"aply"}, exitUsage, `unknown command "aply"`},
		{"incomplete command", []string{"job"}, exitUsage, `unknown command "job"`},
		{"no file", []string{"check"}, exitUsage, "expects 1 argument"},
		{"missing file", []string{"check", "/nowhere/note.jsonc"}, exitUsage, "no such file"},
		{"unknown flag", []string{"check", "-x", bajioNote}, exitUsage, "flag provided but not defined: -x"},
		{"no address", []string{"apply", bajioNote}, exitUsage, "-at is required"},
		{"no base", []string{"diff", bajioNote}, exitUsage, "one of -base, -at and -empty is required"},
		{"nothing listens", []string{"apply", "-at", unused, bajioNote}, exitNoResponse, "connection refused"},
		{"nothing listens for a job", []string{"job", "status", "-at", unused, "job-1"}, exitNoResponse, "connection refused"},
		{"broken file", []string{"check", "-empty", writeNote(t, "{")}, exitFailed, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, out, errs := pondctl(c.args...)
			require.Equal(t, c.want, status, out+errs)
			require.Contains(t, errs, c.message)
			require.NotContains(t, out+errs, "goroutine")
		})
	}
}

func TestCheckPrintsAllFaults(t *testing.T) {
	file := writeNote(t, "{\"name\": \"x\", \"added\": {\n\"shares\": [{\"name\": \"s\", \"neighbour\": \"n\", \"quota\": {}, \"weight\": -1}]}}")
	status, out, _ := pondctl("check", "-json", file)
	require.Equal(t, exitFailed, status)
	var result wireCheck
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, []wireFault{
		{file, 2, "added.shares[s].quota", "is zero in everything"},
		{file, 2, "added.shares[s].weight", "is -1, not between 1 and 1000"},
	}, result.Faults)

	next := writeNote(t, `{"name": "next", "withdrawn": {"shares": ["reviews"]}}`)
	status, out, _ = pondctl("check", "-base", bajioNote, next)
	require.Equal(t, exitFailed, status)
	require.Contains(t, out, `:1: withdrawn share "reviews": job "flatness-review" uses it`)
	status, _, _ = pondctl("check", next)
	require.Equal(t, exitDone, status, "without a base, references are not checked")
}

func TestNoteFromDiffToHistory(t *testing.T) {
	const token = "t"
	at := []string{"-at", startAPI(t, hashOf(token)), "-token", token}
	run := func(command string, args ...string) (exit, string, string) {
		return pondctl(append(append([]string{command}, at...), args...)...)
	}
	status, out, _ := run("diff", bajioNote)
	require.Equal(t, exitDone, status)
	require.Contains(t, out, "added service finish")
	status, out, errs := run("apply", "-wait", bajioNote)
	require.Equal(t, exitDone, status, errs)
	require.Contains(t, out, "note bajio-1, revision 1")
	again, out2, _ := run("apply", bajioNote)
	require.Equal(t, exitDone, again)
	require.Equal(t, out, out2, "a repeated note gives the same report")

	change := `{"name": %, "changed": {"shares": [{"name": "finishing", "neighbour": "floor", "quota": {"processors": 900, "memory": "1600GB"}}]}}`
	one, two := writeNote(t, strings.Replace(change, "%", `"one"`, 1)), writeNote(t, strings.Replace(change, "%", `"two"`, 1))
	status, out, _ = run("diff", one)
	require.Equal(t, exitDone, status)
	require.Equal(t, "changed share finishing\n  - quota.processors: 800\n  + quota.processors: 900\n  - weight: 4\n  + weight: 1\n", out)
	status, _, _ = run("apply", "-base", "1", one)
	require.Equal(t, exitDone, status)
	status, _, errs = run("apply", "-base", "1", two)
	require.Equal(t, exitConflict, status)
	require.Contains(t, errs, `changed share "finishing": touched by note "one", revision 2`)

	status, out, _ = run("status", "-json", "bajio-1")
	require.Equal(t, exitDone, status)
	require.Contains(t, out, `"name":"finishing","outcome":"superseded","reason":"by note \"one\", revision 2"`)
	status, out, _ = run("history")
	require.Equal(t, exitDone, status)
	require.Equal(t, 3, strings.Count(out, "\n"))
	status, _, _ = run("apply", writeNote(t, `{"name": "bad", "withdrawn": {"shares": ["reviews"]}}`))
	require.Equal(t, exitFailed, status)
	status, _, errs = run("status", "nothing")
	require.Equal(t, exitFailed, status)
	require.Contains(t, errs, `no accepted release note "nothing"`)
	status, _, errs = pondctl("history", "-at", at[1], "-token", "wrong")
	require.Equal(t, exitFailed, status)
	require.Contains(t, errs, "the operators' token is wrong")
}
