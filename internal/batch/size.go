package batch

import "fmt"

// DefaultRecordLimit is the size in bytes of the largest value that the store takes, unless the
// platform states another one.
const DefaultRecordLimit = 1 << 20

const (
	// taskRowBytes is the size of a task's row in a record, with a run, a worker with an ID of 24
	// characters and failed runs. checkpointBytes is the size of a checkpoint in it.
	taskRowBytes    = 100
	checkpointBytes = 64
	// stageRowBytes is the size of a stage's row without its tasks. The bit set of ended tasks has
	// tasksPerDoneByte tasks a byte, as base64 text.
	stageRowBytes    = 64
	tasksPerDoneByte = 6
	// recordBytes is the size of a record without its steps and stages.
	recordBytes = 512
)

// SetRecordLimit sets the size in bytes of the largest value that the store takes.
func (c *Core) SetRecordLimit(bytes int) {
	if bytes > 0 {
		c.recordLimit = bytes
	}
}

// occurrenceBytes returns how large the rows of one occurrence become while all its tasks run.
func (j Job) occurrenceBytes() int {
	n := 0
	for _, s := range j.Steps {
		row := taskRowBytes
		if s.Checkpoints {
			row += checkpointBytes
		}
		n += stageRowBytes + s.Tasks/tasksPerDoneByte + s.Tasks*row
	}
	return n
}

// fixedBytes returns the size of the job's record without the rows of its occurrences.
func (j Job) fixedBytes() (int, error) {
	value, err := EncodeJob(j)
	return recordBytes + len(value), err
}

// CheckSize returns an *InvalidError if the record of the job with one occurrence may exceed the
// limit, in bytes. Zero means the default limit.
func (j Job) CheckSize(limit int) error {
	if limit <= 0 {
		limit = DefaultRecordLimit
	}
	fixed, err := j.fixedBytes()
	if err != nil {
		return err
	}
	if size := fixed + j.occurrenceBytes(); size > limit {
		return &InvalidError{Reason: fmt.Sprintf("its record may have %d bytes while all tasks run; the limit is %d", size, limit)}
	}
	return nil
}

// maxOpenOccurrences returns how many occurrences of the job may be open at once, so that its record
// fits into the store.
func (c *Core) maxOpenOccurrences(j *job) int {
	if j.maxOpen == 0 {
		// Without an encoding there is no record either.
		fixed, _ := j.fixedBytes()
		j.maxOpen = max(1, (c.recordLimit-fixed)/(j.occurrenceBytes()+openBytes))
	}
	return j.maxOpen
}

// openBytes is the size of an occurrence's number among the open ones.
const openBytes = 8

// openOccurrences returns the number of occurrences that have started and are not finished.
func (j *job) openOccurrences() int {
	n := 0
	for i := 0; i < len(j.stages); i += len(j.Steps) {
		if !isFinished(j.stages[i : i+len(j.Steps)]) {
			n++
		}
	}
	return n
}
