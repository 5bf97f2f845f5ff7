package cachefeed

import (
	"context"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/route/prefix"
	"github.com/citronstream/citronstream/internal/upstream/report"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// source is an engine's list of events.
type source struct {
	events []report.CacheEvent
	polled chan struct{}
}

func (src *source) add(seq, block uint64, kind string) {
	src.events = append(src.events, report.CacheEvent{Seq: seq, Kind: kind, Block: block})
}

func (src *source) CacheEvents(_ context.Context, _ string, since uint64) ([]report.CacheEvent, error) {
	if src.polled != nil {
		src.polled <- struct{}{}
	}
	var found []report.CacheEvent
	for _, ev := range src.events {
		if ev.Seq > since {
			found = append(found, ev)
		}
	}
	return found, nil
}

// setup returns a feed that applies its groups to hints.
func setup() (*Feed, *source, *prefix.Hints, *int) {
	clk := clockwork.NewFakeClock()
	src, hi, most := &source{}, prefix.New(clk), 0
	fd := New(clk, src, "e", "", func() bool { return true }, func(ev prefix.Event) {
		most = max(most, len(ev.Stored)+len(ev.Evicted))
		hi.Apply(ev)
	})
	return fd, src, hi, &most
}

func assertHeld(t *testing.T, hi *prefix.Hints, block uint64, want bool) {
	t.Helper()
	_, count := hi.Holders([]uint64{block})
	assert.Equal(t, want, count == 1, "block %d", block)
}

func TestFeed(t *testing.T) {
	poll := func(fd *Feed) { fd.poll(context.Background()) }
	t.Run("stored, then removed", func(t *testing.T) {
		fd, src, hi, _ := setup()
		src.add(1, 11, report.Stored)
		src.add(2, 12, report.Stored)
		poll(fd)
		src.add(3, 11, report.Removed)
		poll(fd)
		poll(fd)
		assertHeld(t, hi, 11, false)
		assertHeld(t, hi, 12, true)
		assert.EqualValues(t, 2, fd.Counts().Groups)
	})
	// The lost event may be a removal, so the earlier hints must be dropped.
	t.Run("gap", func(t *testing.T) {
		fd, src, hi, _ := setup()
		src.add(1, 11, report.Stored)
		poll(fd)
		src.add(3, 13, report.Stored)
		poll(fd)
		assertHeld(t, hi, 11, false)
		assertHeld(t, hi, 13, true)
	})
	// Sequence numbers that start again must not be taken for old ones.
	for name, again := range map[string]uint64{"restart": 1, "restart that has passed the old number": 9} {
		t.Run(name, func(t *testing.T) {
			fd, src, hi, _ := setup()
			for seq := range uint64(5) {
				src.add(seq+1, 11+seq, report.Stored)
			}
			poll(fd)
			src.events = nil
			for seq := range again {
				src.add(seq+1, 21+seq, report.Stored)
			}
			poll(fd)
			assertHeld(t, hi, 11, false)
			poll(fd)
			assertHeld(t, hi, 21, true)
			assert.EqualValues(t, 1, fd.Counts().Restarts)
		})
	}
	// A burst must neither become a large message nor be taken as complete.
	t.Run("bounded", func(t *testing.T) {
		fd, src, hi, most := setup()
		src.add(1, 1, report.Stored)
		poll(fd)
		for seq := range uint64(2 * maxGroups * maxBlocks) {
			src.add(seq+2, seq+2, report.Stored)
		}
		poll(fd)
		assert.Equal(t, maxBlocks, *most)
		assert.EqualValues(t, 1+maxGroups, fd.Counts().Groups)
		src.add(src.events[len(src.events)-1].Seq+1, 0, report.Stored)
		poll(fd)
		assertHeld(t, hi, 1, false)
	})
}

// TestIdle guards against polls of an engine without calls.
func TestIdle(t *testing.T) {
	clk := clockwork.NewFakeClock()
	src := &source{polled: make(chan struct{}, 100)}
	busy := true
	fd := New(clk, src, "e", "", func() bool { return busy }, func(prefix.Event) {})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	ended := fd.Run(ctx)
	tick := func() {
		require.NoError(t, clk.BlockUntilContext(ctx, 1))
		clk.Advance(2 * Every)
	}
	tick()
	<-src.polled
	require.NoError(t, clk.BlockUntilContext(ctx, 1))
	busy = false
	for range 40 {
		tick()
	}
	require.NoError(t, clk.BlockUntilContext(ctx, 1))
	assert.LessOrEqual(t, len(src.polled), int(pollAfterLastCall/(2*Every))+1)
	cancel()
	<-ended
}
