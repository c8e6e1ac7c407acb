package config_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

// A keeper without peers, whose open connections to the store no longer deliver anything, still
// gets a new configuration in time, over new connections.
func TestUpdateArrivesAfterStoreConnectionsBecomeUnresponsive(t *testing.T) {
	f := newFleet(t, 2)
	network := standin.NewNetwork()
	t.Cleanup(network.Close)
	address, err := network.Open("store", standin.Site{}, strings.TrimPrefix(f.url, "http://"))
	require.NoError(t, err)
	isolated := f.keepers[1]
	isolated.Peers = nil
	isolated.Store = store.NewEtcd([]string{"http://" + address}, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}})
	run(t, isolated)
	mustApply(t, f.keepers[0], note(t, "first", floorBody))
	requireRevision(t, isolated, 1)
	require.Positive(t, network.BlackholeOpen(func(string) bool { return true }))
	mustApply(t, f.keepers[0], note(t, "second", `"changed": `+shareBody("one", 9)))
	requireRevision(t, isolated, 2)
}
