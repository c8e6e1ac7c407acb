package eventlog

import "go.uber.org/zap/zapcore"

// Events 1300 to 1399: operators.
var (
	OperatorRefused = register(Event{
		Number: 1300, Level: zapcore.WarnLevel, Message: "operator refused",
		Meaning: "A call to the operators' API carried a wrong token.",
		Advice:  "Find out who called if it was not one of yours.",
	})
)
