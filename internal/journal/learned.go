package journal

import (
	"time"

	"github.com/oriolepond/oriolepond/internal/interference"
	"github.com/oriolepond/oriolepond/internal/journal/journalpb"
	"github.com/oriolepond/oriolepond/internal/placement"
	"github.com/oriolepond/oriolepond/pkg/share"
)

// Budget holds the times of the evictions under a yield rule in the last hour.
type Budget struct {
	Rule      string
	Evictions []time.Time
}

// Learned holds what the planner has learned: the sizes of job families and their interference
// effects on services.
type Learned struct {
	Sizes   []placement.LearnedSize
	Effects []interference.LearnedEffect
}

func encodeBudget(b Budget) *journalpb.Budget {
	m := &journalpb.Budget{Rule: b.Rule}
	for _, evictedAt := range b.Evictions {
		m.SpentMillis = append(m.SpentMillis, evictedAt.UnixMilli())
	}
	return m
}

func decodeBudget(m *journalpb.Budget) Budget {
	b := Budget{Rule: m.Rule}
	for _, at := range m.SpentMillis {
		b.Evictions = append(b.Evictions, time.UnixMilli(at))
	}
	return b
}

func encodeLearned(l Learned) *journalpb.Learned {
	m := &journalpb.Learned{}
	for _, s := range l.Sizes {
		m.Sizes = append(m.Sizes, &journalpb.LearnedSize{Family: s.Family, Peak: encodeSize(s.Peak), Count: int64(s.Count)})
	}
	for _, e := range l.Effects {
		m.Effects = append(m.Effects, &journalpb.LearnedEffect{
			Service:  e.Service,
			Family:   e.Family,
			Mean:     e.Mean,
			Variance: e.Variance,
			AtMillis: e.UpdatedAt.UnixMilli(),
		})
	}
	return m
}

func decodeLearned(m *journalpb.Learned) Learned {
	var l Learned
	for _, s := range m.Sizes {
		l.Sizes = append(l.Sizes, placement.LearnedSize{Family: s.Family, Peak: decodeSize(s.Peak), Count: int(s.Count)})
	}
	for _, e := range m.Effects {
		l.Effects = append(l.Effects, interference.LearnedEffect{
			Service:   e.Service,
			Family:    e.Family,
			Mean:      e.Mean,
			Variance:  e.Variance,
			UpdatedAt: time.UnixMilli(e.AtMillis),
		})
	}
	return l
}

func encodeSize(r share.Resources) *journalpb.Size {
	return &journalpb.Size{MilliCores: int64(r.Processors), Memory: int64(r.Memory), Accelerators: int64(r.Accelerators)}
}

func decodeSize(m *journalpb.Size) share.Resources {
	return share.Resources{
		Processors:   share.MilliCores(m.GetMilliCores()),
		Memory:       share.Bytes(m.GetMemory()),
		Accelerators: share.Accelerators(m.GetAccelerators()),
	}
}
