package entry

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/internal/exchange"
	"github.com/oriolepond/oriolepond/internal/intake"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/target"
	"github.com/oriolepond/oriolepond/pkg/release"
)

// If a runner returns truncated responses or those of other requests, no caller gets a wrong
// response, idempotent requests succeed at a retry, and others run at most once.
func TestFaultyRunnerNeverYieldsWrongAnswer(t *testing.T) {
	faults := []struct {
		name  string
		fault standin.RunnerFault
	}{
		{"crossed", standin.RunnerFault{Crossed: true}},
		{"cut", standin.RunnerFault{Truncate: true}},
	}
	for _, f := range faults {
		t.Run(f.name, func(t *testing.T) {
			fx := newFixture(t, 3, 4, 0)
			fx.runners[0].SetFault(&f.fault)
			repeated := route(release.Idempotent)
			repeated.Retries = 2
			for n := range 10 {
				id := fmt.Sprint(f.name, n)
				a, err := fx.Do(t.Context(), request(repeated, id))
				requireResponse(t, id, a, err)
			}
			once := route(release.NonIdempotent)
			once.Retries = 2
			broken := 0
			for n := range 20 {
				id := fmt.Sprint("once", f.name, n)
				a, err := fx.Do(t.Context(), request(once, id))
				require.LessOrEqual(t, fx.ledger.Runs(id), 1)
				if err != nil {
					requireOutcome(t, Unknown, err)
					broken++
					continue
				}
				requireResponse(t, id, a, err)
			}
			require.Less(t, broken, 20)
			fx.requireDrained(t)
		})
	}
}

// The outcome is NotRun only if the target certainly did not run the request.
func TestOutcomeMatchesWhetherRequestRan(t *testing.T) {
	refusing := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(NotRun))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	refuser := listen(t, refusing)
	cases := []struct {
		name     string
		address  func(t *testing.T) string
		deadline time.Duration
		outcome  Outcome
	}{
		{"refusing target", func(*testing.T) string { return refuser }, testTimeout, NotRun},
		{"nobody listens", func(*testing.T) string { return "127.0.0.1:1" }, testTimeout, NotRun},
		{"unresponsive target", func(t *testing.T) string { return rawTarget(t, neverAnswer) }, 500 * time.Millisecond, Unknown},
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

// If the first attempt may have run, a refused retry must not turn the outcome into NotRun.
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

// An idempotent request leaves an unresponsive target before its deadline and is retried at
// another one.
func TestUnresponsiveTargetIsRetriedElsewhere(t *testing.T) {
	fx := newFixture(t, 1, 4, 0)
	silent := target.Target{ID: "silent", Service: "s", Address: rawTarget(t, neverAnswer), Slots: 4}
	away := fx.targets[0]
	away.Region = "elsewhere"
	fx.Targets.Set([]target.Target{silent, away})
	r := route(release.Idempotent)
	r.ProgressTimeout, r.Retries = 500*time.Millisecond, 1
	a, err := fx.Do(t.Context(), request(r, "a"))
	requireResponse(t, "a", a, err)
}

// Guards against an ejected target that stays out of use for as long as requests wait for the others.
func TestWaitingRequestProbesEjectedTarget(t *testing.T) {
	const ejection = time.Second
	fx := newFixture(t, 3, 1, 0)
	ejectedAt := time.Now().Add(100*time.Millisecond - ejection)
	for change := target.Unchanged; change == target.Unchanged; {
		slot, ok := fx.Targets.Acquire(target.Criteria{Service: "s", Now: ejectedAt})
		require.True(t, ok)
		change = fx.Targets.Report(slot, target.Failed, 0, ejectedAt)
		fx.Targets.Release(slot)
	}
	for range 2 {
		_, ok := fx.Targets.Acquire(anySlot("s"))
		require.True(t, ok)
	}
	svc := fx.serviceState("s")
	r := route(release.Idempotent)
	r.Deadline = 3 * time.Second
	q := request(r, "a")
	svc.mu.Lock()
	w, refused := fx.enqueue(svc, q, destinationFilter{})
	svc.mu.Unlock()
	require.Nil(t, refused)
	time.Sleep(time.Until(ejectedAt.Add(ejection)))
	fx.Wake("s")
	select {
	case dest := <-w.assigned:
		require.True(t, dest.slot.Probe)
	default:
		require.Fail(t, "the request still waits")
	}
}

// If a target stalls, the hedge responds instead, and no runner gets more requests than it has
// slots.
func TestHedgeAnswersForStalledTarget(t *testing.T) {
	fx := newFixture(t, 4, 2, time.Millisecond)
	fx.runners[0].SetFault(&standin.RunnerFault{Delay: time.Hour})
	r := route(release.Idempotent)
	r.HedgeAfter = 100 * time.Millisecond
	for n := range 30 {
		id := fmt.Sprint(n)
		a, err := fx.Do(t.Context(), request(r, id))
		requireResponse(t, id, a, err)
	}
	fx.runners[0].SetFault(nil)
	fx.requireDrained(t)
	require.Zero(t, fx.ledger.Overcommits())
}

// No runner gets more requests than it has slots while callers cancel, hedge and retry at random.
func TestNoOvercommitWhenCallersCancel(t *testing.T) {
	fx := newFixture(t, 5, 2, 3*time.Millisecond)
	for n, r := range fx.runners {
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
				a, err := fx.Do(ctx, request(r, id))
				if err == nil && string(a.Body) != standin.AnswerTo(id, "body") {
					t.Error("the response belongs to another request")
				}
				cancel()
			}
		})
	}
	group.Wait()
	fx.requireDrained(t)
	require.Zero(t, fx.ledger.Overcommits())
}

