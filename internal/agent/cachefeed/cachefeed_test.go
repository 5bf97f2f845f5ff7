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

// source is an engine's list of events, with a limit on what it keeps.
type source struct {
	events []report.CacheEvent
	polled chan struct{}
}

func (so *source) add(seq, block uint64, kind string) {
	so.events = append(so.events, report.CacheEvent{Seq: seq, Kind: kind, Block: block})
}

func (so *source) CacheEvents(_ context.Context, _ string, since uint64) ([]report.CacheEvent, error) {
	if so.polled != nil {
		so.polled <- struct{}{}
	}
	var found []report.CacheEvent
	for _, ev := range so.events {
		if ev.Seq > since {
			found = append(found, ev)
		}
	}
	return found, nil
}

// setup returns a feed whose groups go into hints.
func setup() (*Feed, *source, *prefix.Hints, *int) {
	clk := clockwork.NewFakeClock()
	so, hi, most := &source{}, prefix.New(clk), 0
	fe := New(clk, so, "e", "", func() bool { return true }, func(ev prefix.Event) {
		most = max(most, len(ev.Stored)+len(ev.Evicted))
		hi.Apply(ev)
	})
	return fe, so, hi, &most
}

func assertHeld(t *testing.T, hi *prefix.Hints, block uint64, want bool) {
	t.Helper()
	_, count := hi.Holders([]uint64{block})
	assert.Equal(t, want, count == 1, "block %d", block)
}

func TestFeed(t *testing.T) {
	poll := func(fe *Feed) { fe.poll(context.Background()) }
	t.Run("stored, then removed", func(t *testing.T) {
		fe, so, hi, _ := setup()
		so.add(1, 11, report.Stored)
		so.add(2, 12, report.Stored)
		poll(fe)
		so.add(3, 11, report.Removed)
		poll(fe)
		poll(fe)
		assertHeld(t, hi, 11, false)
		assertHeld(t, hi, 12, true)
		assert.EqualValues(t, 2, fe.Counts().Groups)
	})
	// A lost event may be a removal: what was known before must not stand.
	t.Run("gap", func(t *testing.T) {
		fe, so, hi, _ := setup()
		so.add(1, 11, report.Stored)
		poll(fe)
		so.add(3, 13, report.Stored)
		poll(fe)
		assertHeld(t, hi, 11, false)
		assertHeld(t, hi, 13, true)
	})
	// Numbers that start again would otherwise be taken for old ones.
	for name, again := range map[string]uint64{"restart": 1, "restart that has passed the old number": 9} {
		t.Run(name, func(t *testing.T) {
			fe, so, hi, _ := setup()
			for seq := range uint64(5) {
				so.add(seq+1, 11+seq, report.Stored)
			}
			poll(fe)
			so.events = nil
			for seq := range again {
				so.add(seq+1, 21+seq, report.Stored)
			}
			poll(fe)
			assertHeld(t, hi, 11, false)
			poll(fe)
			assertHeld(t, hi, 21, true)
			assert.EqualValues(t, 1, fe.Counts().Restarts)
		})
	}
	// A burst must neither make a large message nor pass as complete.
	t.Run("bounded", func(t *testing.T) {
		fe, so, hi, most := setup()
		so.add(1, 1, report.Stored)
		poll(fe)
		for seq := range uint64(2 * maxGroups * maxBlocks) {
			so.add(seq+2, seq+2, report.Stored)
		}
		poll(fe)
		assert.Equal(t, maxBlocks, *most)
		assert.EqualValues(t, 1+maxGroups, fe.Counts().Groups)
		so.add(so.events[len(so.events)-1].Seq+1, 0, report.Stored)
		poll(fe)
		assertHeld(t, hi, 1, false)
	})
}

// TestIdle guards against polls of an engine without calls.
func TestIdle(t *testing.T) {
	clk := clockwork.NewFakeClock()
	so := &source{polled: make(chan struct{}, 100)}
	busy := true
	fe := New(clk, so, "e", "", func() bool { return busy }, func(prefix.Event) {})
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	ended := fe.Run(ctx)
	tick := func() {
		require.NoError(t, clk.BlockUntilContext(ctx, 1))
		clk.Advance(2 * Every)
	}
	tick()
	<-so.polled
	require.NoError(t, clk.BlockUntilContext(ctx, 1))
	busy = false
	for range 40 {
		tick()
	}
	require.NoError(t, clk.BlockUntilContext(ctx, 1))
	assert.LessOrEqual(t, len(so.polled), int(linger/(2*Every))+1)
	cancel()
	<-ended
}
