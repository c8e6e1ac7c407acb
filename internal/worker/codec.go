package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

type (
	wireSize struct {
		MilliCores   int64 `json:"milliCores,omitempty"`
		Memory       int64 `json:"memory,omitempty"`
		Accelerators int64 `json:"accelerators,omitempty"`
	}
	wireCommand struct {
		Kind        string   `json:"kind"`
		Task        string   `json:"task"`
		Incarnation int64    `json:"incarnation"`
		Job         string   `json:"job,omitempty"`
		Size        wireSize `json:"size,omitzero"`
		Resume      string   `json:"resume,omitempty"`
		Ratio       float64  `json:"ratio,omitempty"`
	}
	wireAck struct {
		Task        string `json:"task"`
		Incarnation int64  `json:"incarnation"`
	}
	wireExchange struct {
		Holder      string        `json:"holder"`
		Epoch       int64         `json:"epoch"`
		Sequence    int64         `json:"sequence"`
		Boot        string        `json:"boot,omitempty"`
		StampMillis int64         `json:"stampMillis,omitempty"`
		LeaseMillis int64         `json:"leaseMillis"`
		Full        bool          `json:"full,omitempty"`
		Commands    []wireCommand `json:"commands,omitempty"`
		Acks        []wireAck     `json:"acks,omitempty"`
	}
	wireTask struct {
		Task              string   `json:"task"`
		Incarnation       int64    `json:"incarnation"`
		Job               string   `json:"job"`
		State             string   `json:"state"`
		Reason            string   `json:"reason,omitempty"`
		Checkpoint        string   `json:"checkpoint,omitempty"`
		Size              wireSize `json:"size,omitzero"`
		ProcessorMicros   int64    `json:"processorMicros,omitempty"`
		MemoryByteSeconds float64  `json:"memoryByteSeconds,omitempty"`
		AcceleratorMicros int64    `json:"acceleratorMicros,omitempty"`
		Speed             float64  `json:"speed"`
		Ratio             float64  `json:"ratio"`
	}
	wireTail struct {
		Service   string `json:"service"`
		P99Micros int64  `json:"p99Micros"`
		Samples   int64  `json:"samples"`
	}
	wireRefusal struct {
		Task        string `json:"task"`
		Incarnation int64  `json:"incarnation"`
		Reason      string `json:"reason"`
	}
	wireReport struct {
		Worker            string        `json:"worker"`
		Epoch             int64         `json:"epoch"`
		Boot              string        `json:"boot"`
		StampMillis       int64         `json:"stampMillis"`
		Full              bool          `json:"full,omitempty"`
		MeasuredAgeMillis int64         `json:"measuredAgeMillis,omitempty"`
		Tasks             []wireTask    `json:"tasks,omitempty"`
		Tails             []wireTail    `json:"tails,omitempty"`
		Refused           []wireRefusal `json:"refused,omitempty"`
	}
)

func encodeSize(r share.Resources) wireSize {
	return wireSize{MilliCores: int64(r.Processors), Memory: int64(r.Memory), Accelerators: int64(r.Accelerators)}
}

func decodeSize(w wireSize) share.Resources {
	return share.Resources{
		Processors:   share.MilliCores(w.MilliCores),
		Memory:       share.Bytes(w.Memory),
		Accelerators: share.Accelerators(w.Accelerators),
	}
}

// EncodeExchange returns the body of an exchange.
func EncodeExchange(e Exchange) ([]byte, error) {
	w := wireExchange{
		Holder:      e.Leader,
		Epoch:       e.Epoch,
		Sequence:    e.Sequence,
		Boot:        e.Boot,
		StampMillis: e.Stamp.Milliseconds(),
		LeaseMillis: e.Lease.Milliseconds(),
		Full:        e.Full,
	}
	for _, c := range e.Commands {
		w.Commands = append(w.Commands, wireCommand{
			Kind:        string(c.Kind),
			Task:        c.Task,
			Incarnation: c.Incarnation,
			Job:         c.Job,
			Size:        encodeSize(c.Size),
			Resume:      c.Resume,
			Ratio:       c.Ratio,
		})
	}
	for _, a := range e.Acks {
		w.Acks = append(w.Acks, wireAck(a))
	}
	return json.Marshal(w)
}

