package jsonc

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Reading every field with every method terminates, and each fault has a line of the text.
func FuzzParse(f *testing.F) {
	f.Add([]byte("{\"a\": [1, {\"b\": null}],\n // c\n\"d\": \"250ms\",}"))
	f.Add([]byte(`{"a": 1e999, "b": "\ud800", "c": "9GiB", "a": true}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse("f", text)
		if err != nil {
			return
		}
		o := doc.Root()
		for _, name := range o.Names() {
			v, _ := o.Optional(name)
			v.Int()
			v.Float()
			v.Duration()
			v.Size()
			v.Bool()
			_ = v.String()
			v.Object().Close()
			for _, e := range v.List() {
				e.Object().Close()
			}
		}
		o.Close()
		lines := 1
		for _, c := range text {
			if c == '\n' {
				lines++
			}
		}
		for _, fault := range doc.faults {
			require.LessOrEqual(t, fault.Line, lines)
			require.Positive(t, fault.Line)
		}
	})
}