// A request beyond the queue limit is refused at once with a retry time, and is not run.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	fx := newFixture(t, 1, 1, time.Second)
	fx.QueuedPerTarget = 2
	r := route(release.NonIdempotent)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	for n := range 3 {
		group.Go(func() { _, _ = fx.Do(ctx, request(r, fmt.Sprint("kept", n))) })
	}
	require.Eventually(t, func() bool {
		svc := fx.serviceState("s")
		svc.mu.Lock()
		defer svc.mu.Unlock()
		return svc.queue.Len() == 2
	}, testTimeout, time.Millisecond)
	_, err := fx.Do(t.Context(), request(r, "refused"))
	outcome := requireOutcome(t, NotRun, err)
	require.Positive(t, outcome.RetryAfter)
	require.Zero(t, fx.ledger.Runs("refused"))
	cancel()
	group.Wait()
}

// A waiting request starts as soon as a slot is released; nothing polls the queue.
func TestFreedSlotGoesToWaitingRequest(t *testing.T) {
	fx := newFixture(t, 1, 1, 5*time.Millisecond)
	r := route(release.NonIdempotent)
	var group sync.WaitGroup
	for n := range 10 {
		group.Go(func() {
			id := fmt.Sprint(n)
			a, err := fx.Do(t.Context(), request(r, id))
			requireResponse(t, id, a, err)
		})
	}
	group.Wait()
	require.Zero(t, fx.ledger.Overcommits())
}

// A request whose key is already recorded does not run. A request that did not run frees its key.
func TestKeysAreBegunBeforeDispatch(t *testing.T) {
	fx := newFixture(t, 1, 1, 0)
	begun := map[string]bool{}
	fx.Keys = &Keys{
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
	a, err := fx.Do(t.Context(), q)
	requireResponse(t, "a", a, err)
	_, err = fx.Do(t.Context(), q)
	requireOutcome(t, Unknown, err)
	require.Equal(t, 1, fx.ledger.Runs("a"))
	fx.Targets.Set([]target.Target{{ID: "dead", Service: "s", Address: "127.0.0.1:1", Slots: 1}})
	_, err = fx.Do(t.Context(), request(route(release.NonIdempotent), "b"))
	requireOutcome(t, NotRun, err)
	require.False(t, begun["b"])
}

// A stream that its target cuts off must not look complete to the caller.
func TestTruncatedStreamEndsInError(t *testing.T) {
	fx := newFixture(t, 1, 1, 0)
	r := route(release.Stream)
	q := request(r, "a")
	q.Path = "/watch"
	var complete strings.Builder
	require.NoError(t, fx.Stream(t.Context(), q, collectStream(&complete)))
	require.Equal(t, standin.StreamParts, strings.Count(complete.String(), standin.AnswerTo("a", "body")))
	fx.runners[0].SetFault(&standin.RunnerFault{Truncate: true})
	var truncated strings.Builder
	err := fx.Stream(t.Context(), q, collectStream(&truncated))
	var cut *CutError
	require.ErrorAs(t, err, &cut)
	fx.requireDrained(t)
}

// If every attempt fails, retries stay within the retry budget, so that they cannot multiply an
// overload.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	fx := newFixture(t, 2, 4, 0)
	for _, r := range fx.runners {
		r.SetFault(&standin.RunnerFault{Crossed: true})
	}
	r := route(release.Idempotent)
	r.Retries = 5
	const requests = 500
	attempts := 0
	for n := range requests {
		id := fmt.Sprint(n)
		_, err := fx.Do(t.Context(), request(r, id))
		requireOutcome(t, Unknown, err)
		attempts += fx.ledger.Runs(id)
	}
	require.LessOrEqual(t, float64(attempts), requests*(1+budgetRatio)+budgetBurst)
}

// Guards against targets that are ejected for what this instance lacks.
func TestLimitsOfInstanceDoNotCountAgainstTargets(t *testing.T) {
	for _, c := range []struct {
		err  error
		want target.Result
	}{
		{&exchange.FullError{}, target.Abandoned},
		{&intake.FullError{Wanted: 1}, target.Abandoned},
		{&intake.ClosedError{}, target.Abandoned},
		{io.ErrUnexpectedEOF, target.Failed},
	} {
		require.Equal(t, c.want, (&requestRun{}).failureResult(t.Context(), 0, c.err), "%v", c.err)
	}
}
