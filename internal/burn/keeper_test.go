package burn_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/oriolepond/oriolepond/internal/burn"
	"github.com/oriolepond/oriolepond/internal/eventlog"
	"github.com/oriolepond/oriolepond/internal/standin"
	"github.com/oriolepond/oriolepond/internal/store"
)

// harness runs keepers on an in-memory store with a clock that the test sets, and
// records how many requests were served.
type harness struct {
	t      require.TestingT
	store  *standin.Store
	client *store.Client
	now    time.Time
	alive  map[string]bool
	// recorded counts all requests by slot, and lost those that a crash may have lost.
	recorded, lost map[int64]requestCounts
	// unwritten counts the requests of each keeper since its last successful flush.
	unwritten map[*burn.Keeper]map[int64]requestCounts
}

// requestCounts holds a number of requests and how many of them were late.
type requestCounts struct{ total, late int64 }

func (c requestCounts) plus(o requestCounts) requestCounts {
	return requestCounts{c.total + o.total, c.late + o.late}
}

func newHarness(t require.TestingT) *harness {
	s := standin.NewStore()
	return &harness{
		t: t, store: s, client: store.NewEtcd([]string{"http://store"}, &http.Client{Transport: handlerTransport{s}}),
		now: start, alive: map[string]bool{},
		recorded: map[int64]requestCounts{}, lost: map[int64]requestCounts{}, unwritten: map[*burn.Keeper]map[int64]requestCounts{},
	}
}

// handlerTransport calls a handler without a network. If the handler panics, the
// response is lost.
type handlerTransport struct{ handler http.Handler }

// RoundTrip calls the handler.
func (d handlerTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("no response")
		}
	}()
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

// keeper returns a new keeper and marks it as alive.
func (h *harness) keeper(id string) *burn.Keeper {
	h.alive[id] = true
	return &burn.Keeper{
		Recorder: burn.NewRecorder(), Store: h.client, ID: id, Log: eventlog.Discard(),
		Alive: func(id string) bool { return h.alive[id] },
		Now:   func() time.Time { return h.now },
	}
}

// request records n requests at a keeper, every second one late.
func (h *harness) request(k *burn.Keeper, n int) {
	if h.unwritten[k] == nil {
		h.unwritten[k] = map[int64]requestCounts{}
	}
	for i := range n {
		latency := time.Duration(1+i%2*300) * time.Millisecond
		k.Recorder.Record(h.now, sample(latency))
		counts := requestCounts{total: 1, late: int64(i % 2)}
		h.recorded[burn.SlotOf(h.now)] = h.recorded[burn.SlotOf(h.now)].plus(counts)
		h.unwritten[k][burn.SlotOf(h.now)] = h.unwritten[k][burn.SlotOf(h.now)].plus(counts)
	}
}

// flush flushes a keeper; afterwards a crash loses none of its counts so far.
func (h *harness) flush(k *burn.Keeper) error {
	err := k.Flush(context.Background())
	if err == nil {
		delete(h.unwritten, k)
	}
	return err
}

// crash terminates a keeper and marks its unwritten counts as lost.
func (h *harness) crash(k *burn.Keeper) {
	h.alive[k.ID] = false
	for index, c := range h.unwritten[k] {
		h.lost[index] = h.lost[index].plus(c)
	}
	delete(h.unwritten, k)
}

// stored returns the counts in the store by slot, and the result of ReadStored.
func (h *harness) stored() (map[int64]requestCounts, burn.Stored) {
	s, err := burn.ReadStored(context.Background(), h.client, h.now)
	require.NoError(h.t, err)
	decoded, err := s.Series()
	require.NoError(h.t, err)
	all := map[int64]requestCounts{}
	for _, series := range decoded {
		for _, slot := range series.Slots {
			all[slot.Index] = all[slot.Index].plus(requestCounts{slot.Latency.TotalCount() + slot.Unanswered, slot.Bad[burn.Target]})
		}
	}
	return all, s
}

