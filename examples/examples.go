// Package examples contains the release notes, settings and layouts of two example
// deployments: a polishing shop (bajio) and a permit office (cairo).
//
// # Usage
//
//	e, ok := examples.Find("bajio")
//	note, err := release.Parse(e.Name, e.Note)
package examples

import (
	_ "embed"

	"github.com/oriolepond/oriolepond/pkg/share"
)

//go:embed bajio/note.jsonc
var bajioNote []byte

//go:embed cairo/note.jsonc
var cairoNote []byte

//go:embed bajio/next.jsonc
var bajioNext []byte

//go:embed cairo/next.jsonc
var cairoNext []byte

//go:embed bajio/settings.jsonc
var bajioSettings []byte

//go:embed cairo/settings.jsonc
var cairoSettings []byte

// DataCentre is a data centre and its region.
type DataCentre struct {
	Name   string
	Region string
}

// Call is a kind of request that the deployment's callers send.
type Call struct {
	Token string
	// Path is the path of the request's URL.
	Path string
	// Keyed requests are not idempotent and carry a key.
	Keyed bool
}

// Example describes one example deployment.
type Example struct {
	Name string
	// Note is the text of the first release note, and Next that of the second.
	Note []byte
	Next []byte
	// Settings is the text of an entry instance's settings file.
	Settings    []byte
	DataCentres []DataCentre
	Service     string
	// Runners is the number of runners, each of which has Slots slots and accepts Connections connections.
	Runners     int
	Slots       int
	Connections int
	// Workers is the number of workers, WorkersPerRack the number in each rack.
	Workers        int
	WorkersPerRack int
	// Worker is the capacity of each worker.
	Worker share.Resources
	Calls  []Call
	// Job is the batch job family that the neighbour with JobToken submits.
	Job      string
	JobToken string
}

// All returns all examples.
func All() []Example {
	return []Example{bajio(), cairo()}
}

// Find returns the example with the given name.
func Find(name string) (Example, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Example{}, false
}

func bajio() Example {
	return Example{
		Name:           "bajio",
		Note:           bajioNote,
		Next:           bajioNext,
		Settings:       bajioSettings,
		DataCentres:    []DataCentre{{"bajio-a", "bajio"}, {"bajio-b", "bajio"}, {"norte-a", "norte"}},
		Service:        "finish",
		Runners:        50,
		Slots:          8,
		Connections:    64,
		Workers:        50,
		WorkersPerRack: 8,
		Worker:         share.Resources{Processors: 32_000, Memory: 125e9},
		Calls: []Call{
			{Token: "floor-token", Path: "/s/finish/gloss/check"},
			{Token: "floor-token", Path: "/s/finish/slab/verdict", Keyed: true},
			{Token: "floor-token", Path: "/s/finish/edge/watch", Keyed: true},
		},
		Job:      "flatness-review",
		JobToken: "quality-token",
	}
}

func cairo() Example {
	return Example{
		Name:           "cairo",
		Note:           cairoNote,
		Next:           cairoNext,
		Settings:       cairoSettings,
		DataCentres:    []DataCentre{{"cairo-nasr", "cairo"}, {"cairo-giza", "cairo"}, {"aswan-yard", "upper-egypt"}},
		Service:        "permit-desk",
		Runners:        50,
		Slots:          8,
		Connections:    64,
		Workers:        50,
		WorkersPerRack: 8,
		Worker:         share.Resources{Processors: 64_000, Memory: 250e9},
		Calls: []Call{
			{Token: "clerks-token", Path: "/s/permit-desk/zoning/check"},
			{Token: "clerks-token", Path: "/s/permit-desk/dossier/fee", Keyed: true},
			{Token: "clerks-token", Path: "/s/permit-desk/file/watch", Keyed: true},
		},
		Job:      "archive-scan",
		JobToken: "filing-token",
	}
}
