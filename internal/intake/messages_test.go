package intake

import (
	"encoding/binary"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// frameOf returns an HTTP/2 frame.
func frameOf(kind, flags byte, stream uint32, payload string) string {
	head := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	return string(binary.BigEndian.AppendUint32(append(head, flags), stream)) + payload
}

// messageOf returns the beginning of a message that has size bytes, as far as sent bytes of it.
func messageOf(size, sent int) string {
	return "\x00" + string(binary.BigEndian.AppendUint32(nil, uint32(size))) + strings.Repeat("x", sent)
}

const prefixBytes = 5

// Guards against messages whose bytes are not counted, or are still counted after they have been handed on, by the
// frames of the connection.
func TestIncompleteMessagesAreHeld(t *testing.T) {
	const call = 1
	begin := frameOf(headersFrame, 0, call, "headers")
	for _, c := range []struct {
		name, in, out string
		// data is how many bytes of messages are held, pieces in how many pieces, calls of how many calls.
		data, pieces, calls int64
	}{
		{"nothing", "", "", 0, 0, 0},
		{"a call without a message", begin, "", 0, 0, 1},
		{"half a prefix", begin + frameOf(dataFrame, 0, call, "\x00\x00"), "", 2, 1, 1},
		{"half a message", begin + frameOf(dataFrame, 0, call, messageOf(100, 50)), "", prefixBytes + 50, 1, 1},
		{"half a message in frames", begin + frameOf(dataFrame, 0, call, messageOf(100, 25)) + frameOf(dataFrame, 0, call, "12345"), "", prefixBytes + 30, 2, 1},
		{"half a message with padding", begin + frameOf(dataFrame, padded, call, "\x03"+messageOf(100, 50)+"pad"), "", prefixBytes + 50, 1, 1},
		{"padding without data", begin + frameOf(dataFrame, padded, call, "\x03pad"), "", 0, 0, 1},
		{"a whole message", begin + frameOf(dataFrame, endStream, call, messageOf(100, 100)), "", 0, 0, 0},
		{"an empty message", begin + frameOf(dataFrame, endStream, call, messageOf(0, 0)), "", 0, 0, 0},
		{"a whole message and its end", begin + frameOf(dataFrame, 0, call, messageOf(9, 9)) + frameOf(dataFrame, endStream, call, ""), "", 0, 0, 0},
		{"data after a whole message", begin + frameOf(dataFrame, 0, call, messageOf(9, 9)) + frameOf(dataFrame, 0, call, "12345"), "", 5, 1, 0},
		{"trailers of a call", begin + frameOf(headersFrame, endStream, call, "trailers"), "", 0, 0, 1},
		{"two calls", begin + frameOf(headersFrame, 0, 3, "") + frameOf(dataFrame, 0, 3, messageOf(9, 5)), "", prefixBytes + 5, 1, 2},
		{"a call that was reset", begin + frameOf(dataFrame, 0, call, messageOf(100, 50)) + frameOf(resetFrame, 0, call, "code"), "", 0, 0, 0},
		{"a call that the server reset", begin + frameOf(dataFrame, 0, call, messageOf(100, 50)), frameOf(resetFrame, 0, call, "code"), 0, 0, 0},
		{"a call that the server refused", begin + frameOf(dataFrame, 0, call, messageOf(100, 50)), frameOf(headersFrame, endStream, call, "status"), 0, 0, 0},
		{"a call that the server ended", begin + frameOf(dataFrame, 0, call, messageOf(100, 50)), frameOf(dataFrame, endStream, call, ""), 0, 0, 0},
		{"a call that the server answers", begin + frameOf(dataFrame, 0, call, messageOf(100, 50)), frameOf(headersFrame, 0, call, "") + frameOf(dataFrame, 0, call, "x"), prefixBytes + 50, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := newMessages()
			m.in.pass([]byte(clientPreface + c.in))
			m.out.pass([]byte(c.out))
			require.Equal(t, c.data+frameBytes*c.pieces+streamBytes*c.calls, m.held)
		})
	}
}

