package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/oriolepond/oriolepond/pkg/share"
)

// Each worker belongs to exactly one cell, and the cells are of about the same size.
func TestCellsPartitionWorkers(t *testing.T) {
	for _, prefix := range []string{"", "i-", "worker-0", "bajio-a/"} {
		for count := 1; count <= 12; count++ {
			sizes := make([]int, count)
			const workers = 1200
			for i := range workers {
				id := fmt.Sprintf("%s%d", prefix, i)
				found := 0
				for index := range count {
					if (Cell{Index: index, Count: count}).HasWorker(id) {
						sizes[index]++
						found++
					}
				}
				require.Equal(t, 1, found, id)
			}
			for _, size := range sizes {
				require.Greater(t, size, workers/count/2, "prefix %q: a cell has less than half of its share of the workers", prefix)
			}
		}
	}
}

func TestCellCount(t *testing.T) {
	for _, c := range []struct {
		workers int
		share   float64
		want    int
	}{
		{workers: 0, share: 0.8, want: 1},
		{workers: 48, share: 0.16, want: 1},
		{workers: 350, share: 0.8, want: 1},
		{workers: 1100, share: 0.8, want: 3},
		{workers: 1200, share: 0.8, want: 4},
		{workers: 1200, share: 4, want: 2},
		{workers: 1200, share: 0, want: 1},
	} {
		require.Equal(t, c.want, CellCount(c.workers, c.share), "%d workers, share %v", c.workers, c.share)
	}
}

// firstCellCore returns the core of the first of three cells, with four free workers of 4 cores.
func firstCellCore(t *testing.T, now time.Time) *Core {
	c := fourWorkerCore(t, now)
	c.SetCell(Cell{Index: 0, Count: 3})
	return c
}

// homeJob returns a job whose home is the first of three cells. Its ID is the first suitable one at
// or after from.
func homeJob(t *testing.T, from int, steps ...Step) Job {
	t.Helper()
	for i := from; ; i++ {
		if id := fmt.Sprintf("%016x", i); HomeOf(id, 3) == 0 {
			return Job{ID: id, Queue: "check", Steps: steps}
		}
	}
}

func TestJobGoesToCellWithMostCapacity(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	allocated := Step{Tasks: 4, Size: share.Resources{Processors: 1000}}
	filler := Step{Tasks: 4, Size: share.Resources{Processors: 1000}, Filler: true}
	labelled := Step{Tasks: 1, Size: share.Resources{Processors: 1000}, RequiredLabel: "gpu"}
	for _, c := range []struct {
		name  string
		step  Step
		peers map[int]Load
		want  int
	}{
		{name: "loads of the others are unknown", step: allocated, want: 0},
		{name: "no other has clearly more free capacity", step: allocated, peers: map[int]Load{1: {Capacity: 16_000, Free: 16_050, Idle: 16_000}}, want: 0},
		{
			name: "the cell with most free capacity", step: allocated,
			peers: map[int]Load{1: {Capacity: 16_000, Free: 17_000}, 2: {Capacity: 16_000, Free: 20_000}}, want: 2,
		},
		{
			name: "filler tasks count idle processors", step: filler,
			peers: map[int]Load{1: {Capacity: 16_000, Free: 20_000}, 2: {Capacity: 16_000, Idle: 20_000}}, want: 2,
		},
		{
			name: "a label that no worker here carries", step: labelled,
			peers: map[int]Load{1: {Capacity: 16_000, Free: 16_000}, 2: {Capacity: 16_000, Free: 9_000, Labels: map[string]int{"gpu": 1}}}, want: 2,
		},
		{name: "a label that no worker anywhere carries", step: labelled, peers: map[int]Load{1: {Capacity: 16_000, Free: 20_000}}, want: 0},
		{name: "a cell without workers", step: allocated, peers: map[int]Load{1: {}}, want: 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := firstCellCore(t, now)
			core.SetPeers(c.peers)
			j := homeJob(t, 0, c.step)
			core.completePolicy(&j)
			require.Equal(t, c.want, core.chooseCell(j, now))
		})
	}
}

