package eventlog

import "go.uber.org/zap/zapcore"

// Events 1300 to 1399: the operators' API.
var (
	OperatorRefused = register(Event{
		Number: 1300, Level: zapcore.WarnLevel, Message: "operator refused",
		Meaning: "A call to the operators' API carried a wrong token.",
		Advice:  "Find out who called if it was not one of yours.",
	})
)

// Events 1310 to 1329: release notes and configuration.
var (
	NoteAccepted = register(Event{
		Number: 1310, Level: zapcore.InfoLevel, Message: "release note accepted",
		Meaning: "The note is in the store; all instances use it within seconds.", Advice: "None.",
	})
	NoteRefused = register(Event{
		Number: 1311, Level: zapcore.InfoLevel, Message: "release note refused",
		Meaning: "An entry of the note is inconsistent with the configuration; nothing was changed.",
		Advice:  "Correct the entries that the report names.",
	})
	NoteConflict = register(Event{
		Number: 1312, Level: zapcore.InfoLevel, Message: "release note conflicts",
		Meaning: "Another note changed the same entries first; nothing was changed by this one.",
		Advice:  "Look at the other note, and apply this one again with a new base revision if it is still needed.",
	})
	ConfigBehind = register(Event{
		Number: 1313, Level: zapcore.ErrorLevel, Message: "store holds an older configuration",
		Meaning: "The newest revision in the store is older than the revision in force, which stays in force.",
		Advice:  "Find out whether the store was restored from an old copy; restore a newer one.",
	})
	ConfigPeerFailed = register(Event{
		Number: 1314, Level: zapcore.WarnLevel, Message: "configuration not fetched from peer",
		Meaning: "A peer has a newer configuration but did not send it; another peer is asked.",
		Advice:  "Check the network between the instances if this lasts.",
	})
)
