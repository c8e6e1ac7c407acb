package membership

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// Keys of membership in the store.
const (
	Prefix       = "/oriolepond/membership/"
	MemberPrefix = Prefix + "member/"
	TableKey     = Prefix + "table"
)

// Peer is a registered entry instance.
type Peer struct {
	ID string
	// Member is the instance's name in the grant table. An instance that was removed from
	// the table registers under a new one.
	Member     string
	Region     string
	DataCentre string
	// Address is where the instance accepts requests from callers, and PeerAddress where it
	// accepts calls from peers.
	Address     string
	PeerAddress string
}

// registry is a copy of the membership keys in the store.
type registry struct {
	peers map[string]Peer
	table grant.Table
	// revision is the store revision of the table's key.
	revision int64
	// nextRevision is the revision that follows the last change in the copy, or the snapshot from
	// which it was made.
	nextRevision int64
}

// newRegistry decodes a snapshot of the keys under Prefix.
func newRegistry(s store.Snapshot) (*registry, error) {
	r := &registry{peers: map[string]Peer{}, nextRevision: s.Revision + 1}
	for _, e := range s.Entries {
		if err := r.put(e); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// apply applies an update from a watch, and reports whether it changed anything.
func (r *registry) apply(u store.Update) (bool, error) {
	changed, first := false, r.nextRevision
	for _, c := range u.Changes {
		if c.Entry.Revision < first {
			continue
		}
		changed = true
		r.nextRevision = max(r.nextRevision, c.Entry.Revision+1)
		if c.Deleted {
			delete(r.peers, strings.TrimPrefix(c.Entry.Key, MemberPrefix))
			continue
		}
		if err := r.put(c.Entry); err != nil {
			return true, err
		}
	}
	return changed, nil
}

func (r *registry) put(e store.Entry) error {
	if e.Key == TableKey {
		t, err := grant.Decode(e.Value)
		r.table, r.revision = t, e.Revision
		return err
	}
	p, err := decodePeer(e)
	r.peers[p.Member] = p
	return err
}

// memberNames returns the names of the registered members.
func (r *registry) memberNames() map[string]bool {
	names := make(map[string]bool, len(r.peers))
	for name := range r.peers {
		names[name] = true
	}
	return names
}

type wirePeer struct {
	ID          string `json:"id"`
	Region      string `json:"region"`
	DataCentre  string `json:"dataCentre"`
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
}

func encodePeer(p Peer) ([]byte, error) {
	return json.Marshal(wirePeer{
		ID: p.ID, Region: p.Region, DataCentre: p.DataCentre,
		Address: p.Address, PeerAddress: p.PeerAddress,
	})
}

func decodePeer(e store.Entry) (Peer, error) {
	var w wirePeer
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return Peer{}, fmt.Errorf("decode member %s: %w", e.Key, err)
	}
	return Peer{
		ID:          w.ID,
		Member:      strings.TrimPrefix(e.Key, MemberPrefix),
		Region:      w.Region,
		DataCentre:  w.DataCentre,
		Address:     w.Address,
		PeerAddress: w.PeerAddress,
	}, nil
}

// memberSeparator separates an instance's id from the random suffix of its member name.
const memberSeparator = "~"

// IDOf returns the id of the instance with a member name.
func IDOf(member string) string {
	id, _, _ := strings.Cut(member, memberSeparator)
	return id
}
