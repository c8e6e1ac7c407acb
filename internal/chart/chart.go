// Package chart interprets state charts that are defined in files of JSON with comments. A state
// chart consists of states and of transitions that events trigger.
//
// Parse accepts a chart only if every state is reachable, every state either handles or refuses
// each event, and, if the chart has final states, a final state is reachable from every state.
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

// Chart is a checked state chart. It is not modified after Parse.
type Chart struct {
	name    string
	initial State
	final   map[State]bool
	next    map[State]map[Event]State
}

// RefusedError reports that a state refuses an event.
type RefusedError struct {
	Chart string
	State State
	Event Event
}

// Error names the chart, the state and the event.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("chart %s: state %s refuses event %s", e.Chart, e.State, e.Event)
}

// Must is like Parse but panics if the chart is invalid. It is for charts that are embedded in the
// program.
func Must(file string, text []byte) *Chart {
	c, err := Parse(file, text)
	if err != nil {
		panic(err)
	}
	return c
}

// Initial returns the initial state.
func (c *Chart) Initial() State { return c.initial }

// IsFinal reports whether a state is final.
func (c *Chart) IsFinal(s State) bool { return c.final[s] }

// States returns all states, sorted by name.
func (c *Chart) States() []State { return slices.Sorted(maps.Keys(c.next)) }

// Next returns the state that follows on an event. If the state refuses the event, it returns the
// same state and a *RefusedError.
func (c *Chart) Next(s State, e Event) (State, error) {
	next, ok := c.next[s][e]
	if !ok {
		return s, &RefusedError{Chart: c.name, State: s, Event: e}
	}
	return next, nil
}

// Parse reads and checks a chart; file is its name in errors. The error is a *jsonc.SyntaxError, or
// a *jsonc.FaultsError with every fault.
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
	events := parseEvents(o)
	states := o.Object("states")
	for _, name := range states.Names() {
		v, _ := states.Required(name)
		c.next[State(name)] = parseState(v, events)
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

func parseEvents(o *jsonc.Object) []Event {
	var events []Event
	for _, v := range o.List("events") {
		e := Event(v.String())
		if slices.Contains(events, e) {
			v.Faultf("event %q is declared twice", e)
			continue
		}
		events = append(events, e)
	}
	return events
}

// parseState reads the transitions of a state. Each event must be either handled or refused.
func parseState(v jsonc.Value, events []Event) map[Event]State {
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
