package scheduler

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Metrics records the durations of a node's plans, commits, polls and commands as leader.
type Metrics struct {
	plans       *metrics.Histogram
	commits     *metrics.Histogram
	polls       *metrics.Histogram
	commands    *metrics.Histogram
	crashes     *metrics.Counter
	givenUp     *metrics.Counter
	preemptions *metrics.Counter
	setAside    *metrics.Counter
	refused     *metrics.Counter
	// evacuated is the number of evacuated data centres, evacuationWaits counts the tasks that were reported
	// to wait for one of them.
	evacuated       *metrics.Gauge
	evacuationWaits *metrics.Counter
	// missedBesideFillers and missedAlone sum the seconds for which serving tasks missed their targets.
	missedBesideFillers *metrics.FloatCounter
	missedAlone         *metrics.FloatCounter
	set                 *metrics.Set
}

// NewMetrics returns metrics that are registered in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		plans:           set.NewHistogram("oriolepond_plan_seconds"),
		commits:         set.NewHistogram("oriolepond_commit_seconds"),
		polls:           set.NewHistogram("oriolepond_look_seconds"),
		commands:        set.NewHistogram("oriolepond_order_seconds"),
		crashes:         set.NewCounter("oriolepond_worker_crashes_total"),
		givenUp:         set.NewCounter("oriolepond_jobs_given_up_total"),
		preemptions:     set.NewCounter("oriolepond_preempted_runs_total"),
		setAside:        set.NewCounter("oriolepond_jobs_set_aside_total"),
		refused:         set.NewCounter("oriolepond_commits_refused_total"),
		evacuated:       set.NewGauge("oriolepond_evacuated_data_centres", nil),
		evacuationWaits: set.NewCounter("oriolepond_evacuation_waits_total"),

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

// RunPreempted counts a run that was preempted for a task of a higher priority.
func (m *Metrics) RunPreempted() { m.preemptions.Inc() }

// WorkerCrashed counts a worker that crashed while it ran something.
func (m *Metrics) WorkerCrashed() { m.crashes.Inc() }

// JobGivenUp counts a job that was given up because workers crashed under one of its tasks.
func (m *Metrics) JobGivenUp() { m.givenUp.Inc() }

// JobSetAside counts a job that was set aside because the store refuses its record.
func (m *Metrics) JobSetAside() { m.setAside.Inc() }

// CommitRefused counts a commit that the store refused as invalid.
func (m *Metrics) CommitRefused() { m.refused.Inc() }

// Evacuated records the number of evacuated data centres.
func (m *Metrics) Evacuated(dataCentres int) { m.evacuated.Set(float64(dataCentres)) }

// WaitsForEvacuation counts a task that waits because all workers that suit it are evacuated.
func (m *Metrics) WaitsForEvacuation() { m.evacuationWaits.Inc() }

// Submission counts a submission that a caller made to this node, by the error that it got.
func (m *Metrics) Submission(err error) {
	m.set.GetOrCreateCounter(fmt.Sprintf("oriolepond_submissions_total{outcome=%q}", submissionOutcome(err))).Inc()
}

// submissionOutcome names the outcome of a submission.
func submissionOutcome(err error) string {
	switch {
	case err == nil:
		return "accepted"
	case errors.As(err, new(*UnavailableError)):
		return "refused"
	case errors.As(err, new(*batch.InvalidError)), errors.As(err, new(*batch.NoQueueError)):
		return "invalid"
	}
	return "unknown"
}

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
