// Package journal keeps the state of a shard in the store: a snapshot, and a log of the batches of
// records that were committed since. A shard is a partition of the workers of a region, and of the
// jobs on them, with one leader. Each batch is one write. Every write is conditional on the
// revision of the leader's key, so a leader that was replaced can't write.
//
// # Usage
//
//	log := &journal.Log{Store: client, Writer: writer, Prefix: prefix, Fence: fence}
//	batches, err := log.Load(ctx)
//	err = log.Append(ctx, batch) // A *journal.FencedError once replaced.
//	err = log.Compact(ctx, state)
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

// Account is the resource usage of those jobs of a share that are no longer kept.
type Account struct {
	Neighbour string
	Share     string
	Usage     worker.Total
}

// Lost is an incarnation that has stopped, because its lease has expired or its worker was removed,
// but whose end the worker has not reported.
type Lost struct {
	worker.Ack
	Worker string
	// Job is the identifier of the job.
	Job       string
	Neighbour string
	Share     string
	// Counted is the usage that was last reported and counted. UncountedAtMost bounds the usage
	// beyond it.
	Counted         worker.Usage
	UncountedAtMost worker.Usage
	LostAt          time.Time
}

// Link holds the numbers of the last transfers of tasks to and from another shard.
type Link struct {
	Shard    string
	Sent     int64
	Received int64
}

// Batch is a set of records that take effect together. Each record holds the whole new state of its
// subject.
type Batch struct {
	Jobs     []task.Job
	Tasks    []task.Task
	Accounts []Account
	Lost     []Lost
	// Resolved are the incarnations that are no longer counted as lost, because their worker has
	// reported them or they were dropped.
	Resolved []worker.Ack
	Budgets  []Budget
	// Learned holds at most one record. Only the last one in the journal is used.
	Learned []Learned
	Links   []Link
	// Dropped are the identifiers of jobs whose records are removed.
	Dropped []string
}

// Len returns the number of records.
func (b Batch) Len() int {
	return len(b.Jobs) + len(b.Tasks) + len(b.Accounts) + len(b.Links) + len(b.Lost) + len(b.Resolved) + len(b.Budgets) + len(b.Learned) + len(b.Dropped)
}

// cut splits the batch into its first n records and the rest. Jobs come before their tasks, because
// the record of a task has no effect before that of its job.
func (b Batch) cut(n int) (first, rest Batch) {
	first.Accounts, rest.Accounts, n = cutSlice(b.Accounts, n)
	first.Links, rest.Links, n = cutSlice(b.Links, n)
	first.Jobs, rest.Jobs, n = cutSlice(b.Jobs, n)
	first.Tasks, rest.Tasks, n = cutSlice(b.Tasks, n)
	first.Lost, rest.Lost, n = cutSlice(b.Lost, n)
	first.Resolved, rest.Resolved, n = cutSlice(b.Resolved, n)
	first.Budgets, rest.Budgets, n = cutSlice(b.Budgets, n)
	first.Learned, rest.Learned, n = cutSlice(b.Learned, n)
	first.Dropped, rest.Dropped, _ = cutSlice(b.Dropped, n)
	return first, rest
}

// cutSlice splits a slice after its first n elements, or at its end if it has fewer. remaining is
// by how many elements first is shorter than n.
func cutSlice[T any](s []T, n int) (first, rest []T, remaining int) {
	k := min(n, len(s))
	return s[:k], s[k:], n - k
}

// Encode returns the batch as bytes. The concatenation of several encoded batches decodes to all of
// their records in order.
func Encode(b Batch) ([]byte, error) {
	m := &journalpb.Batch{Dropped: b.Dropped}
	for _, j := range b.Jobs {
		m.Jobs = append(m.Jobs, encodeJob(j))
	}
	for _, t := range b.Tasks {
		m.Tasks = append(m.Tasks, encodeTask(t))
	}
	for _, a := range b.Accounts {
		m.Accounts = append(m.Accounts, &journalpb.Account{Neighbour: a.Neighbour, Share: a.Share, Usage: encodeTotal(a.Usage)})
	}
	for _, l := range b.Lost {
		m.Lost = append(m.Lost, encodeLost(l))
	}
	for _, f := range b.Resolved {
		m.Found = append(m.Found, encodeIncarnation(f))
	}
	for _, budget := range b.Budgets {
		m.Budgets = append(m.Budgets, encodeBudget(budget))
	}
	for _, l := range b.Learned {
		m.Learned = append(m.Learned, encodeLearned(l))
	}
	for _, l := range b.Links {
		m.Links = append(m.Links, &journalpb.Link{Shard: l.Shard, Sent: l.Sent, Received: l.Received})
	}
	return proto.Marshal(m)
}

