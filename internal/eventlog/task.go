package eventlog

import "go.uber.org/zap/zapcore"

// Events 3000 to 3199: the task plane.
var (
	ShardAcquired = register(Event{
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
	ShardNotAcquired = register(Event{
		Number: 3003, Level: zapcore.ErrorLevel, Message: "shard not taken",
		Meaning: "The shard could not be taken or its journal not read; it is tried again.",
		Advice:  "Check the store; if the journal is corrupt, keep a copy of its keys and ask the developers.",
	})
	JournalCompacted = register(Event{
		Number: 3004, Level: zapcore.DebugLevel, Message: "journal compacted",
		Meaning: "A snapshot replaced the log of the shard.", Advice: "None.",
	})
	TasksHandedOver = register(Event{
		Number: 3005, Level: zapcore.InfoLevel, Message: "tasks handed to another shard",
		Meaning: "Queued tasks went to a shard with room, since their own had none for a while, or no worker left for them.",
		Advice:  "None, unless racks vanished that you did not take away.",
	})
	HandOverUnconfirmed = register(Event{
		Number: 3006, Level: zapcore.WarnLevel, Message: "hand-over of tasks not answered",
		Meaning: "Tasks are set aside for another shard, which did not confirm that it has them; the transfer is sent again until it does.",
		Advice:  "Check the network between the instances, and the named shard, if this lasts.",
	})
	WorkerUnresponsive = register(Event{
		Number: 3100, Level: zapcore.WarnLevel, Message: "worker silent",
		Meaning: "A worker did not answer; its tasks move once their leases have surely lapsed there.",
		Advice:  "Check the worker if this lasts.",
	})
)
