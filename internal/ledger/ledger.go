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

// CoreMillis is processor time in core-milliseconds.
type CoreMillis int64

// MiBSeconds is memory held over time, in mebibyte-seconds.
type MiBSeconds int64

// AcceleratorMillis is accelerator time in device-milliseconds.
type AcceleratorMillis int64

// bytesPerMiB is the size of a mebibyte.
const bytesPerMiB = 1 << 20

// Usage is an amount of everything that is accounted.
type Usage struct {
	Processor   CoreMillis
	Memory      MiBSeconds
	Accelerator AcceleratorMillis
	Requests    int64
	LinkBytes   share.Bytes
}

// NewUsage returns the usage of a task from what its worker reports; the
// memory is in byte-seconds. Amounts that cannot be are taken as none.
func NewUsage(processor time.Duration, memoryByteSeconds float64, accelerator time.Duration) Usage {
	u := Usage{
		Processor:   CoreMillis(max(0, processor.Milliseconds())),
		Accelerator: AcceleratorMillis(max(0, accelerator.Milliseconds())),
	}
	mib := memoryByteSeconds / bytesPerMiB
	if mib > 0 && mib < math.MaxInt64/2 {
		u.Memory = MiBSeconds(mib)
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
		Processor:   CoreMillis(math.Ceil(seconds * float64(size.Processors))),
		Memory:      MiBSeconds(math.Ceil(seconds * float64(size.Memory) / bytesPerMiB)),
		Accelerator: AcceleratorMillis(math.Ceil(seconds * 1e3 * float64(size.Accelerators))),
	}
}
