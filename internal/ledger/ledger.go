// Package ledger keeps the accounts: what each share has used, with every
// reported interval counted once.
//
// Workers report cumulative usage of each incarnation of a task. The book
// counts only the growth since the highest reading that it has seen, so that
// readings may come twice, late, in any order, or again after a crash. An
// incarnation is opened once, before its first reading, and closed once its
// final reading is in. A reading of an incarnation that is not open is not
// counted; since one is opened once only, none is counted twice.
//
// Requests and link bytes are counted the same way: the task is then an entry
// instance and the incarnation the number of its start.
//
// # Usage
//
//	b := ledger.NewBook()
//	b.Open(ledger.Incarnation{Task: "job-1-0", Number: 1}, "reviews", size, now)
//	b.Record(ledger.Incarnation{Task: "job-1-0", Number: 1}, usage, measuredAt)
//	b.Close(ledger.Incarnation{Task: "job-1-0", Number: 1})
//	for _, a := range b.Accounts(now) {
//		// a.Usage is counted; a.OpenAtMost is what may be missing.
//	}
package ledger

import (
	"math"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// CoreMicros is processor time in core-microseconds.
type CoreMicros int64

// KiBSeconds is memory held over time, in kibibyte-seconds.
type KiBSeconds int64

// AcceleratorMicros is accelerator time in device-microseconds.
type AcceleratorMicros int64

// Usage is an amount of everything that is accounted.
type Usage struct {
	Processor   CoreMicros
	Memory      KiBSeconds
	Accelerator AcceleratorMicros
	Requests    int64
	LinkBytes   share.Bytes
}

// NewUsage returns the usage of a task from what its worker reports; the
// memory is in byte-seconds. Amounts that cannot be are taken as none.
func NewUsage(processor time.Duration, memoryByteSeconds float64, accelerator time.Duration) Usage {
	u := Usage{
		Processor:   CoreMicros(max(0, processor.Microseconds())),
		Accelerator: AcceleratorMicros(max(0, accelerator.Microseconds())),
	}
	kib := memoryByteSeconds / 1024
	if kib > 0 && kib < math.MaxInt64/2 {
		u.Memory = KiBSeconds(kib)
	}
	return u
}

// Plus returns the sum of u and o.
func (u Usage) Plus(o Usage) Usage {
	u.Processor += o.Processor
	u.Memory += o.Memory
	u.Accelerator += o.Accelerator
	u.Requests += o.Requests
	u.LinkBytes += o.LinkBytes
	return u
}

// Minus returns u less o.
func (u Usage) Minus(o Usage) Usage {
	u.Processor -= o.Processor
	u.Memory -= o.Memory
	u.Accelerator -= o.Accelerator
	u.Requests -= o.Requests
	u.LinkBytes -= o.LinkBytes
	return u
}

// Max returns the greater of each amount of u and o.
func (u Usage) Max(o Usage) Usage {
	u.Processor = max(u.Processor, o.Processor)
	u.Memory = max(u.Memory, o.Memory)
	u.Accelerator = max(u.Accelerator, o.Accelerator)
	u.Requests = max(u.Requests, o.Requests)
	u.LinkBytes = max(u.LinkBytes, o.LinkBytes)
	return u
}

// held returns the most that a task of a size uses in a time.
func held(size share.Resources, elapsed time.Duration) Usage {
	if elapsed <= 0 {
		return Usage{}
	}
	seconds := elapsed.Seconds()
	return Usage{
		Processor:   CoreMicros(math.Ceil(seconds * 1000 * float64(size.Processors))),
		Memory:      KiBSeconds(math.Ceil(seconds * float64(size.Memory) / 1024)),
		Accelerator: AcceleratorMicros(math.Ceil(seconds * 1e6 * float64(size.Accelerators))),
	}
}
