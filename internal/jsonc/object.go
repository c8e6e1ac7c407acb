package jsonc

import "time"

// Object is one object of a document, read field by field.
type Object struct {
	value   Value
	names   []string
	members map[string]Value
	read    map[string]bool
}

// Value returns the object as a value, for its line and path.
func (o *Object) Value() Value {
	return o.value
}

// Names returns the names of the fields in the order of the text.
func (o *Object) Names() []string {
	return o.names
}

// Has reports whether the object has the field.
func (o *Object) Has(name string) bool {
	_, ok := o.members[name]
	return ok
}

// Optional returns the field, and whether it is there.
func (o *Object) Optional(name string) (Value, bool) {
	o.read[name] = true
	v, ok := o.members[name]
	return v, ok
}

// Required returns the field, and whether it is there; a missing one is a fault.
func (o *Object) Required(name string) (Value, bool) {
	v, ok := o.Optional(name)
	if !ok {
		o.value.Faultf("lacks the field %q", name)
	}
	return v, ok
}

// String returns a required string that is not empty.
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

// optional returns an optional field by the method that reads its value.
func optional[T any](o *Object, name string, missing T, read func(Value) T) T {
	if v, ok := o.Optional(name); ok {
		return read(v)
	}
	return missing
}

// required returns a required field by the method that reads its value; zero if it is missing.
func required[T any](o *Object, name string, read func(Value) T) T {
	var missing T
	if v, ok := o.Required(name); ok {
		return read(v)
	}
	return missing
}

// Int returns a required whole number.
func (o *Object) Int(name string) int64 {
	return required(o, name, Value.Int)
}

// IntOr returns an optional whole number.
func (o *Object) IntOr(name string, missing int64) int64 {
	return optional(o, name, missing, Value.Int)
}

// FloatOr returns an optional number.
func (o *Object) FloatOr(name string, missing float64) float64 {
	return optional(o, name, missing, Value.Float)
}

// BoolOr returns an optional boolean.
func (o *Object) BoolOr(name string, missing bool) bool {
	return optional(o, name, missing, Value.Bool)
}

// Duration returns a required duration.
func (o *Object) Duration(name string) time.Duration {
	return required(o, name, Value.Duration)
}

// DurationOr returns an optional duration.
func (o *Object) DurationOr(name string, missing time.Duration) time.Duration {
	return optional(o, name, missing, Value.Duration)
}

// SizeOr returns an optional size in bytes.
func (o *Object) SizeOr(name string, missing int64) int64 {
	return optional(o, name, missing, Value.Size)
}

// List returns the elements of an optional list.
func (o *Object) List(name string) []Value {
	if v, ok := o.Optional(name); ok {
		return v.List()
	}
	return nil
}

// Object returns an optional object; a missing one reads as an empty one.
func (o *Object) Object(name string) *Object {
	if v, ok := o.Optional(name); ok {
		return v.Object()
	}
	return &Object{value: o.value, members: map[string]Value{}, read: map[string]bool{}}
}

// Close records a fault for each field that was not read.
func (o *Object) Close() {
	for _, name := range o.names {
		if !o.read[name] {
			o.members[name].Faultf("is not a known field")
		}
	}
}
