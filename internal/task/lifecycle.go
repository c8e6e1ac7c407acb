package task

import (
	_ "embed"

	"github.com/oriolepond/oriolepond/internal/chart"
)

//go:embed task.chart.jsonc
var lifecycleText []byte

var lifecycle = chart.Must("task.chart.jsonc", lifecycleText)

// Event is an event in the life of a task. The comments in task.chart.jsonc describe each one.
type Event string

// The events of a task.
const (
	Place              Event = "place"
	Started            Event = "started"
	Yield              Event = "yield"
	Cancel             Event = "cancel"
	Finish             Event = "finished"
	Fail               Event = "failed"
	Exhausted          Event = "exhausted"
	Ended              Event = "ended"
	Unfit              Event = "unfit"
	Fit                Event = "fit"
	Move               Event = "move"
	Return             Event = "returned"
	CancelledElsewhere Event = "cancelled"
)

// Next returns the state that follows an event, or a *chart.RefusedError if the event isn't allowed
// in this state.
func (s State) Next(e Event) (State, error) {
	next, err := lifecycle.Next(chart.State(s), chart.Event(e))
	return State(next), err
}

// Final reports whether the state is an end state.
func (s State) Final() bool { return lifecycle.IsFinal(chart.State(s)) }

// Placed reports whether a task in this state is assigned to a worker and may be running there.
func (s State) Placed() bool {
	return s == Starting || s == Running || s == Yielding || s == Stopping
}
