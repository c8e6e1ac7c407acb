// Package worker speaks to the workers of the platform, which run tasks under
// leases, report usage with a lag, and can checkpoint, throttle or stop a task.
//
// One exchange carries all commands for a worker and returns its report. It
// also renews the lease of every task on the worker.
//
// A worker tells its clock as a stamp in each report, and the next exchange
// carries the stamp back. All that an exchange grants runs out on the worker's
// own clock at the stamp plus the lease, however late the exchange arrives. So
// the holder knows a bound on its own clock: the time at which it received
// the stamp, plus the lease, plus drift. A worker refuses an exchange
// whose epoch is lower than one that it has seen, whose sequence number is not
// above the last, or that was meant for the worker before its last restart.
//
// # Usage
//
//	c := worker.NewClient(&exchange.Pool{Dial: dialer.DialContext})
//	report, err := c.Exchange(ctx, "10.0.0.7:9000", worker.Exchange{Holder: "entry-1", Epoch: 4})
package worker

import (
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// CommandKind is what a command asks of a worker.
type CommandKind string

// The kinds of commands.
const (
	Start      CommandKind = "start"
	Stop       CommandKind = "stop"
	Checkpoint CommandKind = "checkpoint"
	Throttle   CommandKind = "throttle"
)

// Command asks a worker to do something with one incarnation of a task. It is
// idempotent per task, incarnation and kind.
type Command struct {
	Kind        CommandKind
	Task        string
	Incarnation int64
	// Job, Size and Resume belong to a start; Resume is the checkpoint to resume from, or empty.
	Job    string
	Size   share.Resources
	Resume string
	// Ratio is the part of its processors that a throttled task keeps, above 0 and up to 1.
	Ratio float64
}

// Ack tells a worker that the end of an incarnation was committed, so that it need not report it again.
type Ack struct {
	Task        string
	Incarnation int64
}

// Exchange is what a holder sends to one worker.
type Exchange struct {
	// Leader is the instance that sends it; Epoch is the fencing epoch of its shard.
	Leader string
	Epoch  int64
	// Sequence grows by one with each exchange of the epoch with the worker.
	Sequence int64
	// Boot and Stamp are from the worker's last report; without them no commands are taken and nothing is renewed.
	Boot  string
	Stamp time.Duration
	// Lease is how long after Stamp, on the worker's clock, the commands are taken and the tasks may run.
	Lease time.Duration
	// Full asks for a report on all incarnations, not just those that ended or stand in Commands.
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

// Final reports whether an incarnation in this state runs no more.
func (s TaskState) Final() bool { return s != TaskRunning }

// Usage is what an incarnation has used since its start; it only grows.
type Usage struct {
	// Processor is processor time, over all cores.
	Processor time.Duration
	// MemoryTime is the memory held, in byte-seconds.
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

// Minus returns u less o.
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
	// Reason says why an incarnation failed.
	Reason string
	// Checkpoint is where the next incarnation resumes.
	Checkpoint string
	// Size is what the incarnation was seen to hold at most.
	Size  share.Resources
	Usage Usage
	// Speed is the progress made per second, against an undisturbed run; measured with a lag.
	Speed float64
	Ratio float64
}

// TailReport is the tail latency of a service's runner on the worker, measured with a lag.
type TailReport struct {
	Service string
	P99     time.Duration
	Samples int64
}

// Report is a worker's answer to an exchange.
type Report struct {
	Worker string
	// Boot is unique for each start of the worker, and Stamp is the time since then on its clock.
	Boot  string
	Stamp time.Duration
	// Full says that Tasks holds all incarnations that the worker knows.
	Full bool
	// Epoch is the highest that the worker has seen; a lower one is refused.
	Epoch int64
	// MeasuredAge is how long before the answer the measurements were taken.
	MeasuredAge time.Duration
	Tasks       []TaskReport
	Tails       []TailReport
	// Refused are the starts that the worker did not take, with reasons.
	Refused []Refusal
}

// Refusal is a start that a worker did not take.
type Refusal struct {
	Task        string
	Incarnation int64
	Reason      string
}

// EpochError says that a worker has seen a higher epoch than the caller's.
type EpochError struct {
	Worker string
	Seen   int64
	Sent   int64
}

// Error returns the worker and both epochs.
func (e *EpochError) Error() string {
	return fmt.Sprintf("worker %s has seen epoch %d and refuses epoch %d", e.Worker, e.Seen, e.Sent)
}

// StatusError says that a worker answered with a status that is no report.
type StatusError struct {
	Status int
}

// Error returns the status.
func (e *StatusError) Error() string { return fmt.Sprintf("status %d", e.Status) }