// requireConsistent checks that for each kept slot the store holds the recorded
// counts, less at most those that crashes may have lost.
func (h *harness) requireConsistent() {
	got, _ := h.stored()
	for index := range got {
		require.Contains(h.t, h.recorded, index)
	}
	for index, c := range h.recorded {
		if index <= burn.SlotOf(h.now)-burn.KeptSlots {
			continue
		}
		lost := h.lost[index]
		require.LessOrEqual(h.t, got[index].total, c.total)
		require.LessOrEqual(h.t, got[index].late, c.late)
		require.GreaterOrEqual(h.t, got[index].total, c.total-lost.total)
		require.GreaterOrEqual(h.t, got[index].late, c.late-lost.late)
	}
}

// TestCountsSurviveInstances checks that the counts of terminated instances stay
// in the store. A planned stop loses none; a crash loses only unwritten counts and
// is listed as lost. Two readers get the same result.
func TestCountsSurviveInstances(t *testing.T) {
	h := newHarness(t)
	a, b, c := h.keeper("a"), h.keeper("b"), h.keeper("c")
	for _, k := range []*burn.Keeper{a, b, c} {
		h.request(k, 10)
		require.NoError(t, h.flush(k))
	}
	h.requireConsistent()
	_, stored := h.stored()
	require.Len(t, stored.Open, 3)
	written := h.now
	h.now = h.now.Add(time.Minute)
	h.request(a, 4)
	h.request(b, 6)
	h.crash(a)
	require.NoError(t, b.Finish(t.Context()))
	h.alive["b"] = false
	h.requireConsistent()
	got, _ := h.stored()
	require.Equal(t, requestCounts{36, 18}, got[burn.SlotOf(start)], "the crash lost 4 requests, the planned stop none")
	_, stored = h.stored()
	require.ElementsMatch(t, []burn.Gap{{Instance: "a", Since: written}, {Instance: "c", Since: written}}, stored.Open)
	for range 2 {
		require.NoError(t, c.Fold(t.Context()))
		h.requireConsistent()
	}
	_, stored = h.stored()
	require.Equal(t, []burn.Gap{{Instance: "a", Since: written}}, stored.Lost)
	require.Len(t, stored.Open, 1)
	_, other := h.stored()
	require.Equal(t, stored.Lost, other.Lost)
	h.requireConsistent()
}

// TestEndedSlotsMoveToSlotKeys checks that the counts of ended slots leave the
// instances' keys and stay in the store for all kept slots.
func TestEndedSlotsMoveToSlotKeys(t *testing.T) {
	h := newHarness(t)
	a, b := h.keeper("a"), h.keeper("b")
	for range burn.KeptSlots + 5 {
		for _, k := range []*burn.Keeper{a, b} {
			h.request(k, 4)
			require.NoError(t, k.Move(t.Context()))
			require.NoError(t, h.flush(k))
		}
		h.now = h.now.Add(burn.SlotLength)
	}
	h.requireConsistent()
	before := h.store.Counts().WriteBytes
	require.NoError(t, h.flush(a))
	require.Less(t, h.store.Counts().WriteBytes-before, int64(1000), "the instance's key holds only the open slots")
}

// TestFoldedLiveInstanceIsCountedOnce guards against counting requests twice if an
// instance is folded by mistake and goes on counting.
func TestFoldedLiveInstanceIsCountedOnce(t *testing.T) {
	h := newHarness(t)
	a, b := h.keeper("a"), h.keeper("b")
	for range 3 {
		h.request(a, 4)
		require.NoError(t, h.flush(a))
		h.request(a, 2)
		h.alive["a"] = false
		require.NoError(t, b.Fold(t.Context()))
		h.alive["a"] = true
		require.NoError(t, h.flush(a))
		h.requireConsistent()
	}
	h.now = h.now.Add(2 * burn.SlotLength)
	require.NoError(t, a.Move(t.Context()))
	h.requireConsistent()
}

