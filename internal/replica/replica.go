// Package replica keeps a node's copy of one document of the store up to date:
// the operator's configuration, which may be large and which every node needs.
//
// # Usage
//
//	d := &replica.Document{Client: client, Prefix: "op/", IsKey: platform.IsConfig, Take: apply}
//	go d.Run(ctx)
//	age := d.Age()
package replica

import (
	"context"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/internal/steady"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Document is one key of the store as a node knows it. Its fields are set before Run.
type Document struct {
	Client *store.Client
	// Prefix is what the node follows, IsKey tells the document among its keys.
	Prefix string
	IsKey  func(key string) bool
	// Take is given each version that is newer than those before.
	Take func(value []byte, revision int64)
	// Lost is told of each failure, Back of the first answer after one; nil means nobody asks.
	Lost func(error)
	Back func()
	// Now is the steady time; nil means that of the machine.
	Now func() time.Time

	mu sync.Mutex
	// revision is that of the newest version which was taken.
	revision int64
	// heard is when the store last answered.
	heard time.Time
}

// gather spaces large versions that come in quick succession: short enough for
// the last one to be in force within 2.5 s.
const gather = 500 * time.Millisecond

// Run follows the document until the context ends.
func (d *Document) Run(ctx context.Context) error {
	f := &store.Follower{
		Client: d.Client, Prefix: d.Prefix, Gather: gather, Lost: d.Lost, Back: d.Back, Heard: d.noteHeard,
		Snapshot: func(s store.Snapshot) {
			for _, e := range s.Entries {
				d.take(e)
			}
		},
		Update: func(u store.Update) {
			for _, c := range u.Changes {
				if !c.Deleted {
					d.take(c.Entry)
				}
			}
		},
	}
	return f.Run(ctx)
}

// Age returns for how long the store has said nothing about the document, zero
// before its first answer.
func (d *Document) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.heard.IsZero() {
		return 0
	}
	return d.now().Sub(d.heard)
}

// take passes a version on if it is newer than those before.
func (d *Document) take(e store.Entry) {
	if !d.IsKey(e.Key) {
		return
	}
	d.mu.Lock()
	older := e.Revision <= d.revision
	d.revision = max(d.revision, e.Revision)
	d.mu.Unlock()
	if !older {
		d.Take(e.Value, e.Revision)
	}
}

func (d *Document) noteHeard() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.heard = d.now()
}

func (d *Document) now() time.Time {
	if d.Now == nil {
		return steady.Now()
	}
	return d.Now()
}
