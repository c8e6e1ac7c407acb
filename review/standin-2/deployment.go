//go:build review2

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/oriolepond/oriolepond/platform/standin"
)

const (
	serviceName  = "finish-svc"
	secondName   = "watch-svc"
	routeHost    = "jobs.example"
	routePrefix  = "/jobs/"
	secondPrefix = "/watches/"
	// holdMax is the holdMaxMs of the settings.
	holdMax = 10 * time.Second
	nodes   = 3
)

// deployment is a small deployment: the platform's store, runners, and nodes as processes of their own.
type deployment struct {
	record  *record
	ledger  *ledger
	store   *standin.Store
	runners []*runner
	fronts  []string
	gangs   *gangs
	// adviser is nil if the queue has none.
	adviser *adviser
	// worksMu guards works, which has the works of all steps, by ID.STEP.
	worksMu sync.Mutex
	works   map[string]work

	// lastAnswer has the last answer to a GET by job; only another one is recorded.
	lastAnswer map[string]string

	dir      string
	commands []*exec.Cmd
	client   *http.Client
}

func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

// The ports of a node. Each node has a loopback address of its own, as a machine has.
const (
	frontPort   = 8161
	controlPort = 8166
	readyPort   = 8167
	ownPort     = 7720 // The first of a range of 16; metrics are served on the last.
)

// maxAddressTries limits the search for a free address.
const maxAddressTries = 50

// freeAddress returns a loopback IP address with the ports of a node free.
func freeAddress() (string, error) {
	var lastErr error
	for range maxAddressTries {
		ip := fmt.Sprintf("127.%d.%d.%d", 128+rand.IntN(100), 1+rand.IntN(250), 1+rand.IntN(250))
		if lastErr = probe(ip, frontPort, controlPort, readyPort, ownPort+15); lastErr == nil {
			return ip, nil
		}
	}
	return "", fmt.Errorf("no free address: %w", lastErr)
}

// probe returns an error if a port of an IP address is in use.
func probe(ip string, ports ...int) error {
	for _, port := range ports {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return err
		}
		l.Close()
	}
	return nil
}

// newDeployment returns a deployment with an empty store.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: r, ledger: newLedger(r), store: standin.NewStore(), works: map[string]work{}, gangs: newGangs(), lastAnswer: map[string]string{}, dir: dir,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
	return d, nil
}

// writeConfig writes the configuration as the operator does.
func (d *deployment) writeConfig() {
	route := map[string]any{
		"name": "q-1", "host": routeHost, "prefix": routePrefix, "service": serviceName, "priority": 0, "attempts": 3, "slackFactor": 2.0, "targetDurationMs": 1000,
	}
	if d.adviser != nil {
		route["advice"] = map[string]int64{"decideMs": d.adviser.decide.Milliseconds(), "periodMs": d.adviser.period.Milliseconds(), "validMs": adviceValid.Milliseconds()}
	}
	second := map[string]any{
		"name": "q-2", "host": routeHost, "prefix": secondPrefix, "service": secondName, "priority": 0, "attempts": 3, "slackFactor": 2.0, "targetDurationMs": 2500,
	}
	config, _ := json.Marshal(map[string]any{
		"version": 7, "routes": []any{route, second},
		"services": []map[string]any{{"name": serviceName, "enforcesCapacity": true}, {"name": secondName, "enforcesCapacity": true}},
		"limits":   map[string]int{"bodyBytes": 262144},
	})
	d.store.Put("op/config", config)
}

// addRunner starts a runner of a service. Its works are those of the jobs that are submitted.
func (d *deployment) addRunner(id, service, kind string, capacity size) (*runner, error) {
	r := &runner{id: id, rack: "r1-1", service: service, ofMany: len(d.runners) >= manyRunners, record: d.record, store: d.store, ledger: d.ledger, works: d.workOf, gangs: d.gangs, adviser: d.adviser}
	if err := r.serve(); err != nil {
		return nil, err
	}
	r.start(kind, capacity, 0)
	d.runners = append(d.runners, r)
	return r, nil
}

// manyRunners is the number of runners of which each heartbeat is written.
const manyRunners = 200

// workOf returns the work of a task, whose name is ID.K.STEP.INDEX.
func (d *deployment) workOf(task string) work {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return work{}
	}
	d.worksMu.Lock()
	defer d.worksMu.Unlock()
	return d.works[parts[0]+"."+parts[2]]
}

var runLine = regexp.MustCompile(`(?m)^run = "([^"]+)"`)

