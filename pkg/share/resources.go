package share

import "fmt"

// MilliCores is an amount of processor capacity, in thousandths of one core.
type MilliCores int64

// Bytes is an amount of memory or of transferred data.
type Bytes int64

// Accelerators is a count of accelerator devices.
type Accelerators int64

// Resources is the capacity of a worker, or the amount of it that a task uses.
type Resources struct {
	Processors   MilliCores
	Memory       Bytes
	Accelerators Accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	r.Processors += o.Processors
	r.Memory += o.Memory
	r.Accelerators += o.Accelerators
	return r
}

// Minus returns r minus o; amounts may become negative.
func (r Resources) Minus(o Resources) Resources {
	r.Processors -= o.Processors
	r.Memory -= o.Memory
	r.Accelerators -= o.Accelerators
	return r
}

// Times returns r multiplied by n.
func (r Resources) Times(n int) Resources {
	r.Processors *= MilliCores(n)
	r.Memory *= Bytes(n)
	r.Accelerators *= Accelerators(n)
	return r
}

// Fits reports whether r fits into free: no amount of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.Processors <= free.Processors &&
		r.Memory <= free.Memory &&
		r.Accelerators <= free.Accelerators
}

// IsNegative reports whether any amount of r is below zero.
func (r Resources) IsNegative() bool {
	return r.Processors < 0 || r.Memory < 0 || r.Accelerators < 0
}

// String returns the amounts as text for messages.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cores, %d bytes, %d accelerators", r.Processors, r.Memory, r.Accelerators)
}
