package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// A faulty runner never makes a wrong answer, and only safe work is repeated.
func TestFaultyRunnerNeverYieldsWrongAnswer(t *testing.T) {
	faults := []struct {
		name  string
		fault standin.RunnerFault
	}{
		{"crossed", standin.RunnerFault{Crossed: true}},
		{"cut", standin.RunnerFault{Cut: true}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			b := newFixture(t, 3, 4, 0)
			b.runners[0].SetFault(&f.fault)
			repeated := route(release.Idempotent)
			repeated.Retries = 2
			for n := range 10 {
				id := fmt.Sprint(f.name, n)
				a, err := b.Do(t.Context(), request(repeated, id))
				requireResponse(t, id, a, err)
			}
			once := route(release.NonIdempotent)
			once.Retries = 2
			broken := 0
			for n := range 20 {
				id := fmt.Sprint("once", f.name, n)
				a, err := b.Do(t.Context(), request(once, id))
				require.LessOrEqual(t, b.ledger.Runs(id), 1)
				if err != nil {
					requireOutcome(t, Unknown, err)
					broken++
					continue
				}
				requireResponse(t, id, a, err)
			}
			require.Less(t, broken, 20)
			b.requireDrained(t)
		})
	}
}

// The end of a request says whether it was run.
func TestOutcomeMatchesWhetherRequestRan(t *testing.T) {
	refusing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	dead := listen(t, refusing)
	cases := []struct {
		name     string
		address  func(t *testing.T) string
		deadline time.Duration
		outcome  Outcome
	}{
		{"refusing target", func(*testing.T) string { return dead }, testTimeout, NotRun},
		{"nobody listens", func(*testing.T) string { return "127.0.0.1:1" }, testTimeout, NotRun},
		{"silent target", func(t *testing.T) string { return rawTarget(t, neverAnswer) }, 500 * time.Millisecond, Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := newDispatcher([]target.Target{{ID: "x", Service: "s", Address: c.address(t), Slots: 1}})
			r := route(release.NonIdempotent)
			r.Deadline = c.deadline
			_, err := d.Do(t.Context(), request(r, "a"))
			requireOutcome(t, c.outcome, err)
		})
	}
}

// A retry that was refused does not hide that the first attempt may have run.
func TestRefusedRetryKeepsUnknownOutcome(t *testing.T) {
	silent := rawTarget(t, neverAnswer)
	d := newDispatcher([]target.Target{
		{ID: "silent", Service: "s", Address: silent, Slots: 1},
		{ID: "dead", Service: "s", Address: "127.0.0.1:1", Slots: 1, Region: "elsewhere"},
	})
	r := route(release.Idempotent)
	r.ProgressTimeout, r.Retries = 20*time.Millisecond, 1
	_, err := d.Do(t.Context(), request(r, "a"))
	requireOutcome(t, Unknown, err)
}

// Work that is safe to repeat leaves a silent target before the deadline.
func TestUnresponsiveTargetIsRetriedElsewhere(t *testing.T) {
	b := newFixture(t, 1, 4, 0)
	silent := target.Target{ID: "silent", Service: "s", Address: rawTarget(t, neverAnswer), Slots: 4}
	away := b.targets[0]
	away.Region = "elsewhere"
	b.Targets.Set([]target.Target{silent, away})
	r := route(release.Idempotent)
	r.ProgressTimeout, r.Retries = 500*time.Millisecond, 1
	a, err := b.Do(t.Context(), request(r, "a"))
	requireResponse(t, "a", a, err)
}

// A hedge answers in place of a stalled attempt, and no runner ever has more than its slots.
func TestHedgeAnswersForStalledTarget(t *testing.T) {
	b := newFixture(t, 4, 2, time.Millisecond)
	b.runners[0].SetFault(&standin.RunnerFault{Late: time.Hour})
	r := route(release.Idempotent)
	r.HedgeAfter = 100 * time.Millisecond
	for n := range 30 {
		id := fmt.Sprint(n)
		a, err := b.Do(t.Context(), request(r, id))
		requireResponse(t, id, a, err)
	}
	b.runners[0].SetFault(nil)
	b.requireDrained(t)
	require.Zero(t, b.ledger.Overcommits())
}

