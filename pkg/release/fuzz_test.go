package release_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// An accepted note keeps its digest when it is encoded and parsed again, is applied as a whole or
// not at all, and its configuration survives the split into chunks.
func FuzzParse(f *testing.F) {
	f.Add([]byte(firstNote))
	for _, e := range examples.All() {
		f.Add(e.Note)
	}
	f.Add([]byte(`{"name": "x", "withdrawn": {"shares": ["a", "a"]}}`))
	f.Add([]byte(`{"name": "x", "added": {"services": [{"routes": [{"path": "/a"}, {"path": "/ab"}]}]}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := release.Parse("fuzz", text)
		if err != nil {
			return
		}
		again, err := release.EncodeNote(n)
		require.NoError(t, err)
		m, err := release.Parse("again", again)
		require.NoError(t, err)
		d1, err := n.Digest()
		require.NoError(t, err)
		d2, err := m.Digest()
		require.NoError(t, err)
		require.Equal(t, d1, d2)
		c, report := release.Apply(release.Config{}, n)
		require.Equal(t, report.Refused(), c.Revision == 0)
		chunks, err := release.Chunks(c)
		require.NoError(t, err)
		var configs []release.Config
		for _, chunk := range chunks {
			if len(chunk) > 0 {
				config, err := release.ParseChunk(chunk)
				require.NoError(t, err)
				configs = append(configs, config)
			}
		}
		require.Equal(t, c, release.Join(c.Revision, configs))
	})
}
