package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/oriolepond/oriolepond/internal/operate"
	"github.com/oriolepond/oriolepond/internal/standin"
)

// counts collects the outcomes of the callers' requests and of the jobs.
type counts struct {
	// cutByStop counts responses that a planned stop cut off, and reverts how often an
	// instance used an older configuration again. offered counts the tasks of all
	// submissions that were begun, submitted those of accepted jobs.
	requests, cutByStop, reverts, offered, submitted atomic.Int64
	results                                          map[result]*atomic.Int64

	mu             sync.Mutex
	refused        []refusal
	latency        *hdrhistogram.Histogram
	jobs           map[string]bool
	slowestInForce time.Duration
	failures       []error
	// reasons counts why attempts were not answered.
	reasons map[string]int
}

// refusal is one attempt of a request that was answered as not run.
type refusal struct {
	request, attempt, key, answer string
}

// recordRefusal records an attempt that was answered as not run.
func (c *counts) recordRefusal(r refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, r)
}

// refusalsThatRan returns the refused attempts that a runner ran nevertheless, before or after the refusal.
func (c *counts) refusalsThatRan(ledger *standin.Ledger) []refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ran []refusal
	for _, r := range c.refused {
		if ledger.AttemptRuns(r.request, r.attempt) > 0 {
			ran = append(ran, r)
		}
	}
	return ran
}

// Range of the latency histogram in microseconds, its precision in significant digits,
// and the reported percentiles.
const (
	lowestMicros   = 1
	highestMicros  = 60_000_000
	latencyDigits  = 3
	medianQuantile = 50
	tailQuantile   = 99
)

func newCounts() *counts {
	c := &counts{
		results: map[result]*atomic.Int64{},
		latency: hdrhistogram.New(lowestMicros, highestMicros, latencyDigits),
		jobs:    map[string]bool{},
		reasons: map[string]int{},
	}
	for _, r := range []result{resultAnswered, resultRefused, resultUnknown, resultBroken, resultMismatch, resultTruncated} {
		c.results[r] = &atomic.Int64{}
	}
	return c
}

// maxReasons bounds the number of different reasons that are counted.
const maxReasons = 100

// countReason counts why an attempt was not answered.
func (c *counts) countReason(r result, path, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := fmt.Sprintf("%s %s: %s", r, path, strings.TrimSpace(reason))
	if len(c.reasons) < maxReasons || c.reasons[key] > 0 {
		c.reasons[key]++
	}
}

// recordFailure records a fault that could not be injected or checked.
func (c *counts) recordFailure(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, err)
}

// recordInForce receives how long a note took to come into force at one instance, and keeps the
// longest of these times.
func (c *counts) recordInForce(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowestInForce = max(c.slowestInForce, d)
}

func (c *counts) recordLatency(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latency.RecordValue(d.Microseconds())
}

// accepted returns the IDs of the accepted jobs, sorted.
func (c *counts) accepted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.jobs))
}

// recordAccepted counts the tasks of an accepted job; repeats of the same job do not count.
func (c *counts) recordAccepted(id string, tasks int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.jobs[id] {
		c.jobs[id] = true
		c.submitted.Add(int64(tasks))
	}
}

func (c *counts) millis(quantile float64) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.latency.ValueAtQuantile(quantile)) / 1000
}

// Report is the result of a demonstration.
type Report struct {
	Requests             int64
	Answered             int64
	Refused              int64
	Unknown              int64
	AnswerMismatches     int64
	TruncatedAnswers     int64
	NonIdempotentDoubles int64 // Keys that were run more than once.
	RefusalsThatRan      int64 // Attempts that ran although they were answered as not run.
	CutByPlannedStop     int64
	NewWorkAfterLeave    int64 // Requests to runners that had begun to leave more than LeaveGrace before.
	SlotOvercommits      int64 // Requests to runners beyond their slots.
	TasksSubmitted       int64
	TasksFinished        int64
	TasksLost            int64 // Submitted tasks that did not finish.
	TaskDoubleRuns       int64
	ResumeDoubles        int64 // Repeated resumes of a checkpoint whose first resume was not lost.
	WorkerOvercommits    int64
	ConfigReverts        int64
	ConfigInForceMax     time.Duration // The longest time until an instance used an accepted note.
	AccountErrorPercent  float64
	Evictions            int64
	P50, P99             float64 // Latencies of answered requests other than streams, in milliseconds.
	BatchTasksPerSecond  float64
	// Reasons counts why attempts were not answered.
	Reasons map[string]int
	// Failures are faults that could not be injected or checked.
	Failures []error
}

