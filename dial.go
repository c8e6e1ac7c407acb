package oriolepond

import (
	"net"
	"net/http"
	"time"
)

// The idle connections that are kept to one host of each kind.
const (
	idleStoreConns = 16
	idleListConns  = 1
)

const (
	// dialTimeout bounds the making of a connection.
	dialTimeout = time.Second
	// keepAliveInterval is how often an idle connection is probed.
	keepAliveInterval = 5 * time.Second
)

// dialer returns the dialer of all outgoing connections.
func (i *Instance) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	if ip := net.ParseIP(i.Settings.BindAddress); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// httpClient returns a client that keeps up to idle connections to each host.
func (i *Instance) httpClient(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         i.dialer().DialContext,
		MaxIdleConnsPerHost: idle,
		DisableCompression:  true,
	}}
}
