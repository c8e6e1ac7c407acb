package eventlog

import "go.uber.org/zap/zapcore"

// Events 3200 to 3299: placement, yielding and accounts.
var (
	TaskUnschedulable = register(Event{
		Number: 3200, Level: zapcore.WarnLevel, Message: "task can never run",
		Meaning: "No worker of the pool, or not the share's quota, could ever hold a task of this job family.",
		Advice:  "Correct the declared size or the quota, or add a worker that is large enough.",
	})
	WorkerQuarantined = register(Event{
		Number: 3201, Level: zapcore.WarnLevel, Message: "worker in quarantine",
		Meaning: "Several starts in a row failed on the worker; it gets one task at a time as a probe.",
		Advice:  "Repair or replace the worker; it returns by itself once a task succeeds on it.",
	})
	WorkerOvercommitted = register(Event{
		Number: 3202, Level: zapcore.WarnLevel, Message: "worker holds too much",
		Meaning: "Tasks were seen to hold more than they were given; some leave the worker.",
		Advice:  "Correct the declared size of the named job family.",
	})
	TaskYielded = register(Event{
		Number: 3203, Level: zapcore.InfoLevel, Message: "task yields",
		Meaning: "A task is throttled, checkpointed or evicted under the named yield rule.",
		Advice:  "None; if evictions stay at the rule's budget, lower its tail weight or add workers.",
	})
	TasksPreempted = register(Event{
		Number: 3204, Level: zapcore.InfoLevel, Message: "room made for urgent task",
		Meaning: "Tasks that are not urgent leave a worker for one that is.",
		Advice:  "None; if this is frequent, the pool is too small for its urgent work.",
	})
)