// DecodeExchange reads the body of an exchange.
func DecodeExchange(text []byte) (Exchange, error) {
	var w wireExchange
	if err := json.Unmarshal(text, &w); err != nil {
		return Exchange{}, fmt.Errorf("decode exchange: %w", err)
	}
	e := Exchange{
		Leader:   w.Holder,
		Epoch:    w.Epoch,
		Sequence: w.Sequence,
		Boot:     w.Boot,
		Stamp:    time.Duration(w.StampMillis) * time.Millisecond,
		Lease:    time.Duration(w.LeaseMillis) * time.Millisecond,
		Full:     w.Full,
	}
	for _, c := range w.Commands {
		e.Commands = append(e.Commands, Command{
			Kind:        CommandKind(c.Kind),
			Task:        c.Task,
			Incarnation: c.Incarnation,
			Job:         c.Job,
			Size:        decodeSize(c.Size),
			Resume:      c.Resume,
			Ratio:       c.Ratio,
		})
	}
	for _, a := range w.Acks {
		e.Acks = append(e.Acks, Ack(a))
	}
	return e, nil
}

// EncodeReport returns the body of a report.
func EncodeReport(r Report) ([]byte, error) {
	w := wireReport{
		Worker:            r.Worker,
		Boot:              r.Boot,
		StampMillis:       r.Stamp.Milliseconds(),
		Epoch:             r.Epoch,
		Full:              r.Full,
		MeasuredAgeMillis: r.MeasuredAge.Milliseconds(),
	}
	for _, t := range r.Tasks {
		w.Tasks = append(w.Tasks, encodeTask(t))
	}
	for _, t := range r.Tails {
		w.Tails = append(w.Tails, wireTail{Service: t.Service, P99Micros: t.P99.Microseconds(), Samples: t.Samples})
	}
	for _, f := range r.Refused {
		w.Refused = append(w.Refused, wireRefusal(f))
	}
	return json.Marshal(w)
}

// DecodeReport reads the body of a report.
func DecodeReport(text []byte) (Report, error) {
	var w wireReport
	if err := json.Unmarshal(text, &w); err != nil {
		return Report{}, fmt.Errorf("decode report: %w", err)
	}
	r := Report{
		Worker:      w.Worker,
		Boot:        w.Boot,
		Stamp:       time.Duration(w.StampMillis) * time.Millisecond,
		Epoch:       w.Epoch,
		Full:        w.Full,
		MeasuredAge: time.Duration(w.MeasuredAgeMillis) * time.Millisecond,
	}
	for _, t := range w.Tasks {
		r.Tasks = append(r.Tasks, decodeTask(t))
	}
	for _, t := range w.Tails {
		p99 := time.Duration(t.P99Micros) * time.Microsecond
		r.Tails = append(r.Tails, TailReport{Service: t.Service, P99: p99, Samples: t.Samples})
	}
	for _, f := range w.Refused {
		r.Refused = append(r.Refused, Refusal(f))
	}
	return r, nil
}

func encodeTask(t TaskReport) wireTask {
	return wireTask{
		Task:              t.Task,
		Incarnation:       t.Incarnation,
		Job:               t.Job,
		State:             string(t.State),
		Reason:            t.Reason,
		Checkpoint:        t.Checkpoint,
		Size:              encodeSize(t.Size),
		ProcessorMicros:   t.Usage.Processor.Microseconds(),
		MemoryByteSeconds: t.Usage.MemoryTime,
		AcceleratorMicros: t.Usage.Accelerator.Microseconds(),
		Speed:             t.Speed,
		Ratio:             t.Ratio,
	}
}

func decodeTask(w wireTask) TaskReport {
	return TaskReport{
		Task:        w.Task,
		Incarnation: w.Incarnation,
		Job:         w.Job,
		State:       TaskState(w.State),
		Reason:      w.Reason,
		Checkpoint:  w.Checkpoint,
		Size:        decodeSize(w.Size),
		Usage: Usage{
			Processor:   time.Duration(w.ProcessorMicros) * time.Microsecond,
			MemoryTime:  w.MemoryByteSeconds,
			Accelerator: time.Duration(w.AcceleratorMicros) * time.Microsecond,
		},
		Speed: w.Speed,
		Ratio: w.Ratio,
	}
}
