package eventlog

import "go.uber.org/zap/zapcore"

// Events 1000 to 1099: the life of an instance.
var (
	InstanceStarted = register(Event{
		Number: 1000, Level: zapcore.InfoLevel, Message: "instance started",
		Meaning: "The instance listens on its addresses.", Advice: "None.",
	})
	InstanceStopping = register(Event{
		Number: 1001, Level: zapcore.InfoLevel, Message: "planned stop begun",
		Meaning: "The instance takes no new work and waits for requests in flight.", Advice: "None.",
	})
	InstanceStopped = register(Event{
		Number: 1002, Level: zapcore.InfoLevel, Message: "planned stop finished",
		Meaning: "No request is in flight.", Advice: "None.",
	})
	MessagePanicked = register(Event{
		Number: 1003, Level: zapcore.ErrorLevel, Message: "fault in one message",
		Meaning: "The program failed over one message; that message, or the holder's term that took it, has ended, and the process goes on.",
		Advice:  "Keep the line with its stack and ask the developers.",
	})
)

// Events 1100 to 1199: the store and the platform's list.
var (
	StoreUnavailable = register(Event{
		Number: 1100, Level: zapcore.WarnLevel, Message: "store unavailable",
		Meaning: "A call to the store failed; the instance carries on with what it holds.",
		Advice:  "Check the store if this lasts.",
	})
	ListUnavailable = register(Event{
		Number: 1101, Level: zapcore.WarnLevel, Message: "instance list unavailable",
		Meaning: "The platform's list could not be read; the last one stays in use.",
		Advice:  "Check the platform if this lasts.",
	})
)

// Events 1200 to 1299: configuration.
var (
	ConfigApplied = register(Event{
		Number: 1200, Level: zapcore.InfoLevel, Message: "configuration applied",
		Meaning: "The instance works by this revision from now on.", Advice: "None.",
	})
	ConfigRejected = register(Event{
		Number: 1201, Level: zapcore.ErrorLevel, Message: "configuration rejected",
		Meaning: "A stored configuration could not be read; the last one stays in force.",
		Advice:  "Apply a corrected release note.",
	})
	ConfigAwaited = register(Event{
		Number: 1202, Level: zapcore.InfoLevel, Message: "newer configuration awaited",
		Meaning: "The store has a version after the named revision that is too large for each instance to read; this one waits for the copy of an instance that leads, patience long, then reads the original.",
		Advice:  "None.",
	})
	ConfigCopyMissing = register(Event{
		Number: 1203, Level: zapcore.InfoLevel, Message: "configuration copy missing",
		Meaning: "There was no copy in time; the instance reads the original.",
		Advice:  "None, unless it recurs: then look for the lines of the holders around that time.",
	})
	ConfigCopied = register(Event{
		Number: 1204, Level: zapcore.InfoLevel, Message: "configuration copy published",
		Meaning: "This instance read the original of the named revision and wrote a copy for the others.",
		Advice:  "None.",
	})
	ConfigCopyFailed = register(Event{
		Number: 1205, Level: zapcore.WarnLevel, Message: "configuration copy not written",
		Meaning: "The copy could not be written; it is tried again.",
		Advice:  "Check the store if this lasts.",
	})
)
