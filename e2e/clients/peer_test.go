package clients

import (
	"encoding/binary"
	"slices"
	"strings"
	"testing"

	"github.com/oriolepond/oriolepond/internal/peer/jobpb"
)

// The frames of HTTP/2 that the tests use, and the size and number of those with data.
const (
	dataFrame, headersFrame, settingsFrame, continuationFrame = 0, 1, 4, 9

	endHeaders   = 4
	pieces       = 60
	pieceBytes   = 1 << 14
	peerMaxFds   = 4100
	messageStart = "\x00\x00\x0f\xff\xff" // Announces a message of almost 1 MiB.
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload string) string {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	return string(binary.BigEndian.AppendUint32(append(head, flags), stream)) + payload
}

// connectionStart begins a connection to a node's port for other nodes.
func connectionStart() string {
	return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settingsFrame, 0, 0, "")
}

// field returns a header field.
func field(name, value string) string {
	return "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
}

// callFields returns the header of a call that submits a job to another node.
func callFields() string {
	return field(":method", "POST") + field(":scheme", "http") + field(":path", jobpb.Jobs_Submit_FullMethodName) +
		field(":authority", "a") + field("content-type", "application/grpc") + field("te", "trailers")
}

// peerCall begins a call and its message.
func peerCall(stream uint32) string {
	return frame(headersFrame, endHeaders, stream, callFields()) + frame(dataFrame, 0, stream, messageStart)
}

// peerCalls returns the beginnings of calls, each followed by frames with so many bytes of its message.
func peerCalls(calls, frames, bytes int) []string {
	sent := []string{connectionStart()}
	for n := range calls {
		stream := uint32(2*n + 1)
		sent = append(sent, peerCall(stream)+strings.Repeat(frame(dataFrame, 0, stream, strings.Repeat("x", bytes)), frames))
	}
	return sent
}

// Guards against a node that exceeds its memory because of what arrives on the port for other nodes, but is not
// complete.
func TestNodePeerMessages(t *testing.T) {
	for _, c := range []struct {
		name string
		send func() []string
	}{
		{"messages that stop short of their end", func() []string {
			piece := frame(dataFrame, 0, 1, strings.Repeat("x", pieceBytes))
			return append([]string{connectionStart() + peerCall(1)}, slices.Repeat([]string{piece}, pieces)...)
		}},
		{"messages within the windows of many calls", func() []string { return peerCalls(40, 3, pieceBytes) }},
		{"messages in frames of one byte", func() []string { return peerCalls(1, 100_000, 1) }},
		{"calls without a message", func() []string { return peerCalls(1000, 0, 0) }},
		{"large headers", func() []string {
			filler := strings.Repeat(field("filler", strings.Repeat("x", 100)), 150)
			start := connectionStart() + frame(headersFrame, 0, 1, callFields())
			return append([]string{start}, slices.Repeat([]string{frame(continuationFrame, 0, 1, filler)}, pieces)...)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := startNode(t, peerMaxFds)
			p.gather(t, nodePeerPort, func(int) []string { return c.send() })
			p.requireServed(t, func() (int, error) { return submit(p, 2) })
			p.requireWithin(t, peerMaxFds)
		})
	}
}
