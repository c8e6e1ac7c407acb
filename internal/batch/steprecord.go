package batch

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// wireStep is the stored form of a step.
type wireStep struct {
	Tasks          int      `json:"tasks"`
	MilliCores     int64    `json:"milliCores,omitempty"`
	MemoryBytes    int64    `json:"memoryBytes,omitempty"`
	Accelerators   int64    `json:"accelerators,omitempty"`
	EstimateMs     int64    `json:"estimateMillis,omitempty"`
	After          []int    `json:"after,omitempty"`
	Traits         []string `json:"traits,omitempty"`
	RequiredLabel  string   `json:"requiredLabel,omitempty"`
	PreferredRack  string   `json:"preferredRack,omitempty"`
	MaxPerWorker   int      `json:"maxPerWorker,omitempty"`
	Image          string   `json:"image,omitempty"`
	TailTargetMs   int64    `json:"tailTargetMillis,omitempty"`
	MaxUnavailable int      `json:"mayMiss,omitempty"`
}

// The names of step traits in records.
const (
	traitCheckpoints = "checkpoints"
	traitGang        = "gang"
	traitSameRack    = "sameRack"
	traitSpeculative = "speculative"
	traitLongRunning = "longRunning"
	traitFiller      = "fills"
)

func encodeSteps(steps []Step) []wireStep {
	var encoded []wireStep
	for _, s := range steps {
		encoded = append(encoded, encodeStep(s))
	}
	return encoded
}

func encodeStep(s Step) wireStep {
	w := wireStep{
		Tasks: s.Tasks, MilliCores: int64(s.Size.Processors), MemoryBytes: int64(s.Size.Memory),
		Accelerators: int64(s.Size.Accelerators), EstimateMs: s.Estimate.Milliseconds(), After: s.After,
		RequiredLabel: s.RequiredLabel, PreferredRack: s.PreferredRack, MaxPerWorker: s.MaxPerWorker,
		Image: s.Image, TailTargetMs: s.TailTarget.Milliseconds(), MaxUnavailable: s.MaxUnavailable,
	}
	for _, t := range s.traits() {
		if *t.flag {
			w.Traits = append(w.Traits, t.name)
		}
	}
	return w
}

type trait struct {
	name string
	flag *bool
}

func (s *Step) traits() []trait {
	return []trait{
		{traitCheckpoints, &s.Checkpoints},
		{traitGang, &s.Gang},
		{traitSameRack, &s.SameRack},
		{traitSpeculative, &s.Speculative},
		{traitLongRunning, &s.LongRunning},
		{traitFiller, &s.Filler},
	}
}

func decodeStep(w wireStep) Step {
	s := Step{
		Tasks: w.Tasks,
		Size: share.Resources{
			Processors: share.MilliCores(w.MilliCores), Memory: share.Bytes(w.MemoryBytes),
			Accelerators: share.Accelerators(w.Accelerators),
		},
		Estimate: time.Duration(w.EstimateMs) * time.Millisecond, After: w.After,
		RequiredLabel: w.RequiredLabel, PreferredRack: w.PreferredRack, MaxPerWorker: w.MaxPerWorker,
		Image: w.Image, TailTarget: time.Duration(w.TailTargetMs) * time.Millisecond, MaxUnavailable: w.MaxUnavailable,
	}
	for _, t := range s.traits() {
		for _, name := range w.Traits {
			if name == t.name {
				*t.flag = true
			}
		}
	}
	return s
}
