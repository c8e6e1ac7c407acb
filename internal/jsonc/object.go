package jsonc

import "time"

// Object is an object of a document. It records which fields are read, so that Close can report the
// others as unknown.
type Object struct {
	value   Value
	names   []string
	members map[string]Value
	read    map[string]bool
}

// Value returns the object as a Value, for its line and path.
func (o *Object) Value() Value {
	return o.value
}

// Names returns the names of the fields in the order of the document.
func (o *Object) Names() []string {
	return o.names
}

// Has reports whether the object has the field. It does not mark the field as read.
func (o *Object) Has(name string) bool {
	_, ok := o.members[name]
	return ok
}

// Optional returns the field, and whether it exists.
func (o *Object) Optional(name string) (Value, bool) {
	o.read[name] = true
	v, ok := o.members[name]
	return v, ok
}

// Required returns the field, and whether it exists. A missing field is a fault.
func (o *Object) Required(name string) (Value, bool) {
	v, ok := o.Optional(name)
	if !ok {
		o.value.Faultf("lacks the field %q", name)
	}
	return v, ok
}

// String returns a required string. An empty one is a fault.
func (o *Object) String(name string) string {
	v, ok := o.Required(name)
	if !ok {
		return ""
	}
	before := len(o.value.doc.faults)
	s := v.String()
	if s == "" && len(o.value.doc.faults) == before {
		v.Faultf("is empty")
	}
	return s
}

// readOptional converts an optional field with read, or returns the fallback if the field is
// missing.
func readOptional[T any](o *Object, name string, fallback T, read func(Value) T) T {
	if v, ok := o.Optional(name); ok {
		return read(v)
	}
	return fallback
}

// readRequired converts a required field with read, or returns zero if the field is missing.
func readRequired[T any](o *Object, name string, read func(Value) T) T {
	var zero T
	if v, ok := o.Required(name); ok {
		return read(v)
	}
	return zero
}

// Int returns a required whole number.
func (o *Object) Int(name string) int64 {
	return readRequired(o, name, Value.Int)
}

// IntOr returns an optional whole number, or the fallback if the field is missing.
func (o *Object) IntOr(name string, fallback int64) int64 {
	return readOptional(o, name, fallback, Value.Int)
}

// FloatOr returns an optional number, or the fallback if the field is missing.
func (o *Object) FloatOr(name string, fallback float64) float64 {
	return readOptional(o, name, fallback, Value.Float)
}

// BoolOr returns an optional boolean, or the fallback if the field is missing.
func (o *Object) BoolOr(name string, fallback bool) bool {
	return readOptional(o, name, fallback, Value.Bool)
}

// Duration returns a required duration.
func (o *Object) Duration(name string) time.Duration {
	return readRequired(o, name, Value.Duration)
}

// DurationOr returns an optional duration, or the fallback if the field is missing.
func (o *Object) DurationOr(name string, fallback time.Duration) time.Duration {
	return readOptional(o, name, fallback, Value.Duration)
}

// SizeOr returns an optional size in bytes, or the fallback if the field is missing.
func (o *Object) SizeOr(name string, fallback int64) int64 {
	return readOptional(o, name, fallback, Value.Size)
}

// List returns the elements of an optional list; there are none if the field is missing.
func (o *Object) List(name string) []Value {
	if v, ok := o.Optional(name); ok {
		return v.List()
	}
	return nil
}

// Object returns an optional object, or an empty one if the field is missing.
func (o *Object) Object(name string) *Object {
	if v, ok := o.Optional(name); ok {
		return v.Object()
	}
	return &Object{value: o.value, members: map[string]Value{}, read: map[string]bool{}}
}

// Close records a fault for each field that has not been read, since it is unknown.
func (o *Object) Close() {
	for _, name := range o.names {
		if !o.read[name] {
			o.members[name].Faultf("is not a known field")
		}
	}
}
