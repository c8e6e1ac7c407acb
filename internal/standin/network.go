package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Site is the location of a process.
type Site struct {
	Region     string
	DataCentre string
}

// Network is a fault-injecting proxy in front of endpoints on loopback. It identifies
// the caller of a connection by the source address, adds the latency and limits the
// bandwidth between sites, and can blackhole connections or partition the regions.
type Network struct {
	// Latency returns the one-way latency between two sites; nil means none.
	Latency func(from, to Site) time.Duration
	// LinkBitsPerSecond limits the traffic between two regions, in each direction; zero means no limit.
	LinkBitsPerSecond int

	mu           sync.Mutex
	sites        map[string]Site // By source address.
	endpoints    map[string]*endpoint
	flows        map[*flow]struct{}
	links        map[[2]string]*rate.Limiter
	bytesCarried map[string]int64 // By endpoint, both directions.
	isolated     map[string]bool  // Source addresses and endpoint names that are cut off.
	partitioned  bool
	faultOf      func(source, endpoint string) PathFault
}

// PathFault is a fault on the path from a caller to an endpoint.
type PathFault struct {
	// Delay is added to the latency of each direction.
	Delay time.Duration
	// StallToTarget and StallToCaller stop the data of one direction until the fault
	// ends, and then deliver it, as when TCP packets are lost and retransmitted.
	StallToTarget bool
	StallToCaller bool
}

// endpoint is a named target with its proxy.
type endpoint struct {
	name     string
	site     Site
	target   string
	listener net.Listener
}

// NewNetwork returns a network without endpoints.
func NewNetwork() *Network {
	return &Network{
		sites:        map[string]Site{},
		endpoints:    map[string]*endpoint{},
		flows:        map[*flow]struct{}{},
		links:        map[[2]string]*rate.Limiter{},
		bytesCarried: map[string]int64{},
		isolated:     map[string]bool{},
	}
}

// SetSite sets the site of the process with a source address.
func (n *Network) SetSite(address string, s Site) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = s
}

// Open starts a proxy in front of a target and returns the proxy's address.
func (n *Network) Open(name string, s Site, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("proxy for %s: %w", name, err)
	}
	e := &endpoint{name: name, site: s, target: target, listener: l}
	n.mu.Lock()
	n.endpoints[name] = e
	n.mu.Unlock()
	go n.accept(e, l)
	return l.Addr().String(), nil
}

// Close stops all proxies and closes their connections.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, e := range n.endpoints {
		_ = e.listener.Close()
	}
	for f := range n.flows {
		f.close()
	}
}

// BlackholeOpen drops all further data on the open connections to matching endpoints;
// new connections work. It returns the number of connections.
func (n *Network) BlackholeOpen(match func(endpoint string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for f := range n.flows {
		if match(f.endpoint.name) {
			f.blackholed.Store(true)
			count++
		}
	}
	return count
}

// ResetOpen resets the open connections that match, and returns their number.
func (n *Network) ResetOpen(match func(source, endpoint string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for f := range n.flows {
		if match(f.source, f.endpoint.name) {
			f.reset()
			count++
		}
	}
	return count
}

// Refuse makes an endpoint refuse connections and resets its open ones, as a firewall that rejects
// does, until Accept is called. Its target runs on.
func (n *Network) Refuse(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if e, ok := n.endpoints[name]; ok {
		_ = e.listener.Close()
	}
	for f := range n.flows {
		if f.endpoint.name == name {
			f.reset()
		}
	}
}

// Accept ends the effect of Refuse.
func (n *Network) Accept(name string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	e, ok := n.endpoints[name]
	if !ok {
		return fmt.Errorf("no endpoint %s", name)
	}
	l, err := net.Listen("tcp", e.listener.Addr().String())
	if err != nil {
		return fmt.Errorf("proxy for %s: %w", name, err)
	}
	e.listener = l
	go n.accept(e, l)
	return nil
}

// SetPathFaults sets the function that returns the fault of each path, for open and for
// new connections; nil means no faults.
func (n *Network) SetPathFaults(faultOf func(source, endpoint string) PathFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faultOf = faultOf
	for f := range n.flows {
		f.setFault(n.faultFor(f))
	}
}

// faultFor returns the fault of a connection's path; n.mu is held.
func (n *Network) faultFor(f *flow) PathFault {
	if n.faultOf == nil {
		return PathFault{}
	}
	return n.faultOf(f.source, f.endpoint.name)
}

// SetPartitioned separates the regions: traffic between them is silently dropped.
func (n *Network) SetPartitioned(partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned = partitioned
	n.blackholeBlocked()
}

// SetIsolated cuts a process off: traffic from its source address, and to its endpoints, is silently dropped.
func (n *Network) SetIsolated(isolated bool, address string, endpoints ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range append(endpoints, address) {
		n.isolated[name] = isolated
	}
	n.blackholeBlocked()
}

// blackholeBlocked drops all further data on the open connections whose path is blocked; n.mu is held.
func (n *Network) blackholeBlocked() {
	for f := range n.flows {
		if n.blocked(f.source, f.endpoint) {
			f.blackholed.Store(true)
		}
	}
}

// blocked reports whether traffic from a source to an endpoint is dropped; n.mu is held.
func (n *Network) blocked(source string, e *endpoint) bool {
	if n.isolated[source] || n.isolated[e.name] {
		return true
	}
	from, known := n.sites[source]
	return n.partitioned && known && from.Region != e.site.Region
}

// path is one direction of the connection between two sites.
type path struct {
	latency time.Duration
	limiter *rate.Limiter
}

// pathBetween returns the path from one site to another; n.mu is held.
func (n *Network) pathBetween(from, to Site) path {
	var p path
	if n.Latency != nil {
		p.latency = n.Latency(from, to)
	}
	if from.Region == to.Region || n.LinkBitsPerSecond == 0 {
		return p
	}
	key := [2]string{from.Region, to.Region}
	l, ok := n.links[key]
	if !ok {
		l = rate.NewLimiter(rate.Limit(n.LinkBitsPerSecond/8), flowBufferBytes*2)
		n.links[key] = l
	}
	p.limiter = l
	return p
}

// sourceOf returns the source address of a connection without its port.
func sourceOf(c net.Conn) string {
	host, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	return host
}

// accept serves the connections to an endpoint until the listener is closed.
func (n *Network) accept(e *endpoint, l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go n.connect(e, c)
	}
}

// connect proxies one connection from a caller to the endpoint's target.
func (n *Network) connect(e *endpoint, caller net.Conn) {
	source := sourceOf(caller)
	f := &flow{
		endpoint: e, source: source, caller: caller, network: n, done: make(chan struct{}), changed: make(chan struct{}),
	}
	n.mu.Lock()
	f.fault = n.faultFor(f)
	f.blackholed.Store(n.blocked(source, e))
	from, known := n.sites[source]
	if !known {
		from = e.site
	}
	toTarget, toCaller := n.pathBetween(from, e.site), n.pathBetween(e.site, from)
	n.flows[f] = struct{}{}
	n.mu.Unlock()
	f.run(toTarget, toCaller)
	n.mu.Lock()
	delete(n.flows, f)
	n.mu.Unlock()
}

// BytesCarried returns the bytes carried in both directions for the matching endpoints.
func (n *Network) BytesCarried(match func(endpoint string) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for name, bytes := range n.bytesCarried {
		if match(name) {
			sum += bytes
		}
	}
	return sum
}

// addCarried adds to the bytes carried for an endpoint.
func (n *Network) addCarried(e *endpoint, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.bytesCarried[e.name] += int64(bytes)
}