// Callers that leave, hedges and retries together overcommit no runner.
func TestNoOvercommitWhenCallersCancel(t *testing.T) {
	b := newFixture(t, 5, 2, 3*time.Millisecond)
	for n, r := range b.runners {
		random := rand.New(rand.NewPCG(1, uint64(n)))
		var mu sync.Mutex
		r.ServiceTime = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(random.ExpFloat64() * float64(3*time.Millisecond))
		}
	}
	r := route(release.Idempotent)
	r.HedgeAfter, r.Retries = 2*time.Millisecond, 2
	var group sync.WaitGroup
	for caller := range 40 {
		random := rand.New(rand.NewPCG(2, uint64(caller)))
		group.Go(func() {
			for n := range 50 {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(8000))*time.Microsecond)
				id := fmt.Sprint(caller, "-", n)
				a, err := b.Do(ctx, request(r, id))
				if err == nil && string(a.Body) != standin.AnswerTo(id, "body") {
					t.Error("the answer is not that of its request")
				}
				cancel()
			}
		})
	}
	group.Wait()
	b.requireDrained(t)
	require.Zero(t, b.ledger.Overcommits())
}

// A refusal comes at once, is true, and says when to come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	b := newFixture(t, 1, 1, time.Second)
	b.QueuedPerTarget = 2
	r := route(release.NonIdempotent)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for n := range 3 {
		group.Go(func() { _, _ = b.Do(ctx, request(r, fmt.Sprint("kept", n))) })
	}
	require.Eventually(t, func() bool {
		l := b.serviceState("s")
		l.mu.Lock()
		defer l.mu.Unlock()
		return l.queue.Len() == 2
	}, testTimeout, time.Millisecond)
	_, err := b.Do(t.Context(), request(r, "refused"))
	outcome := requireOutcome(t, NotRun, err)
	require.Positive(t, outcome.RetryAfter)
	require.Zero(t, b.ledger.Runs("refused"))
	cancel()
	group.Wait()
}

// A request that waits is served as soon as a slot is free, without the queue being looked at.
func TestFreedSlotGoesToWaitingRequest(t *testing.T) {
	b := newFixture(t, 1, 1, 5*time.Millisecond)
	r := route(release.NonIdempotent)
	var group sync.WaitGroup
	for n := range 10 {
		group.Go(func() {
			id := fmt.Sprint(n)
			a, err := b.Do(t.Context(), request(r, id))
			requireResponse(t, id, a, err)
		})
	}
	group.Wait()
	require.Zero(t, b.ledger.Overcommits())
}

// A key that may have run before is not run again, and a request that was not run frees its key.
func TestKeysAreBegunBeforeDispatch(t *testing.T) {
	b := newFixture(t, 1, 1, 0)
	begun := map[string]bool{}
	b.Keys = &Keys{
		Begin: func(_ context.Context, k Key) error {
			if begun[k.Value] {
				return &KeyTakenError{Key: k}
			}
			begun[k.Value] = true
			return nil
		},
		Finish: func(k Key, o Outcome) {
			if o == NotRun {
				delete(begun, k.Value)
			}
		},
	}
	q := request(route(release.NonIdempotent), "a")
	a, err := b.Do(t.Context(), q)
	requireResponse(t, "a", a, err)
	_, err = b.Do(t.Context(), q)
	requireOutcome(t, Unknown, err)
	require.Equal(t, 1, b.ledger.Runs("a"))
	b.Targets.Set([]target.Target{{ID: "dead", Service: "s", Address: "127.0.0.1:1", Slots: 1}})
	_, err = b.Do(t.Context(), request(route(release.NonIdempotent), "b"))
	requireOutcome(t, NotRun, err)
	require.False(t, begun["b"])
}

// A stream that its target cuts ends in an error, not in an end.
func TestCutStreamEndsInError(t *testing.T) {
	b := newFixture(t, 1, 1, 0)
	r := route(release.Stream)
	q := request(r, "a")
	q.Path = "/watch"
	var whole strings.Builder
	require.NoError(t, b.Stream(t.Context(), q, collect(&whole)))
	require.Equal(t, standin.StreamParts, strings.Count(whole.String(), standin.AnswerTo("a", "body")))
	b.runners[0].SetFault(&standin.RunnerFault{Cut: true})
	var part strings.Builder
	err := b.Stream(t.Context(), q, collect(&part))
	var cut *CutError
	require.ErrorAs(t, err, &cut)
	b.requireDrained(t)
}

// Attempts at targets that fail everything do not multiply in overload.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	b := newFixture(t, 2, 4, 0)
	for _, r := range b.runners {
		r.SetFault(&standin.RunnerFault{Crossed: true})
	}
	r := route(release.Idempotent)
	r.Retries = 5
	const requests = 500
	attempts := 0
	for n := range requests {
		id := fmt.Sprint(n)
		_, err := b.Do(t.Context(), request(r, id))
		requireOutcome(t, Unknown, err)
		attempts += b.ledger.Runs(id)
	}
	require.LessOrEqual(t, float64(attempts), requests*(1+budgetRatio)+budgetBurst)
}
