package membership

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// The keys of membership in the store.
const (
	Prefix       = "/oriolepond/membership/"
	MemberPrefix = Prefix + "member/"
	TableKey     = Prefix + "table"
)

// Peer is a registered entry instance.
type Peer struct {
	ID string
	// Member is its name in the grant table, new for each registration.
	Member     string
	Region     string
	DataCentre string
	// Address answers callers, PeerAddress peers.
	Address     string
	PeerAddress string
}

// registry is a copy of what the store holds of membership.
type registry struct {
	peers map[string]Peer
	table grant.Table
	// revision is that of the table's key.
	revision int64
	// next is the store's revision after the snapshot that the copy began with.
	next int64
}

// newRegistry reads a snapshot of Prefix.
func newRegistry(s store.Snapshot) (*registry, error) {
	r := &registry{peers: map[string]Peer{}, next: s.Revision + 1}
	for _, e := range s.Entries {
		if err := r.put(e); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// apply takes an update of a watch, and reports whether it changed anything.
func (r *registry) apply(u store.Update) (bool, error) {
	changed := false
	for _, c := range u.Changes {
		if c.Entry.Revision < r.next {
			continue
		}
		changed = true
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

// names returns the member names that are registered.
func (r *registry) names() map[string]bool {
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

// memberSeparator stands between an instance's id and the rest of its member name.
const memberSeparator = "~"

// IDOf returns the id of the instance behind a member name.
func IDOf(member string) string {
	id, _, _ := strings.Cut(member, memberSeparator)
	return id
}
