package worker

import "time"

// Span is a length of time, like time.Duration but with a range that sums of usage don't overflow.
type Span struct {
	// Whole is the number of whole seconds, and Rest the remainder below one second.
	Whole int64
	Rest  time.Duration
}

// Plus returns s plus d.
func (s Span) Plus(d time.Duration) Span {
	s.Rest += d % time.Second
	s.Whole += int64(d / time.Second)
	s.Whole += int64(s.Rest / time.Second)
	s.Rest %= time.Second
	return s
}

// Seconds returns the span in seconds.
func (s Span) Seconds() float64 { return float64(s.Whole) + s.Rest.Seconds() }

// Microseconds returns the span in whole microseconds; it overflows after 292,000 years.
func (s Span) Microseconds() int64 {
	return s.Whole*int64(time.Second/time.Microsecond) + s.Rest.Microseconds()
}

// SpanOfMicroseconds returns a span of n microseconds.
func SpanOfMicroseconds(n int64) Span {
	second := int64(time.Second / time.Microsecond)
	return Span{Whole: n / second, Rest: time.Duration(n%second) * time.Microsecond}
}

// Total is the sum of the usage of many incarnations. The durations in a Usage overflow after 292
// years of processor time, which a large pool uses within days.
type Total struct {
	Processor Span
	// MemoryTime is in byte-seconds.
	MemoryTime  float64
	Accelerator Span
}

// Plus returns the sum of t and u.
func (t Total) Plus(u Usage) Total {
	t.Processor = t.Processor.Plus(u.Processor)
	t.MemoryTime += u.MemoryTime
	t.Accelerator = t.Accelerator.Plus(u.Accelerator)
	return t
}

// Sum returns the sum of t and o.
func (t Total) Sum(o Total) Total {
	t.Processor.Whole += o.Processor.Whole
	t.Accelerator.Whole += o.Accelerator.Whole
	return t.Plus(Usage{Processor: o.Processor.Rest, MemoryTime: o.MemoryTime, Accelerator: o.Accelerator.Rest})
}
