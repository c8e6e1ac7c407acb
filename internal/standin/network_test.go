package standin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against resets that deliver the data which a fault has held back.
func TestResetDropsStalledData(t *testing.T) {
	const connections = 200
	target, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer target.Close()
	var accepted atomic.Int32
	var received atomic.Int64
	var targets sync.WaitGroup
	targets.Go(func() {
		for range connections {
			c, err := target.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			targets.Go(func() {
				defer c.Close()
				n, _ := io.Copy(io.Discard, c) // Ends with the reset.
				received.Add(n)
			})
		}
	})
	network := NewNetwork()
	defer network.Close()
	address, err := network.Open("target", Site{}, target.Addr().String())
	require.NoError(t, err)
	network.SetPathFaults(func(string, string) PathFault { return PathFault{StallToTarget: true} })
	for range connections {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		defer c.Close()
		_, err = c.Write([]byte("x"))
		require.NoError(t, err)
	}
	isTarget := func(string) bool { return true }
	require.Eventually(t, func() bool {
		return network.BytesCarried(isTarget) == connections && accepted.Load() == connections
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, connections, network.ResetOpen(func(_, _ string) bool { return true }))
	targets.Wait()
	require.Zero(t, received.Load())
}
