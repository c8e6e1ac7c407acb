package eventlog

import "go.uber.org/zap/zapcore"

// Events 3000 to 3199: the task plane.
var (
	ShardTaken = register(Event{
		Number: 3000, Level: zapcore.InfoLevel, Message: "shard taken",
		Meaning: "The instance holds the shard and has read back its journal.", Advice: "None.",
	})
	ShardReleased = register(Event{
		Number: 3001, Level: zapcore.InfoLevel, Message: "shard handed over",
		Meaning: "The instance gave the shard up so that another takes it.", Advice: "None.",
	})
	ShardLost = register(Event{
		Number: 3002, Level: zapcore.WarnLevel, Message: "shard lost",
		Meaning: "The instance's hold on the shard lapsed or another instance took it; it starts nothing there.",
		Advice:  "Check the instance and its way to the store if this recurs.",
	})
	ShardFailed = register(Event{
		Number: 3003, Level: zapcore.ErrorLevel, Message: "shard not taken",
		Meaning: "The shard could not be taken or its journal not read; it is tried again.",
		Advice:  "Check the store; if the journal is corrupt, keep a copy of its keys and ask the developers.",
	})
	JournalCompacted = register(Event{
		Number: 3004, Level: zapcore.DebugLevel, Message: "journal compacted",
		Meaning: "A snapshot replaced the log of the shard.", Advice: "None.",
	})
	WorkerSilent = register(Event{
		Number: 3100, Level: zapcore.WarnLevel, Message: "worker silent",
		Meaning: "A worker did not answer; its tasks move once their leases have surely lapsed there.",
		Advice:  "Check the worker if this lasts.",
	})
)
