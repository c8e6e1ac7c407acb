package release_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/pkg/release"
)

func TestExamplesSurviveEncodingAndParsing(t *testing.T) {
	for _, e := range examples.All() {
		t.Run(e.Name, func(t *testing.T) {
			note, err := release.Parse(e.Name, e.Note)
			require.NoError(t, err)
			config, report := release.Apply(release.Config{}, note)
			require.False(t, report.Refused())
			text, err := release.EncodeConfig(config)
			require.NoError(t, err)
			again, err := release.ParseConfig("config", text)
			require.NoError(t, err)
			require.Equal(t, config, again)
		})
	}
}

func TestNextNoteOfEachExampleFitsTheFirst(t *testing.T) {
	for _, e := range examples.All() {
		t.Run(e.Name, func(t *testing.T) {
			first, err := release.Parse(e.Name, e.Note)
			require.NoError(t, err)
			config, _ := release.Apply(release.Config{}, first)
			next, err := release.Parse(e.Name, e.Next)
			require.NoError(t, err)
			require.NoError(t, release.Check(e.Name, config, next))
		})
	}
}

func TestRefusedNoteChangesNothing(t *testing.T) {
	note, err := release.Parse("bajio", examples.All()[0].Note)
	require.NoError(t, err)
	config, _ := release.Apply(release.Config{}, note)
	again, report := release.Apply(config, note)
	require.True(t, report.Refused())
	require.Equal(t, config, again)
}
