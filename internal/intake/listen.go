package intake

import (
	"context"
	"net"
	"syscall"
)

// socketBytes is the size of the receive buffer of a caller's connection, which limits what the operating
// system holds of a request that has not been read.
const socketBytes = 16 << 10

// ListenTCP listens for callers at an address (host:port). The connections have small receive buffers, if
// the operating system allows it.
func ListenTCP(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBytes)
		})
	}}
	return c.Listen(context.Background(), "tcp", address)
}
