// Package socket looks at sockets without reading from them.
package socket

import (
	"errors"
	"syscall"

	"golang.org/x/sys/unix"
)

// IsReadable reports whether bytes, or the end of the stream, wait at a connection to be read, or
// connections at a listener to be accepted. It is false for those without a socket.
func IsReadable(source any) bool {
	s, ok := source.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	readable := false
	// An error means that the socket is closed.
	_ = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(fds, 0)
		for errors.Is(err, unix.EINTR) {
			n, err = unix.Poll(fds, 0)
		}
		readable = err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
	})
	return readable
}
