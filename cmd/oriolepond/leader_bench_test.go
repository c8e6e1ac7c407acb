package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/platform"
	"github.com/oriolepond/oriolepond/platform/standin"
)

// surroundingsEnv is the environment variable that makes the test binary run the stand-ins of
// BenchmarkLeader instead of tests, so that their processor time isn't the leader's.
const surroundingsEnv = "ORIOLEPOND_BENCH_SURROUNDINGS"

func TestMain(m *testing.M) {
	if text := os.Getenv(surroundingsEnv); text != "" {
		var s surroundings
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			panic(err)
		}
		s.run()
		return
	}
	os.Exit(m.Run())
}

const benchConfig = `{"version":1,"routes":[{"name":"q","host":"a.example","prefix":"/x/","service":"s","attempts":3,"slackFactor":2,` +
	`"targetDurationMs":400}],"services":[{"name":"s","enforcesCapacity":true}],"limits":{"bodyBytes":4096}}`

// The tasks of a job of BenchmarkLeader, and how long each takes.
const (
	benchTasks    = 10
	benchDuration = 900 * time.Millisecond
)

const benchJob = `{"spec":"(text)","steps":[{"count":4,"cpu":2300,"memMb":4000,"estimateMs":800,"preferredRack":"r1-3"},` +
	`{"count":6,"cpu":3500,"memMb":6400,"estimateMs":1000,"after":[0],"checkpointing":true}]}`

// surroundings are the store, the workers and the callers of a node. They run in a process of
// their own.
type surroundings struct {
	Workers int
	// Starts is the number of task starts a second.
	Starts int
	Front  string

	store   *standin.Store
	workers []*standin.Worker
	conns   atomic.Int64
	done    atomic.Int64
}

// run serves the store and the workers. It writes the store's address as a line and then, for each
// line that it reads, a line with the numbers of ended runs and of connections to workers. The
// callers begin with the first line read. It returns when the input ends.
func (s *surroundings) run() {
	s.store = standin.NewStore()
	server := httptest.NewServer(s.store)
	s.store.Put("op/config", []byte(benchConfig))
	for i := range s.Workers {
		w := &standin.Worker{ID: fmt.Sprintf("i-%d", i), Duration: benchDuration, OnEvent: func(e standin.Event) {
			if e.Kind == standin.Ended {
				s.done.Add(1)
			}
		}}
		l := httptest.NewUnstartedServer(w)
		l.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				s.conns.Add(1)
			}
		}
		l.Start()
		s.workers = append(s.workers, w)
		entry := func() {
			s.store.Put("servers/"+w.ID, w.Entry("s", strings.TrimPrefix(l.URL, "http://"), "z", fmt.Sprintf("r1-%d", i/8)))
		}
		entry()
		go func() {
			for {
				time.Sleep(time.Duration(1400+rand.IntN(200)) * time.Millisecond)
				entry()
			}
		}()
	}
	fmt.Println(strings.TrimPrefix(server.URL, "http://"))
	in := bufio.NewScanner(os.Stdin)
	for first := true; in.Scan(); first = false {
		if first {
			go s.callers()
		}
		fmt.Println(s.done.Load(), s.conns.Load())
	}
}

// callers submit jobs at a steady rate, and query each of them until it has ended.
func (s *surroundings) callers() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	for range time.Tick(time.Second * benchTasks / time.Duration(s.Starts)) {
		go func() {
			url := fmt.Sprintf("http://%s/x/%016x", s.Front, rand.Uint64())
			for {
				if status, _ := callBench(client, "POST", url, benchJob); status == http.StatusOK {
					break
				}
				time.Sleep(500 * time.Millisecond)
			}
			for {
				time.Sleep(time.Second)
				if _, body := callBench(client, "GET", url, ""); strings.Contains(body, "completed") {
					return
				}
			}
		}()
	}
}

// callBench makes one call and returns the status and the body.
func callBench(client *http.Client, method, url, body string) (int, string) {
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = "a.example"
	req.Header.Set("Time-Remaining", "2500")
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text)
}

// BenchmarkLeader measures what a run costs the leader of a cell. b.N is a number of runs: use
// -benchtime 10000x. The node has one thread, as on the platform.
func BenchmarkLeader(b *testing.B) {
	for _, c := range []*surroundings{{Workers: 48, Starts: 200}, {Workers: 350, Starts: 700}} {
		b.Run(fmt.Sprintf("workers=%d/starts=%d", c.Workers, c.Starts), func(b *testing.B) {
			if b.N > 1 { // The testing package makes a trial with 1 first.
				benchmarkLeader(b, c)
			}
		})
	}
}

