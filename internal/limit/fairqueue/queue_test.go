package fairqueue

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/discipline"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fleet(floors ...float64) citronstream.Fleet {
	fl := citronstream.Fleet{Workspaces: []citronstream.Workspace{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}}
	for _, floor := range floors {
		fl.Ranks = append(fl.Ranks, citronstream.Rank{Floor: floor})
	}
	return fl
}

// fixture is a queue on a fake clock for an upstream that runs one call at a time, 100 cost units a second.
type fixture struct {
	*Queue
	t   *testing.T
	clk *clockwork.FakeClock
	n   int
}

func newFixture(t *testing.T, fl citronstream.Fleet) *fixture {
	clk := clockwork.NewFakeClockAt(start)
	return &fixture{Queue: New(clk, fl, WithRate(100)), t: t, clk: clk}
}

func (fi *fixture) item(rank int, ws string, cost float64, left time.Duration) Item {
	fi.n++
	return Item{ID: fmt.Sprint(fi.n), Rank: rank, Workspace: ws, Cost: cost, Deadline: fi.clk.Now().Add(left)}
}

func (fi *fixture) push(it Item) Item {
	fi.t.Helper()
	_, err := fi.Push(it)
	require.NoError(fi.t, err)
	return it
}

func (fi *fixture) fill(count, rank int, ws string) {
	for range count {
		fi.push(fi.item(rank, ws, 1, time.Hour))
	}
}

// serve runs one item to completion at the given actual cost.
func (fi *fixture) serve(cost float64) Item {
	fi.t.Helper()
	it, _, ok := fi.Pop()
	require.True(fi.t, ok)
	took := time.Duration(cost * float64(10*time.Millisecond))
	fi.clk.Advance(took)
	fi.Done(it, cost, took)
	return it
}

// share serves count items and returns the fraction for which counted is true.
func (fi *fixture) share(count int, counted func(Item) bool) float64 {
	hits := 0
	for range count {
		if counted(fi.serve(1)) {
			hits++
		}
	}
	return float64(hits) / float64(count)
}

func assertRefused(t *testing.T, err error) {
	t.Helper()
	fa := citronstream.FaultOf(err)
	require.NotNil(t, fa)
	assert.Equal(t, citronstream.NotRun, fa.Verdict)
	assert.Equal(t, citronstream.CodeOverloaded, fa.Code)
	assert.Positive(t, fa.RetryAfter)
}

func TestOrderOfRanks(t *testing.T) {
	// Guards against less urgent work that runs first although no floor requires it.
	t.Run("urgent first", func(t *testing.T) {
		fi := newFixture(t, fleet(0, 0))
		fi.fill(5, 1, "a")
		fi.fill(5, 0, "a")
		assert.Equal(t, 1.0, fi.share(5, func(it Item) bool { return it.Rank == 0 }))
	})
	// Guards against an arbitrary order among ranks below their floors.
	t.Run("most urgent of the ranks below their floor", func(t *testing.T) {
		fi := newFixture(t, fleet(0, 0.2, 0.1))
		for rank := range 3 {
			fi.fill(5, rank, "a")
		}
		for _, want := range []int{0, 1, 2} {
			assert.Equal(t, want, fi.serve(1).Rank)
		}
	})
}

