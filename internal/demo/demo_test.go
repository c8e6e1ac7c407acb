package demo

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/examples"
)

// A demonstration in this process breaks no rule, with either example.
func TestDemoKeepsTheRules(t *testing.T) {
	for _, e := range examples.All() {
		t.Run(e.Name, func(t *testing.T) {
			d := &Demo{Example: e, Length: time.Second, Seed: 1, Out: io.Discard}
			r, err := d.Run(context.Background())
			require.NoError(t, err)
			require.Empty(t, r.Broken())
			require.Positive(t, r.Answered)
			require.Positive(t, r.TasksFinished)
			require.Less(t, r.AccountErrorPercent, 0.1)
		})
	}
}
