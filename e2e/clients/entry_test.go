package clients

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/roster"
	"github.com/oriolepond/oriolepond/internal/standin"
)

// The ports of an entry instance.
const (
	entryFrontPort = 7000 + iota
	entryPeerPort
	entryAdminPort
)

const (
	callerToken   = "caller-token"
	operatorToken = "operator-token"
	// entryRunners is the number of runners, entrySlots the slots of each.
	entryRunners = 4
	entrySlots   = 100
	// runnerHeader carries the request ID between entry instances and runners.
	runnerHeader = "Oriolepond-Request-Id"
)

// entryNote is the configuration of the tests. A body of a request or an answer may have bodyBytes.
const entryNote = `{"name": "n", "added": {
	"neighbours": [{"name": "c", "tokenHash": %[1]q, "region": "r"}],
	"shares": [{"name": "s", "neighbour": "c", "weight": 1, "quota": {"processors": 8, "memory": "16GB"}}],
	"services": [{"name": "s", "neighbour": "c", "share": "s", "runner": {"processors": 8, "memory": "16GB"},
		"objective": {"latency": "250ms", "ratio": 0.999},
		"routes": [{"path": "/", "class": "idempotent", "deadline": "30s", "maxRequest": %[2]d, "maxAnswer": %[2]d}]}]}}`

// hashOf returns the hexadecimal SHA-256 of a token.
func hashOf(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// runner answers requests for a service. Held has the paths of the large answers that it has sent as far as it
// can, or until the process gave them up.
type runner struct{ held sync.Map }

// ServeHTTP answers the whole request, or, below /held/, with a large body that stops short of its end.
func (n *runner) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set(runnerHeader, r.Header.Get(runnerHeader))
	if !strings.HasPrefix(r.URL.Path, "/held/") {
		_, _ = io.WriteString(w, "answer")
		return
	}
	w.Header().Set("Content-Length", fmt.Sprint(bodyBytes))
	_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes-1))
	_ = http.NewResponseController(w).Flush()
	n.held.Store(r.URL.Path, true)
	<-r.Context().Done()
}

// served returns the number of clients of the crowd whose large answer was sent as far as it goes, or that the
// process has turned away.
func (n *runner) served(p *process) int {
	count := 0
	for client := range crowdSize {
		_, held := n.held.Load(fmt.Sprintf("/held/%d", client))
		if _, away := p.turnedAway.Load(client); held || away {
			count++
		}
	}
	return count
}

// serve starts a server that the test closes at its end, and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.CloseClientConnections)
	return strings.TrimPrefix(server.URL, "http://")
}

// startEntry starts an entry instance with its store and runners, and waits until it serves requests.
func startEntry(t *testing.T, maxFds int) (*process, *runner) {
	t.Helper()
	list, all := standin.NewPlatform(), &runner{}
	for i := range entryRunners {
		list.Set(roster.Instance{
			ID: fmt.Sprintf("runner-%d", i), Kind: roster.KindRunner, State: roster.Live, Region: "r", DataCentre: "d", Service: "s",
			Address: serve(t, all), Slots: entrySlots, Connections: 2 * entrySlots,
		})
	}
	ip := newAddress()
	list.Set(roster.Instance{
		ID: "e-1", Kind: roster.KindEntry, State: roster.Live, Region: "r", DataCentre: "d",
		Address: fmt.Sprintf("%s:%d", ip, entryFrontPort), PeerAddress: fmt.Sprintf("%s:%d", ip, entryPeerPort),
	})
	p := startProcess(t, ip, fmt.Sprintf(`{"id":"e-1","region":"r","dataCentre":"d",
		"listen":"%[1]s:%[2]d","peerListen":"%[1]s:%[3]d","adminListen":"%[1]s:%[4]d","bindAddress":%[1]q,
		"storeUrls":["http://%[5]s"],"listUrl":"http://%[6]s/instances","operatorTokenHash":%[7]q`,
		ip, entryFrontPort, entryPeerPort, entryAdminPort, serve(t, standin.NewStore()), serve(t, list), hashOf(operatorToken))+
		fmt.Sprintf(entryLimits, memoryMB, maxFds), "serve")
	admin := fmt.Sprintf("%s:%d", ip, entryAdminPort)
	p.awaitStart(t, func() (int, error) { return status(get(t, "http://"+admin+"/readyz")) })
	client := operate.Client{Address: admin, Token: operatorToken}
	_, _, err := client.Apply(context.Background(), fmt.Appendf(nil, entryNote, hashOf(callerToken), bodyBytes))
	require.NoError(t, err)
	p.awaitStart(t, func() (int, error) { return p.request(t) })
	return p, all
}

// get returns a request with the callers' token.
func get(t *testing.T, url string) *http.Request {
	t.Helper()
	r, err := http.NewRequest(http.MethodGet, url, nil)
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+callerToken)
	return r
}

// request makes an ordinary request and returns the status of the response.
func (p *process) request(t *testing.T) (int, error) {
	t.Helper()
	return status(get(t, fmt.Sprintf("http://%s:%d/s/s/check", p.ip, entryFrontPort)))
}

// entryRequest begins a request of the crowd.
const entryRequest = request("POST /s/s/check HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " + callerToken + "\r\n")

// largeAnswers is the name of the behaviour whose answers are large.
const largeAnswers = "large answers of runners"

// Guards against an entry instance that exceeds its memory because of what callers send or runners
// answer, or does not serve an ordinary request.
func TestEntryMemory(t *testing.T) {
	const maxFds = 4100
	cases := append([]behaviour{{largeAnswers, func(_ request, n int) []string {
		return []string{fmt.Sprintf("GET /s/s/held/%d", n) + " HTTP/1.1\r\nHost: a.example\r\nAuthorization: Bearer " + callerToken + "\r\n\r\n"}
	}}}, behaviours...)
	for _, b := range cases {
		t.Run(b.name, func(t *testing.T) {
			p, all := startEntry(t, maxFds)
			p.gather(t, entryFrontPort, func(n int) []string { return b.send(entryRequest, n) })
			if b.name == largeAnswers {
				require.Eventually(t, func() bool { return all.served(p) == crowdSize }, patience, sampleInterval)
				p.sample()
			}
			p.requireServed(t, func() (int, error) { return p.request(t) })
			p.requireWithin(t, maxFds)
		})
	}
}

// Guards against an entry instance that opens more descriptors than it may because callers keep
// connections open.
func TestEntryDescriptors(t *testing.T) {
	const maxFds = 400
	for _, c := range []struct {
		name string
		port int
	}{{"callers", entryFrontPort}, {"peers", entryPeerPort}, {"operators", entryAdminPort}} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := startEntry(t, maxFds)
			p.gather(t, c.port, func(n int) []string {
				return []string{"", string(entryRequest), "GET / HTTP/1.1\r\nHost: a.example\r\n\r\n"}[n%3:][:1]
			})
			p.requireServed(t, func() (int, error) { return p.request(t) })
			p.requireWithin(t, maxFds)
		})
	}
}

// entryLimits ends the settings of an entry instance.
const entryLimits = `,"memory":"%dMiB","descriptors":%d}`