func TestFloors(t *testing.T) {
	// Guards against a flood of the most urgent rank that starves the others.
	t.Run("floor holds under an urgent flood", func(t *testing.T) {
		fi := newFixture(t, fleet(0.5, 0.2, 0.1))
		for rank := range 3 {
			fi.fill(1000, rank, "a")
		}
		served := map[int]int{}
		for range 1000 {
			served[fi.serve(1).Rank]++
		}
		assert.InDelta(t, 200, served[1], 20)
		assert.InDelta(t, 100, served[2], 10)
	})
	// Guards against capacity that stays idle because a floor reserves it.
	t.Run("other ranks use an unused floor", func(t *testing.T) {
		fi := newFixture(t, fleet(0.5, 0.4))
		fi.fill(100, 1, "a")
		assert.Equal(t, 1.0, fi.share(100, func(it Item) bool { return it.Rank == 1 }))
	})
	// Guards against a rank that loses its floor because it used idle capacity before urgent work arrived.
	t.Run("use of idle capacity does not reduce the floor", func(t *testing.T) {
		fi := newFixture(t, fleet(0, 0.2))
		fi.fill(2000, 1, "a")
		fi.share(1000, func(Item) bool { return true })
		fi.fill(2000, 0, "a")
		assert.InDelta(t, 0.2, fi.share(100, func(it Item) bool { return it.Rank == 1 }), 0.02)
	})
}

func TestCreditOfIdleRanks(t *testing.T) {
	// Guards against a rank that does not reach its floor because its queue is sometimes empty.
	t.Run("idle rank keeps credit for one call", func(t *testing.T) {
		fi := newFixture(t, fleet(0, 0.2))
		fi.fill(100, 0, "a")
		fi.fill(1, 1, "a")
		fi.share(50, func(Item) bool { return true })
		fi.fill(2, 1, "a")
		assert.Equal(t, 2.0/3, fi.share(3, func(it Item) bool { return it.Rank == 1 }))
	})
	// Guards against credit that a rank accumulates while its suspects wait for another one to end.
	t.Run("credit decays", func(t *testing.T) {
		fi := newFixture(t, fleet(0, 0.2))
		suspect := func(rank int) Item {
			it := fi.item(rank, "a", 1, time.Hour)
			it.Suspect = true
			return fi.push(it)
		}
		first := suspect(0)
		_, _, _ = fi.Pop()
		for range 200 {
			suspect(1)
		}
		fi.fill(2000, 0, "a")
		fi.share(1000, func(Item) bool { return true })
		fi.clk.Advance(10 * accountWindow)
		fi.Done(first, 1, 0)
		assert.InDelta(t, 0.2, fi.share(100, func(it Item) bool { return it.Rank == 1 }), 0.02)
	})
	// Guards against a rank that accumulates credit while idle and then blocks urgent work.
	t.Run("idle rank accumulates no credit", func(t *testing.T) {
		fi := newFixture(t, fleet(0, 0.2))
		fi.fill(2000, 0, "a")
		fi.share(1000, func(Item) bool { return true })
		fi.fill(200, 1, "a")
		assert.InDelta(t, 0.2, fi.share(100, func(it Item) bool { return it.Rank == 1 }), 0.02)
	})
}

// Guards against queued cost that is reported to routing under the wrong rank.
func TestRankCosts(t *testing.T) {
	fi := newFixture(t, fleet(0.3, 0.2, 0.1))
	fi.fill(2, 0, "a")
	fi.fill(3, 2, "b")
	fi.fill(1, 9, "b")
	assert.Equal(t, []float64{2, 0, 4}, fi.RankCosts())
	fi.serve(1)
	assert.Equal(t, []float64{1, 0, 4}, fi.RankCosts())
}

func TestWorkspaces(t *testing.T) {
	isB := func(it Item) bool { return it.Workspace == "b" }
	t.Run("share follows the weight", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		fi.fill(400, 0, "a")
		fi.fill(400, 0, "b")
		assert.InDelta(t, 0.75, fi.share(400, isB), 0.02)
	})
	// Guards against a workspace that gets more service by underestimating its costs.
	t.Run("actual cost corrects the share", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		fi.fill(400, 0, "a")
		fi.fill(400, 0, "b")
		calls := map[string]int{}
		for range 400 {
			it, _, _ := fi.Pop()
			calls[it.Workspace]++
			cost := 1.0
			if it.Workspace == "a" {
				cost = 4
			}
			fi.Done(it, cost, 0)
		}
		assert.InDelta(t, 12, float64(calls["b"])/float64(calls["a"]), 1.5)
	})
	t.Run("weights can change at run time", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		fi.fill(400, 0, "a")
		fi.fill(400, 0, "b")
		fl := fleet(0)
		fl.Workspaces[1].Weight = 1
		fi.Configure(fl)
		assert.InDelta(t, 0.5, fi.share(200, isB), 0.02)
	})
	t.Run("earliest deadline first inside a workspace", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		fi.push(fi.item(0, "a", 1, 3*time.Hour))
		early := fi.push(fi.item(0, "a", 1, time.Hour))
		assert.Equal(t, early.ID, fi.serve(1).ID)
	})
}