// However the bytes of a connection are split, the same data of messages is held, and everything is given back
// once all calls have ended.
func TestMessagesArriveInAnyPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in, held := clientPreface, map[uint32]int{}
		for _, call := range rapid.SliceOfNDistinct(rapid.Uint32Range(0, 9), 1, 8, rapid.ID).Draw(t, "calls") {
			stream := 2*call + 1
			if rapid.Bool().Draw(t, "resets") {
				in += frameOf(resetFrame, 0, stream, "code")
			}
			size := rapid.IntRange(1, 200).Draw(t, "size")
			sent := rapid.IntRange(0, size).Draw(t, "sent")
			text := messageOf(size, sent)
			frames := frameOf(headersFrame, 0, stream, "h")
			for len(text) > 0 {
				n := rapid.IntRange(1, len(text)).Draw(t, "frame")
				pad := rapid.IntRange(0, 9).Draw(t, "padding")
				frames += frameOf(dataFrame, padded, stream, string(rune(pad))+text[:n]+strings.Repeat("p", pad))
				text = text[n:]
			}
			if in += frames; sent < size {
				held[stream] = prefixBytes + sent
			}
		}
		whole, split := newMessages(), newMessages()
		whole.in.pass([]byte(in))
		for rest := in; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			split.in.pass([]byte(rest[:n]))
			rest = rest[n:]
		}
		for _, m := range []*messages{whole, split} {
			sum := int64(0)
			for stream, g := range m.calls {
				sum += g.held
				require.Equal(t, held[stream] == 0, g.whole, "call %d", stream)
				if !g.whole {
					require.EqualValues(t, held[stream], g.prefixLen+int(binary.BigEndian.Uint32(g.prefix[1:]))-int(g.missing), "call %d", stream)
				}
			}
			require.Equal(t, sum, m.held)
			for stream := range m.calls {
				m.out.pass([]byte(frameOf(headersFrame, endStream, stream, "status")))
			}
			require.Zero(t, m.held)
			require.Empty(t, m.calls)
		}
	})
}

// Guards against a connection that keeps others from sending messages: it sends none for long, or one slowly.
func TestSlowMessagesMakeRoom(t *testing.T) {
	const limit = 1 << 20
	for _, c := range []struct {
		name string
		// perSecond is how much the connection sends in each second.
		perSecond int
		closed    bool
	}{{"stalled", 0, true}, {"trickling", messageProgress - 1, true}, {"steady", messageProgress, false}} {
		t.Run(c.name, func(t *testing.T) {
			now, closed := time.Unix(1_800_000_000, 0), false
			b := &Budget{Limits: Limits{Bytes: limit}, Now: func() time.Time { return now }}
			slow, err := b.Open(func() { closed = true })
			require.NoError(t, err)
			m := newMessages()
			require.NoError(t, m.received(slow, []byte(clientPreface+frameOf(headersFrame, 0, 1, "")+frameOf(dataFrame, 0, 1, messageOf(limit, limit/2)))))
			for range 3 {
				now = now.Add(time.Second)
				require.NoError(t, m.received(slow, []byte(frameOf(dataFrame, 0, 1, strings.Repeat("x", c.perSecond)))))
			}
			other, err := b.Open(func() {})
			require.NoError(t, err)
			require.Equal(t, c.closed, other.Take(limit) == nil)
			require.Equal(t, c.closed, closed)
		})
	}
}

// Guards against connections that wait for each other, since all hold parts of messages, until they are closed.
func TestPartsOfMessagesLeaveRoomForOne(t *testing.T) {
	const conns, size, piece = 4, 8 << 20, 1 << 15
	synctest.Test(t, func(t *testing.T) {
		b := &Budget{Limits: LimitsFor(MinMemory, 0).Peers}
		var all sync.WaitGroup
		for range conns {
			l, err := b.Open(func() {})
			require.NoError(t, err)
			l.messages = true
			all.Go(func() {
				m := newMessages()
				assert.NoError(t, m.received(l, []byte(clientPreface+frameOf(headersFrame, 0, 1, "")+frameOf(dataFrame, 0, 1, messageOf(size, 0)))))
				text := []byte(frameOf(dataFrame, 0, 1, strings.Repeat("x", piece)))
				for range size / piece {
					time.Sleep(time.Millisecond)
					assert.NoError(t, m.received(l, text))
				}
			})
		}
		all.Wait()
		require.Equal(t, Usage{Conns: conns}, b.Usage())
	})
}
