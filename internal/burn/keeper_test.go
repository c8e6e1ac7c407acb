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

// rig is a store with keepers whose clock a test sets, and what callers saw.
type rig struct {
	t      require.TestingT
	store  *standin.Store
	client *store.Client
	now    time.Time
	alive  map[string]bool
	// seen counts what callers saw by slot. A crash may have lost what its
	// keeper counted since its last answered write, which is open until then.
	seen, lost map[int64]counted
	open       map[*burn.Keeper]map[int64]counted
}

// counted is a number of requests, and of late ones among them.
type counted struct{ total, late int64 }

func (c counted) plus(o counted) counted { return counted{c.total + o.total, c.late + o.late} }

func newRig(t require.TestingT) *rig {
	s := standin.NewStore()
	return &rig{
		t: t, store: s, client: store.NewEtcd([]string{"http://store"}, &http.Client{Transport: direct{s}}),
		now: start, alive: map[string]bool{},
		seen: map[int64]counted{}, lost: map[int64]counted{}, open: map[*burn.Keeper]map[int64]counted{},
	}
}

// direct calls a handler without a network; a handler that aborts gives no answer.
type direct struct{ handler http.Handler }

// RoundTrip makes one call.
func (d direct) RoundTrip(r *http.Request) (answer *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("no answer")
		}
	}()
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func (r *rig) keeper(id string) *burn.Keeper {
	r.alive[id] = true
	return &burn.Keeper{
		Recorder: burn.NewRecorder(), Store: r.client, ID: id, Log: eventlog.Discard(),
		Alive: func(id string) bool { return r.alive[id] },
		Now:   func() time.Time { return r.now },
	}
}

// request counts requests at a keeper, every second of them late.
func (r *rig) request(k *burn.Keeper, n int) {
	if r.open[k] == nil {
		r.open[k] = map[int64]counted{}
	}
	for i := range n {
		latency := time.Duration(1+i%2*300) * time.Millisecond
		k.Recorder.Record(r.now, sample(latency))
		one := counted{total: 1, late: int64(i % 2)}
		r.seen[burn.SlotOf(r.now)] = r.seen[burn.SlotOf(r.now)].plus(one)
		r.open[k][burn.SlotOf(r.now)] = r.open[k][burn.SlotOf(r.now)].plus(one)
	}
}

// flush writes a keeper's counts, so that nothing of it is open.
func (r *rig) flush(k *burn.Keeper) error {
	err := k.Flush(context.Background())
	if err == nil {
		delete(r.open, k)
	}
	return err
}

// crash ends a keeper with what it had not written.
func (r *rig) crash(k *burn.Keeper) {
	r.alive[k.ID] = false
	for index, c := range r.open[k] {
		r.lost[index] = r.lost[index].plus(c)
	}
	delete(r.open, k)
}

// stored returns what the store holds by slot.
func (r *rig) stored() (map[int64]counted, burn.Stored) {
	s, err := burn.ReadStored(context.Background(), r.client, r.now)
	require.NoError(r.t, err)
	decoded, err := s.Series()
	require.NoError(r.t, err)
	all := map[int64]counted{}
	for _, series := range decoded {
		for _, slot := range series.Slots {
			all[slot.Index] = all[slot.Index].plus(counted{slot.Latency.TotalCount() + slot.Unanswered, slot.Bad[burn.Target]})
		}
	}
	return all, s
}

// requireWhole checks that the store holds what callers saw within the kept
// slots, but for what crashes may have lost.
func (r *rig) requireWhole() {
	got, _ := r.stored()
	for index := range got {
		require.Contains(r.t, r.seen, index)
	}
	for index, c := range r.seen {
		if index <= burn.SlotOf(r.now)-burn.KeptSlots {
			continue
		}
		lost := r.lost[index]
		require.LessOrEqual(r.t, got[index].total, c.total)
		require.LessOrEqual(r.t, got[index].late, c.late)
		require.GreaterOrEqual(r.t, got[index].total, c.total-lost.total)
		require.GreaterOrEqual(r.t, got[index].late, c.late-lost.late)
	}
}

// Counts outlive their instances, and what a crash lost is named; a planned
// stop loses nothing. Two readers see the same.
func TestCountsOutliveInstances(t *testing.T) {
	r := newRig(t)
	a, b, c := r.keeper("a"), r.keeper("b"), r.keeper("c")
	for _, k := range []*burn.Keeper{a, b, c} {
		r.request(k, 10)
		require.NoError(t, r.flush(k))
	}
	r.requireWhole()
	_, s := r.stored()
	require.Len(t, s.Open, 3)
	written := r.now
	r.now = r.now.Add(time.Minute)
	r.request(a, 4)
	r.request(b, 6)
	r.crash(a)
	require.NoError(t, b.Finish(t.Context()))
	r.alive["b"] = false
	r.requireWhole()
	got, _ := r.stored()
	require.Equal(t, counted{36, 18}, got[burn.SlotOf(start)], "the crash lost 4 requests, the stop none")
	_, s = r.stored()
	require.ElementsMatch(t, []burn.Gap{{Instance: "a", Since: written}, {Instance: "c", Since: written}}, s.Open)
	for range 2 {
		require.NoError(t, c.Fold(t.Context()))
		r.requireWhole()
	}
	_, s = r.stored()
	require.Equal(t, []burn.Gap{{Instance: "a", Since: written}}, s.Lost)
	require.Len(t, s.Open, 1)
	_, other := r.stored()
	require.Equal(t, s.Lost, other.Lost)
	r.requireWhole()
}