func TestAdmission(t *testing.T) {
	// Guards against queueing work that is certain to miss its deadline.
	t.Run("refuses items that would wait past their deadline", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		fi.fill(500, 0, "a") // 5 s of work
		_, err := fi.Push(fi.item(0, "a", 1, 4*time.Second))
		assertRefused(t, err)
		fi.push(fi.item(0, "a", 1, 6*time.Second))
	})
	// Guards against an estimate from the total queue length, which refuses urgent work under a flood of other work.
	t.Run("urgent work does not wait for the least urgent", func(t *testing.T) {
		fi := newFixture(t, fleet(0, 0.1))
		fi.fill(5000, 1, "a")
		fi.push(fi.item(0, "a", 1, 100*time.Millisecond))
	})
	t.Run("a workspace does not wait for another's queue", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		fi.fill(5000, 0, "a")
		fi.push(fi.item(0, "b", 1, 100*time.Millisecond))
	})
	// Guards against a new upstream that refuses a burst although it has free slots.
	t.Run("a burst within the free slots does not wait", func(t *testing.T) {
		clk := clockwork.NewFakeClockAt(start)
		fi := &fixture{Queue: New(clk, fleet(0), WithCapacity(8), WithRate(8)), t: t, clk: clk}
		for range 8 { // the initial estimate is one second for each call and slot
			fi.push(fi.item(0, "a", 1, 1100*time.Millisecond))
		}
		_, err := fi.Push(fi.item(0, "a", 1, 1100*time.Millisecond))
		assertRefused(t, err)
	})
	t.Run("measured throughput replaces the initial estimate", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		for range 200 {
			it := fi.push(fi.item(0, "a", 1, time.Hour))
			_, _, _ = fi.Pop()
			fi.clk.Advance(100 * time.Millisecond)
			fi.Done(it, 1, 100*time.Millisecond)
		}
		assert.InDelta(t, 10, fi.Rate(), 0.1)
	})
	// Guards against an estimate that refuses all work and so is never corrected.
	t.Run("an idle upstream is probed", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		fi.push(fi.item(0, "a", 1, time.Hour))
		it, _, _ := fi.Pop()
		fi.clk.Advance(time.Minute)
		fi.Done(it, 1, time.Minute)
		fi.push(fi.item(0, "a", 1, time.Second))
		_, err := fi.Push(fi.item(0, "a", 1, time.Second))
		assertRefused(t, err)
		_, dropped, ok := fi.Pop()
		assert.True(t, ok)
		assert.Empty(t, dropped)
	})
	t.Run("drops items that can no longer meet their deadline", func(t *testing.T) {
		fi := newFixture(t, fleet(0))
		late := fi.push(fi.item(0, "a", 1, time.Second))
		next := fi.push(fi.item(0, "a", 1, time.Hour))
		fi.clk.Advance(2 * time.Second)
		it, dropped, ok := fi.Pop()
		require.True(t, ok)
		assert.Equal(t, next.ID, it.ID)
		assert.Equal(t, []Item{late}, dropped)
	})
}

