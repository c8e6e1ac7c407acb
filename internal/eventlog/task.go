package eventlog

import "go.uber.org/zap/zapcore"

// Events 3000 to 3199: shards and their workers. A shard is a partition of the
// worker pool with its tasks. One instance leads it and keeps a journal in the store.
var (
	ShardAcquired = register(Event{
		Number: 3000, Level: zapcore.InfoLevel, Message: "shard acquired",
		Meaning: "The instance leads the shard and has replayed its journal.", Advice: "None.",
	})
	ShardReleased = register(Event{
		Number: 3001, Level: zapcore.InfoLevel, Message: "shard handed over",
		Meaning: "The instance released the shard so that another one can acquire it.", Advice: "None.",
	})
	ShardLost = register(Event{
		Number: 3002, Level: zapcore.WarnLevel, Message: "shard lost",
		Meaning: "The instance's lease on the shard expired or another instance acquired the shard; this instance starts no more tasks of it.",
		Advice:  "Check the instance and its connection to the store if this recurs.",
	})
	ShardNotAcquired = register(Event{
		Number: 3003, Level: zapcore.ErrorLevel, Message: "shard not acquired",
		Meaning: "The shard could not be acquired or its journal could not be read; this is retried.",
		Advice:  "Check the store; if the journal is corrupt, keep a copy of its keys and ask the developers.",
	})
	JournalCompacted = register(Event{
		Number: 3004, Level: zapcore.DebugLevel, Message: "journal compacted",
		Meaning: "A snapshot replaced the log of the shard.", Advice: "None.",
	})
	TasksHandedOver = register(Event{
		Number: 3005, Level: zapcore.InfoLevel, Message: "tasks handed over to another shard",
		Meaning: "Queued tasks were handed over to a shard with free capacity, because their own had none for a while or no worker left for them.",
		Advice:  "None, unless racks disappeared that you did not remove.",
	})
	HandOverUnconfirmed = register(Event{
		Number: 3006, Level: zapcore.WarnLevel, Message: "hand-over of tasks not answered",
		Meaning: "Tasks are set aside for another shard, which has not confirmed that it received them; the transfer is repeated until it does.",
		Advice:  "Check the network between the instances, and the named shard, if this lasts.",
	})
	WorkerUnresponsive = register(Event{
		Number: 3100, Level: zapcore.WarnLevel, Message: "worker unresponsive",
		Meaning: "A worker did not answer; its tasks move once their leases there are guaranteed to have expired.",
		Advice:  "Check the worker if this lasts.",
	})
)
