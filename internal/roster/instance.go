// Package roster holds the platform's lagging list of instances: the entry
// instances of the system, the runners of services, and the workers.
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

// Kind is what an instance does.
type Kind string

// The kinds of instances.
const (
	KindEntry  Kind = "entry"
	KindRunner Kind = "runner"
	KindWorker Kind = "worker"
)

// State is the state of an instance on the platform's list.
type State string

// The states of an instance.
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
	// PeerAddress is where an entry instance answers its peers.
	PeerAddress string
	Region      string
	DataCentre  string
	Rack        string
	// Service, Worker, Slots and Connections describe a runner.
	Service     string
	Worker      string
	Slots       int
	Connections int
	// Capacity is what a worker holds.
	Capacity share.Resources
}

// List is the platform's list as it was read.
type List struct {
	Instances []Instance
	// At is when the list was read; the list itself may lag behind that.
	At time.Time
	// Version changes whenever Instances do.
	Version uint64
}

// OfKind returns the instances of one kind, in the list's order.
func (l List) OfKind(k Kind) []Instance {
	var of []Instance
	for _, i := range l.Instances {
		if i.Kind == k {
			of = append(of, i)
		}
	}
	return of
}

// Instance returns the instance of that id, and whether it is listed.
func (l List) Instance(id string) (Instance, bool) {
	for _, i := range l.Instances {
		if i.ID == id {
			return i, true
		}
	}
	return Instance{}, false
}
