package eventlog

import "go.uber.org/zap/zapcore"

// Events 2100 to 2199: membership and grants. The grant table names the instances
// among which the slots of each target of a region are divided; the slots of one
// instance are its allocation.
var (
	GrantTableChanged = register(Event{
		Number: 2100, Level: zapcore.InfoLevel, Message: "grant table changed",
		Meaning: "This instance wrote a new grant table because an instance joined, left or was lost.",
		Advice:  "None, unless instances are lost that you did not stop.",
	})
	MembershipUnreadable = register(Event{
		Number: 2101, Level: zapcore.ErrorLevel, Message: "membership unreadable",
		Meaning: "A value of the membership in the store could not be decoded; the last known one stays in use.",
		Advice:  "Find out who wrote under the project's prefix in the store.",
	})
	AllocationLost = register(Event{
		Number: 2102, Level: zapcore.WarnLevel, Message: "target allocation lost",
		Meaning: "The store cannot be reached, the lease of this instance may have expired, and no peer promises not to support a takeover; requests go to peers.",
		Advice:  "Check the network between this instance, the store and the other instances.",
	})
	AllocationRegained = register(Event{
		Number: 2103, Level: zapcore.InfoLevel, Message: "target allocation held",
		Meaning: "This instance may use its allocation of its region's targets.",
		Advice:  "None.",
	})
	StreamsEnded = register(Event{
		Number: 2104, Level: zapcore.WarnLevel, Message: "open streams ended",
		Meaning: "The target allocation was lost for so long that other instances may use it; the streams that were still open here were ended.",
		Advice:  "Check the network between this instance, the store and the other instances.",
	})
)
