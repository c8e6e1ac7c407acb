package operate

import (
	"github.com/oriolepond/oriolepond/internal/shard"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// WireEntry is one entry of a report, as the API writes it.
type WireEntry struct {
	Action    string   `json:"action"`
	Kind      string   `json:"kind"`
	Name      string   `json:"name"`
	Outcome   string   `json:"outcome"`
	Reason    string   `json:"reason,omitempty"`
	PendingOn []string `json:"pendingOn,omitempty"`
}

// WireReport is the report of a note, as the API writes it.
type WireReport struct {
	Note     string      `json:"note"`
	Revision int64       `json:"revision"`
	Entries  []WireEntry `json:"entries"`
}

// WireAccount is the usage of one share, as the API writes it.
type WireAccount struct {
	Neighbour          string  `json:"neighbour"`
	Share              string  `json:"share"`
	ProcessorSeconds   float64 `json:"processorSeconds"`
	MemoryByteSeconds  float64 `json:"memoryByteSeconds"`
	AcceleratorSeconds float64 `json:"acceleratorSeconds"`
	OpenTasks          int     `json:"openTasks"`
}

func encodeReport(r release.Report) WireReport {
	w := WireReport{Note: r.Note, Revision: r.Revision, Entries: []WireEntry{}}
	for _, e := range r.Entries {
		w.Entries = append(w.Entries, WireEntry{
			Action:    string(e.Action),
			Kind:      string(e.Kind),
			Name:      e.Name,
			Outcome:   string(e.Outcome),
			Reason:    e.Reason,
			PendingOn: e.PendingOn,
		})
	}
	return w
}

func encodeAccounts(all []shard.Account) []WireAccount {
	w := []WireAccount{}
	for _, a := range all {
		w = append(w, WireAccount{
			Neighbour:          a.Neighbour,
			Share:              a.Share,
			ProcessorSeconds:   a.Usage.Processor.Seconds(),
			MemoryByteSeconds:  a.Usage.MemoryTime,
			AcceleratorSeconds: a.Usage.Accelerator.Seconds(),
			OpenTasks:          a.OpenTasks,
		})
	}
	return w
}