// Decode decodes bytes that Encode returned, or a concatenation of them.
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
		b.Accounts = append(b.Accounts, Account{Neighbour: a.Neighbour, Share: a.Share, Usage: decodeTotal(a.Usage)})
	}
	for _, l := range m.Lost {
		b.Lost = append(b.Lost, decodeLost(l))
	}
	for _, f := range m.Found {
		b.Resolved = append(b.Resolved, decodeIncarnation(f))
	}
	for _, budget := range m.Budgets {
		b.Budgets = append(b.Budgets, decodeBudget(budget))
	}
	for _, l := range m.Learned {
		b.Learned = append(b.Learned, decodeLearned(l))
	}
	for _, l := range m.Links {
		b.Links = append(b.Links, Link{Shard: l.Shard, Sent: l.Sent, Received: l.Received})
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

func encodeTotal(t worker.Total) *journalpb.Usage {
	return &journalpb.Usage{
		ProcessorNanos:     int64(t.Processor.Remainder),
		ProcessorSeconds:   t.Processor.WholeSeconds,
		MemoryByteSeconds:  t.MemoryTime,
		AcceleratorNanos:   int64(t.Accelerator.Remainder),
		AcceleratorSeconds: t.Accelerator.WholeSeconds,
	}
}

func decodeTotal(m *journalpb.Usage) worker.Total {
	return worker.Total{
		Processor:   worker.Span{WholeSeconds: m.GetProcessorSeconds()}.Plus(time.Duration(m.GetProcessorNanos())),
		MemoryTime:  m.GetMemoryByteSeconds(),
		Accelerator: worker.Span{WholeSeconds: m.GetAcceleratorSeconds()}.Plus(time.Duration(m.GetAcceleratorNanos())),
	}
}

func encodeIncarnation(a worker.Ack) *journalpb.Incarnation {
	return &journalpb.Incarnation{Task: a.Task, Number: a.Incarnation}
}

func decodeIncarnation(m *journalpb.Incarnation) worker.Ack {
	return worker.Ack{Task: m.GetTask(), Incarnation: m.GetNumber()}
}

func encodeLost(l Lost) *journalpb.Lost {
	return &journalpb.Lost{
		Incarnation: encodeIncarnation(l.Ack),
		Worker:      l.Worker,
		Job:         l.Job,
		Neighbour:   l.Neighbour,
		Share:       l.Share,
		Counted:     encodeUsage(l.Counted),
		Open:        encodeUsage(l.UncountedAtMost),
		LostMillis:  l.LostAt.UnixMilli(),
	}
}

func decodeLost(m *journalpb.Lost) Lost {
	return Lost{
		Ack:             decodeIncarnation(m.Incarnation),
		Worker:          m.Worker,
		Job:             m.Job,
		Neighbour:       m.Neighbour,
		Share:           m.Share,
		Counted:         decodeUsage(m.Counted),
		UncountedAtMost: decodeUsage(m.Open),
		LostAt:          time.UnixMilli(m.LostMillis),
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
		Cancelled: j.Cancelled,
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
		Reason:    m.Reason,
		Usage:     decodeUsage(m.Usage),
		Cancelled: m.Cancelled,
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
		Ended:       encodeUsage(t.EndedUsage),
		Live:        encodeUsage(t.LiveUsage),
		Away:        t.MovedTo,
		Transfer:    t.Transfer,
	}
	if t.Origin != (task.Origin{}) {
		m.Origin = &journalpb.Origin{
			Shard:     t.Origin.Shard,
			Neighbour: t.Origin.Neighbour,
			Share:     t.Origin.Share,
			Name:      t.Origin.Name,
		}
	}
	if !t.UsageReadAt.IsZero() {
		m.ReadMillis = t.UsageReadAt.UnixMilli()
	}
	if t.Size != (share.Resources{}) {
		m.Size = encodeSize(t.Size)
	}
	return m
}

func decodeTask(m *journalpb.Task) task.Task {
	t := task.Task{
		Job:         m.Job,
		Number:      int(m.Number),
		State:       task.State(m.State),
		Incarnation: m.Incarnation,
		Worker:      m.Worker,
		Size:        decodeSize(m.Size),
		Checkpoint:  m.Checkpoint,
		Failures:    int(m.Failures),
		Reason:      m.Reason,
		EndedUsage:  decodeUsage(m.Ended),
		LiveUsage:   decodeUsage(m.Live),
		MovedTo:     m.Away,
		Transfer:    m.Transfer,
		Origin: task.Origin{
			Shard:     m.Origin.GetShard(),
			Neighbour: m.Origin.GetNeighbour(),
			Share:     m.Origin.GetShare(),
			Name:      m.Origin.GetName(),
		},
	}
	if m.ReadMillis != 0 {
		t.UsageReadAt = time.UnixMilli(m.ReadMillis)
	}
	return t
}