// What was counted in ended slots moves out of the instances' keys and stays for the longest window.
func TestEndedSlotsMove(t *testing.T) {
	r := newRig(t)
	a, b := r.keeper("a"), r.keeper("b")
	for range burn.KeptSlots + 5 {
		for _, k := range []*burn.Keeper{a, b} {
			r.request(k, 4)
			require.NoError(t, k.Move(t.Context()))
			require.NoError(t, r.flush(k))
		}
		r.now = r.now.Add(burn.SlotLength)
	}
	r.requireWhole()
	before := r.store.Counts().WriteBytes
	require.NoError(t, r.flush(a))
	require.Less(t, r.store.Counts().WriteBytes-before, int64(1000), "the own key holds the open slots alone")
}

// An instance that was taken for gone goes on counting, and nothing counts twice.
func TestFoldedKeeperThatLivesIsCountedOnce(t *testing.T) {
	r := newRig(t)
	a, b := r.keeper("a"), r.keeper("b")
	for range 3 {
		r.request(a, 4)
		require.NoError(t, r.flush(a))
		r.request(a, 2)
		r.alive["a"] = false
		require.NoError(t, b.Fold(t.Context()))
		r.alive["a"] = true
		require.NoError(t, r.flush(a))
		r.requireWhole()
	}
	r.now = r.now.Add(2 * burn.SlotLength)
	require.NoError(t, a.Move(t.Context()))
	r.requireWhole()
}

// A write whose answer was lost counts once, also if it was the first and was
// folded before it was repeated.
func TestLostAnswersCountOnce(t *testing.T) {
	lost := func(r *rig, call func() error) {
		r.store.SetLostAnswers(1, 1)
		require.Error(t, call())
		r.store.SetLostAnswers(0, 0)
	}
	cases := []struct {
		name   string
		first  bool
		folded bool
	}{{"later", false, false}, {"first", true, false}, {"later, then folded", false, true}, {"first, then folded", true, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t)
			a, b := r.keeper("a"), r.keeper("b")
			if !c.first {
				r.request(a, 4)
				require.NoError(t, r.flush(a))
			}
			r.request(a, 6)
			lost(r, func() error { return a.Flush(context.Background()) })
			if c.folded {
				r.alive["a"] = false
				lost(r, func() error { return b.Fold(context.Background()) })
				require.NoError(t, b.Fold(t.Context()))
				r.alive["a"] = true
			}
			r.request(a, 2)
			require.NoError(t, r.flush(a))
			r.requireWhole()
			r.now = r.now.Add(2 * burn.SlotLength)
			lost(r, func() error { return a.Move(context.Background()) })
			require.NoError(t, a.Move(t.Context()))
			require.NoError(t, a.Move(t.Context()))
			r.requireWhole()
		})
	}
}

// After an outage that outlasts many slots everything is moved, in bounded values.
func TestOutageOfHoursIsMadeUp(t *testing.T) {
	r := newRig(t)
	a := r.keeper("a")
	r.store.SetDown(true)
	for range burn.KeptSlots - 3 {
		for i := range 200 {
			s := sample(time.Millisecond)
			s.Neighbour = fmt.Sprint(i)
			a.Recorder.Record(r.now, s)
			r.seen[burn.SlotOf(r.now)] = r.seen[burn.SlotOf(r.now)].plus(counted{total: 1})
		}
		require.Error(t, a.Flush(t.Context()))
		r.now = r.now.Add(burn.SlotLength)
	}
	r.store.SetDown(false)
	require.NoError(t, a.Finish(t.Context()))
	r.requireWhole()
}

// Whatever fails and in whatever order, each request is counted once, but for
// what a crash leaves open.
func TestEachRequestIsCountedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRig(t)
		keepers := []*burn.Keeper{r.keeper("0"), r.keeper("1"), r.keeper("2")}
		names := len(keepers)
		pick := func(t *rapid.T) (int, *burn.Keeper) {
			n := rapid.IntRange(0, len(keepers)-1).Draw(t, "keeper")
			return n, keepers[n]
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) { _, k := pick(t); r.request(k, rapid.IntRange(1, 5).Draw(t, "requests")) },
			"flush":   func(t *rapid.T) { _, k := pick(t); _ = r.flush(k) },
			"move":    func(t *rapid.T) { _, k := pick(t); _ = k.Move(context.Background()) },
			"fold":    func(t *rapid.T) { _, k := pick(t); _ = k.Fold(context.Background()) },
			"doubt": func(t *rapid.T) {
				_, k := pick(t)
				r.alive[k.ID] = !r.alive[k.ID]
			},
			"crash": func(t *rapid.T) {
				n, k := pick(t)
				r.crash(k)
				keepers[n] = r.keeper(fmt.Sprint(names))
				names++
			},
			"pass": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			},
			"store": func(t *rapid.T) { r.store.SetLostAnswers(rapid.SampledFrom([]float64{0, 0, 0.5}).Draw(t, "lost"), 1) },
		})
		r.store.SetLostAnswers(0, 0)
		for _, k := range keepers {
			r.alive[k.ID] = true
			require.NoError(t, r.flush(k))
			require.NoError(t, k.Move(context.Background()))
			require.NoError(t, k.Fold(context.Background()))
		}
		r.requireWhole()
	})
}
