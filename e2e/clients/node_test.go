package clients

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/oriolepond/oriolepond/platform/standin"
)

// The ports of a node.
const (
	nodeFrontPort = 7001 + iota
	nodeReadyPort
	nodePeerPort
	nodeMetricsPort
)

// nodeConfig is the configuration of the tests. A body of a job may have bodyBytes.
const nodeConfig = `{"version":1,"routes":[{"name":"q","host":"a.example","prefix":"/x/","service":"s","attempts":3,"slackFactor":2,"targetDurationMs":400}],
	"services":[{"name":"s","enforcesCapacity":true}],"limits":{"bodyBytes":%d}}`

const smallJob = `{"spec":"(text)","steps":[{"count":1,"cpu":500,"memMb":256,"estimateMs":100}]}`

// startNode starts a node with its store and waits until it accepts jobs.
func startNode(t *testing.T, maxFds int) (*process, *standin.Store) {
	t.Helper()
	store := standin.NewStore()
	store.Put("op/config", fmt.Appendf(nil, nodeConfig, bodyBytes))
	server := httptest.NewServer(store)
	t.Cleanup(server.Close)
	ip := newAddress()
	p := startProcess(t, ip, fmt.Sprintf(`{"node":"n-1","ip":%[1]q,"zone":"z","region":"r",
		"listen":{"front":"%[1]s:%[2]d","ready":"%[1]s:%[3]d","control":"%[1]s:%[4]d"},"portRange":[%[5]d,%[5]d],
		"limits":{"cpuShare":1,"cores":1,"memoryMb":%[6]d,"maxFds":%[7]d},
		"bounds":{"holdMaxMs":10000,"status_s":120,"graceS":6,"configApplyMs":2500},
		"platform":{"address":%[8]q,"form":"kv"},"controlMode":"call"}`,
		ip, nodeFrontPort, nodeReadyPort, nodePeerPort, nodeMetricsPort, memoryMB, maxFds, strings.TrimPrefix(server.URL, "http://")),
		"node", "-bind", ip)
	p.awaitStart(t, func() (int, error) { return submit(p, 1) })
	return p, store
}

// submit submits an ordinary job and returns the status of the response.
func submit(p *process, id int) (int, error) { return post(p, id, smallJob) }

// post submits a job with a body and returns the status of the response.
func post(p *process, id int, body string) (int, error) {
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/x/%016x", p.ip, nodeFrontPort, id), strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Host = "a.example"
	return status(r)
}

// nodeRequest begins a submission of the crowd.
const nodeRequest = request("POST /x/00000000000000ff HTTP/1.1\r\nHost: a.example\r\nTime-Remaining: 60000\r\n")

// Guards against a node that exceeds its memory because of what callers send, or refuses an ordinary job.
func TestNodeMemory(t *testing.T) {
	const maxFds = 4100
	for _, b := range behaviours {
		t.Run(b.name, func(t *testing.T) {
			p, _ := startNode(t, maxFds)
			p.gather(t, nodeFrontPort, func(n int) []string { return b.send(nodeRequest, n) })
			p.requireServed(t, func() (int, error) { return submit(p, 2) })
			p.requireWithin(t, maxFds)
		})
	}
}

// Guards against a node that decodes bodies of legal size into more memory than it has.
func TestNodeDecodesManySteps(t *testing.T) {
	const (
		maxFds  = 4100
		callers = 8
	)
	for _, step := range []string{"{}", "0", "null"} {
		t.Run(step, func(t *testing.T) {
			p, _ := startNode(t, maxFds)
			body := `{"spec":"(text)","steps":[` + step + strings.Repeat(","+step, bodyBytes/(len(step)+1)-32) + `]}`
			var all sync.WaitGroup
			for n := range callers {
				all.Go(func() {
					got, err := post(p, 16+n, body)
					assert.NoError(t, err)
					assert.NotEqual(t, http.StatusOK, got)
				})
			}
			all.Wait()
			p.requireServed(t, func() (int, error) { return submit(p, 2) })
			p.requireWithin(t, maxFds)
		})
	}
}

// Guards against a node that exceeds its memory because of large jobs that arrive completely. Each is answered
// or its connection closed.
func TestNodeCompleteLargeJobs(t *testing.T) {
	const (
		maxFds    = 4100
		specBytes = 250_000
	)
	p, _ := startNode(t, maxFds)
	job := strings.Replace(smallJob, "(text)", strings.Repeat("x", specBytes), 1)
	var all sync.WaitGroup
	for n := range crowdSize {
		all.Go(func() { _, _ = post(p, 16+n, job) })
	}
	all.Wait()
	p.requireServed(t, func() (int, error) { return submit(p, 2) })
	p.requireWithin(t, maxFds)
}

// Guards against a node that opens more descriptors than it may because callers keep connections open.
func TestNodeDescriptors(t *testing.T) {
	const maxFds = 300
	for _, c := range []struct {
		name string
		port int
	}{{"callers", nodeFrontPort}, {"load balancer", nodeReadyPort}, {"other nodes", nodePeerPort}, {"metrics", nodeMetricsPort}} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := startNode(t, maxFds)
			p.gather(t, c.port, func(n int) []string {
				return []string{"", string(nodeRequest), "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"}[n%3:][:1]
			})
			p.requireServed(t, func() (int, error) { return submit(p, 2) })
			p.requireWithin(t, maxFds)
		})
	}
}

// Guards against a node that exceeds its memory because workers answer with large bodies.
func TestNodeWorkersAnswers(t *testing.T) {
	const (
		maxFds      = 4100
		workers     = 40
		answerBytes = 8 << 20
	)
	p, store := startNode(t, maxFds)
	held := make(chan struct{}, 16*workers)
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", answerBytes-1)))
		_ = http.NewResponseController(w).Flush()
		select {
		case held <- struct{}{}:
		default:
		}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(release) })
	for i := range workers {
		w := &standin.Worker{ID: fmt.Sprintf("i-%d", i)}
		store.Put("servers/"+w.ID, w.Entry("s", strings.TrimPrefix(server.URL, "http://"), "z", "r-1"))
	}
	for range workers {
		<-held
	}
	p.requireServed(t, func() (int, error) { return submit(p, 2) })
	p.requireWithin(t, maxFds)
}