// startNodes starts the nodes with the command of the deploy file and waits until they are ready.
func (d *deployment) startNodes() error {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	match := runLine.FindSubmatch(text)
	if match == nil {
		return errors.New("the deploy file names no program")
	}
	l, err := listen()
	if err != nil {
		return err
	}
	go http.Serve(l, d.store)
	d.writeConfig()
	advice := ""
	if d.adviser != nil {
		adviserListener, err := listen()
		if err != nil {
			return err
		}
		go http.Serve(adviserListener, d.adviser)
		advice = adviserListener.Addr().String()
	}
	words := strings.Fields(string(match[1]))
	var ips, seeds, ready []string
	for range nodes {
		ip, err := freeAddress()
		if err != nil {
			return err
		}
		ips = append(ips, ip)
		seeds = append(seeds, fmt.Sprintf("%s:%d", ip, controlPort))
	}
	for i, ip := range ips {
		address := func(port int) string { return fmt.Sprintf("%s:%d", ip, port) }
		settings, _ := json.Marshal(map[string]any{
			"node": fmt.Sprintf("edge-z-%d", i+1), "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control_plane"},
			"ip": ip, "zone": "z-1", "region": "r", "zones": map[string]string{"z-1": "r"},
			"listen":    map[string]string{"front": address(frontPort), "ready": address(readyPort), "control": address(controlPort)},
			"portRange": []int{ownPort, ownPort + 15}, "seeds": seeds, "bootstrap": true, "dataDir": nil,
			"limits":      map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0},
			"heartbeatMs": heartbeat.Milliseconds(),
			"bounds": map[string]any{
				"stableWindowMs": 4000, "ackMs": 5000, "drainMs": 2500, "graceS": 6, "configApplyMs": 2500, "holdMaxMs": holdMax.Milliseconds(),
				"stopTimeoutMs": 400, "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
			},
			"controlMode": "call", "advice": advice,
			"platform": map[string]any{"address": l.Addr().String(), "form": "kv", "writesPerS": 400, "readsPerS": 2000, "retentionS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		})
		path := filepath.Join(d.dir, fmt.Sprintf("node-%d.json", i+1))
		if err := os.WriteFile(path, settings, 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(d.dir, fmt.Sprintf("node-%d.log", i+1)))
		if err != nil {
			return err
		}
		command := exec.Command(words[0], words[1:]...)
		command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "ORIOLEPOND_CONFIG=" + path}
		command.Stdout, command.Stderr = log, log
		if err := command.Start(); err != nil {
			return err
		}
		d.commands = append(d.commands, command)
		d.fronts = append(d.fronts, address(frontPort))
		ready = append(ready, address(readyPort))
	}
	return d.awaitReady(ready)
}

// readyTimeout is how long the nodes may take to be ready, and then the first job to run.
const readyTimeout = 30 * time.Second

func (d *deployment) awaitReady(addresses []string) error {
	deadline := time.Now().Add(readyTimeout)
	for _, a := range addresses {
		for {
			resp, err := http.Get("http://" + a + "/oriolepond/readiness")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("node at %s is not ready", a)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.record.add("%d nodes are ready", len(addresses))
	return nil
}

// stop ends all processes that were started.
func (d *deployment) stop() {
	for _, c := range d.commands {
		_ = c.Process.Signal(syscall.SIGKILL)
		_ = c.Wait()
	}
	if os.Getenv("KEEP_LOGS") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}

// step is a step of a job, with the time that its tasks take.
type step struct {
	count    int
	size     size
	duration time.Duration
	label    string
	lasts    bool
	gang     bool
}

// submit hands a job in until it is accepted, at the nodes in turn.
func (d *deployment) submit(id string, steps ...step) error {
	return d.submitTo(routePrefix, id, steps...)
}

// submitTo is submit for the route with a prefix.
func (d *deployment) submitTo(prefix, id string, steps ...step) error {
	var wire []map[string]any
	for i, s := range steps {
		d.worksMu.Lock()
		w := work{size: s.size, duration: s.duration}
		if s.gang {
			w.gang = s.count
		}
		d.works[fmt.Sprintf("%s.%d", id, i)] = w
		d.worksMu.Unlock()
		row := map[string]any{"count": s.count, "cpu": s.size.cpu, "memMb": s.size.memMB, "estimateMs": s.duration.Milliseconds()}
		if s.label != "" {
			row["requiredLabel"] = s.label
		}
		if s.lasts {
			row["longRunning"] = true
		}
		if s.gang {
			row["gang"] = true
		}
		wire = append(wire, row)
	}
	body, _ := json.Marshal(map[string]any{"spec": "spec of " + id, "steps": wire})
	deadline := time.Now().Add(readyTimeout)
	for i := 0; ; i++ {
		status, _, err := d.call(http.MethodPost, d.fronts[i%len(d.fronts)], prefix, id, body)
		if status == http.StatusOK {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("job %s was not accepted: %d %v", id, status, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// state returns the state of a job, as the nodes in turn say it; empty if none answers with one.
func (d *deployment) state(id string) string {
	for _, front := range d.fronts {
		status, body, _ := d.call(http.MethodGet, front, routePrefix, id, nil)
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil {
			return answer.State
		}
	}
	return ""
}

// call makes one call as a consumer and records it.
func (d *deployment) call(method, front, prefix, id string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Time-Remaining", "3000")
	resp, err := d.client.Do(req)
	if err != nil {
		d.record.add("consumer: %s %s: %v", method, id, err)
		return 0, nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	answer := fmt.Sprintf("%d %s", resp.StatusCode, text)
	if method != http.MethodGet || d.lastAnswer[id] != answer {
		d.record.add("consumer: %s %s: %s", method, id, answer)
	}
	if method == http.MethodGet {
		d.lastAnswer[id] = answer
	}
	return resp.StatusCode, text, err
}

// await waits until a condition holds, and reports whether it did in time.
func await(timeout time.Duration, condition func() bool) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