// Jobs that are submitted between two load updates are spread over all cells. They do not all go to
// the cell that had the most free capacity at the last update.
func TestBurstBetweenLoadUpdatesIsSpread(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 16_000}, 2: {Capacity: 16_000, Free: 16_000}})
	to := map[int]int{}
	from := 0
	for range 30 {
		j := homeJob(t, from, Step{Tasks: 2, Size: share.Resources{Processors: 1000}})
		core.completePolicy(&j)
		_, err := fmt.Sscanf(j.ID, "%x", &from)
		require.NoError(t, err)
		from++
		to[core.chooseCell(j, now)]++
	}
	for cell := range 3 {
		require.InDelta(t, 10, to[cell], 3, "cell %d of %v", cell, to)
	}
}

// A cell that accepts a job whose home is another cell does not hand it over because of loads.
func TestJobOfAnotherHomeStays(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 30_000}})
	id := "0"
	for i := 1; HomeOf(id, 3) == 0; i++ {
		id = fmt.Sprint(i)
	}
	require.Equal(t, 0, core.chooseCell(Job{ID: id, Queue: "check", Steps: []Step{{Tasks: 1}}}, now))
}

// handOver submits a job that is handed over and returns the changes with its hand-over.
func handOver(t *testing.T, core *Core, now time.Time) (Job, Changes) {
	t.Helper()
	core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 30_000, Idle: 30_000}})
	j := homeJob(t, 0, Step{Tasks: 2, Size: share.Resources{Processors: 1000}})
	require.NoError(t, core.Submit(j, now, nil))
	changes, err := core.TakeChanges(20, now)
	require.NoError(t, err)
	return j, changes
}

func TestHandOverIsCommittedWithForwardingRecord(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	j, changes := handOver(t, core, now)
	require.Equal(t, 2, changes.Writes())
	handed, err := DecodeJob(changes.Records[0].HandedOver)
	require.NoError(t, err)
	require.Equal(t, j.Steps, handed.Steps)
	require.Equal(t, 1, changes.Records[0].To)
	state, cell, err := DecodeState(changes.Records[0].Value)
	require.NoError(t, err)
	require.Equal(t, Moved, state)
	require.Equal(t, 1, cell)
	_, moved := core.ForwardedTo(j.ID)
	require.False(t, moved, "reported before it is durable")
	require.Empty(t, core.Committed(changes))

	next := NewCore(DefaultTiming(), now, now)
	next.SetCell(Cell{Index: 0, Count: 3})
	next.SetQueueConfig(core.queueConfig)
	require.NoError(t, next.Restore(changes.Records[0].Value, now))
	for _, c := range []*Core{core, next} {
		cell, moved := c.ForwardedTo(j.ID)
		require.True(t, moved)
		require.Equal(t, 1, cell)
		require.NoError(t, c.Submit(j, now, func(s State) { require.Equal(t, Moved, s) }))
		require.Zero(t, c.Pending("check"))
		c.Plan(now)
		require.False(t, c.HasChanges(), "the job was accepted a second time")
	}
}

func TestCancelOfForwardedJobIsForwarded(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	for _, c := range []struct {
		name   string
		commit bool
	}{
		{name: "during the commit"},
		{name: "after the commit", commit: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			core := firstCellCore(t, now)
			j, changes := handOver(t, core, now)
			if c.commit {
				core.Committed(changes)
			}
			require.True(t, core.Cancel(j.ID, now, nil))
			if !c.commit {
				core.Committed(changes)
			}
			next, err := core.TakeChanges(20, now)
			require.NoError(t, err)
			require.Equal(t, []int{1}, next.Records[0].CancelCells)
			require.Nil(t, next.Records[0].HandedOver, "handed over twice")
		})
	}
	t.Run("before the commit", func(t *testing.T) {
		core := firstCellCore(t, now)
		core.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 30_000}})
		j := homeJob(t, 0, Step{Tasks: 2, Size: share.Resources{Processors: 1000}})
		require.NoError(t, core.Submit(j, now, nil))
		require.True(t, core.Cancel(j.ID, now, nil))
		changes, err := core.TakeChanges(20, now)
		require.NoError(t, err)
		require.Nil(t, changes.Records[0].HandedOver)
		core.Committed(changes)
		state, known := core.State(j.ID)
		require.True(t, known)
		require.Equal(t, Cancelled, state)
	})
}

