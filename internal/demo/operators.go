package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/oriolepond/oriolepond/examples"
	"github.com/oriolepond/oriolepond/internal/operate"
)

const (
	// raceRounds is the number of times that two operators apply notes at once.
	raceRounds = 3
	// inForceLimit is the time after acceptance within which all instances must use a note.
	inForceLimit = 5 * time.Second
	// revertChecks is the number of checks, after a note took effect, that each instance
	// still uses it.
	revertChecks = 20
)

// operatorRace lets two operators apply notes at once. It checks with callers' requests
// that each accepted note takes effect on every instance in time, and that no instance
// reverts to an older configuration.
func (d *Demo) operatorRace(ctx context.Context) error {
	for round := range raceRounds {
		var group sync.WaitGroup
		failures := make(chan error, 2)
		for operator := range 2 {
			group.Go(func() { failures <- d.addNeighbour(ctx, round, operator) })
		}
		group.Wait()
		close(failures)
		for err := range failures {
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// addNeighbour applies a note with a new neighbour and checks when it takes effect.
func (d *Demo) addNeighbour(ctx context.Context, round, operator int) error {
	token := fmt.Sprintf("race-%d-%d", round, operator)
	sum := sha256.Sum256([]byte(token))
	note := fmt.Appendf(nil, `{"name": %q, "added": {"neighbours": [{"name": %q, "tokenHash": %q, "region": %q}]}}`,
		"note-"+token, token, hex.EncodeToString(sum[:]), d.Example.DataCentres[0].Region)
	if err := d.applyUntilAccepted(ctx, note, operator); err != nil {
		return err
	}
	accepted := time.Now()
	for _, i := range d.running() {
		if err := d.awaitToken(ctx, i, token, accepted); err != nil {
			return err
		}
	}
	for range revertChecks {
		for _, i := range d.running() {
			if known, err := d.acceptsToken(ctx, i, token); err == nil && !known {
				d.counts.reverts.Add(1)
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return nil
}

// applyUntilAccepted applies a note, and repeats that after a conflict or an outage.
func (d *Demo) applyUntilAccepted(ctx context.Context, note []byte, operator int) error {
	ctx, cancel := context.WithTimeout(ctx, outcomeTimeout)
	defer cancel()
	for n := operator; ; n++ {
		client := operate.Client{Address: d.anyReady(n).admin(), Token: operatorToken}
		_, _, err := client.Apply(ctx, note)
		var refused *operate.CallError
		if err == nil || (errors.As(err, &refused) && refused.Status == http.StatusBadRequest) {
			return err
		}
		if sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("apply a note: %w", err)
		}
	}
}

// awaitToken waits until an instance accepts a token. It records the time that this
// took since the acceptance of the note, or since the end of a fault that cut the
// instance off from the store. Terminated instances are skipped.
func (d *Demo) awaitToken(ctx context.Context, i *instance, token string, accepted time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, accepted.Add(outcomeTimeout))
	defer cancel()
	for {
		known, err := d.acceptsToken(ctx, i, token)
		if err == nil && known {
			if !i.cutOff.Load() {
				d.counts.recordInForce(i.sinceConnected(accepted))
			}
			return nil
		}
		select {
		case <-i.ended:
			return nil
		default:
		}
		if sleep(ctx, pollInterval) != nil {
			return fmt.Errorf("instance %s does not accept the token after %v", i.id, time.Since(accepted))
		}
	}
}

// acceptsToken reports whether an instance accepts a caller's token. It sends a request to
// a service that does not exist.
func (d *Demo) acceptsToken(ctx context.Context, i *instance, token string) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	call := examples.Call{Token: token, Path: "/s/none/none"}
	status, _, err := d.post(ctx, i, call, "", "1", "", "")
	return status != http.StatusUnauthorized, err
}
