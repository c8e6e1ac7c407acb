package oriolepond

import (
	"fmt"
	"net"
)

// Addresses are where an instance listens.
type Addresses struct {
	Front, Peer, Admin string
}

type listeners struct {
	front, peer, admin net.Listener
}

func (i *Instance) listen() (listeners, error) {
	var l listeners
	var err error
	for _, each := range []struct {
		address string
		to      *net.Listener
	}{{i.Settings.Listen, &l.front}, {i.Settings.PeerListen, &l.peer}, {i.Settings.AdminListen, &l.admin}} {
		if *each.to, err = net.Listen("tcp", each.address); err != nil {
			return l, fmt.Errorf("listen: %w", err)
		}
	}
	i.Settings.Advertise = advertised(i.Settings.Advertise, l.front)
	i.Settings.PeerAdvertise = advertised(i.Settings.PeerAdvertise, l.peer)
	return l, nil
}

// advertised returns the address for others; port 0 stands for the one that was given.
func advertised(address string, l net.Listener) string {
	host, port, err := net.SplitHostPort(address)
	if err != nil || port != "0" {
		return address
	}
	_, given, _ := net.SplitHostPort(l.Addr().String())
	return net.JoinHostPort(host, given)
}

func (l listeners) addresses() Addresses {
	return Addresses{Front: l.front.Addr().String(), Peer: l.peer.Addr().String(), Admin: l.admin.Addr().String()}
}
