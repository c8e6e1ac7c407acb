package e2e

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/demo"
)

// secondNote is a release note that adds a job family.
const secondNote = `{
	"name": "second",
	"added": {"jobs": [{
		"name": "edge-audit", "neighbour": "quality", "share": "reviews",
		"size": {"processors": 1, "memory": "1GB"}, "runTime": "1s"
	}]}
}`

// operator runs pondctl against a running pool.
type operator struct {
	t    *testing.T
	view demo.View
}

// run runs pondctl and returns its output. It fails the test if the exit status differs from status.
func (o operator) run(status int, args ...string) string {
	c := exec.Command(pondctlPath, args...)
	c.Env = append(os.Environ(), "ORIOLEPOND_AT="+o.view.Admins[0], "ORIOLEPOND_TOKEN="+o.view.Token)
	out, err := c.CombinedOutput()
	if c.ProcessState == nil || c.ProcessState.ExitCode() != status {
		o.t.Errorf("pondctl %v: %v\n%s", args, err, out)
	}
	return string(out)
}

// The commands of pondctl work on a pool of real processes under load.
func TestPondctlOnRealProcesses(t *testing.T) {
	e, ok := examples.Find("bajio")
	require.True(t, ok)
	dir := t.TempDir()
	note, page := filepath.Join(dir, "note.jsonc"), filepath.Join(dir, "burn.html")
	require.NoError(t, os.WriteFile(note, []byte(secondNote), 0o600))
	d := &demo.Demo{Example: e, Length: 5 * time.Second, Seed: 1, Out: io.Discard, Launch: launcher(t, dir)}
	d.Observe = func(_ context.Context, v demo.View) {
		o := operator{t, v}
		o.run(0, "check", note)
		require.Contains(t, o.run(0, "diff", note), "edge-audit")
		require.Contains(t, o.run(0, "apply", "-wait", note), "tookEffect")
		require.Contains(t, o.run(0, "apply", note), "tookEffect", "applying the note again does not give the same report")
		require.Contains(t, o.run(0, "status", "second"), "edge-audit")
		require.Contains(t, o.run(0, "history"), "second")
		require.Contains(t, o.run(0, "burn", "-html", page), "finish")
		var rows []struct {
			Neighbour string `json:"neighbour"`
		}
		require.NoError(t, json.Unmarshal([]byte(o.run(0, "account", "-json")), &rows))
		require.NotEmpty(t, rows)
		require.Contains(t, o.run(0, "account", "-periods", "1"), "finishing")
		o.run(1, "account", "-periods", "-1")
	}
	r, err := d.Run(context.Background())
	require.NoError(t, err, logs(dir))
	require.Empty(t, r.Broken())
	html, err := os.ReadFile(page)
	require.NoError(t, err)
	require.Contains(t, string(html), "<svg")
}
