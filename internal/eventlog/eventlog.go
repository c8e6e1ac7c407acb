// Package eventlog writes numbered events to a structured log.
//
// Each event has a fixed number, level, meaning and advice. All events are
// registered in this package and listed in docs/EVENTS.md. A Log writes them; a Sink
// buffers its lines, so that a blocked output does not block the program.
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

// Number identifies an event. A number that was used is never reused for another event.
type Number int

// Event describes one kind of log line.
type Event struct {
	Number  Number
	Level   zapcore.Level
	Message string
	// Meaning describes what happened.
	Meaning string
	// Advice states what operators should do.
	Advice string
}

// catalogue holds all events; it is filled while the package is initialised.
var catalogue = map[Number]Event{}

// register adds an event to the catalogue and returns it. It panics if the number is in use.
func register(e Event) Event {
	if _, taken := catalogue[e.Number]; taken {
		panic(fmt.Sprintf("eventlog: event %d registered twice", e.Number))
	}
	catalogue[e.Number] = e
	return e
}

// Catalogue returns all events, sorted by number.
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

// New returns a log that writes to a zap logger.
func New(z *zap.Logger) *Log {
	return &Log{zap: z}
}

// Discard returns a log that drops all events.
func Discard() *Log {
	return New(zap.NewNop())
}

// With returns a log that adds the fields to every line.
func (l *Log) With(fields ...zap.Field) *Log {
	return New(l.zap.With(fields...))
}

// Emit writes one line for an event, with its number in the field "event".
func (l *Log) Emit(e Event, fields ...zap.Field) {
	entry := l.zap.Check(e.Level, e.Message)
	if entry == nil {
		return
	}
	all := make([]zap.Field, 0, 1+len(fields))
	all = append(all, zap.Int("event", int(e.Number)))
	entry.Write(append(all, fields...)...)
}
