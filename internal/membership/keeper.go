// Package membership keeps an entry instance registered in the store under a
// lease, knows its peers, and keeps the grant table in step with them.
//
// # Usage
//
//	k := &membership.Keeper{Store: client, Self: self, TTL: 10 * time.Second, Log: log}
//	err := k.Run(ctx) // Until ctx ends, then it withdraws.
package membership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/store"
)

// The keys of membership in the store.
const (
	MemberPrefix = "/oriolepond/member/"
	TableKey     = "/oriolepond/grant"
)

// Peer is a registered entry instance.
type Peer struct {
	ID         string
	Region     string
	DataCentre string
	// Address answers callers, PeerAddress peers.
	Address     string
	PeerAddress string
}

// View is what an instance knows of membership.
type View struct {
	Peers []Peer
	Table grant.Table
}

// Peer returns the peer of that id, and whether it is registered.
func (v View) Peer(id string) (Peer, bool) {
	for _, p := range v.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// Keeper keeps one instance registered.
type Keeper struct {
	Store *store.Client
	Self  Peer
	TTL   time.Duration
	Log   *eventlog.Log
	// Changed is called after each change of the view; nil means nobody asks.
	Changed func(View)

	view  atomic.Pointer[View]
	lease atomic.Int64
}

// View returns what is known now.
func (k *Keeper) View() View {
	if v := k.view.Load(); v != nil {
		return *v
	}
	return View{}
}

// Lease returns the store lease of the registration, or zero.
func (k *Keeper) Lease() store.LeaseID { return store.LeaseID(k.lease.Load()) }

// renewalsPerTTL is how often a lease is renewed within its time to live.
const renewalsPerTTL = 5

// Run keeps the instance registered until the context ends, then withdraws it.
func (k *Keeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(k.TTL / renewalsPerTTL)
	defer ticker.Stop()
	for {
		if err := k.step(ctx); err != nil && ctx.Err() == nil {
			k.Log.Emit(eventlog.StoreUnavailable, zap.Error(err))
		}
		select {
		case <-ctx.Done():
			k.withdraw()
			return nil
		case <-ticker.C:
		}
	}
}

// step renews the registration, reads the view and mends the grant table.
func (k *Keeper) step(ctx context.Context) error {
	if err := k.renew(ctx); err != nil {
		return err
	}
	v, revision, err := k.read(ctx)
	if err != nil {
		return err
	}
	next, change := k.mend(v)
	if change {
		if err := k.write(ctx, next, revision); err != nil {
			return err
		}
		if v, _, err = k.read(ctx); err != nil {
			return err
		}
	}
	k.view.Store(&v)
	if k.Changed != nil {
		k.Changed(v)
	}
	return nil
}

func (k *Keeper) renew(ctx context.Context) error {
	if id := k.Lease(); id != 0 {
		err := k.Store.KeepAlive(ctx, id)
		var lapsed *store.LeaseLapsedError
		if !errors.As(err, &lapsed) {
			return err
		}
	}
	id, err := k.Store.GrantLease(ctx, k.TTL)
	if err != nil {
		return err
	}
	value, err := encodePeer(k.Self)
	if err != nil {
		return err
	}
	put := store.Put(MemberPrefix+k.Self.ID, value).WithLease(id)
	if _, err := k.Store.Commit(ctx, store.Txn{Then: []store.Op{put}}); err != nil {
		return err
	}
	k.lease.Store(int64(id))
	return nil
}

// read returns the view and the revision of the grant table's key.
func (k *Keeper) read(ctx context.Context) (View, int64, error) {
	members, err := k.Store.List(ctx, MemberPrefix)
	if err != nil {
		return View{}, 0, err
	}
	var v View
	for _, e := range members.Entries {
		p, err := decodePeer(e)
		if err != nil {
			return View{}, 0, err
		}
		v.Peers = append(v.Peers, p)
	}
	e, ok, err := k.Store.Read(ctx, TableKey)
	if err != nil || !ok {
		return v, 0, err
	}
	v.Table, err = grant.Decode(e.Value)
	return v, e.Revision, err
}

// mend returns the table that fits the registered peers, and whether it differs.
func (k *Keeper) mend(v View) (grant.Table, bool) {
	next := v.Table
	var gone []string
	for _, m := range next.Members {
		if _, ok := v.Peer(m.ID); !ok {
			gone = append(gone, m.ID)
		}
	}
	if len(gone) > 0 {
		next = next.Without(gone...)
	}
	if !next.Has(k.Self.ID) {
		next = next.With(grant.Member{ID: k.Self.ID, Region: k.Self.Region})
	}
	return next, next.Epoch != v.Table.Epoch
}

func (k *Keeper) write(ctx context.Context, t grant.Table, revision int64) error {
	value, err := grant.Encode(t)
	if err != nil {
		return err
	}
	_, err = k.Store.Commit(ctx, store.Txn{
		If:   []store.Condition{{Key: TableKey, Revision: revision}},
		Then: []store.Op{store.Put(TableKey, value)},
	})
	return err
}

// withdrawTimeout bounds the last call of a planned stop.
const withdrawTimeout = time.Second

func (k *Keeper) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), withdrawTimeout)
	defer cancel()
	if id := k.Lease(); id != 0 {
		_ = k.Store.RevokeLease(ctx, id)
	}
}

type wirePeer struct {
	Region      string `json:"region"`
	DataCentre  string `json:"dataCentre"`
	Address     string `json:"address"`
	PeerAddress string `json:"peerAddress"`
}

func encodePeer(p Peer) ([]byte, error) {
	return json.Marshal(wirePeer{Region: p.Region, DataCentre: p.DataCentre, Address: p.Address, PeerAddress: p.PeerAddress})
}

func decodePeer(e store.Entry) (Peer, error) {
	var w wirePeer
	if err := json.Unmarshal(e.Value, &w); err != nil {
		return Peer{}, fmt.Errorf("decode member %s: %w", e.Key, err)
	}
	return Peer{
		ID:          strings.TrimPrefix(e.Key, MemberPrefix),
		Region:      w.Region,
		DataCentre:  w.DataCentre,
		Address:     w.Address,
		PeerAddress: w.PeerAddress,
	}, nil
}
