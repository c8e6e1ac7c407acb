package oriolepond

import (
	"net"
	"net/http"
	"time"
)

// Maximum numbers of idle connections that are kept open to each host.
const (
	idleStoreConns = 16
	idleListConns  = 1
)

const (
	// dialTimeout bounds the time to establish a connection.
	dialTimeout = time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes.
	keepAliveInterval = 5 * time.Second
)

// dialer returns the dialer for all outgoing connections. It binds to BindAddress if that is set.
func (i *Instance) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval}
	if ip := net.ParseIP(i.Settings.BindAddress); ip != nil {
		d.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return d
}

// httpClient returns a client that keeps up to idle unused connections open to each host.
func (i *Instance) httpClient(idle int) *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         i.dialer().DialContext,
		MaxIdleConnsPerHost: idle,
		DisableCompression:  true,
	}}
}
