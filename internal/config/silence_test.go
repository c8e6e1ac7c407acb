package config_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

// A keeper whose open connections to the store have gone silent, and that has
// no peers, still learns of a new configuration in time over new connections.
func TestSilentConnectionsToTheStore(t *testing.T) {
	f := newFleet(t, 2)
	network := standin.NewNetwork()
	t.Cleanup(network.Close)
	address, err := network.Open("store", standin.Site{}, strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	silenced := f.keepers[1]
	silenced.Peers = nil
	silenced.Store = store.NewEtcd([]string{"http://" + address}, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}})
	run(t, silenced)
	mustApply(t, f.keepers[0], note(t, "first", floor))
	reach(t, silenced, 1)
	require.Positive(t, network.SilenceOpen(func(string) bool { return true }))
	mustApply(t, f.keepers[0], note(t, "second", `"changed": `+share("one", 9)))
	reach(t, silenced, 2)
}
