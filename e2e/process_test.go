package e2e

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/oriolepond/oriolepond/internal/demo"
	"github.com/oriolepond/oriolepond/platform/soak"
)

// oriolepondPath and pondctlPath are the paths of the built binaries oriolepond and pondctl.
var oriolepondPath, pondctlPath string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the binaries, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "oriolepond-e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	oriolepondPath, pondctlPath = filepath.Join(dir, "oriolepond"), filepath.Join(dir, "pondctl")
	args := []string{"build", "-o", dir}
	if raceDetector {
		args = append(args, "-race")
	}
	args = append(args, "github.com/oriolepond/oriolepond/cmd/...")
	if output, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, output)
		return 1
	}
	return m.Run()
}

// launcher returns a function that starts entry instances as processes. Settings and
// logs are written to dir; environment is added to the environment of this process.
// The test fails if a process reports a data race.
func launcher(tb testing.TB, dir string, environment ...string) demo.Launch {
	tb.Helper()
	failOnRaces(tb, dir)
	started := 0
	return func(_ context.Context, text []byte) (*demo.Process, error) {
		started++
		settings := filepath.Join(dir, fmt.Sprintf("settings-%d.jsonc", started))
		if err := os.WriteFile(settings, text, 0o600); err != nil {
			return nil, err
		}
		log, err := os.Create(filepath.Join(dir, fmt.Sprintf("log-%d.txt", started)))
		if err != nil {
			return nil, err
		}
		return start(log, environment, "serve", "-settings", settings)
	}
}

// nodeLauncher returns a function that starts nodes of the users' platform as
// processes. Settings and logs are written to dir; a node that is started again appends
// to its log. The test fails if a process reports a data race.
func nodeLauncher(tb testing.TB, dir string) soak.Launch {
	tb.Helper()
	failOnRaces(tb, dir)
	return func(name string, text []byte, args ...string) (*demo.Process, error) {
		settings := filepath.Join(dir, "settings-"+name+".json")
		if err := os.WriteFile(settings, text, 0o600); err != nil {
			return nil, err
		}
		log, err := os.OpenFile(filepath.Join(dir, "log-"+name+".txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		return start(log, nil, append([]string{"node", "-settings", settings}, args...)...)
	}
}

// start starts a process that writes its output to log.
func start(log *os.File, environment []string, args ...string) (*demo.Process, error) {
	c := exec.Command(oriolepondPath, args...)
	c.Env = append(os.Environ(), environment...)
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		err := c.Wait()
		_ = log.Close()
		done <- err
	}()
	send := func(s syscall.Signal) func() {
		return func() { _ = c.Process.Signal(s) }
	}
	return &demo.Process{
		PID:    c.Process.Pid,
		Stop:   send(syscall.SIGTERM),
		Kill:   send(syscall.SIGKILL),
		Pause:  send(syscall.SIGSTOP),
		Resume: send(syscall.SIGCONT),
		HangUp: send(syscall.SIGHUP),
		Done:   done,
	}, nil
}

// failOnRaces makes the test fail, when it ends, with the data races that the logs in dir report.
func failOnRaces(tb testing.TB, dir string) {
	tb.Helper()
	tb.Cleanup(func() {
		names, err := filepath.Glob(filepath.Join(dir, "log-*.txt"))
		if err != nil {
			tb.Error(err)
		}
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				tb.Error(err)
				continue
			}
			for _, report := range raceReports(string(text)) {
				tb.Errorf("%s:\n%s", filepath.Base(name), report)
			}
		}
	})
}

// raceBanner begins a report of the race detector, and raceRule is the line around each report.
const (
	raceBanner = "WARNING: DATA RACE"
	raceRule   = "=================="
)

// raceReports returns the reports of the race detector in a process's log. Of a report that
// was cut off it returns what there is.
func raceReports(log string) []string {
	var reports []string
	for {
		_, rest, found := strings.Cut(log, raceBanner)
		if !found {
			return reports
		}
		report, rest, _ := strings.Cut(rest, raceRule)
		reports = append(reports, raceBanner+report)
		log = rest
	}
}

// logs returns the end of each process's log, to be printed by a failed test.
func logs(dir string) string {
	names, _ := filepath.Glob(filepath.Join(dir, "log-*.txt"))
	all := ""
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err == nil {
			all += filepath.Base(name) + ":\n" + tail(string(text)) + "\n"
		}
	}
	return all
}

// maxLogBytes bounds what logs returns of each log, in bytes.
const maxLogBytes = 4000

// tail returns the last maxLogBytes of a text.
func tail(text string) string {
	return text[max(0, len(text)-maxLogBytes):]
}
