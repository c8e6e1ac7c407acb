package eventlog

import "go.uber.org/zap/zapcore"

// Events 2100 to 2199: membership and grants.
var (
	GrantTableChanged = register(Event{
		Number: 2100, Level: zapcore.InfoLevel, Message: "grant table changed",
		Meaning: "This instance wrote a new grant table, since an instance joined, left or was lost.",
		Advice:  "None, unless instances are lost that you did not stop.",
	})
	MembershipUnreadable = register(Event{
		Number: 2101, Level: zapcore.ErrorLevel, Message: "membership unreadable",
		Meaning: "A value of membership in the store could not be read; the last known one stays in use.",
		Advice:  "Find out who wrote under the project's prefix in the store.",
	})
	AllocationLost = register(Event{
		Number: 2102, Level: zapcore.WarnLevel, Message: "part of the targets lost",
		Meaning: "The store cannot be reached, its lease may have lapsed and no peer promises to support no take-over; requests go to peers.",
		Advice:  "Check the network between this instance, the store and the other instances.",
	})
	AllocationRegained = register(Event{
		Number: 2103, Level: zapcore.InfoLevel, Message: "part of the targets held",
		Meaning: "This instance holds a part of its region's targets.",
		Advice:  "None.",
	})
	StreamsEnded = register(Event{
		Number: 2104, Level: zapcore.WarnLevel, Message: "requests cut",
		Meaning: "The part of the targets was lost for so long that others may use it; the streams that were still open here were ended.",
		Advice:  "Check the network between this instance, the store and the other instances.",
	})
)
