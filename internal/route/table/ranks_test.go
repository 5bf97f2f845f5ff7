package table

import (
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func setupWithFloors(t *testing.T) *Table {
	t.Helper()
	ta, _ := setup(t)
	fl := fleet(2, 3)
	fl.Ranks = []citronstream.Rank{{Floor: 0.3}, {Floor: 0.2}, {Floor: 0.1}}
	require.True(t, ta.Replace(fl))
	return ta
}

func assertWaits(t *testing.T, ta *Table, want ...float64) {
	t.Helper()
	for rank := range want {
		assert.InDelta(t, want[rank], ta.Snapshot().Node("u0").Wait(rank), 0.001, "rank %d", rank)
	}
}

func TestWait(t *testing.T) {
	// 30 cost units run, at 100 a second.
	lo := citronstream.Load{Upstream: "u0", Seq: 1, Cost: 30, Rate: 100, Waiting: 1}
	// If less urgent calls that wait counted in full, urgent calls would avoid the
	// upstream; if urgent ones did, an unused floor would go unnoticed.
	t.Run("a rank waits for more urgent ones up to its floor", func(t *testing.T) {
		ta := setupWithFloors(t)
		lo := lo
		lo.Cost, lo.Ranks = 330, []float64{200, 0, 100}
		require.True(t, ta.Report(lo))
		assertWaits(t, ta, 0.3+2/0.9, 0.3, 0.3+3)
	})
	t.Run("work sent since counts for its rank", func(t *testing.T) {
		ta := setupWithFloors(t)
		lo := lo
		lo.Cost, lo.Ranks = 330, []float64{300}
		require.True(t, ta.Report(lo))
		assert.Equal(t, FloorUnused, ta.Snapshot().Node("u0").Floor(1))
		ta.Sent("u0", 1, 20)
		assertWaits(t, ta, 0.3+3/0.8, 0.3+1)
		assert.Equal(t, FloorUsed, ta.Snapshot().Node("u0").Floor(1))
		ta.Ended("u0", 1, 20)
		assertWaits(t, ta, 0.3+3, 0.3)
	})
	t.Run("the whole load counts where nothing waits", func(t *testing.T) {
		ta := setupWithFloors(t)
		require.True(t, ta.Report(lo))
		ta.Sent("u0", 2, 20)
		assertWaits(t, ta, 0.5, 0.5, 0.5)
		assert.Equal(t, FloorNone, ta.Snapshot().Node("u0").Floor(0))
	})
	// An entry and an agent may run configurations with different numbers of ranks.
	t.Run("ranks out of range count as the least urgent", func(t *testing.T) {
		ta := setupWithFloors(t)
		lo := lo
		lo.Cost, lo.Ranks = 90, []float64{0, 0, 0, 10, 20, 30}
		require.True(t, ta.Report(lo))
		assertWaits(t, ta, 0.3, 0.3, 0.3, 0.9, 0.9)
		assert.InDelta(t, 0.9, ta.Snapshot().Node("u0").Wait(-1), 0.001)
	})
}