func benchmarkLeader(b *testing.B, c *surroundings) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	// Benchmarks that run at the same time use different addresses.
	ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(63), 1+rand.IntN(250), 1+rand.IntN(250))
	c.Front = fmt.Sprintf("%s:%d", ip, benchFrontPort)
	text, err := json.Marshal(c)
	require.NoError(b, err)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), surroundingsEnv+"="+string(text))
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	require.NoError(b, err)
	pipe, err := child.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, child.Start())
	defer func() { _ = child.Wait() }() // Its status says nothing.
	defer in.Close()
	out := bufio.NewReader(pipe)
	store, err := out.ReadString('\n')
	require.NoError(b, err)
	counts := func() (done, conns int) {
		_, err := fmt.Fprintln(in)
		require.NoError(b, err)
		_, err = fmt.Fscanln(out, &done, &conns)
		require.NoError(b, err)
		return done, conns
	}

	sink := &eventlog.Sink{Out: io.Discard}
	done := make(chan struct{})
	go sink.Run(done)
	defer close(done)
	s := benchSettings(b, ip, strings.TrimSpace(store))
	n := &node{
		settings: s, advertise: s.PeerAddress, dialer: &net.Dialer{Timeout: dialTimeout, KeepAlive: -1},
		log: eventlog.New(eventlog.NewZap(sink)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.run(ctx, "") }()
	defer func() {
		cancel()
		<-ended
	}()
	time.Sleep(100 * time.Millisecond)
	require.Empty(b, ended, "the node has ended")
	counts()
	awaitRuns := func(runs int) int {
		for deadline := time.Now().Add(time.Minute); ; time.Sleep(100 * time.Millisecond) {
			if done, _ := counts(); done >= runs {
				return done
			}
			require.True(b, time.Now().Before(deadline), "too few runs")
		}
	}
	warm := awaitRuns(3 * c.Starts)

	b.ResetTimer()
	var memory [2]runtime.MemStats
	var usage [2]syscall.Rusage
	_, conns := counts()
	runtime.ReadMemStats(&memory[0])
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage[0]))
	began := time.Now()
	runs := float64(awaitRuns(warm+b.N) - warm)
	took := time.Since(began)
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage[1]))
	runtime.ReadMemStats(&memory[1])
	_, connsAfter := counts()
	b.StopTimer()
	micros := func(u syscall.Rusage) float64 {
		return float64(u.Utime.Nano()+u.Stime.Nano()) / 1e3
	}
	b.ReportMetric(0, "ns/op")
	b.ReportMetric((micros(usage[1])-micros(usage[0]))/runs, "cpu-µs/run")
	b.ReportMetric(float64(usage[1].Stime.Nano()-usage[0].Stime.Nano())/1e3/runs, "system-µs/run")
	b.ReportMetric(float64(memory[1].Mallocs-memory[0].Mallocs)/runs, "allocs/run")
	b.ReportMetric(float64(memory[1].TotalAlloc-memory[0].TotalAlloc)/runs, "B/run")
	b.ReportMetric(float64(connsAfter-conns)/runs, "conns/run")
	b.ReportMetric(float64(memory[1].NumGC-memory[0].NumGC)/took.Seconds(), "gc/s")
	b.ReportMetric(float64(memory[1].Sys>>20), "MB")
	b.ReportMetric(runs/took.Seconds(), "runs/s")
}

// The ports of the node.
const (
	benchFrontPort = 7001 + iota
	benchReadyPort
	benchPeerPort
	benchOwnPort
)

// benchSettings returns the settings of a node at a loopback IP address.
func benchSettings(b *testing.B, ip, store string) platform.Settings {
	s, err := platform.DecodeSettings("", fmt.Appendf(nil, `{"node":"edge-a-1","ip":%[1]q,"zone":"z","region":"r",
		"listen":{"front":"%[1]s:%[2]d","ready":"%[1]s:%[3]d","control":"%[1]s:%[4]d"},"portRange":[%[5]d,%[5]d],
		"limits":{"cpuShare":0.8,"cores":1,"memoryMb":284},
		"bounds":{"holdMaxMs":10000,"status_s":120,"graceS":6,"configApplyMs":2500},
		"platform":{"address":%[6]q,"form":"kv"},"controlMode":"call"}`,
		ip, benchFrontPort, benchReadyPort, benchPeerPort, benchOwnPort, store))
	require.NoError(b, err)
	return s
}
