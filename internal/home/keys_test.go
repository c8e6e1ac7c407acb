package home_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/grant"
	"github.com/oriolepond/oriolepond/internal/home"
)

const region = "cairo"

var start = time.UnixMilli(1_800_000_000_000)

// keyAt returns a UUID of version 7 with the given timestamp.
func keyAt(timestamp time.Time, n int) home.Key {
	h := fmt.Sprintf("%012x", timestamp.UnixMilli())
	return home.Key{Scope: "desk", Value: fmt.Sprintf("%s-%s-7000-8000-%012x", h[:8], h[8:], n)}
}

// newHome returns the only member of a region, which became the home of all keys at start.
func newHome() *home.Keys {
	k := home.NewKeys("a", region)
	k.Observe(grant.Table{}.With(grant.Member{ID: "a", Region: region}))
	k.Settle(start)
	return k
}

// A new home runs a key at once only if its timestamp is certainly later than the takeover of the
// keys, and not in the future. Older keys may have run elsewhere, and keys without a timestamp have
// to be journaled first.
func TestBeginVerdictByKeyTime(t *testing.T) {
	later := start.Add(time.Minute)
	cases := []struct {
		name string
		key  home.Key
		want home.Kind
	}{
		{"fresh", keyAt(later, 1), home.Run},
		{"before the takeover", keyAt(start.Add(-time.Second), 1), home.Unknown},
		{"just after the takeover", keyAt(start.Add(home.ClockBound), 1), home.Unknown},
		{"from the future", keyAt(later.Add(2*home.ClockBound), 1), home.Ahead},
		{"without a timestamp", home.Key{Value: "order-17"}, home.JournalFirst},
		{"version 4", home.Key{Value: "6f0f8b0a-2f4e-4c1c-9e57-0a2b6c9d8e11"}, home.JournalFirst},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, newHome().Begin(c.key, later).Kind)
		})
	}
}

// A repeated key runs again only if its first request did not run.
func TestRepeatedKeyIsNotRunAgain(t *testing.T) {
	k, now := newHome(), start.Add(time.Minute)
	key := keyAt(now, 1)
	require.Equal(t, home.Run, k.Begin(key, now).Kind)
	require.Equal(t, home.Unknown, k.Begin(key, now).Kind)
	k.Undo(key)
	require.Equal(t, home.Run, k.Begin(key, now).Kind)
	require.Equal(t, home.Unknown, k.Begin(key, now.Add(2*home.Retention)).Kind, "a key older than the retention must not run")
	require.Zero(t, k.Len())
}

// The number of remembered keys is limited, and a key that was forgotten does not run again.
func TestForgottenKeysAreNotRunAgain(t *testing.T) {
	k, now := newHome(), start.Add(time.Minute)
	for n := range home.MaxKeys + 10 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		k.Begin(keyAt(at, n), at)
	}
	require.LessOrEqual(t, k.Len(), home.MaxKeys+1)
	at := now.Add((home.MaxKeys + 10) * time.Millisecond)
	require.Equal(t, home.Unknown, k.Begin(keyAt(now, 0), at).Kind)
}

// While a table change is not settled, neither the previous nor the next home begins a key.
func TestNoHomeBeginsKeyDuringTableChange(t *testing.T) {
	a, b := grant.Member{ID: "a", Region: region}, grant.Member{ID: "b", Region: region}
	alone := grant.Table{}.With(a)
	both := alone.With(b)
	now := start.Add(time.Minute)
	key := home.Key{}
	for n := 0; key.Value == ""; n++ {
		if candidate := keyAt(now, n); both.Owner(candidate.Name(), region) == "b" {
			key = candidate
		}
	}
	previous, next := newHome(), home.NewKeys("b", region)
	previous.Observe(both)
	next.Observe(both)
	require.Equal(t, home.Verdict{Kind: home.Elsewhere, Home: "b"}, previous.Begin(key, now))
	require.Equal(t, home.NotYet, next.Begin(key, now).Kind)
	next.Settle(now)
	require.Equal(t, home.Unknown, next.Begin(key, now).Kind, "the previous home may have begun it")
}

func BenchmarkBegin(b *testing.B) {
	k := newHome()
	b.ReportAllocs()
	now := start.Add(time.Minute)
	for n := 0; b.Loop(); n++ {
		k.Begin(keyAt(now, n), now)
	}
}
