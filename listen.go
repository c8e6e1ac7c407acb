package oriolepond

import (
	"fmt"
	"net"
)

// Addresses holds the addresses on which an instance listens for callers (Front), for
// other instances (Peer) and for operators (Admin).
type Addresses struct {
	Front, Peer, Admin string
}

type listeners struct {
	front, peer, admin net.Listener
}

// listen opens the listeners and fills in the advertised ports that were left to the system.
func (i *Instance) listen() (listeners, error) {
	var l listeners
	var err error
	for _, listener := range []struct {
		address string
		to      *net.Listener
	}{{i.Settings.Listen, &l.front}, {i.Settings.PeerListen, &l.peer}, {i.Settings.AdminListen, &l.admin}} {
		if *listener.to, err = net.Listen("tcp", listener.address); err != nil {
			return l, fmt.Errorf("listen: %w", err)
		}
	}
	i.Settings.Advertise = advertisedAddress(i.Settings.Advertise, l.front)
	i.Settings.PeerAdvertise = advertisedAddress(i.Settings.PeerAdvertise, l.peer)
	return l, nil
}

// advertisedAddress replaces port 0 of an address by the port that the system assigned to the listener.
func advertisedAddress(address string, l net.Listener) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, assigned, _ := net.SplitHostPort(l.Addr().String())
	return net.JoinHostPort(host, assigned)
}

func (l listeners) addresses() Addresses {
	return Addresses{Front: l.front.Addr().String(), Peer: l.peer.Addr().String(), Admin: l.admin.Addr().String()}
}
