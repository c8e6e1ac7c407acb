package shard

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/oriolepond/oriolepond/internal/task"
	"github.com/oriolepond/oriolepond/internal/worker"
)

type (
	wireTask struct {
		ID          string  `json:"id"`
		Job         string  `json:"job"`
		State       string  `json:"state"`
		Incarnation int64   `json:"incarnation"`
		Worker      string  `json:"worker,omitempty"`
		Checkpoint  string  `json:"checkpoint,omitempty"`
		Starts      int     `json:"starts"`
		Processor   int64   `json:"processorNanos"`
		Memory      float64 `json:"memoryByteSeconds"`
		Accelerator int64   `json:"acceleratorNanos"`
	}
	wireJob struct {
		ID        string     `json:"id"`
		Neighbour string     `json:"neighbour"`
		Share     string     `json:"share"`
		Name      string     `json:"name"`
		Key       string     `json:"key"`
		Tasks     []wireTask `json:"tasks"`
	}
	wireState struct {
		Next int64     `json:"next"`
		Jobs []wireJob `json:"jobs"`
	}
)

// Encode returns the state as the store keeps it.
func (c *Core) Encode() ([]byte, error) {
	w := wireState{Next: c.next, Jobs: []wireJob{}}
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		wj := wireJob{ID: j.ID, Neighbour: j.Neighbour, Share: j.Share, Name: j.Name, Key: j.Key}
		for _, t := range j.Tasks {
			wj.Tasks = append(wj.Tasks, encodeTask(c.tasks[t]))
		}
		w.Jobs = append(w.Jobs, wj)
	}
	return json.Marshal(w)
}

func encodeTask(t *task.Task) wireTask {
	return wireTask{
		ID:          t.ID,
		Job:         t.Job,
		State:       string(t.State),
		Incarnation: t.Incarnation,
		Worker:      t.Worker,
		Checkpoint:  t.Checkpoint,
		Starts:      t.Starts,
		Processor:   int64(t.Usage.Processor),
		Memory:      t.Usage.MemoryTime,
		Accelerator: int64(t.Usage.Accelerator),
	}
}

// Decode reads a state.
func Decode(text []byte) (*Core, error) {
	var w wireState
	if err := json.Unmarshal(text, &w); err != nil {
		return nil, fmt.Errorf("decode shard: %w", err)
	}
	c := NewCore()
	c.next = w.Next
	for _, wj := range w.Jobs {
		j := &Job{ID: wj.ID, Neighbour: wj.Neighbour, Share: wj.Share, Name: wj.Name, Key: wj.Key}
		for _, t := range wj.Tasks {
			j.Tasks = append(j.Tasks, t.ID)
			c.order = append(c.order, t.ID)
			c.tasks[t.ID] = decodeTask(t, j.ID)
		}
		c.jobs[j.ID] = j
		c.byKey[j.Neighbour+"/"+j.Key] = j.ID
	}
	return c, nil
}

func decodeTask(w wireTask, job string) *task.Task {
	return &task.Task{
		ID:          w.ID,
		JobID:       job,
		Job:         w.Job,
		State:       task.State(w.State),
		Incarnation: w.Incarnation,
		Worker:      w.Worker,
		Checkpoint:  w.Checkpoint,
		Starts:      w.Starts,
		Usage: worker.Usage{
			Processor:   time.Duration(w.Processor),
			MemoryTime:  w.Memory,
			Accelerator: time.Duration(w.Accelerator),
		},
	}
}
