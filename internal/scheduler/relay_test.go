package scheduler

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/batch"
)

// Relays may accept a job, and must not make the outcome of a refused one unknown unless a call was sent.
func TestOutcomeOfRelays(t *testing.T) {
	unavailable, unknown := &UnavailableError{Reason: "no"}, &UnknownOutcomeError{Err: errUnreachable}
	var errSilent error = &UnknownOutcomeError{Err: errors.New("nothing is answered")}
	unreachable, noQueue := &UnreachableError{Err: errUnreachable}, &batch.NoQueueError{Queue: "review"}
	for _, c := range []struct {
		name   string
		relays []error
		want   error
	}{
		{name: "no relay", want: new(UnavailableError)},
		{name: "refused", relays: []error{unavailable, unavailable}, want: new(UnavailableError)},
		{name: "not reachable", relays: []error{unreachable, unreachable}, want: new(UnavailableError)},
		{name: "silent", relays: []error{errSilent, errSilent}, want: new(UnavailableError)},
		{name: "accepted by the last", relays: []error{unreachable, unavailable, nil}},
		{name: "accepted after an unknown outcome", relays: []error{unknown, nil}},
		{name: "unknown, then refused", relays: []error{unknown, unavailable}, want: new(UnknownOutcomeError)},
		{name: "refused, then unknown", relays: []error{unavailable, unknown}, want: new(UnknownOutcomeError)},
		{name: "no such queue", relays: []error{unreachable, noQueue}, want: new(batch.NoQueueError)},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cl := newCluster(t, time.Second, "w1")
				defer cl.stop()
				a := cl.addNode("a")
				time.Sleep(4 * time.Second)
				for i := range c.relays {
					a.Peers = append(a.Peers, string(rune('p'+i)))
				}
				a.Peer = func(address string, _ int) (*Calls, error) {
					result := c.relays[address[0]-'p']
					return &Calls{
						State: func(ctx context.Context, _ string) (batch.State, bool, error) {
							if result == errSilent {
								<-ctx.Done()
								return "", false, &UnknownOutcomeError{Err: ctx.Err()}
							}
							return "", false, &NotLeaderError{}
						},
						Relay: func(context.Context, batch.Job) error { return result },
					}, nil
				}
				cl.store.update(func(s *fakeStore) { s.refuseAll = true })
				sent := time.Now()
				err := submit(a, testJob(1, 1))
				require.Less(t, time.Since(sent), 1500*time.Millisecond)
				if c.want == nil {
					require.NoError(t, err)
					return
				}
				require.IsType(t, c.want, err)
			})
		})
	}
}
