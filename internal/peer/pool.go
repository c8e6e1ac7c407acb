package peer

import (
	"fmt"
	"sync"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
)

// Pool keeps one connection to each peer address.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Conn returns the connection to an address, which is made at first use.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, fmt.Errorf("connect to peer %s: %w", address, err)
	}
	if p.conns == nil {
		p.conns = map[string]*grpc.ClientConn{}
	}
	p.conns[address] = c
	return c, nil
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}
