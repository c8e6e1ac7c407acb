package clients

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// oriolepondPath is the path of the built binary.
var oriolepondPath string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

// buildAndRun builds the binary, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "oriolepond-clients")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	oriolepondPath = filepath.Join(dir, "oriolepond")
	if out, err := exec.Command("go", "build", "-o", oriolepondPath, "github.com/oriolepond/oriolepond/cmd/oriolepond").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// memoryMB is the memory of a process in the tests, in MiB.
	memoryMB = 96
	// fileDescriptors is the part of a process's descriptors that is reserved for files.
	fileDescriptors = 200
	// sampleInterval is the interval between two measurements of a process.
	sampleInterval = 5 * time.Millisecond
	// patience is how long a test waits for what must happen at some time.
	patience = time.Minute
)

// process is a process under test, which has a loopback address of its own.
type process struct {
	ip   string
	log  string
	cmd  *exec.Cmd
	done chan struct{}
	// peakBytes is the highest sum of the resident memory and of the bytes received and not yet read.
	// peakSockets is the highest number of open sockets.
	peakBytes, peakSockets int64
	mu                     sync.Mutex
	measured               chan struct{}
	// turnedAway has the clients of the crowd that were refused, answered or cut off.
	turnedAway sync.Map
}

// newAddress returns a random loopback address for a process.
func newAddress() string {
	return fmt.Sprintf("127.%d.%d.%d", 128+rand.IntN(64), 1+rand.IntN(250), 1+rand.IntN(250))
}

// startProcess starts a process with the text of its settings file, and measures it until it ends.
func startProcess(t *testing.T, ip, settings string, args ...string) *process {
	t.Helper()
	dir := t.TempDir()
	p := &process{ip: ip, log: filepath.Join(dir, "log.txt"), done: make(chan struct{}), measured: make(chan struct{})}
	file := filepath.Join(dir, "settings.json")
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	log, err := os.Create(p.log)
	require.NoError(t, err)
	p.cmd = exec.Command(oriolepondPath, append(args, "-settings", file)...)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		_ = log.Close()
		close(p.done)
	}()
	go p.measure()
	t.Cleanup(func() {
		_ = p.cmd.Process.Signal(syscall.SIGKILL)
		<-p.done
		<-p.measured
	})
	return p
}

// measure measures the process until it ends.
func (p *process) measure() {
	defer close(p.measured)
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		p.sample()
		select {
		case <-p.done:
			return
		case <-tick.C:
		}
	}
}

// sample measures the process once.
func (p *process) sample() {
	bytes, sockets := p.residentBytes()+p.unreadBytes(), p.sockets()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakBytes, p.peakSockets = max(p.peakBytes, bytes), max(p.peakSockets, sockets)
}

// residentBytes returns the highest resident memory of the process so far.
func (p *process) residentBytes() int64 {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	kilobytes, _ := strconv.ParseInt(number, 10, 64)
	return kilobytes << 10
}

// unreadBytes returns how many bytes wait in the sockets at the process's address.
func (p *process) unreadBytes() int64 {
	f, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer f.Close()
	ip := net.ParseIP(p.ip).To4()
	local, listening, sum := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0]), "0A", int64(0)
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}

// sockets returns the number of the process's open sockets.
func (p *process) sockets() int64 {
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, _ := os.ReadDir(dir)
	n := int64(0)
	for _, e := range entries {
		if target, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(target, "socket:") {
			n++
		}
	}
	return n
}

// requireWithin ends the process and checks that it lived until then and stayed within its limits.
func (p *process) requireWithin(t *testing.T, maxFds int) {
	t.Helper()
	select {
	case <-p.done:
		t.Errorf("the process has ended: %s", p.tail())
	default:
	}
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.measured
	t.Logf("peak: %d MiB of %d, %d sockets of %d", p.peakBytes>>20, memoryMB, p.peakSockets, maxFds-fileDescriptors)
	assert.LessOrEqual(t, p.peakBytes, int64(memoryMB<<20), "memory in bytes")
	assert.LessOrEqual(t, p.peakSockets, int64(maxFds-fileDescriptors), "sockets")
}

// tail returns the end of the process's log.
func (p *process) tail() string {
	text, _ := os.ReadFile(p.log)
	return string(text[max(0, len(text)-2000):])
}

// requireServed sends an ordinary request, as a caller does that repeats it after each answer but 200. Each
// time there must be an answer, and 200 at last.
func (p *process) requireServed(t *testing.T, send func() (int, error)) {
	t.Helper()
	for deadline := time.Now().Add(patience); ; <-time.After(100 * time.Millisecond) {
		got, err := send()
		if err == nil && got == http.StatusOK {
			return
		}
		if !assert.NoError(t, err, "no answer") || !assert.True(t, time.Now().Before(deadline), "not served, status %d", got) {
			return
		}
	}
}

// awaitStart repeats a request until it is answered with 200.
func (p *process) awaitStart(t *testing.T, send func() (int, error)) {
	t.Helper()
	for deadline := time.Now().Add(patience); ; <-time.After(20 * time.Millisecond) {
		got, err := send()
		if err == nil && got == http.StatusOK {
			return
		}
		select {
		case <-p.done:
			require.Fail(t, "the process has ended", p.tail())
		default:
			require.True(t, time.Now().Before(deadline), "status %d, %v: %s", got, err, p.tail())
		}
	}
}

// status sends a request on a new connection and returns the status of the complete response.
func status(r *http.Request) (int, error) {
	client := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
