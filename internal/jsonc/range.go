package jsonc

import (
	"cmp"
	"time"
)

// DurationIn reads an optional duration between low and high.
func (o *Object) DurationIn(field string, fallback, low, high time.Duration) time.Duration {
	return InRange(o, field, o.DurationOr(field, fallback), low, high)
}

// IntIn reads an optional whole number between low and high.
func (o *Object) IntIn(field string, fallback, low, high int64) int64 {
	return InRange(o, field, o.IntOr(field, fallback), low, high)
}

// SizeIn reads an optional size in bytes between low and high.
func (o *Object) SizeIn(field string, fallback, low, high int64) int64 {
	return InRange(o, field, o.SizeOr(field, fallback), low, high)
}

// FloatIn reads an optional number between low and high.
func (o *Object) FloatIn(field string, fallback, low, high float64) float64 {
	return InRange(o, field, o.FloatOr(field, fallback), low, high)
}

// InRange returns v, which was read from a field, if it is between low and high. Otherwise it records a
// fault and returns low.
func InRange[T cmp.Ordered](o *Object, field string, v, low, high T) T {
	if v >= low && v <= high {
		return v
	}
	o.FaultAt(field, "is %v, not between %v and %v", v, low, high)
	return low
}

// FaultAt records a fault at a field, or at the object if the field is left out.
func (o *Object) FaultAt(field, format string, args ...any) {
	v, ok := o.Optional(field)
	if !ok {
		v = o.Value()
	}
	v.Faultf(format, args...)
}
