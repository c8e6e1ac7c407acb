package e2e

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/platform/soak"
)

var (
	soakSeeds    = flag.Int("soak.seeds", 0, "how many seeds of the soak to run beside those that are kept")
	soakFirst    = flag.Uint64("soak.first", 1, "the first of these seeds")
	soakKept     = flag.Bool("soak.kept", false, "run all seeds that are kept, not only those of the short run")
	soakParallel = flag.Int("soak.beside", 3, "how many seeds run at once")
	soakNodes    = flag.Int("soak.nodes", 5, "how many nodes each seed runs")
	soakCells    = flag.Int("soak.cells", 0, "into how many cells each seed divides its workers; 0 leaves that to the nodes")
	soakLogs     = flag.String("soak.logs", "", "`directory` that keeps the logs of each run")
)

// soakCase is one seed, with the reason why it is kept.
type soakCase struct {
	seed   uint64
	short  bool // Part of each run of the tests.
	reason string
	cells  int // Into how many cells the workers are divided; 0 leaves that to the nodes.
}

// readSeeds reads the seeds that ever failed, and those of the short run.
func readSeeds(t *testing.T) []soakCase {
	t.Helper()
	f, err := os.Open(filepath.Join("testdata", "soak-seeds.txt"))
	require.NoError(t, err)
	defer f.Close()
	var all []soakCase
	for lines := bufio.NewScanner(f); lines.Scan(); {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.SplitN(line, " ", 3)
		require.Len(t, fields, 3, line)
		seed, err := strconv.ParseUint(fields[0], 10, 64)
		require.NoError(t, err, line)
		all = append(all, soakCase{seed: seed, short: fields[1] == "short", reason: fields[2]})
	}
	return all
}

// Nodes as separate processes keep what callers and workers were promised,
// whatever happens to them, their paths, the store and the workers.
func TestSoak(t *testing.T) {
	var cases []soakCase
	for _, c := range readSeeds(t) {
		if c.short && *soakSeeds == 0 || *soakKept {
			cases = append(cases, c)
		}
	}
	for i := range *soakSeeds {
		cases = append(cases, soakCase{seed: *soakFirst + uint64(i), reason: "fresh", cells: *soakCells})
	}
	if *soakSeeds == 0 {
		cases = append(cases, soakCase{seed: cellsSeed, reason: "three cells", cells: 3},
			soakCase{seed: fullCellSeed, reason: "a begun job in a full cell", cells: 3})
	}
	slots := make(chan struct{}, *soakParallel)
	for _, c := range cases {
		t.Run(fmt.Sprintf("seed %d, cells %d", c.seed, c.cells), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			dir := t.TempDir()
			if *soakLogs != "" {
				dir = filepath.Join(*soakLogs, fmt.Sprint(c.seed))
				require.NoError(t, os.MkdirAll(dir, 0o700))
			}
			var out bytes.Buffer
			s := &soak.Soak{
				Seed: c.seed, Nodes: *soakNodes, Workers: 6, Cells: c.cells, Length: soakLength, FaultEvery: soakFaultEvery,
				JobsPerSecond: soakJobs, Launch: nodeLauncher(dir), Out: &out,
			}
			r, err := s.Run(context.Background())
			require.NoError(t, err, logs(dir))
			t.Logf("jobs %d, accepted %d, refused %d, completed %d, runs %d, faults %d",
				r.Jobs, r.Accepted, r.Refused, r.Completed, r.Runs, r.Faults)
			if testing.Verbose() {
				t.Log(out.String())
			}
			if len(r.Broken) > 0 {
				t.Fatalf("%s: broken rules:\n%s\nfaults:\n%s", c.reason, strings.Join(r.Broken, "\n"), out.String())
			}
			require.Positive(t, r.Completed)
		})
	}
}

const (
	// cellsSeed is that of the short run in cells.
	cellsSeed = 1
	// fullCellSeed once left a begun job in a cell of one worker that was full.
	fullCellSeed = 4025
	// soakLength is how long load and faults of one seed last.
	soakLength = 12 * time.Second
	// soakFaultEvery is the mean time between series of faults.
	soakFaultEvery = 1500 * time.Millisecond
	// soakJobs is how many jobs come a second.
	soakJobs = 5
)
