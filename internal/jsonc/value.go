package jsonc

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"

	"github.com/tailscale/hujson"
)

// Value is a value of a document. Its methods record a fault if the value has another type.
type Value struct {
	doc   *Document
	value hujson.Value
	path  string
}

// Line returns the line on which the value begins.
func (v Value) Line() int {
	return v.doc.line(v.value.StartOffset)
}

// Faultf records a fault at the value.
func (v Value) Faultf(format string, args ...any) {
	v.doc.faultf(v.value.StartOffset, v.path, format, args...)
}

// Object returns the value as an object. Another type is a fault and gives an empty object.
func (v Value) Object() *Object {
	o := &Object{value: v, members: map[string]Value{}, read: map[string]bool{}}
	h, ok := v.value.Value.(*hujson.Object)
	if !ok {
		v.Faultf("is not an object")
		return o
	}
	for _, m := range h.Members {
		name := m.Name.Value.(hujson.Literal).String()
		member := Value{doc: v.doc, value: m.Value, path: join(v.path, name)}
		if _, duplicate := o.members[name]; duplicate {
			member.Faultf("stands twice")
			continue
		}
		o.names = append(o.names, name)
		o.members[name] = member
	}
	return o
}

// IsList reports whether the value is a list.
func (v Value) IsList() bool {
	_, ok := v.value.Value.(*hujson.Array)
	return ok
}

// List returns the elements of a list. Another type is a fault and gives no elements.
func (v Value) List() []Value {
	h, ok := v.value.Value.(*hujson.Array)
	if !ok {
		v.Faultf("is not a list")
		return nil
	}
	values := make([]Value, len(h.Elements))
	for i, e := range h.Elements {
		values[i] = Value{doc: v.doc, value: e, path: fmt.Sprintf("%s[%s]", v.path, elementName(e, i))}
	}
	return values
}

// String returns the value as a string. Another type is a fault and gives "".
func (v Value) String() string {
	s, _ := v.Text()
	return s
}

// Text returns the value as a string, and whether it is one. Another type is a fault.
func (v Value) Text() (string, bool) {
	l, ok := v.literal('"')
	if !ok {
		v.Faultf("is not a string")
		return "", false
	}
	return l.String(), true
}

// Bool returns the value as a boolean. Another type is a fault and gives false.
func (v Value) Bool() bool {
	l, ok := v.value.Value.(hujson.Literal)
	if !ok || (l.Kind() != 't' && l.Kind() != 'f') {
		v.Faultf("is not true or false")
		return false
	}
	return l.Bool()
}

func (v Value) literal(kind hujson.Kind) (hujson.Literal, bool) {
	l, ok := v.value.Value.(hujson.Literal)
	return l, ok && l.Kind() == kind
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxElementName is the length in bytes above which the name of an element is not used in paths.
const maxElementName = 64

// elementName returns what identifies a list element in a path: the value of its field "name", or
// its position if that is missing or unsuitable.
func elementName(e hujson.Value, position int) string {
	h, ok := e.Value.(*hujson.Object)
	if !ok {
		return strconv.Itoa(position)
	}
	for _, m := range h.Members {
		l, ok := m.Value.Value.(hujson.Literal)
		if ok && l.Kind() == '"' && m.Name.Value.(hujson.Literal).String() == "name" && isPlainName(l.String()) {
			return l.String()
		}
	}
	return strconv.Itoa(position)
}

// isPlainName reports whether a name can be used in a path: not empty, not too long, printable, and
// without square brackets.
func isPlainName(s string) bool {
	if s == "" || len(s) > maxElementName {
		return false
	}
	return !strings.ContainsFunc(s, func(r rune) bool { return !unicode.IsPrint(r) || r == '[' || r == ']' })
}
