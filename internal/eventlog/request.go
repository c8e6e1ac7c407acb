package eventlog

import "go.uber.org/zap/zapcore"

// Events 2000 to 2099: the request plane.
var (
	TargetEjected = register(Event{
		Number: 2000, Level: zapcore.WarnLevel, Message: "target ejected",
		Meaning: "Attempts at the target failed in a row; it gets probes only until one is answered.",
		Advice:  "Look at the target if it does not come back.",
	})
	TargetReadmitted = register(Event{
		Number: 2001, Level: zapcore.InfoLevel, Message: "target readmitted",
		Meaning: "The target answered a probe and takes requests again.", Advice: "None.",
	})
)
