package operate

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/release"
)

// WireEntry is the JSON form of an entry of a release note and its outcome.
type WireEntry struct {
	Action    string   `json:"action"`
	Kind      string   `json:"kind"`
	Name      string   `json:"name"`
	Outcome   string   `json:"outcome,omitempty"`
	Reason    string   `json:"reason,omitempty"`
	PendingOn []string `json:"pendingOn,omitempty"`
}

// WireReport is the JSON form of the report on a release note.
type WireReport struct {
	Note     string      `json:"note"`
	Revision int64       `json:"revision"`
	Accepted *time.Time  `json:"accepted,omitempty"`
	Entries  []WireEntry `json:"entries"`
}

// WireRecord is the JSON form of an accepted note in a history.
type WireRecord struct {
	Note     string      `json:"note"`
	Digest   string      `json:"digest"`
	Revision int64       `json:"revision"`
	Accepted time.Time   `json:"accepted"`
	Entries  []WireEntry `json:"entries"`
}

// WireConflict is the JSON form of a conflict: an entry that another note changed first.
type WireConflict struct {
	Entry    WireEntry `json:"entry"`
	Other    string    `json:"other"`
	Revision int64     `json:"revision"`
}

// WireAccount is the JSON form of the usage of one share.
type WireAccount struct {
	Neighbour          string  `json:"neighbour"`
	Share              string  `json:"share"`
	ProcessorSeconds   float64 `json:"processorSeconds"`
	MemoryByteSeconds  float64 `json:"memoryByteSeconds"`
	AcceleratorSeconds float64 `json:"acceleratorSeconds"`
	Requests           int64   `json:"requests"`
	LinkBytes          int64   `json:"linkBytes"`
	// OpenTasks is the number of tasks that run or whose end was not reported. The
	// fields above do not include the usage of these tasks since their last report;
	// the fields below are upper bounds of it.
	OpenTasks              int     `json:"openTasks"`
	OpenProcessorSeconds   float64 `json:"openProcessorSeconds"`
	OpenMemoryByteSeconds  float64 `json:"openMemoryByteSeconds"`
	OpenAcceleratorSeconds float64 `json:"openAcceleratorSeconds"`
}

// WirePeriod is the JSON form of the usage in one period. The oldest kept period
// has no start, and the last period ends now.
type WirePeriod struct {
	Start time.Time     `json:"start,omitzero"`
	End   time.Time     `json:"end"`
	Rows  []WireAccount `json:"rows"`
}

// wireError is the JSON form of a refused call.
type wireError struct {
	Error     string         `json:"error"`
	Conflicts []WireConflict `json:"conflicts,omitempty"`
}

func encodeEntry(e release.Entry) WireEntry {
	return WireEntry{Action: string(e.Action), Kind: string(e.Kind), Name: e.Name}
}

func encodeReport(r release.Report) WireReport {
	w := WireReport{Note: r.Note, Revision: r.Revision, Entries: []WireEntry{}}
	if !r.Accepted.IsZero() {
		w.Accepted = &r.Accepted
	}
	for _, e := range r.Entries {
		entry := encodeEntry(e.Entry)
		entry.Outcome, entry.Reason, entry.PendingOn = string(e.Outcome), e.Reason, e.PendingOn
		w.Entries = append(w.Entries, entry)
	}
	return w
}

func encodeHistory(all []release.Record) []WireRecord {
	w := []WireRecord{}
	for _, r := range all {
		record := WireRecord{Note: r.Note, Digest: r.Digest, Revision: r.Revision, Accepted: r.Accepted}
		for _, e := range r.Entries {
			record.Entries = append(record.Entries, encodeEntry(e))
		}
		w = append(w, record)
	}
	return w
}

func encodeConflicts(all []release.Conflict) []WireConflict {
	var w []WireConflict
	for _, c := range all {
		w = append(w, WireConflict{Entry: encodeEntry(c.Entry), Other: c.Other, Revision: c.Revision})
	}
	return w
}

func encodeAccounts(all []Account) []WireAccount {
	w := []WireAccount{}
	for _, a := range all {
		w = append(w, WireAccount{
			Neighbour:          a.Neighbour,
			Share:              a.Share,
			ProcessorSeconds:   a.Usage.Processor.Seconds(),
			MemoryByteSeconds:  a.Usage.MemoryTime,
			AcceleratorSeconds: a.Usage.Accelerator.Seconds(),
			Requests:           a.Requests,
			LinkBytes:          a.LinkBytes,
			OpenTasks:          a.OpenTasks,

			OpenProcessorSeconds:   a.OpenAtMost.Processor.Seconds(),
			OpenMemoryByteSeconds:  a.OpenAtMost.MemoryTime,
			OpenAcceleratorSeconds: a.OpenAtMost.Accelerator.Seconds(),
		})
	}
	return w
}
