// Package chart holds state charts that stand in files of JSON with comments
// and are interpreted at run time.
//
// A chart is checked when it is read: every state is reachable, every event is
// handled or refused in every state, and every state leads to a final one if
// the chart has any.
//
// # Usage
//
//	c, err := chart.Parse("task.chart.jsonc", text)
//	next, err := c.Next("queued", "place") // A *chart.RefusedError if refused.
package chart

import (
	"fmt"
	"maps"
	"slices"

	"github.com/oriolepond/oriolepond/internal/jsonc"
)

// State is the name of a state.
type State string

// Event is the name of an event.
type Event string

// Chart is a checked state chart.
type Chart struct {
	name    string
	initial State
	final   map[State]bool
	next    map[State]map[Event]State
}

// RefusedError says that a state does not take an event.
type RefusedError struct {
	Chart string
	State State
	Event Event
}

// Error returns the chart, the state and the event.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("chart %s: state %s refuses event %s", e.Chart, e.State, e.Event)
}

// Must returns a chart that is part of the program, and panics if it is wrong.
func Must(file string, text []byte) *Chart {
	c, err := Parse(file, text)
	if err != nil {
		panic(err)
	}
	return c
}

// Initial returns the state in which the chart begins.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether nothing follows a state.
func (c *Chart) IsFinal(s State) bool { return c.final[s] }

// States returns all states in order of their names.
func (c *Chart) States() []State { return slices.Sorted(maps.Keys(c.next)) }

// Next returns the state that follows an event, or a *RefusedError.
func (c *Chart) Next(s State, e Event) (State, error) {
	next, ok := c.next[s][e]
	if !ok {
		return s, &RefusedError{Chart: c.name, State: s, Event: e}
	}
	return next, nil
}

// Parse reads and checks a chart; file names it in faults.
func Parse(file string, text []byte) (*Chart, error) {
	doc, err := jsonc.Parse(file, text)
	if err != nil {
		return nil, err
	}
	o := doc.Root()
	c := &Chart{
		name:    o.String("name"),
		initial: State(o.String("initial")),
		final:   map[State]bool{},
		next:    map[State]map[Event]State{},
	}
	finals := o.List("final")
	for _, v := range finals {
		c.final[State(v.String())] = true
	}
	events := readEvents(o)
	states := o.Object("states")
	for _, name := range states.Names() {
		v, _ := states.Required(name)
		c.next[State(name)] = readState(v, events)
	}
	o.Close()
	if err := doc.Err(); err != nil {
		return nil, err
	}
	c.check(o, states, finals)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

func readEvents(o *jsonc.Object) []Event {
	var events []Event
	for _, v := range o.List("events") {
		e := Event(v.String())
		if slices.Contains(events, e) {
			v.Faultf("event %q stands twice", e)
			continue
		}
		events = append(events, e)
	}
	return events
}

// readState reads the transitions of a state; each event is handled or refused, and not both.
func readState(v jsonc.Value, events []Event) map[Event]State {
	o := v.Object()
	next := map[Event]State{}
	on := o.Object("on")
	for _, name := range on.Names() {
		to, _ := on.Required(name)
		next[Event(name)] = State(to.String())
		if !slices.Contains(events, Event(name)) {
			to.Faultf("event %q is not declared", name)
		}
	}
	refused := map[Event]bool{}
	for _, r := range o.List("refuse") {
		e := Event(r.String())
		_, handled := next[e]
		switch {
		case handled:
			r.Faultf("event %q is both handled and refused", e)
		case refused[e]:
			r.Faultf("event %q is refused twice", e)
		case !slices.Contains(events, e):
			r.Faultf("event %q is not declared", e)
		}
		refused[e] = true
	}
	for _, e := range events {
		if _, handled := next[e]; !handled && !refused[e] {
			v.Faultf("event %q is neither handled nor refused", e)
		}
	}
	o.Close()
	return next
}
