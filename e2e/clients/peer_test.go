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
	dataFrame, headersFrame, settingsFrame = 0, 1, 4

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

// peerCall begins a call that submits a job to another node.
func peerCall() string {
	fields := ""
	for _, f := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", jobpb.Jobs_Submit_FullMethodName}, {":authority", "a"}, {"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		fields += "\x00" + string(rune(len(f[0]))) + f[0] + string(rune(len(f[1]))) + f[1]
	}
	return "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + frame(settingsFrame, 0, 0, "") + frame(headersFrame, endHeaders, 1, fields) + frame(dataFrame, 0, 1, messageStart)
}

// Guards against a node that exceeds its memory because messages on the port for other nodes stop short of their end.
func TestNodePeerMessages(t *testing.T) {
	p, _ := startNode(t, peerMaxFds)
	piece := frame(dataFrame, 0, 1, strings.Repeat("x", pieceBytes))
	p.gather(t, nodePeerPort, func(int) []string { return append([]string{peerCall()}, slices.Repeat([]string{piece}, pieces)...) })
	p.requireServed(t, func() (int, error) { return submit(p, 2) })
	p.requireWithin(t, peerMaxFds)
}
