// Package roster reads the platform's list of instances: the entry instances of
// the system, the runners of services, and the workers. The list lags behind
// reality.
//
// # Usage
//
//	list := roster.List{Instances: instances, At: now}
//	for _, r := range list.OfKind(roster.KindRunner) {
//		// Route to r only while r.State is roster.Live.
//	}
package roster

import (
	"time"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Kind is the role of an instance.
type Kind string

// Kinds of instances. An entry instance accepts requests from callers, a runner serves
// the requests of a service, and a worker runs batch tasks and runners.
const (
	KindEntry  Kind = "entry"
	KindRunner Kind = "runner"
	KindWorker Kind = "worker"
)

// State is the state of an instance on the platform's list.
type State string

// States of an instance.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Instance is one row of the platform's list.
type Instance struct {
	ID      string
	Kind    Kind
	State   State
	Address string
	// PeerAddress is the address at which an entry instance serves its peers.
	PeerAddress string
	Region      string
	DataCentre  string
	Rack        string
	// Service, Worker, Slots and Connections are set for runners only.
	Service     string
	Worker      string
	Slots       int
	Connections int
	// Capacity is the total capacity of a worker.
	Capacity share.Resources
}

// List is the platform's list as it was read.
type List struct {
	Instances []Instance
	// ReadAt is when the list was read. The contents may be older.
	ReadAt time.Time
	// Version changes whenever Instances changes.
	Version uint64
}

// OfKind returns the instances of one kind, in the order of the list.
func (l List) OfKind(k Kind) []Instance {
	var matching []Instance
	for _, i := range l.Instances {
		if i.Kind == k {
			matching = append(matching, i)
		}
	}
	return matching
}

// Instance returns the instance with an id, and whether it is listed.
func (l List) Instance(id string) (Instance, bool) {
	for _, i := range l.Instances {
		if i.ID == id {
			return i, true
		}
	}
	return Instance{}, false
}
