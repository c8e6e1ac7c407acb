package worker

import "time"

// Span is a length of time, like time.Duration but with a range that sums of usage don't overflow.
type Span struct {
	// Remainder is what the span has beyond WholeSeconds, and less than one second.
	WholeSeconds int64
	Remainder    time.Duration
}

// Plus returns s plus d.
func (s Span) Plus(d time.Duration) Span {
	s.Remainder += d % time.Second
	s.WholeSeconds += int64(d / time.Second)
	s.WholeSeconds += int64(s.Remainder / time.Second)
	s.Remainder %= time.Second
	return s
}

// Seconds returns the span in seconds.
func (s Span) Seconds() float64 { return float64(s.WholeSeconds) + s.Remainder.Seconds() }

// Microseconds returns the span in whole microseconds; it overflows after 292,000 years.
func (s Span) Microseconds() int64 {
	return s.WholeSeconds*int64(time.Second/time.Microsecond) + s.Remainder.Microseconds()
}

// SpanOfMicroseconds returns a span of n microseconds.
func SpanOfMicroseconds(n int64) Span {
	second := int64(time.Second / time.Microsecond)
	return Span{WholeSeconds: n / second, Remainder: time.Duration(n%second) * time.Microsecond}
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
	t.Processor.WholeSeconds += o.Processor.WholeSeconds
	t.Accelerator.WholeSeconds += o.Accelerator.WholeSeconds
	return t.Plus(Usage{Processor: o.Processor.Remainder, MemoryTime: o.MemoryTime, Accelerator: o.Accelerator.Remainder})
}