// TestLostResponsesCountOnce guards against counting requests twice if the response
// to a write is lost, even if the write was the first one or was folded before
// it was retried.
func TestLostResponsesCountOnce(t *testing.T) {
	loseResponse := func(h *harness, call func() error) {
		h.store.SetLostAnswers(1, 1)
		require.Error(t, call())
		h.store.SetLostAnswers(0, 0)
	}
	cases := []struct {
		name   string
		first  bool
		folded bool
	}{{"later", false, false}, {"first", true, false}, {"later, then folded", false, true}, {"first, then folded", true, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t)
			a, b := h.keeper("a"), h.keeper("b")
			if !c.first {
				h.request(a, 4)
				require.NoError(t, h.flush(a))
			}
			h.request(a, 6)
			loseResponse(h, func() error { return a.Flush(context.Background()) })
			if c.folded {
				h.alive["a"] = false
				loseResponse(h, func() error { return b.Fold(context.Background()) })
				require.NoError(t, b.Fold(t.Context()))
				h.alive["a"] = true
			}
			h.request(a, 2)
			require.NoError(t, h.flush(a))
			h.requireConsistent()
			h.now = h.now.Add(2 * burn.SlotLength)
			loseResponse(h, func() error { return a.Move(context.Background()) })
			require.NoError(t, a.Move(t.Context()))
			require.NoError(t, a.Move(t.Context()))
			h.requireConsistent()
		})
	}
}

// TestCountsSurviveLongOutage checks that all counts reach the store after an outage
// of many slots, although the instance's key cannot hold them all at once.
func TestCountsSurviveLongOutage(t *testing.T) {
	h := newHarness(t)
	a := h.keeper("a")
	h.store.SetDown(true)
	for range burn.KeptSlots - 3 {
		for i := range 200 {
			s := sample(time.Millisecond)
			s.Neighbour = fmt.Sprint(i)
			a.Recorder.Record(h.now, s)
			h.recorded[burn.SlotOf(h.now)] = h.recorded[burn.SlotOf(h.now)].plus(requestCounts{total: 1})
		}
		require.Error(t, a.Flush(t.Context()))
		h.now = h.now.Add(burn.SlotLength)
	}
	h.store.SetDown(false)
	require.NoError(t, a.Finish(t.Context()))
	h.requireConsistent()
}

// TestEachRequestIsCountedOnce checks that under any sequence of failures each
// request is counted exactly once, except for those that a crash may have lost.
func TestEachRequestIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t)
		keepers := []*burn.Keeper{h.keeper("0"), h.keeper("1"), h.keeper("2")}
		nextID := len(keepers)
		pick := func(t *rapid.T) (int, *burn.Keeper) {
			n := rapid.IntRange(0, len(keepers)-1).Draw(t, "keeper")
			return n, keepers[n]
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) { _, k := pick(t); h.request(k, rapid.IntRange(1, 5).Draw(t, "requests")) },
			"flush":   func(t *rapid.T) { _, k := pick(t); _ = h.flush(k) },
			"move":    func(t *rapid.T) { _, k := pick(t); _ = k.Move(context.Background()) },
			"fold":    func(t *rapid.T) { _, k := pick(t); _ = k.Fold(context.Background()) },
			"doubt": func(t *rapid.T) {
				_, k := pick(t)
				h.alive[k.ID] = !h.alive[k.ID]
			},
			"crash": func(t *rapid.T) {
				n, k := pick(t)
				h.crash(k)
				keepers[n] = h.keeper(fmt.Sprint(nextID))
				nextID++
			},
			"pass": func(t *rapid.T) {
				h.now = h.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			},
			"store": func(t *rapid.T) { h.store.SetLostAnswers(rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "lost"), 1) },
		})
		h.store.SetLostAnswers(0, 0)
		for _, k := range keepers {
			h.alive[k.ID] = true
			require.NoError(t, h.flush(k))
			require.NoError(t, k.Move(context.Background()))
			require.NoError(t, k.Fold(context.Background()))
		}
		h.requireConsistent()
	})
}
