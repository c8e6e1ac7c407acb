package clients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowdSize is the number of clients of a crowd, each with a connection of its own.
	crowdSize = 300
	// bodyBytes is the largest body that the configuration allows.
	bodyBytes = 1 << 20
	// crowdTimeout is how long a client tries to send.
	crowdTimeout = 15 * time.Second
)

// request is the beginning of a request of the crowd, up to the headers that describe the body.
type request string

// declared returns the header of a request whose body has bodyBytes bytes.
func (r request) declared() string { return fmt.Sprintf("%sContent-Length: %d\r\n\r\n", r, bodyBytes) }

// chunked returns the header of a request with a body in chunks.
func (r request) chunked() string { return string(r) + "Transfer-Encoding: chunked\r\n\r\n" }

// chunks returns n bytes of a body in chunks of a size, without the last chunk.
func chunks(n, size int) string {
	return strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("x", size)), n/size)
}

// behaviour is what the n-th client of a crowd sends.
type behaviour struct {
	name string
	send func(r request, n int) []string
}

var behaviours = []behaviour{
	{"large bodies", func(r request, _ int) []string {
		return []string{r.declared() + strings.Repeat("x", bodyBytes-1)}
	}},
	{"large bodies in pieces", func(r request, _ int) []string {
		pieces := []string{r.declared()}
		for range bodyBytes>>14 - 1 {
			pieces = append(pieces, strings.Repeat("x", 1<<14))
		}
		return append(pieces, strings.Repeat("x", 1<<14-1))
	}},
	{"large chunks", func(r request, _ int) []string { return []string{r.chunked() + chunks(bodyBytes, 1<<16)} }},
	{"small chunks", func(r request, _ int) []string { return []string{r.chunked() + chunks(bodyBytes/2, 2)} }},
	{"half headers and pipelined requests", func(r request, n int) []string {
		switch n % 4 {
		case 0:
			return []string{string(r) + "Filler: " + strings.Repeat("x", bodyBytes*7/8)}
		case 1:
			return []string{string(r) + strings.Repeat("Filler: x\r\n", bodyBytes/16)}
		case 2:
			return []string{strings.Repeat(string(r)+"Content-Length: 2\r\n\r\n{}", 8) + r.declared() + strings.Repeat("x", bodyBytes-1)}
		default:
			return []string{string(r) + "Content-Le", "ngth: 1048576\r\n\r\n", chunks(bodyBytes, 1<<16)}
		}
	}},
}

// gather lets a crowd connect to a port of the process and send. It returns when each client has sent what it can; the
// connections stay open until the test ends. Errors mean that a client was turned away.
func (p *process) gather(t *testing.T, port int, send func(n int) []string) {
	t.Helper()
	var all sync.WaitGroup
	for n := range crowdSize {
		all.Go(func() {
			conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", p.ip, port), crowdTimeout)
			if err != nil {
				p.turnedAway.Store(n, true)
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(crowdTimeout))
			for _, piece := range send(n) {
				if _, err := io.WriteString(conn, piece); err != nil {
					p.turnedAway.Store(n, true)
					return
				}
			}
			go func() {
				_ = conn.SetReadDeadline(time.Time{})
				_, _ = conn.Read(make([]byte, 1))
				p.turnedAway.Store(n, true)
			}()
		})
	}
	all.Wait()
	p.sample()
}
