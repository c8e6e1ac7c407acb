package scheduler

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Metrics records the durations of a node's plans, commits, polls and commands as leader.
type Metrics struct {
	plans    *metrics.Histogram
	commits  *metrics.Histogram
	polls    *metrics.Histogram
	commands *metrics.Histogram
	crashes  *metrics.Counter
	setAside *metrics.Counter
	refused  *metrics.Counter
	// missedBesideFillers and missedAlone sum the seconds for which serving tasks missed their targets.
	missedBesideFillers *metrics.FloatCounter
	missedAlone         *metrics.FloatCounter
	set                 *metrics.Set
}

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		plans:    set.NewHistogram("oriolepond_plan_seconds"),
		commits:  set.NewHistogram("oriolepond_commit_seconds"),
		polls:    set.NewHistogram("oriolepond_look_seconds"),
		commands: set.NewHistogram("oriolepond_order_seconds"),
		crashes:  set.NewCounter("oriolepond_worker_crashes_total"),
		setAside: set.NewCounter("oriolepond_jobs_set_aside_total"),
		refused:  set.NewCounter("oriolepond_commits_refused_total"),

		missedBesideFillers: set.NewFloatCounter(`oriolepond_target_missed_seconds_total{beside="filler"}`),
		missedAlone:         set.NewFloatCounter(`oriolepond_target_missed_seconds_total{beside="none"}`),
		set:                 set,
	}
}

// Plan records the duration of a plan.
func (m *Metrics) Plan(duration time.Duration) { m.plans.Update(duration.Seconds()) }

// Commit records the duration of a commit.
func (m *Metrics) Commit(duration time.Duration) { m.commits.Update(duration.Seconds()) }

// Poll records the time until a poll was answered or failed.
func (m *Metrics) Poll(duration time.Duration) { m.polls.Update(duration.Seconds()) }

// WorkerCrashed counts a worker that crashed while it ran something.
func (m *Metrics) WorkerCrashed() { m.crashes.Inc() }

// JobSetAside counts a job that was set aside because the store refuses its record.
func (m *Metrics) JobSetAside() { m.setAside.Inc() }

// CommitRefused counts a commit that the store refused as invalid.
func (m *Metrics) CommitRefused() { m.refused.Inc() }

// MissedTargets adds the time for which serving tasks missed their tail targets.
func (m *Metrics) MissedTargets(missed batch.MissedTargets) {
	m.missedBesideFillers.Add(missed.BesideFillers.Seconds())
	m.missedAlone.Add(missed.Alone.Seconds())
}

// Command records the time until a command was answered or failed, and counts its answer.
func (m *Metrics) Command(kind batch.CommandKind, answer batch.Answer, duration time.Duration) {
	m.commands.Update(duration.Seconds())
	m.set.GetOrCreateCounter(fmt.Sprintf("oriolepond_orders_total{kind=%q,answer=%q}", kind, answer)).Inc()
}
