package jsonc

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFaultsCarryLineAndPath(t *testing.T) {
	cases := []struct {
		name string
		text string
		want string
	}{
		{"unknown field", "{\n\"a\": 1,\n\"b\": 2}", "f:3: b: is not a known field"},
		{"wrong type", "{\n\n\"a\": \"x\"}", "f:3: a: is not a whole number"},
		{"missing", "{}", "f:1: document: lacks the field \"a\""},
		{"twice", "{\"a\": 1,\n\"a\": 2}", "f:2: a: stands twice"},
		{"fraction", "{\"a\": 1.5}", "f:1: a: is not a whole number"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			doc, err := Parse("f", []byte(c.text))
			require.NoError(t, err)
			doc.Root().Int("a")
			doc.Root().Close()
			require.EqualError(t, doc.Err(), c.want)
		})
	}
}

func TestSyntaxErrorCarriesLine(t *testing.T) {
	_, err := Parse("f", []byte("{\n\"a\": ]\n}"))
	var syntax *SyntaxError
	require.ErrorAs(t, err, &syntax)
	require.Equal(t, 2, syntax.Line)
}

func TestDeepNestingIsASyntaxError(t *testing.T) {
	text := make([]byte, 1<<20)
	for i := range text {
		text[i] = '['
	}
	_, err := Parse("f", text)
	var syntax *SyntaxError
	require.ErrorAs(t, err, &syntax)
}
