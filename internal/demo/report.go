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

// counts are what callers saw.
type counts struct {
	requests, cut, reverts, offered, submitted atomic.Int64
	results                                    map[result]*atomic.Int64

	mu       sync.Mutex
	refused  []refusal
	latency  *hdrhistogram.Histogram
	jobs     map[string]bool
	slowest  time.Duration
	failures []error
	// reasons counts why tries got no answer.
	reasons map[string]int
}

// refusal is one sending of a request that was answered as not run.
type refusal struct {
	request, sending, key, answer string
}

// refuse notes a sending that was answered as not run.
func (c *counts) refuse(r refusal) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refused = append(c.refused, r)
}

// refusalsThatRan returns the refusals whose sending has run, before or after the answer.
func (c *counts) refusalsThatRan(seen *standin.Ledger) []refusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ran []refusal
	for _, r := range c.refused {
		if seen.RunsOf(r.request, r.sending) > 0 {
			ran = append(ran, r)
		}
	}
	return ran
}

// The range of the latency histogram.
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

// maxReasons bounds the reasons that are kept apart.
const maxReasons = 100

// explain counts why a try got no answer.
func (c *counts) explain(r result, path, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	key := fmt.Sprintf("%s %s: %s", r, path, strings.TrimSpace(reason))
	if len(c.reasons) < maxReasons || c.reasons[key] > 0 {
		c.reasons[key]++
	}
}

// fail records that a fault could not be injected or judged.
func (c *counts) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures = append(c.failures, err)
}

// inForce records how long a note took to be in force everywhere.
func (c *counts) inForce(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slowest = max(c.slowest, d)
}

func (c *counts) record(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.latency.RecordValue(d.Microseconds())
}

// accepted returns the ids of the accepted jobs, in order.
func (c *counts) accepted() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.jobs))
}

// accept counts the tasks of an accepted job once.
func (c *counts) accept(id string, tasks int) {
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

// Report is what a demonstration found, counted by the stand-ins.
type Report struct {
	Requests             int64
	Answered             int64
	Refused              int64
	Unknown              int64
	AnswerMismatches     int64
	TruncatedAnswers     int64
	NonIdempotentDoubles int64
	RefusalsThatRan      int64
	CutByPlannedStop     int64
	NewWorkAfterLeave    int64
	SlotOvercommits      int64
	TasksSubmitted       int64
	TasksFinished        int64
	TasksLost            int64
	TaskDoubleRuns       int64
	ResumeDoubles        int64
	WorkerOvercommits    int64
	ConfigReverts        int64
	ConfigInForceMax     time.Duration
	AccountErrorPercent  float64
	Evictions            int64
	P50, P99             float64
	BatchTasksPerSecond  float64
	// Reasons counts why tries got no answer.
	Reasons map[string]int
	// Failures are faults that could not be injected or judged.
	Failures []error
}

func (d *Demo) report(ctx context.Context) Report {
	c, seen := d.counts, d.cluster
	falsely := c.refusalsThatRan(seen.Requests)
	for _, f := range falsely {
		fmt.Fprintf(d.Out, "ran though refused: %s sending %s of key %q: %s\n", f.request, f.sending, f.key, f.answer)
	}
	r := Report{
		Requests:             c.requests.Load(),
		Answered:             c.results[resultAnswered].Load(),
		Refused:              c.results[resultRefused].Load(),
		Unknown:              c.results[resultUnknown].Load() + c.results[resultBroken].Load(),
		AnswerMismatches:     c.results[resultMismatch].Load(),
		TruncatedAnswers:     c.results[resultTruncated].Load(),
		NonIdempotentDoubles: int64(seen.Requests.Doubles()),
		RefusalsThatRan:      int64(len(falsely)),
		CutByPlannedStop:     c.cut.Load(),
		ConfigReverts:        c.reverts.Load(),
		ConfigInForceMax:     c.slowest,
		Evictions:            int64(seen.Tasks.Evictions()),
		Reasons:              c.reasons,
		Failures:             c.failures,
		NewWorkAfterLeave:    seen.Requests.AfterLeave(),
		SlotOvercommits:      seen.Requests.Overcommits(),
		TasksSubmitted:       c.submitted.Load(),
		TasksFinished:        int64(seen.Tasks.FinishedOf(d.Example.Job)),
		TaskDoubleRuns:       int64(seen.Tasks.DoubleRuns()),
		ResumeDoubles:        int64(seen.Tasks.DuplicateResumes()),
		WorkerOvercommits:    int64(seen.Tasks.Overcommits()),
		AccountErrorPercent:  d.accountError(ctx),
		P50:                  c.millis(medianQuantile),
		P99:                  c.millis(tailQuantile),
		BatchTasksPerSecond:  float64(seen.Tasks.FinishedOf(d.Example.Job)) / d.Length.Seconds(),
	}
	r.TasksLost = max(0, r.TasksSubmitted-r.TasksFinished)
	return r
}

// accountError compares the account with what the workers spent, in percent.
func (d *Demo) accountError(ctx context.Context) float64 {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	off := math.Inf(1)
	for ctx.Err() == nil {
		// Read anew each time: a submission that the end of the load cut off may still run.
		spent := d.cluster.Tasks.Used(d.Example.Job).Processor.Seconds() + d.cluster.Tasks.Used(noisyJob).Processor.Seconds()
		client := operate.Client{Address: d.anyReady(0).admin(), Token: operatorToken}
		rows, _, err := client.Account(ctx)
		if err == nil {
			booked := 0.0
			for _, row := range rows {
				booked += row.ProcessorSeconds
			}
			off = errorPercent(booked, spent)
			if off < 0.001 {
				return off
			}
		}
		_ = pause(ctx, pollEvery)
	}
	return off
}

// errorPercent returns how far a booked amount is from the spent one.
func errorPercent(booked, spent float64) float64 {
	if spent == 0 && booked == 0 {
		return 0
	}
	return math.Abs(booked-spent) / spent * 100
}

// rules are the counts that must be zero.
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

// Broken returns the rules of the product that were broken.
func (r Report) Broken() []string {
	var broken []string
	for _, rule := range r.rules() {
		if rule.count != 0 {
			broken = append(broken, fmt.Sprintf("%s=%d", rule.name, rule.count))
		}
	}
	if r.ConfigInForceMax > inForceBound {
		broken = append(broken, fmt.Sprintf("configInForceMaxMillis=%d", r.ConfigInForceMax.Milliseconds()))
	}
	for _, err := range r.Failures {
		broken = append(broken, err.Error())
	}
	return broken
}

// Text returns the report for a person.
func (r Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "\nrequests  %d, answered %d, refused unrun %d, unknown %d\n", r.Requests, r.Answered, r.Refused, r.Unknown)
	fmt.Fprintf(&b, "latency   p50 %.1f ms, p99 %.1f ms\n", r.P50, r.P99)
	fmt.Fprintf(&b, "tasks     %d submitted, %d finished, %.1f a second\n", r.TasksSubmitted, r.TasksFinished, r.BatchTasksPerSecond)
	fmt.Fprintf(&b, "evictions %d\n", r.Evictions)
	fmt.Fprintf(&b, "account   off by %.3f%%\n", r.AccountErrorPercent)
	fmt.Fprintf(&b, "notes     in force everywhere within %d ms\n", r.ConfigInForceMax.Milliseconds())
	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(&b, "tries     %d %s\n", r.Reasons[reason], reason)
	}
	for _, rule := range r.rules() {
		fmt.Fprintf(&b, "  %-22s %d\n", rule.name, rule.count)
	}
	return b.String()
}

// JSON returns the report as one line.
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
