package eventlog

import "go.uber.org/zap/zapcore"

// Events 4000 to 4099: jobs as graphs of steps, and the leaders that schedule them.
// A cell is a partition of the workers and jobs with a leader of its own; a term
// is a leader's time in office.
var (
	LeaderChanged = register(Event{
		Number: 4000, Level: zapcore.InfoLevel, Message: "leader changed",
		Meaning: "The store names another node as leader of a cell, or none.",
		Advice:  "None, unless it recurs without a stop or failure of nodes.",
	})
	TermBegun = register(Event{
		Number: 4001, Level: zapcore.InfoLevel, Message: "term begun",
		Meaning: "This node became leader of a cell and reads its jobs from the store.",
		Advice:  "None.",
	})
	TermServing = register(Event{
		Number: 4002, Level: zapcore.InfoLevel, Message: "term serving",
		Meaning: "The leader has read all jobs of the cell, as the named commit of an earlier leader left them, and schedules them from now on.",
		Advice:  "None.",
	})
	TermEnded = register(Event{
		Number: 4003, Level: zapcore.InfoLevel, Message: "term ended",
		Meaning: "This node is no longer leader of the cell; the error gives the reason, commit the last one that it carried out.",
		Advice:  "None, unless it recurs: then check the connection between the node and the store.",
	})
	CommitUnanswered = register(Event{
		Number: 4004, Level: zapcore.WarnLevel, Message: "commit without an answer",
		Meaning: "The store did not answer a commit of jobs; the commit is retried until its outcome is known.",
		Advice:  "Check the store if this lasts.",
	})
	RecordUnreadable = register(Event{
		Number: 4005, Level: zapcore.ErrorLevel, Message: "record unreadable",
		Meaning: "A record in the store could not be encoded or decoded; it is left unchanged.",
		Advice:  "Keep a copy of the record and ask the developers.",
	})
	WorkerEntryUnreadable = register(Event{
		Number: 4006, Level: zapcore.WarnLevel, Message: "worker entry unreadable",
		Meaning: "An entry of the list of workers could not be decoded; the worker gets no new runs, and the runs that it has go on.",
		Advice:  "Find out who writes that entry.",
	})
	SubmissionInInbox = register(Event{
		Number: 4007, Level: zapcore.InfoLevel, Message: "submission left in the store",
		Meaning: "No leader could be reached; the job waits in the store for the next leader, unless the line carries an error.",
		Advice:  "None.",
	})
	StoreRecovered = register(Event{
		Number: 4008, Level: zapcore.InfoLevel, Message: "store answers again",
		Meaning: "The store answered a call after an earlier call had failed.",
		Advice:  "None.",
	})
	CellsKnown = register(Event{
		Number: 4011, Level: zapcore.InfoLevel, Message: "cells known",
		Meaning: "The node has learnt into how many cells the workers and jobs are divided, each with a leader of its own.",
		Advice:  "None.",
	})
	JobHandedOver = register(Event{
		Number: 4012, Level: zapcore.InfoLevel, Message: "job handed over to another cell",
		Meaning: "The home cell of the job, which the hash of its identifier selects, had less free capacity for it than the named cell, which schedules it from now on.",
		Advice:  "Look for the job in the log lines of that cell.",
	})
	PreviousLeadersStopped = register(Event{
		Number: 4014, Level: zapcore.InfoLevel, Message: "previous leaders have stopped",
		Meaning: "The previous leaders confirmed that they renew no more leases; runs on workers that cannot be reached end when their leases expire, within the longest lease from now.",
		Advice:  "None.",
	})
	EarlierLeadersOpen = register(Event{
		Number: 4015, Level: zapcore.InfoLevel, Message: "earlier leaders may still renew leases",
		Meaning: "The named leaders have not confirmed that they renew no more leases. Runs on workers that this leader cannot reach are given up after the named time (givenUpIn), sooner if they confirm, or if most of the workers that they had recorded answer this leader.",
		Advice:  "Look for the named instances if this lasts: one that lost the store, or was lost itself, cannot confirm.",
	})
	RenewalsSuspended = register(Event{
		Number: 4018, Level: zapcore.WarnLevel, Message: "renewal of leases changed without the store",
		Meaning: "The leader may have been replaced, since it does not reach the store. It renews the leases at workers while half of those that it last recorded answer it; suspended means that fewer do.",
		Advice:  "Restore the path from the leader to the workers and to the store; runs end when their leases expire.",
	})
	SmallLeaderReplaced = register(Event{
		Number: 4017, Level: zapcore.InfoLevel, Message: "leader asked to end its term",
		Meaning: "The leader's node has a much smaller CPU share than this one, which can lead the cell; cpuShare is that of the leader.",
		Advice:  "None, unless it recurs: then the nodes with a large CPU share lose the store or the election.",
	})
	TaskDelegated = register(Event{
		Number: 4013, Level: zapcore.InfoLevel, Message: "task delegated to another cell",
		Meaning: "The task waited for free capacity in its cell for the named time; the named cell runs it until the job is cancelled.",
		Advice:  "None, unless it is frequent: then the workers are nearly full.",
	})
	JobAccepted = register(Event{
		Number: 4020, Level: zapcore.InfoLevel, Message: "job accepted",
		Meaning: "The leader has received the job and acknowledges it once it is committed.",
		Advice:  "None.",
	})
	JobEnded = register(Event{
		Number: 4021, Level: zapcore.InfoLevel, Message: "job ended",
		Meaning: "The job reached the named final state; age is the time since it was accepted.",
		Advice:  "None.",
	})
	TaskPlaced = register(Event{
		Number: 4030, Level: zapcore.DebugLevel, Message: "task placed",
		Meaning: "The task is started on the worker once the placement is committed; age is how long it waited. A reason is given if the task is placed although it is expected to interfere with serving tasks.",
		Advice:  "None.",
	})
	RunEnded = register(Event{
		Number: 4031, Level: zapcore.DebugLevel, Message: "run ended",
		Meaning: "The worker reported the end of a run.",
		Advice:  "None.",
	})
	RunStopping = register(Event{
		Number: 4032, Level: zapcore.InfoLevel, Message: "run to be stopped",
		Meaning: "The run is stopped for the named reason.",
		Advice:  "None.",
	})
	RunOfEndedJobEnded = register(Event{
		Number: 4046, Level: zapcore.InfoLevel, Message: "run of ended job has ended",
		Meaning: "The worker reported the end of a run of a job in a final state, or of a job of which this leader has no record. The reason says how the run ended and what is stored of the job; the end is acknowledged to the worker once nothing can start the task again.",
		Advice:  "None. If the task starts again later, compare the reason with the commit in events 4002, 4003 and 4047.",
	})
	EndsAcknowledged = register(Event{
		Number: 4047, Level: zapcore.DebugLevel, Message: "run ends acknowledged",
		Meaning: "The worker may forget the ends of runs up to the named number of its own count; commit is the last one that had been carried out.",
		Advice:  "None.",
	})
	StartUnanswered = register(Event{
		Number: 4033, Level: zapcore.InfoLevel, Message: "start without an answer",
		Meaning: "It is unknown whether the run began; the worker is polled, and the run is stopped if the worker does not report it.",
		Advice:  "Check the worker if this recurs there.",
	})
	RunLost = register(Event{
		Number: 4034, Level: zapcore.InfoLevel, Message: "run lost",
		Meaning: "The run is guaranteed to have ended, although its worker did not report that; the task is started again elsewhere.",
		Advice:  "Check the worker if this recurs there.",
	})
	RunThrottleChanged = register(Event{
		Number: 4035, Level: zapcore.InfoLevel, Message: "run throttle changed",
		Meaning: "The throttle ratio of a batch task that fills idle capacity was changed according to the tail latency of the serving tasks on its worker.",
		Advice:  "None.",
	})
	TaskWaiting = register(Event{
		Number: 4040, Level: zapcore.InfoLevel, Message: "task waits",
		Meaning: "A task has found no worker for the named time; reason is what excludes it from most of the workers that accept runs, workers gives how many each obstacle excludes, and how many suitable ones are evacuated. For a task that fills idle capacity, declaredIdle and measuredIdle are the most idle cores on one of them, by the declared size of such tasks and by what they use. Repeated at most every five seconds for each step.",
		Advice:  "Depending on the reason, add workers or run fewer long-running tasks on them; an image that interferes with all others needs workers of its own.",
	})
	WorkerReserved = register(Event{
		Number: 4041, Level: zapcore.InfoLevel, Message: "worker reserved",
		Meaning: "A long-running task has waited for the named time; until the worker has enough free capacity for it, other tasks get only the capacity that it does not need there.",
		Advice:  "None, unless it is frequent: then long-running tasks nearly fill the workers.",
	})
	LeaderLoad = register(Event{
		Number: 4042, Level: zapcore.InfoLevel, Message: "leader load",
		Meaning: "What the leader spent its time on since the last such line, and what waits. The times are parts of the interval. suspendedRuns of the fillerRuns (of tasks that fill idle capacity) are throttled to 0; declaredIdle and measuredIdle are the idle cores on all workers, by the declared size of such tasks and by what they use. A leader starts nothing while leaseRemaining is negative or a commit is unanswered (commitUnanswered); the runs on workers that do not answer (unreachedRuns) are given up within unreachedFor.",
		Advice:  "If plans or reports take most of the interval, or the oldest contact nears the worker leases, the instance is too small for its cell.",
	})
	WorkerCrashed = register(Event{
		Number: 4043, Level: zapcore.InfoLevel, Message: "worker crashed",
		Meaning: "The worker ended, without having announced it, while it had the named number of runs, as inferred from the reason; earlyRuns of them are not known to have lasted half a second.",
		Advice:  "Look for tasks that recur among the runs lost by these workers if it is frequent.",
	})
	CrashCounted = register(Event{
		Number: 4044, Level: zapcore.InfoLevel, Message: "crash counted for task",
		Meaning: "The run of the task was lost with its worker, as inferred from the reason, age after its start, 0 if the start is not confirmed. The crash counts for the task, which has the named number of crashes; confirmed are those of which is known that the run had started. A crash that many workers share, or of a run that began under an earlier leader, is counted but proves nothing.",
		Advice:  "Compare the reasons and ages if a job is given up (4045).",
	})
	JobGivenUp = register(Event{
		Number: 4045, Level: zapcore.WarnLevel, Message: "job given up",
		Meaning: "The job fails because workers crashed under the named task, as often as crashes says; with four, the lease of a fifth run has expired without an answer of its worker.",
		Advice:  "Look for the events 4044 of the task; check what it runs before the job is submitted again.",
	})
	RunOrphaned = register(Event{
		Number: 4036, Level: zapcore.WarnLevel, Message: "orphaned run",
		Meaning: "A worker reported a run of which there is no record; the run is stopped.",
		Advice:  "None after a takeover; otherwise ask the developers.",
	})
	CommandFailed = register(Event{
		Number: 4037, Level: zapcore.InfoLevel, Message: "command failed",
		Meaning: "A worker refused a command or did not answer it.",
		Advice:  "Check the worker if this recurs there.",
	})
	WorkerRecovered = register(Event{
		Number: 4038, Level: zapcore.InfoLevel, Message: "worker answers again",
		Meaning: "The worker answered a poll after it had been unresponsive.",
		Advice:  "None.",
	})
	AdviserUnavailable = register(Event{
		Number: 4039, Level: zapcore.WarnLevel, Message: "adviser unavailable",
		Meaning: "The adviser of a queue did not answer a query; the step waits for its advice.",
		Advice:  "Check the adviser if this lasts.",
	})
	SubmissionRelayed = register(Event{
		Number: 4009, Level: zapcore.InfoLevel, Message: "submission relayed",
		Meaning: "Neither the leader nor the store served this node; another node was asked to accept the job.",
		Advice:  "Check the connection between this node and the store if it recurs.",
	})
	PeerUnresponsive = register(Event{
		Number: 4010, Level: zapcore.WarnLevel, Message: "peer unresponsive",
		Meaning: "A call to another node had no answer; the connection to it is closed and opened again.",
		Advice:  "Check the other node and the network if this lasts.",
	})
	JobSetAside = register(Event{
		Number: 4022, Level: zapcore.ErrorLevel, Message: "job set aside",
		Meaning: "The record of the job does not fit into the store. The runs of the job go on, nothing new of it starts, and all other jobs continue.",
		Advice:  "Cancel the job, or wait until enough of its runs have ended; submit it in smaller parts.",
	})
	JobResumed = register(Event{
		Number: 4023, Level: zapcore.InfoLevel, Message: "job no longer set aside",
		Meaning: "The record of a job that was set aside fits into the store again.",
		Advice:  "None.",
	})
	CommitRefused = register(Event{
		Number: 4016, Level: zapcore.ErrorLevel, Message: "commit refused",
		Meaning: "The store refused a commit as invalid. Its records are committed one by one; those that are refused again are left out, and the term goes on.",
		Advice:  "Look for the event 4022 and for the named key; check the limits of the store.",
	})
	CommitNotCarriedOut = register(Event{
		Number: 4075, Level: zapcore.WarnLevel, Message: "commit not carried out",
		Meaning: "The store refused to carry out a commit of jobs for now; the commit has had no effect and is retried.",
		Advice:  "Check the store if this lasts.",
	})
	CommitWithdrawn = register(Event{
		Number: 4076, Level: zapcore.WarnLevel, Message: "commit withdrawn",
		Meaning: "The store has carried out no try of the commit. Submissions in it are refused; its other changes become part of the next commit.",
		Advice:  "Check the store if this lasts.",
	})
	SubmissionOutcomeUnknown = register(Event{
		Number: 4077, Level: zapcore.WarnLevel, Message: "outcome of submission not known",
		Meaning: "The time for the answer to a submission is over while the named commit, which contains the job, has no answer; the job is accepted if the commit takes effect.",
		Advice:  "Look for event 4004 with the same commit; check the store if this lasts.",
	})
	RunPreempted = register(Event{
		Number: 4065, Level: zapcore.InfoLevel, Message: "run preempted",
		Meaning: "The run is stopped because the task named as reason, of a higher priority, finds no free capacity; percent is its progress.",
		Advice:  "None; if it is frequent, the pool is too small for the work of higher priorities.",
	})
	CallNotServed = register(Event{
		Number: 4050, Level: zapcore.InfoLevel, Message: "call not served",
		Meaning: "A call was answered with the named status; the error gives the reason.",
		Advice:  "Look for the job's identifier in the log lines of the leader.",
	})
	SettingsChecked = register(Event{
		Number: 4051, Level: zapcore.InfoLevel, Message: "settings checked",
		Meaning: "The process was told that its settings changed and checked them; an error says why they are invalid. The settings in force stay until a restart.",
		Advice:  "None, unless there is an error.",
	})
	LinesDropped = register(Event{
		Number: 4052, Level: zapcore.WarnLevel, Message: "log lines dropped",
		Meaning: "The log exceeded its rate limit, or its output was blocked; the named number of lines is missing here.",
		Advice:  "Look at the metrics for the time of the gap; check who reads the output if this lasts.",
	})
	DataCentreEvacuated = register(Event{
		Number: 4060, Level: zapcore.InfoLevel, Message: "data centre evacuated",
		Meaning: "An operator has asked for the evacuation of the data centre that evacuated names: nothing is started there until the request is taken back. The named number of workers of the cell stand there; the runs that they have go on.",
		Advice:  "None, unless workers is 0: then check the name in the request. Events 4040 tell which tasks find no other worker.",
	})
	DataCentreReadmitted = register(Event{
		Number: 4061, Level: zapcore.InfoLevel, Message: "evacuation taken back",
		Meaning: "The operator has taken the evacuation of the data centre that evacuated names back; its workers are given runs again.",
		Advice:  "None.",
	})
	EvacuationsUnconfirmed = register(Event{
		Number: 4062, Level: zapcore.WarnLevel, Message: "evacuations not confirmed",
		Meaning: "The store renews the leader's lease, but has not told for the named time which data centres are evacuated. The leader starts nothing until it does; what runs goes on.",
		Advice:  "Check the connection between the node and the store if this lasts.",
	})
	EvacuationsConfirmed = register(Event{
		Number: 4063, Level: zapcore.InfoLevel, Message: "evacuations confirmed again",
		Meaning: "The store has told again which data centres are evacuated; the leader starts what waits.",
		Advice:  "None.",
	})
	EvacuationUnreadable = register(Event{
		Number: 4064, Level: zapcore.ErrorLevel, Message: "evacuation unreadable",
		Meaning: "A key that asks for an evacuation names no data centre. It has no effect; the other requests count.",
		Advice:  "Remove the key, and write the one that was meant.",
	})
	ClientsLimited = register(Event{
		Number: 4080, Level: zapcore.WarnLevel, Message: "clients limited",
		Meaning: "Clients of the named server hold as many connections or as much memory as the settings leave to them: connections were closed, or requests refused, so often since the start. It is written at most once in ten seconds for each server.",
		Advice:  "Find out who opens the connections. If they are ordinary callers, start more processes or give them more memory.",
	})
)
