// Package eventlog writes numbered events to a structured log.
//
// Each event has a fixed number, level, meaning and advice, registered once
// in this package and listed in docs/EVENTS.md.
//
// # Usage
//
//	log := eventlog.New(zapLogger)
//	log.Emit(eventlog.ConfigApplied, zap.Int64("revision", 7))
package eventlog

import (
	"fmt"
	"sort"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Number identifies an event for ever; a number is never used again.
type Number int

// Event describes one kind of log line.
type Event struct {
	Number  Number
	Level   zapcore.Level
	Message string
	// Meaning says what has happened.
	Meaning string
	// Advice says what an operator does about it.
	Advice string
}

var catalogue = map[Number]Event{}

// register adds an event to the catalogue and returns it.
func register(e Event) Event {
	if _, taken := catalogue[e.Number]; taken {
		panic(fmt.Sprintf("eventlog: event %d registered twice", e.Number))
	}
	catalogue[e.Number] = e
	return e
}

// Catalogue returns all events in order of their numbers.
func Catalogue() []Event {
	all := make([]Event, 0, len(catalogue))
	for _, e := range catalogue {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}

// Log writes events.
type Log struct {
	zap *zap.Logger
}

// New returns a log that writes to z.
func New(z *zap.Logger) *Log {
	return &Log{zap: z}
}

// Discard returns a log that writes nothing.
func Discard() *Log {
	return New(zap.NewNop())
}

// With returns a log that adds the fields to every line.
func (l *Log) With(fields ...zap.Field) *Log {
	return New(l.zap.With(fields...))
}

// Emit writes one line of the event.
func (l *Log) Emit(e Event, fields ...zap.Field) {
	l.zap.With(zap.Int("event", int(e.Number))).Log(e.Level, e.Message, fields...)
}
