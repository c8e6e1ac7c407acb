package eventlog

import "go.uber.org/zap/zapcore"

// Events 1000 to 1099: start, stop and faults of an instance.
var (
	InstanceStarted = register(Event{
		Number: 1000, Level: zapcore.InfoLevel, Message: "instance started",
		Meaning: "The instance listens on its addresses.", Advice: "None.",
	})
	InstanceStopping = register(Event{
		Number: 1001, Level: zapcore.InfoLevel, Message: "planned stop begun",
		Meaning: "The instance accepts no new work and waits for requests in flight.", Advice: "None.",
	})
	InstanceStopped = register(Event{
		Number: 1002, Level: zapcore.InfoLevel, Message: "planned stop finished",
		Meaning: "No request is in flight.", Advice: "None.",
	})
	MessagePanicked = register(Event{
		Number: 1003, Level: zapcore.ErrorLevel, Message: "fault in one message",
		Meaning: "The program panicked while it handled one message; that message fails or the leader's term that received it ends, and the process continues.",
		Advice:  "Keep the line with its stack and ask the developers.",
	})
)

// Events 1100 to 1199: the store and the platform's list of instances.
var (
	StoreUnavailable = register(Event{
		Number: 1100, Level: zapcore.WarnLevel, Message: "store unavailable",
		Meaning: "A call to the store failed; the instance continues with the state that it has.",
		Advice:  "Check the store if this lasts.",
	})
	ListUnavailable = register(Event{
		Number: 1101, Level: zapcore.WarnLevel, Message: "instance list unavailable",
		Meaning: "The platform's list of instances could not be read; the last one read stays in use.",
		Advice:  "Check the platform if this lasts.",
	})
)

// Events 1200 to 1299: configuration.
var (
	ConfigApplied = register(Event{
		Number: 1200, Level: zapcore.InfoLevel, Message: "configuration applied",
		Meaning: "The instance uses this revision from now on.", Advice: "None.",
	})
	ConfigRejected = register(Event{
		Number: 1201, Level: zapcore.ErrorLevel, Message: "configuration rejected",
		Meaning: "A stored configuration could not be decoded; the last one stays in force.",
		Advice:  "Apply a corrected release note.",
	})
	ConfigAwaited = register(Event{
		Number: 1202, Level: zapcore.InfoLevel, Message: "newer configuration awaited",
		Meaning: "The store has a version after the named revision that is too large for every instance to read; this instance waits for the copy that a leader publishes, at most for the time in the field patience, then reads the original.",
		Advice:  "None.",
	})
	ConfigCopyMissing = register(Event{
		Number: 1203, Level: zapcore.InfoLevel, Message: "configuration copy missing",
		Meaning: "No copy arrived in time; the instance reads the original.",
		Advice:  "None, unless it recurs: then look at the log lines of the leaders around that time.",
	})
	ConfigCopied = register(Event{
		Number: 1204, Level: zapcore.InfoLevel, Message: "configuration copy published",
		Meaning: "This instance read the original of the named revision and wrote a copy for the others.",
		Advice:  "None.",
	})
	ConfigCopyFailed = register(Event{
		Number: 1205, Level: zapcore.WarnLevel, Message: "configuration copy not written",
		Meaning: "The copy could not be written; the write is retried.",
		Advice:  "Check the store if this lasts.",
	})
)
