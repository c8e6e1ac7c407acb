package main

import (
	"fmt"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/oklog/run"

	"github.com/oriolepond/oriolepond/internal/actor"
	"github.com/oriolepond/oriolepond/internal/intake"
)

// nodeListeners are the listeners of a node: for callers, readiness checks, other nodes and metrics.
type nodeListeners struct {
	front, ready, peer, metrics net.Listener
}

// listen opens the listeners. Metrics are served on the last port of the range that the platform leaves to
// the node.
func (n *node) listen() (nodeListeners, error) {
	var l nodeListeners
	s := n.settings
	for _, c := range []struct {
		address string
		to      *net.Listener
	}{
		{s.FrontAddress, &l.front},
		{s.ReadyAddress, &l.ready},
		{s.PeerAddress, &l.peer},
		{fmt.Sprintf("%s:%d", s.IP, s.LastPort), &l.metrics},
	} {
		var err error
		if *c.to, err = net.Listen("tcp", c.address); err != nil {
			return l, fmt.Errorf("listen: %w", err)
		}
	}
	return l, nil
}

// budget returns a budget of the node whose usage is reported.
func (n *node) budget(server string, l intake.Limits) *intake.Budget {
	return intake.New(server, l, n.metricSet, n.log)
}

// addProbeServer adds a server for probes, with limits of its own.
func (n *node) addProbeServer(g *run.Group, name string, s *http.Server, l net.Listener) {
	b := n.budget(name, intake.LimitsFor(n.settings.MemoryBytes, n.settings.MaxDescriptors).Probes)
	b.AttachProbes(s)
	actor.Server(g, s, b.Listen(l))
}

// metricsServer returns the server of the node's metrics.
func (n *node) metricsServer() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		n.metricSet.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
}
