// Package worker is the client of the platform's workers. Workers run tasks under leases, report
// their usage with a lag, and can checkpoint, throttle or stop a task.
//
// A worker is called in exchanges. One exchange carries all commands for the worker, renews the
// lease of every task on it, and returns its report. Each start of a task on a worker is a numbered
// incarnation of the task.
//
// Leases are measured on the worker's clock, so that a delayed exchange never extends them. Each
// report carries a stamp, which is the time on the worker's clock. The next exchange sends the
// stamp back, and the leases that it renews expire on the worker's clock at the stamp plus the
// lease, however late the exchange arrives. The caller, which is the leader of the worker's shard,
// therefore knows a bound on its own clock: the time at which it received the stamp, plus the
// lease, plus the greatest clock drift.
//
// A worker refuses an exchange whose epoch is lower than one that it has seen, whose sequence
// number is not above the last one, or that was meant for the worker before its last restart.
//
// # Usage
//
//	c := worker.NewClient(&exchange.Pool{Dial: dialer.DialContext})
//	report, err := c.Exchange(ctx, "10.0.0.7:9000", worker.Exchange{Leader: "entry-1", Epoch: 4})
package worker

import (
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// CommandKind is the action that a command requests.
type CommandKind string

// The kinds of commands.
const (
	Start      CommandKind = "start"
	Stop       CommandKind = "stop"
	Checkpoint CommandKind = "checkpoint"
	Throttle   CommandKind = "throttle"
)

// Command asks a worker to act on one incarnation of a task. Repeating a command has no further
// effect: it is idempotent per task, incarnation and kind.
type Command struct {
	Kind        CommandKind
	Task        string
	Incarnation int64
	// Job, Size and Resume are used by start commands. Resume is the checkpoint to resume from, or
	// empty.
	Job    string
	Size   share.Resources
	Resume string
	// Ratio is the fraction of its processors that a throttled task keeps. It is above 0 and at
	// most 1.
	Ratio float64
}

// Ack tells a worker that the end of an incarnation was committed, so the worker need not report it
// again.
type Ack struct {
	Task        string
	Incarnation int64
}

// Exchange is the request that the leader of a shard sends to one worker.
type Exchange struct {
	// Leader is the instance that sends the request, and Epoch is the fencing token of its
	// leadership.
	Leader string
	Epoch  int64
	// Sequence increases by one with each exchange of the epoch with the worker.
	Sequence int64
	// Boot and Stamp are copied from the worker's last report. Without them the worker accepts no
	// commands and renews no lease.
	Boot  string
	Stamp time.Duration
	// Lease is how long after Stamp, on the worker's clock, the worker accepts the commands and
	// lets its tasks run.
	Lease time.Duration
	// Full asks for a report on all incarnations, instead of only those that have ended or that
	// Commands names.
	Full     bool
	Commands []Command
	Acks     []Ack
}

// TaskState is the state of an incarnation on its worker.
type TaskState string

// The states of an incarnation on a worker. All but running are final.
const (
	TaskRunning      TaskState = "running"
	TaskFinished     TaskState = "finished"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
	TaskCheckpointed TaskState = "checkpointed"
	TaskExpired      TaskState = "lapsed"
)

// Final reports whether an incarnation in this state has ended.
func (s TaskState) Final() bool { return s != TaskRunning }

// Usage is what an incarnation has used since its start. It never decreases.
type Usage struct {
	// Processor is processor time, over all cores.
	Processor time.Duration
	// MemoryTime is the memory used over time, in byte-seconds.
	MemoryTime float64
	// Accelerator is accelerator time, over all devices.
	Accelerator time.Duration
}

// Plus returns the sum of u and o.
func (u Usage) Plus(o Usage) Usage {
	u.Processor += o.Processor
	u.MemoryTime += o.MemoryTime
	u.Accelerator += o.Accelerator
	return u
}

// Minus returns u minus o.
func (u Usage) Minus(o Usage) Usage {
	u.Processor -= o.Processor
	u.MemoryTime -= o.MemoryTime
	u.Accelerator -= o.Accelerator
	return u
}

// TaskReport is the state of one incarnation.
type TaskReport struct {
	Task        string
	Incarnation int64
	Job         string
	State       TaskState
	// Reason explains why an incarnation failed.
	Reason string
	// Checkpoint names the checkpoint from which the next incarnation resumes.
	Checkpoint string
	// Size is the peak of the resources that the incarnation was seen to use.
	Size  share.Resources
	Usage Usage
	// Speed is the progress per second relative to an undisturbed run. It is measured with a lag.
	Speed float64
	// Ratio is the fraction of its processors that the task currently keeps, 1 if it is not
	// throttled.
	Ratio float64
}

// TailReport is the tail latency of a service's runners on the worker, measured with a lag.
type TailReport struct {
	Service string
	P99     time.Duration
	Samples int64
}

// Report is the worker's response to an exchange.
type Report struct {
	Worker string
	// Boot identifies the current run of the worker process: it is unique per start. Stamp is the
	// time since that start on the worker's clock.
	Boot  string
	Stamp time.Duration
	// Full is set if Tasks holds all incarnations that the worker knows.
	Full bool
	// Epoch is the highest epoch that the worker has seen. It refuses lower ones.
	Epoch int64
	// MeasuredAge is how long before the response the measurements were taken.
	MeasuredAge time.Duration
	Tasks       []TaskReport
	Tails       []TailReport
	// Refused are the start commands that the worker refused, with reasons.
	Refused []Refusal
}

// Refusal is a start command that a worker refused.
type Refusal struct {
	Task        string
	Incarnation int64
	Reason      string
}

// EpochError reports that a worker refused an exchange because it has seen a higher epoch.
type EpochError struct {
	Worker string
	Seen   int64
	Sent   int64
}

// Error returns a message with the worker and both epochs.
func (e *EpochError) Error() string {
	return fmt.Sprintf("worker %s has seen epoch %d and refuses epoch %d", e.Worker, e.Seen, e.Sent)
}

// StatusError reports that a worker responded with an HTTP status that carries no report.
type StatusError struct {
	Status int
}

// Error returns a message with the status.
func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }
