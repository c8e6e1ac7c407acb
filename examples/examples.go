// Package examples holds the release notes and the layouts of two
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

// DataCentre is a data centre within its region.
type DataCentre struct {
	Name   string
	Region string
}

// Call is a kind of request that the deployment's callers make.
type Call struct {
	Token string
	// Path is the whole path of the request.
	Path string
	// Keyed requests are not idempotent.
	Keyed bool
}

// Example is one deployment.
type Example struct {
	Name string
	// Note is the text of its first release note, and Next that of its second.
	Note []byte
	Next []byte
	// Settings is the text of the settings of one entry instance.
	Settings    []byte
	DataCentres []DataCentre
	Service     string
	// Runners is the number of runners, each with Slots and Connections.
	Runners     int
	Slots       int
	Connections int
	// Workers is the number of workers, WorkersPerRack of them to a rack.
	Workers        int
	WorkersPerRack int
	Worker         share.Resources
	Calls          []Call
	// Job is the batch job family that JobToken's neighbour submits.
	Job      string
	JobToken string
}

// All returns the examples.
func All() []Example {
	return []Example{bajio(), cairo()}
}

// Find returns the example of that name, and whether there is one.
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
