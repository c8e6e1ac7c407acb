package eventlog

import "go.uber.org/zap/zapcore"

// Events 3200 to 3299: placement of tasks on workers, tasks that yield to others, and accounts.
var (
	TaskUnschedulable = register(Event{
		Number: 3200, Level: zapcore.WarnLevel, Message: "task can never run",
		Meaning: "A task of this job family is too large for every worker of the pool or for the share's quota.",
		Advice:  "Correct the declared size or the quota, or add a worker that is large enough.",
	})
	WorkerQuarantined = register(Event{
		Number: 3201, Level: zapcore.WarnLevel, Message: "worker in quarantine",
		Meaning: "Several starts in a row failed on the worker; it is given one task at a time as a probe.",
		Advice:  "Repair or replace the worker; the quarantine ends once a task succeeds on it.",
	})
	WorkerOvercommitted = register(Event{
		Number: 3202, Level: zapcore.WarnLevel, Message: "worker overcommitted",
		Meaning: "Tasks were measured to use more than they were allotted; some leave the worker.",
		Advice:  "Correct the declared size of the named job family.",
	})
	TaskYielded = register(Event{
		Number: 3203, Level: zapcore.InfoLevel, Message: "task yields",
		Meaning: "A task is throttled, checkpointed or evicted under the named yield rule.",
		Advice:  "None; if evictions stay at the rule's budget, lower its tail weight or add workers.",
	})
	TasksPreempted = register(Event{
		Number: 3204, Level: zapcore.InfoLevel, Message: "tasks preempted for urgent task",
		Meaning: "Tasks that are not urgent leave a worker to free capacity for one that is.",
		Advice:  "None; if this is frequent, the pool is too small for its urgent work.",
	})
)