func TestCountCap(t *testing.T) {
	fl := fleet(0, 0)
	fl.Limits.MaxQueued = 10
	// Guards against a workspace whose queue evicts the work of another.
	t.Run("the longest queue relative to weight loses its newest item", func(t *testing.T) {
		fi := newFixture(t, fl)
		fi.fill(5, 0, "a")
		fi.fill(5, 0, "b") // of weight 3
		displaced, err := fi.Push(fi.item(0, "b", 1, time.Hour))
		require.NoError(t, err)
		require.Len(t, displaced, 1)
		assert.Equal(t, "5", displaced[0].ID)
		assert.Equal(t, 10, fi.Len())
	})
	t.Run("its least urgent work is evicted first", func(t *testing.T) {
		fi := newFixture(t, fl)
		fi.fill(1, 1, "a")
		fi.fill(9, 0, "a")
		displaced, err := fi.Push(fi.item(0, "a", 1, time.Hour))
		require.NoError(t, err)
		require.Len(t, displaced, 1)
		assert.Equal(t, 1, displaced[0].Rank)
	})
	t.Run("the workspace with the longest queue is refused", func(t *testing.T) {
		fi := newFixture(t, fl)
		fi.fill(10, 0, "a")
		_, err := fi.Push(fi.item(0, "a", 1, time.Hour))
		assertRefused(t, err)
	})
}

// Guards against two suspects that run concurrently: if the upstream dies, the cause is unknown.
func TestSuspectsRunOneAtATime(t *testing.T) {
	fi := newFixture(t, fleet(0))
	for _, ws := range []string{"a", "a", "b"} {
		it := fi.item(0, ws, 1, time.Hour)
		it.Suspect = true
		fi.push(it)
	}
	normal := fi.push(fi.item(0, "a", 1, 2*time.Hour))
	first, _, ok := fi.Pop()
	require.True(t, ok)
	require.True(t, first.Suspect)
	second, _, ok := fi.Pop()
	require.True(t, ok)
	assert.Equal(t, normal.ID, second.ID)
	_, _, ok = fi.Pop()
	assert.False(t, ok, "suspects wait while one runs")
	late := fi.push(fi.item(0, "b", 1, time.Hour))
	third, _, ok := fi.Pop()
	require.True(t, ok)
	assert.Equal(t, late.ID, third.ID, "a parked workspace still runs other work")
	fi.Done(first, 1, 0)
	fourth, _, ok := fi.Pop()
	assert.True(t, ok && fourth.Suspect)
}

func TestRegistered(t *testing.T) {
	make, err := discipline.Registry.Get("fair")
	require.NoError(t, err)
	di := make(discipline.Settings{Clock: clockwork.NewFakeClock(), Fleet: fleet(0), Capacity: 4, Rate: 10})
	assert.Zero(t, di.Len())
}

func BenchmarkPushPop(b *testing.B) {
	const waiting, workspaces = 100_000, 1_700
	fl := fleet(0.3, 0.2, 0.1)
	fl.Limits.MaxQueued = 2 * waiting
	names := make([]string, workspaces)
	for i := range names {
		names[i] = fmt.Sprintf("ws-%d", i)
		fl.Workspaces = append(fl.Workspaces, citronstream.Workspace{Name: names[i], Weight: 1 + float64(i%7)})
	}
	qu := New(clockwork.NewFakeClockAt(start), fl, WithRate(1e9), WithCapacity(64))
	ids := make([]string, 4*waiting)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	push := func(n int) {
		it := Item{ID: ids[n%len(ids)], Rank: n % 3, Workspace: names[n*7919%workspaces], Cost: 1 + float64(n%5)}
		it.Deadline = start.Add(time.Hour + time.Duration(n*7919%100_003)*time.Millisecond)
		if _, err := qu.Push(it); err != nil {
			b.Fatal(err)
		}
	}
	for n := range waiting {
		push(n)
	}
	b.ReportAllocs()
	n := waiting
	for b.Loop() {
		push(n)
		n++
		it, _, _ := qu.Pop()
		qu.Done(it, it.Cost+1, 0)
	}
}
