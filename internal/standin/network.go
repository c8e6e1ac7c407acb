package standin

import (
	"fmt"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Site is where a process stands.
type Site struct {
	Region     string
	DataCentre string
}

// Network is a fault-injecting proxy in front of endpoints on loopback. It
// knows where a connection comes from by its source address, adds the latency
// and the bandwidth between the sites, and can silence or split them.
type Network struct {
	// Latency returns the one-way latency between two sites; nil means none.
	Latency func(from, to Site) time.Duration
	// LinkBitsPerSecond bounds the traffic between two regions each way; zero means no bound.
	LinkBitsPerSecond int

	mu        sync.Mutex
	sites     map[string]Site // By source address.
	endpoints map[string]*endpoint
	flows     map[*flow]struct{}
	links     map[[2]string]*rate.Limiter
	carried   map[string]int64 // By endpoint, both ways.
	isolated  map[string]bool  // Source addresses and endpoint names that reach nothing.
	split     bool
	harm      func(source, endpoint string) PathFault
}

// PathFault is what a path does to the connections that it carries.
type PathFault struct {
	// Delay is added each way.
	Delay time.Duration
	// StallToTarget holds what callers send, HoldBack what they are sent, until the
	// harm is over: packets are lost and sent again.
	StallToTarget bool
	StallToCaller bool
}

type endpoint struct {
	name     string
	site     Site
	target   string
	listener net.Listener
}

// NewNetwork returns a network without endpoints.
func NewNetwork() *Network {
	return &Network{
		sites:     map[string]Site{},
		endpoints: map[string]*endpoint{},
		flows:     map[*flow]struct{}{},
		links:     map[[2]string]*rate.Limiter{},
		carried:   map[string]int64{},
		isolated:  map[string]bool{},
	}
}

// Place says where the process with a source address stands.
func (n *Network) Place(address string, s Site) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sites[address] = s
}

// Open puts a proxy in front of a target and returns the proxy's address.
func (n *Network) Open(name string, s Site, target string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("proxy for %s: %w", name, err)
	}
	e := &endpoint{name: name, site: s, target: target, listener: l}
	n.mu.Lock()
	n.endpoints[name] = e
	n.mu.Unlock()
	go n.accept(e)
	return l.Addr().String(), nil
}

// Close ends all proxies and their connections.
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

// BlackholeOpen makes the connections to endpoints of which match holds go
// silent for good; new connections work. It returns how many it silenced.
func (n *Network) BlackholeOpen(match func(endpoint string) bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for f := range n.flows {
		if match(f.endpoint.name) {
			f.silent.Store(true)
			count++
		}
	}
	return count
}

// ResetOpen resets the connections for which match holds, and returns their number.
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

// SetPathFaults tells the harm of each path from now on, also for open connections; nil means none.
func (n *Network) SetPathFaults(harm func(source, endpoint string) PathFault) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.harm = harm
	for f := range n.flows {
		f.setHarm(n.harmOf(f))
	}
}

// harmOf returns the harm of a connection's path; n.mu is held.
func (n *Network) harmOf(f *flow) PathFault {
	if n.harm == nil {
		return PathFault{}
	}
	return n.harm(f.source, f.endpoint.name)
}

// SetSplit parts the regions: traffic between them gets lost without a sign.
func (n *Network) SetSplit(split bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.split = split
	n.silenceBlocked()
}

// SetIsolated cuts a process off: nothing from its source address, or to the
// endpoints that it owns, gets through.
func (n *Network) SetIsolated(isolated bool, address string, endpoints ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range append(endpoints, address) {
		n.isolated[name] = isolated
	}
	n.silenceBlocked()
}

// silenceBlocked silences the open connections that could not be made now; n.mu is held.
func (n *Network) silenceBlocked() {
	for f := range n.flows {
		if n.blocked(f.source, f.endpoint) {
			f.silent.Store(true)
		}
	}
}

// blocked reports whether no traffic gets from a source to an endpoint; n.mu is held.
func (n *Network) blocked(source string, e *endpoint) bool {
	if n.isolated[source] || n.isolated[e.name] {
		return true
	}
	from, known := n.sites[source]
	return n.split && known && from.Region != e.site.Region
}

// path is the way between two sites, one direction.
type path struct {
	latency time.Duration
	limiter *rate.Limiter
}

// pathBetween returns the way from one site to another; n.mu is held.
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
		l = rate.NewLimiter(rate.Limit(n.LinkBitsPerSecond/8), flowBuffer*2)
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

func (n *Network) accept(e *endpoint) {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go n.connect(e, c)
	}
}

// connect joins a caller to the endpoint's target.
func (n *Network) connect(e *endpoint, caller net.Conn) {
	source := sourceOf(caller)
	f := &flow{
		endpoint: e, source: source, caller: caller, network: n, done: make(chan struct{}), changed: make(chan struct{}),
	}
	n.mu.Lock()
	f.harm = n.harmOf(f)
	f.silent.Store(n.blocked(source, e))
	from, known := n.sites[source]
	if !known {
		from = e.site
	}
	there, back := n.pathBetween(from, e.site), n.pathBetween(e.site, from)
	n.flows[f] = struct{}{}
	n.mu.Unlock()
	f.run(there, back)
	n.mu.Lock()
	delete(n.flows, f)
	n.mu.Unlock()
}

// Carried returns the bytes carried both ways for the endpoints of which match holds.
func (n *Network) Carried(match func(endpoint string) bool) int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for name, bytes := range n.carried {
		if match(name) {
			sum += bytes
		}
	}
	return sum
}

// count adds to the bytes of an endpoint.
func (n *Network) count(e *endpoint, bytes int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.carried[e.name] += int64(bytes)
}
