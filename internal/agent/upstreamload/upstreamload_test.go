package upstreamload

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/upstream/report"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestMerge guards against load of other clients that the entries don't see, calls
// that are counted twice, and readings that are used after the upstream has
// stopped answering.
func TestMerge(t *testing.T) {
	clk := clockwork.NewFakeClock()
	fails := false
	po := New(clk, "", func(context.Context, string) (report.Load, error) {
		if fails {
			return report.Load{}, errors.New("down")
		}
		return report.Load{Running: 6, Waiting: 2}, nil
	}, 10, func() bool { return true })
	folded := func() citronstream.Load {
		lo := citronstream.Load{Running: 4, Waiting: 3, Cost: 50}
		po.Merge(&lo)
		return lo
	}
	own := citronstream.Load{Running: 4, Waiting: 3, Cost: 50}
	assert.Equal(t, own, folded())
	po.step(t.Context())
	assert.Equal(t, citronstream.Load{Running: 6, Waiting: 3, Cost: 80}, folded())
	fails = true
	clk.Advance(validFor)
	po.step(t.Context())
	assert.Equal(t, citronstream.Load{Running: 6, Waiting: 3, Cost: 80}, folded())
	clk.Advance(1)
	assert.Equal(t, own, folded())
}

// TestRun guards against reads while no call is running, and against more than
// one a second.
func TestRun(t *testing.T) {
	clk := clockwork.NewFakeClock()
	busy := false
	po := New(clk, "", func(context.Context, string) (report.Load, error) { return report.Load{}, nil }, 1, func() bool { return busy })
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	ended := po.Run(ctx)
	advance := func(steps int) {
		for range steps {
			require.NoError(t, clk.BlockUntilContext(ctx, 1))
			clk.Advance(readInterval / 4)
		}
		require.NoError(t, clk.BlockUntilContext(ctx, 1))
	}
	advance(40)
	assert.Zero(t, po.Counts().Reads)
	busy = true
	advance(40)
	assert.LessOrEqual(t, po.Counts().Reads, uint64(10))
	assert.Positive(t, po.Counts().Reads)
	cancel()
	<-ended
}
