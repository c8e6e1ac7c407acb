package intake

import "encoding/binary"

// The parts of HTTP/2 that are looked at; see RFC 9113.
const (
	clientPreface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

	dataFrame, headersFrame, resetFrame = 0, 1, 3

	endStream, padded = 1, 8

	frameHeaderLen = 9
)

// frames splits one direction of an HTTP/2 connection into frames, however its bytes arrive.
type frames struct {
	// skip is the number of bytes that come before the first frame.
	skip int
	// onFrame is called for each header of a frame, onData for each part of the data of a DATA frame.
	onFrame func(kind, flags byte, stream uint32)
	onData  func(stream uint32, data []byte)

	head    [frameHeaderLen]byte
	headLen int
	// left is the number of bytes that follow of the payload, padding how many of them are padding at its end.
	left, padding int
	// padLength means that the next byte of the payload is the length of the padding.
	padLength bool
}

// pass passes bytes, and returns how many of them are data.
func (f *frames) pass(p []byte) (data int) {
	n := min(f.skip, len(p))
	f.skip -= n
	for p = p[n:]; len(p) > 0; {
		if f.headLen < frameHeaderLen {
			n := copy(f.head[f.headLen:], p)
			f.headLen += n
			p = p[n:]
			if f.headLen == frameHeaderLen {
				f.begin()
			}
			continue
		}
		n := min(f.left, len(p))
		data += f.payload(p[:n])
		p = p[n:]
		f.advance(n)
	}
	return data
}

func (f *frames) kind() byte { return f.head[3] }

func (f *frames) stream() uint32 { return binary.BigEndian.Uint32(f.head[5:]) &^ (1 << 31) }

// begin begins the payload of a frame.
func (f *frames) begin() {
	f.left, f.padding = int(binary.BigEndian.Uint32(f.head[:])>>8), 0
	f.padLength = f.kind() == dataFrame && f.head[4]&padded != 0
	f.onFrame(f.kind(), f.head[4], f.stream())
	f.advance(0)
}

// advance records bytes of the payload that have been passed.
func (f *frames) advance(n int) {
	if f.left -= n; f.left == 0 {
		f.headLen = 0
	}
}

// payload passes a part of the payload and returns how many bytes of it are data.
func (f *frames) payload(p []byte) int {
	if f.kind() != dataFrame || f.onData == nil {
		return 0
	}
	left := f.left
	if f.padLength {
		f.padLength, f.padding = false, int(p[0])
		p, left = p[1:], left-1
	}
	n := max(0, min(len(p), left-f.padding))
	if n > 0 {
		f.onData(f.stream(), p[:n])
	}
	return n
}
