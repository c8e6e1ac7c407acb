package chart

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

const doorChart = `{
	"name": "door", "initial": "open", "final": ["gone"], "events": ["shut", "remove"],
	"states": {
		"open": {"on": {"shut": "closed"}, "refuse": ["remove"]},
		"closed": {"on": {"remove": "gone"}, "refuse": ["shut"]},
		"gone": {"refuse": ["shut", "remove"]}
	}
}`

func TestNextFollowsTransitionsAndRefusesOtherEvents(t *testing.T) {
	c, err := Parse("door", []byte(doorChart))
	require.NoError(t, err)
	s, err := c.Next(c.Initial(), "shut")
	require.NoError(t, err)
	require.Equal(t, State("closed"), s)
	_, err = c.Next("open", "remove")
	var refused *RefusedError
	require.True(t, errors.As(err, &refused))
	require.True(t, c.IsFinal("gone"))
}

func TestFaultyChartsAreRefused(t *testing.T) {
	tests := []struct{ name, text, fault string }{
		{"unhandled event", `{"name":"a","initial":"x","events":["e"],"states":{"x":{}}}`, "neither handled nor refused"},
		{"unreachable state", `{"name":"a","initial":"x","events":["e"],"states":{"x":{"refuse":["e"]},"y":{"refuse":["e"]}}}`, "not reachable"},
		{"unknown state", `{"name":"a","initial":"x","events":["e"],"states":{"x":{"on":{"e":"z"}}}}`, "unknown state"},
		{"unknown event", `{"name":"a","initial":"x","events":[],"states":{"x":{"on":{"e":"x"}}}}`, "not declared"},
		{"handled and refused", `{"name":"a","initial":"x","events":["e"],"states":{"x":{"on":{"e":"x"},"refuse":["e"]}}}`, "both"},
		{"unknown initial", `{"name":"a","initial":"q","events":[],"states":{"x":{}}}`, "initial state"},
		{"no path to a final state", `{"name":"a","initial":"x","final":["y"],"events":["e","f"],"states":{"x":{"on":{"e":"y","f":"z"}},"y":{"refuse":["e","f"]},"z":{"on":{"e":"z"},"refuse":["f"]}}}`, "no final state"},
		{"final state left", `{"name":"a","initial":"x","final":["x"],"events":["e"],"states":{"x":{"on":{"e":"y"}},"y":{"on":{"e":"x"}}}}`, "is left"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse("a", []byte(test.text))
			require.ErrorContains(t, err, test.fault)
		})
	}
}

// In an accepted chart, every transition leads to a state of the chart.
func FuzzParse(f *testing.F) {
	f.Add([]byte(doorChart))
	f.Add([]byte(`{"name":"a","initial":"x","events":["e"],"states":{"x":{"on":{"e":"x"}}}}`))
	f.Add([]byte(`{"states": {"x": []}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := Parse("fuzz", text)
		if err != nil {
			return
		}
		for _, s := range c.States() {
			for e := range c.next[s] {
				next, err := c.Next(s, e)
				require.NoError(t, err)
				require.Contains(t, c.next, next)
			}
		}
	})
}
