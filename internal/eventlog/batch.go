package eventlog

import "go.uber.org/zap/zapcore"

// Events 4000 to 4099: jobs as graphs of steps, and their holder.
var (
	LeaderChanged = register(Event{
		Number: 4000, Level: zapcore.InfoLevel, Message: "holder changed",
		Meaning: "The store names another node as holder of the jobs of a cell, or none.",
		Advice:  "None, unless it recurs without a stop or failure of nodes.",
	})
	TermBegun = register(Event{
		Number: 4001, Level: zapcore.InfoLevel, Message: "term begun",
		Meaning: "This node became holder of a cell and reads its jobs back.",
		Advice:  "None.",
	})
	TermServing = register(Event{
		Number: 4002, Level: zapcore.InfoLevel, Message: "term serving",
		Meaning: "The holder has read all jobs and decides from now on.",
		Advice:  "None.",
	})
	TermEnded = register(Event{
		Number: 4003, Level: zapcore.InfoLevel, Message: "term ended",
		Meaning: "This node is no holder any more; the error says why.",
		Advice:  "None, unless it recurs: then check the node's way to the store.",
	})
	CommitUnanswered = register(Event{
		Number: 4004, Level: zapcore.WarnLevel, Message: "commit without an answer",
		Meaning: "A commit of jobs had no answer; it is tried again until its outcome is known.",
		Advice:  "Check the store if this lasts.",
	})
	RecordUnreadable = register(Event{
		Number: 4005, Level: zapcore.ErrorLevel, Message: "record unreadable",
		Meaning: "A job's item in the store could not be read; it is left as it is.",
		Advice:  "Keep a copy of the item and ask the developers.",
	})
	WorkerEntryUnreadable = register(Event{
		Number: 4006, Level: zapcore.WarnLevel, Message: "entry names no worker",
		Meaning: "An entry of the list of workers could not be read; nothing is started there.",
		Advice:  "Find out who writes that entry.",
	})
	SubmissionInInbox = register(Event{
		Number: 4007, Level: zapcore.InfoLevel, Message: "submission left in the store",
		Meaning: "No holder was reached; the job waits in the store for the next one, unless there is an error.",
		Advice:  "None.",
	})
	StoreRecovered = register(Event{
		Number: 4008, Level: zapcore.InfoLevel, Message: "store answers again",
		Meaning: "A call to the store was answered after one that failed.",
		Advice:  "None.",
	})
	CellsKnown = register(Event{
		Number: 4011, Level: zapcore.InfoLevel, Message: "cells known",
		Meaning: "The node knows into how many cells the workers and jobs are divided, each with a holder of its own.",
		Advice:  "None.",
	})
	JobHandedOver = register(Event{
		Number: 4012, Level: zapcore.InfoLevel, Message: "job handed to another cell",
		Meaning: "The job's home had less room for it than the named cell, which has it from now on.",
		Advice:  "Follow the job in the lines of that cell.",
	})
	PreviousLeadersStopped = register(Event{
		Number: 4014, Level: zapcore.InfoLevel, Message: "former holders have stopped",
		Meaning: "The earlier holders say that they renew nothing any more; what runs on workers that are not reached lapses within the longest lease from now.",
		Advice:  "None.",
	})
	TaskDelegated = register(Event{
		Number: 4013, Level: zapcore.InfoLevel, Message: "task lent to another cell",
		Meaning: "The task waited for room in its cell for the named time; the named cell runs it until the job is cancelled.",
		Advice:  "None, unless it is frequent: then the workers are nearly full.",
	})
	JobAccepted = register(Event{
		Number: 4020, Level: zapcore.InfoLevel, Message: "job taken in",
		Meaning: "The holder has the job and will acknowledge it once it is committed.",
		Advice:  "None.",
	})
	JobEnded = register(Event{
		Number: 4021, Level: zapcore.InfoLevel, Message: "job ended",
		Meaning: "The job reached the named final state; age is the time since it was taken in.",
		Advice:  "None.",
	})
	TaskPlaced = register(Event{
		Number: 4030, Level: zapcore.DebugLevel, Message: "task placed",
		Meaning: "The task will be started on the worker once that is committed; age is how long it waited.",
		Advice:  "None.",
	})
	RunEnded = register(Event{
		Number: 4031, Level: zapcore.DebugLevel, Message: "run ended",
		Meaning: "The worker listed the end of a run.",
		Advice:  "None.",
	})
	RunStopping = register(Event{
		Number: 4032, Level: zapcore.InfoLevel, Message: "run to be stopped",
		Meaning: "The run is stopped for the named reason.",
		Advice:  "None.",
	})
	StartUnanswered = register(Event{
		Number: 4033, Level: zapcore.InfoLevel, Message: "start without an answer",
		Meaning: "Whether the run began is not known; the worker is asked, and the run stopped if it is not there.",
		Advice:  "Check the worker if this recurs there.",
	})
	RunLost = register(Event{
		Number: 4034, Level: zapcore.InfoLevel, Message: "run lost",
		Meaning: "The run has surely ended without its worker's word; the task starts again elsewhere.",
		Advice:  "Check the worker if this recurs there.",
	})
	RunThrottleChanged = register(Event{
		Number: 4035, Level: zapcore.InfoLevel, Message: "run paced",
		Meaning: "The pace of a filling task is changed by the tails of the tasks that serve on its worker.",
		Advice:  "None.",
	})
	TaskWaiting = register(Event{
		Number: 4040, Level: zapcore.InfoLevel, Message: "task waits",
		Meaning: "A task has found no worker for the named time; reason is what keeps it from most of those that take runs. Told again every five seconds, once for each step.",
		Advice:  "By the reason: more workers, or fewer tasks that last on them; an image that harms all others needs workers of its own.",
	})
	WorkerReserved = register(Event{
		Number: 4041, Level: zapcore.InfoLevel, Message: "worker reserved",
		Meaning: "The task lasts and has waited for the named time; others get only what it leaves on the worker, until it has room there.",
		Advice:  "None, unless it is frequent: then the workers are nearly full of tasks that last.",
	})
	RunOrphaned = register(Event{
		Number: 4036, Level: zapcore.WarnLevel, Message: "run without a record",
		Meaning: "A worker has a run that no record explains; it is stopped.",
		Advice:  "None after a take-over; else ask the developers.",
	})
	CommandFailed = register(Event{
		Number: 4037, Level: zapcore.InfoLevel, Message: "order not carried out",
		Meaning: "A worker refused an order or left it unanswered.",
		Advice:  "Check the worker if this recurs there.",
	})
	WorkerRecovered = register(Event{
		Number: 4038, Level: zapcore.InfoLevel, Message: "worker answers again",
		Meaning: "The worker was answered after a silence.",
		Advice:  "None.",
	})
	AdviserUnavailable = register(Event{
		Number: 4039, Level: zapcore.WarnLevel, Message: "advice missing",
		Meaning: "The adviser of a queue did not answer; the step waits.",
		Advice:  "Check the adviser if this lasts.",
	})
	SubmissionRelayed = register(Event{
		Number: 4009, Level: zapcore.InfoLevel, Message: "submission relayed",
		Meaning: "Neither the holder nor the store serves this node; another node was asked to take the job in.",
		Advice:  "Check this node's way to the store if it recurs.",
	})
	PeerUnresponsive = register(Event{
		Number: 4010, Level: zapcore.WarnLevel, Message: "peer silent",
		Meaning: "A call to another node had no answer; its connection is ended and made anew.",
		Advice:  "Check the other node and the network if this lasts.",
	})
	CallNotServed = register(Event{
		Number: 4050, Level: zapcore.InfoLevel, Message: "call not served",
		Meaning: "A caller got the status for the named reason.",
		Advice:  "Follow the job's identifier through the lines of the holder.",
	})
	SettingsChecked = register(Event{
		Number: 4051, Level: zapcore.InfoLevel, Message: "settings read again",
		Meaning: "The process was told that its settings changed; what is in force stays if there is an error.",
		Advice:  "None, unless there is an error.",
	})
	LinesDropped = register(Event{
		Number: 4052, Level: zapcore.WarnLevel, Message: "log lines dropped",
		Meaning: "The log exceeded its volume, or its output stood still; the named number of lines is missing here.",
		Advice:  "Look at the counters for the time of the gap; check who reads the output if this lasts.",
	})
)