func (d *Demo) report(ctx context.Context) Report {
	c, cluster := d.counts, d.cluster
	ranAnyway := c.refusalsThatRan(cluster.Requests)
	for _, f := range ranAnyway {
		d.printf("ran though refused: %s sending %s of key %q: %s\n", f.request, f.attempt, f.key, f.answer)
	}
	r := Report{
		Requests:             c.requests.Load(),
		Answered:             c.results[resultAnswered].Load(),
		Refused:              c.results[resultRefused].Load(),
		Unknown:              c.results[resultUnknown].Load() + c.results[resultBroken].Load(),
		AnswerMismatches:     c.results[resultMismatch].Load(),
		TruncatedAnswers:     c.results[resultTruncated].Load(),
		NonIdempotentDoubles: int64(cluster.Requests.KeysRunTwice()),
		RefusalsThatRan:      int64(len(ranAnyway)),
		CutByPlannedStop:     c.cutByStop.Load(),
		ConfigReverts:        c.reverts.Load(),
		ConfigInForceMax:     c.slowestInForce,
		Evictions:            int64(cluster.Tasks.Evictions()),
		Reasons:              c.reasons,
		Failures:             c.failures,
		NewWorkAfterLeave:    cluster.Requests.RequestsAfterLeave(),
		SlotOvercommits:      cluster.Requests.Overcommits(),
		TasksSubmitted:       c.submitted.Load(),
		TasksFinished:        int64(cluster.Tasks.FinishedOf(d.Example.Job)),
		TaskDoubleRuns:       int64(cluster.Tasks.DoubleRuns()),
		ResumeDoubles:        int64(cluster.Tasks.DuplicateResumes()),
		WorkerOvercommits:    int64(cluster.Tasks.Overcommits()),
		AccountErrorPercent:  d.accountError(ctx),
		P50:                  c.millis(medianQuantile),
		P99:                  c.millis(tailQuantile),
		BatchTasksPerSecond:  float64(cluster.Tasks.FinishedOf(d.Example.Job)) / d.Length.Seconds(),
	}
	r.TasksLost = max(0, r.TasksSubmitted-r.TasksFinished)
	return r
}

// accountError returns by how many percent the account deviates from the processor time
// that the workers used. It waits for the account to catch up.
func (d *Demo) accountError(ctx context.Context) float64 {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	errorPct := math.Inf(1)
	for ctx.Err() == nil {
		// The workers' usage is read again each time, since tasks of a late submission may still run.
		spent := d.cluster.Tasks.Used(d.Example.Job).Processor.Seconds() + d.cluster.Tasks.Used(noisyJob).Processor.Seconds()
		client := operate.Client{Address: d.anyReady(0).admin(), Token: operatorToken}
		rows, _, err := client.Account(ctx)
		if err == nil {
			accounted := 0.0
			for _, row := range rows {
				accounted += row.ProcessorSeconds
			}
			errorPct = errorPercent(accounted, spent)
			if errorPct < 0.001 {
				return errorPct
			}
		}
		_ = sleep(ctx, pollInterval)
	}
	return errorPct
}

// errorPercent returns by how many percent the accounted amount deviates from the spent amount.
func errorPercent(accounted, spent float64) float64 {
	if spent == 0 && accounted == 0 {
		return 0
	}
	return math.Abs(accounted-spent) / spent * 100
}

// rules returns the counts that must be zero.
func (r Report) rules() []rule {
	return []rule{
		{"answerMismatches", r.AnswerMismatches},
		{"truncatedAnswers", r.TruncatedAnswers},
		{"nonIdempotentDoubles", r.NonIdempotentDoubles},
		{"refusalsThatRan", r.RefusalsThatRan},
		{"cutByPlannedStop", r.CutByPlannedStop},
		{"newWorkAfterLeave", r.NewWorkAfterLeave},
		{"slotOvercommits", r.SlotOvercommits},
		{"tasksLost", r.TasksLost},
		{"taskDoubleRuns", r.TaskDoubleRuns},
		{"resumeDoubles", r.ResumeDoubles},
		{"workerOvercommits", r.WorkerOvercommits},
		{"configReverts", r.ConfigReverts},
	}
}

type rule struct {
	name  string
	count int64
}

// Broken returns the rules that were broken, and the faults that could not be injected or checked.
func (r Report) Broken() []string {
	var broken []string
	for _, rule := range r.rules() {
		if rule.count != 0 {
			broken = append(broken, fmt.Sprintf("%s=%d", rule.name, rule.count))
		}
	}
	if r.ConfigInForceMax > inForceLimit {
		broken = append(broken, fmt.Sprintf("configInForceMaxMillis=%d", r.ConfigInForceMax.Milliseconds()))
	}
	for _, err := range r.Failures {
		broken = append(broken, err.Error())
	}
	return broken
}

// Text returns the report as readable text.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nrequests  %d, answered %d, refused unrun %d, unknown %d\n", r.Requests, r.Answered, r.Refused, r.Unknown)
	fmt.Fprintf(&b, "latency   p50 %.1f ms, p99 %.1f ms\n", r.P50, r.P99)
	fmt.Fprintf(&b, "tasks     %d submitted, %d finished, %.1f a second\n", r.TasksSubmitted, r.TasksFinished, r.BatchTasksPerSecond)
	fmt.Fprintf(&b, "evictions %d\n", r.Evictions)
	fmt.Fprintf(&b, "account   off by %.3f%%\n", r.AccountErrorPercent)
	fmt.Fprintf(&b, "notes     in force everywhere within %d ms\n", r.ConfigInForceMax.Milliseconds())
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(&b, "attempts  %d %s\n", r.Reasons[reason], reason)
	}
	for _, rule := range r.rules() {
		fmt.Fprintf(&b, "  %-22s %d\n", rule.name, rule.count)
	}
	return b.String()
}

// JSON returns the report as one line of JSON.
func (r Report) JSON() string {
	fields := map[string]any{
		"requests": r.Requests, "answered": r.Answered,
		"tasksSubmitted": r.TasksSubmitted, "tasksFinished": r.TasksFinished,
		"accountErrorPercent": r.AccountErrorPercent,
		"p50Millis":           r.P50, "p99Millis": r.P99,
		"batchTasksPerSecond":    r.BatchTasksPerSecond,
		"evictions":              r.Evictions,
		"configInForceMaxMillis": r.ConfigInForceMax.Milliseconds(),
	}
	for _, rule := range r.rules() {
		fields[rule.name] = rule.count
	}
	line, err := json.Marshal(fields)
	if err != nil {
		return fmt.Sprintf(`{"error":%q}`, err)
	}
	return string(line)
}
