package peer

import (
	"context"
	"fmt"
	"net"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Pool keeps one connection to each peer address.
type Pool struct {
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Conn returns the connection to an address. It is created at the first use.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(p.dial),
		grpc.WithStaticStreamWindowSize(windowBytes),
		grpc.WithStaticConnWindowSize(windowBytes))
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	if p.conns == nil {
		p.conns = map[string]*grpc.ClientConn{}
	}
	p.conns[address] = c
	return c, nil
}

func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	if p.Dial != nil {
		return p.Dial(ctx, "tcp", address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// Drop closes the connection to an address; the next use creates a new one.
func (p *Pool) Drop(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		_ = c.Close()
		delete(p.conns, address)
	}
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}
