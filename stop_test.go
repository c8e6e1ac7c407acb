package oriolepond_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// stopTimeout is far above the time that Abort takes, and far below the two minutes for
// which a server waits for the connection preface of an unresponsive peer.
const stopTimeout = 30 * time.Second

// A connection on which the peer never sends anything does not delay Abort.
func TestSilentPeerDoesNotHoldUpTheEnd(t *testing.T) {
	p := newDeployment(t, 1)
	m := p.instances[0]
	c, err := net.Dial("tcp", m.addresses.Peer)
	require.NoError(t, err)
	defer c.Close()
	// Once the server has sent its preface, it waits for the client's.
	_, err = c.Read(make([]byte, 1))
	require.NoError(t, err)
	m.server.Abort()
	select {
	case <-m.done:
	case <-time.After(stopTimeout):
		t.Fatal("Abort did not end the instance")
	}
}