// Guards against commits that exceed their limit of writes because a hand-over needs two.
func TestHandOverCountsAsTwoWrites(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	core.SetPeers(map[int]Load{1: {Capacity: 1_000_000, Free: 2_000_000}})
	from := 0
	for range 5 {
		j := homeJob(t, from, Step{Tasks: 1, Size: share.Resources{Processors: 100}})
		_, err := fmt.Sscanf(j.ID, "%x", &from)
		require.NoError(t, err)
		from++
		require.NoError(t, core.Submit(j, now, nil))
	}
	changes, err := core.TakeChanges(5, now)
	require.NoError(t, err)
	require.Equal(t, 4, changes.Writes())
	core.Committed(changes)
	require.True(t, core.HasChanges())
}

// Interference effects that other cells have measured are used like this cell's own measurements,
// but are counted only once and not published as its own.
func TestEffectsOfOtherCellsCountOnce(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	core := firstCellCore(t, now)
	serving, filler := core.imageID("serve"), core.imageID("fill")
	before := core.expectedEffect(serving, filler)
	value := []byte(`[{"image":"serve","takes":{"fill":{"precision":1,"weighted":12}}}]`)
	require.NoError(t, core.SetPeerEffects(map[int][]byte{1: value}))
	one := core.expectedEffect(serving, filler)
	require.InDelta(t, 12, one, 1)
	require.Greater(t, one, before)
	require.NoError(t, core.SetPeerEffects(map[int][]byte{1: value}))
	require.InDelta(t, one, core.expectedEffect(serving, filler), 1e-9, "counted twice")
	require.NoError(t, core.SetPeerEffects(map[int][]byte{1: value, 2: value}))
	require.Greater(t, core.expectedEffect(serving, filler), one)
	own, err := core.EncodeEffects()
	require.NoError(t, err)
	require.NotContains(t, string(own), "fill", "effects measured by other cells are reported as own ones")
	require.Error(t, core.SetPeerEffects(map[int][]byte{1: []byte("{")}))
	// The stored form of earlier versions contains no evidence, but is no error.
	require.NoError(t, core.SetPeerEffects(map[int][]byte{1: []byte(`[{"image":"serve","by":{"fill":0.7}}]`)}))
}

// Guards against a late job that waits anew in each cell that it is handed over to: its age counts from the acceptance
// by the first one. It also stays in the next cell for as long as any other before that hands it on.
func TestHandedOverJobKeepsItsAge(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	home := firstCellCore(t, now)
	j := homeJob(t, 0, Step{Tasks: 1, Size: share.Resources{Processors: 1000, Memory: 16 << 30}, Filler: true, Image: "a"})
	require.NoError(t, home.Submit(j, now, nil))
	home.Plan(now)
	commitAll(t, home, now)
	moved := now.Add(overdueJobAge)
	home.SetPeers(map[int]Load{1: {Capacity: 16_000, Free: 16_000, Idle: 16_000, LargestFree: 4000}})
	home.Plan(moved)
	changes, err := home.TakeChanges(20, moved)
	require.NoError(t, err)
	require.Equal(t, 1, changes.Records[0].To)
	next := coreOfCell(t, 1, moved)
	require.NoError(t, next.AcceptHandedOver(changes.Records[0].HandedOver, moved))
	commitAll(t, next, moved)
	stage := next.jobs[j.ID].stages[0]
	require.Equal(t, now, next.submittedAt(stage).Round(time.Second))
	next.SetPeers(map[int]Load{2: {Capacity: 16_000, Free: 16_000, Idle: 16_000, LargestFree: 4000}})
	next.Plan(moved.Add(starvedAfter / 2))
	require.False(t, next.HasChanges(), "handed on at once")
	require.True(t, next.isOverdue(stage.tasks[0], moved.Add(overdueAfter)))
	next.Plan(moved.Add(2 * starvedAfter))
	require.True(t, next.HasChanges())
}
