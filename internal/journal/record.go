// Package journal keeps the state of a shard in the store: a snapshot and the
// batches of records that were committed since. Each batch is one write, and
// each write is fenced by the revision of the holder's key, so that a holder
// that was replaced can write nothing.
//
// # Usage
//
//	log := &journal.Log{Store: client, Writer: writer, Prefix: prefix, Fence: fence}
//	batches, err := log.Load(ctx)
//	err = log.Append(ctx, batch) // A *journal.FencedError once replaced.
//	err = log.Compact(ctx, whole)
package journal

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/oriolepond/oriolepond/internal/journal/journalpb"
	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Account is the usage of a share's jobs that were dropped.
type Account struct {
	Neighbour string
	Share     string
	Usage     worker.Usage
}

// Batch is a set of records that take effect together. Each record holds the
// whole new state of its subject.
type Batch struct {
	Jobs     []task.Job
	Tasks    []task.Task
	Accounts []Account
	// Dropped are the identifiers of jobs that are forgotten.
	Dropped []string
}

// Len returns the number of records.
func (b Batch) Len() int {
	return len(b.Jobs) + len(b.Tasks) + len(b.Accounts) + len(b.Dropped)
}

// cut returns the first n records and the rest; jobs come before their tasks.
func (b Batch) cut(n int) (first, rest Batch) {
	first.Accounts, rest.Accounts, n = cutSlice(b.Accounts, n)
	first.Jobs, rest.Jobs, n = cutSlice(b.Jobs, n)
	first.Tasks, rest.Tasks, n = cutSlice(b.Tasks, n)
	first.Dropped, rest.Dropped, _ = cutSlice(b.Dropped, n)
	return first, rest
}

// cutSlice returns at most the first n elements, the rest, and what is left of n.
func cutSlice[T any](s []T, n int) (first, rest []T, left int) {
	k := min(n, len(s))
	return s[:k], s[k:], n - k
}

// Encode returns the batch as bytes. The concatenation of encoded batches is
// the encoding of all their records in order.
func Encode(b Batch) ([]byte, error) {
	m := &journalpb.Batch{Dropped: b.Dropped}
	for _, j := range b.Jobs {
		m.Jobs = append(m.Jobs, encodeJob(j))
	}
	for _, t := range b.Tasks {
		m.Tasks = append(m.Tasks, encodeTask(t))
	}
	for _, a := range b.Accounts {
		m.Accounts = append(m.Accounts, &journalpb.Account{Neighbour: a.Neighbour, Share: a.Share, Usage: encodeUsage(a.Usage)})
	}
	return proto.Marshal(m)
}

// Decode reads bytes that Encode returned.
func Decode(text []byte) (Batch, error) {
	m := &journalpb.Batch{}
	if err := proto.Unmarshal(text, m); err != nil {
		return Batch{}, fmt.Errorf("decode journal: %w", err)
	}
	b := Batch{Dropped: m.Dropped}
	for _, j := range m.Jobs {
		b.Jobs = append(b.Jobs, decodeJob(j))
	}
	for _, t := range m.Tasks {
		b.Tasks = append(b.Tasks, decodeTask(t))
	}
	for _, a := range m.Accounts {
		b.Accounts = append(b.Accounts, Account{Neighbour: a.Neighbour, Share: a.Share, Usage: decodeUsage(a.Usage)})
	}
	return b, nil
}

func encodeUsage(u worker.Usage) *journalpb.Usage {
	if u == (worker.Usage{}) {
		return nil
	}
	return &journalpb.Usage{
		ProcessorNanos:    int64(u.Processor),
		MemoryByteSeconds: u.MemoryTime,
		AcceleratorNanos:  int64(u.Accelerator),
	}
}

func decodeUsage(m *journalpb.Usage) worker.Usage {
	return worker.Usage{
		Processor:   time.Duration(m.GetProcessorNanos()),
		MemoryTime:  m.GetMemoryByteSeconds(),
		Accelerator: time.Duration(m.GetAcceleratorNanos()),
	}
}

func encodeJob(j task.Job) *journalpb.Job {
	m := &journalpb.Job{
		Id:        j.ID,
		Neighbour: j.Neighbour,
		Share:     j.Share,
		Name:      j.Name,
		First:     int32(j.First),
		Tasks:     int32(j.Tasks),
		Reason:    j.Reason,
		Usage:     encodeUsage(j.Usage),
	}
	if !j.EndedAt.IsZero() {
		m.EndedMillis = j.EndedAt.UnixMilli()
	}
	for _, s := range slices.Sorted(maps.Keys(j.Counts)) {
		if m.Counts == nil {
			m.Counts = map[string]int32{}
		}
		m.Counts[string(s)] = int32(j.Counts[s])
	}
	return m
}

func decodeJob(m *journalpb.Job) task.Job {
	j := task.Job{
		Part: task.Part{
			ID:        m.Id,
			Neighbour: m.Neighbour,
			Share:     m.Share,
			Name:      m.Name,
			First:     int(m.First),
			Tasks:     int(m.Tasks),
		},
		Reason: m.Reason,
		Usage:  decodeUsage(m.Usage),
	}
	if m.EndedMillis != 0 {
		j.EndedAt = time.UnixMilli(m.EndedMillis)
	}
	for s, n := range m.Counts {
		if j.Counts == nil {
			j.Counts = map[task.State]int{}
		}
		j.Counts[task.State(s)] = int(n)
	}
	return j
}

func encodeTask(t task.Task) *journalpb.Task {
	m := &journalpb.Task{
		Job:         t.Job,
		Number:      int32(t.Number),
		State:       string(t.State),
		Incarnation: t.Incarnation,
		Worker:      t.Worker,
		Checkpoint:  t.Checkpoint,
		Failures:    int32(t.Failures),
		Reason:      t.Reason,
		Ended:       encodeUsage(t.Ended),
		Live:        encodeUsage(t.Live),
	}
	if t.Size != (share.Resources{}) {
		m.Size = &journalpb.Size{
			MilliCores:   int64(t.Size.Processors),
			Memory:       int64(t.Size.Memory),
			Accelerators: int64(t.Size.Accelerators),
		}
	}
	return m
}

func decodeTask(m *journalpb.Task) task.Task {
	return task.Task{
		Job:         m.Job,
		Number:      int(m.Number),
		State:       task.State(m.State),
		Incarnation: m.Incarnation,
		Worker:      m.Worker,
		Size: share.Resources{
			Processors:   share.MilliCores(m.Size.GetMilliCores()),
			Memory:       share.Bytes(m.Size.GetMemory()),
			Accelerators: share.Accelerators(m.Size.GetAccelerators()),
		},
		Checkpoint: m.Checkpoint,
		Failures:   int(m.Failures),
		Reason:     m.Reason,
		Ended:      decodeUsage(m.Ended),
		Live:       decodeUsage(m.Live),
	}
}
