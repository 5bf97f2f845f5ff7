package server

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/fairqueue"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestLoadByRank guards against load reports without the waiting cost of each
// rank, and against ranks that add more than a few bytes to a report.
func TestLoadByRank(t *testing.T) {
	clk := clockwork.NewFakeClock()
	qu := fairqueue.New(clk, citronstream.Fleet{Ranks: make([]citronstream.Rank, 3)})
	se := New(clk, nil, citronstream.Upstream{Name: "u"}, nil, qu)
	size := func() int {
		data, err := json.Marshal(se.Load())
		require.NoError(t, err)
		return len(data)
	}
	assert.Empty(t, se.Load().Ranks)
	empty := size()
	for id, rank := range map[string]int{"a": 0, "b": 1, "c": 1} {
		_, err := qu.Push(citronstream.Item{ID: id, Rank: rank, Cost: 100.0 / 3, Deadline: clk.Now().Add(time.Hour)})
		require.NoError(t, err)
	}
	lo := se.Load()
	assert.Equal(t, []float64{33.3, 66.7}, lo.Ranks, "no zeros at the end, a tenth of a unit")
	assert.InDelta(t, 100, lo.Cost, 0.001)
	assert.LessOrEqual(t, size()-empty, len(`,"Ranks":[33.3,66.7]`)+len(`100.000`)-1)
}
