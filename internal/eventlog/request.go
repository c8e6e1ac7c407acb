package eventlog

import "go.uber.org/zap/zapcore"

// Events 2000 to 2099: requests to targets.
var (
	TargetEjected = register(Event{
		Number: 2000, Level: zapcore.WarnLevel, Message: "target ejected",
		Meaning: "Several attempts in a row failed at the target; it receives only probes until one is answered.",
		Advice:  "Check the target if it does not recover.",
	})
	TargetReadmitted = register(Event{
		Number: 2001, Level: zapcore.InfoLevel, Message: "target readmitted",
		Meaning: "The target answered a probe and receives requests again.", Advice: "None.",
	})
)
