package oriolepond_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// endBound is far above the time that an end takes, and far below the two
// minutes for which a server would wait for a silent peer's greeting.
const endBound = 30 * time.Second

// A peer's connection that is silent from the start does not hold up an end.
func TestSilentPeerDoesNotHoldUpTheEnd(t *testing.T) {
	p := newPond(t, 1)
	m := p.instances[0]
	c, err := net.Dial("tcp", m.addresses.Peer)
	require.NoError(t, err)
	defer c.Close()
	// The server has greeted, so that it waits for this end's greeting.
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
	m.server.Abort()
	select {
	case <-m.done:
	case <-time.After(endBound):
		t.Fatal("the instance did not end")
	}
}
