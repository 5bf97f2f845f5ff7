package holdsync

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/poison"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type entry struct {
	ho      *poison.Holds
	sy      *Sync
	learned []uint64
	lifted  []uint64
}

func newEntry(clk citronstream.Clock, ta citronstream.Table) *entry {
	en := &entry{ho: poison.New(clk, citronstream.DefaultLimits())}
	en.sy = New(clk, ta, en.ho, func(reports []poison.Report) {
		for _, report := range reports {
			en.learned = append(en.learned, report.Held...)
			en.lifted = append(en.lifted, report.Lifted...)
		}
	})
	return en
}

func (en *entry) hold(clk citronstream.Clock, digest uint64) {
	if len(en.ho.Merge(poison.Report{ID: citronstream.NewID(), Upstream: "u", At: clk.Now(), Held: []uint64{digest}})) > 0 {
		en.sy.Changed()
	}
}

func assertHeld(t *testing.T, en *entry, digests ...uint64) {
	t.Helper()
	for _, digest := range digests {
		_, held := en.ho.Held(digest)
		assert.True(t, held, "digest %d", digest)
	}
}

// racingTable calls before ahead of the first write, between an entry's read and write.
type racingTable struct {
	*memtable.Table
	before func()
}

func (ra *racingTable) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	if before := ra.before; before != nil {
		ra.before = nil
		before()
	}
	return ra.Table.Write(ctx, opID, ops...)
}

func setup() (*clockwork.FakeClock, *memtable.Table, *entry) {
	clk := clockwork.NewFakeClock()
	ta := memtable.New(clk)
	return clk, ta, newEntry(clk, ta)
}

// TestSync guards against holds that are lost when their process ends, when two
// entries write at once, in a table outage or with a lost answer.
func TestSync(t *testing.T) {
	ctx := context.Background()
	t.Run("race of two entries", func(t *testing.T) {
		clk, ta, a := setup()
		b := newEntry(clk, &racingTable{ta, func() { a.hold(clk, 1); require.NoError(t, a.sy.Step(ctx)) }})
		b.hold(clk, 2)
		require.NoError(t, b.sy.Step(ctx))
		c := newEntry(clk, ta)
		require.NoError(t, c.sy.Step(ctx))
		assertHeld(t, c, 1, 2)
		assert.ElementsMatch(t, []uint64{1, 2}, c.learned)
		require.NoError(t, c.sy.Step(ctx))
		assert.Len(t, c.learned, 2, "a second read reports nothing")
		assert.Zero(t, c.sy.Counts().Writes)
		assert.EqualValues(t, 1, b.sy.Counts().Conflicts)
	})
	t.Run("outage and lost answer", func(t *testing.T) {
		clk, ta, a := setup()
		ta.SetDown(true)
		a.hold(clk, 1)
		require.Error(t, a.sy.Step(ctx))
		ta.SetDown(false)
		ta.SetLoseAnswers(1)
		assert.ErrorIs(t, a.sy.Step(ctx), citronstream.ErrUnknownOutcome)
		require.NoError(t, a.sy.Step(ctx))
		assert.EqualValues(t, 1, a.sy.Counts().Writes, "the row already has the hold and is not written again")
		b := newEntry(clk, ta)
		require.NoError(t, b.sy.Step(ctx))
		assertHeld(t, b, 1)
	})
	t.Run("known holds cost no write", func(t *testing.T) {
		clk, ta, a := setup()
		a.hold(clk, 1)
		require.NoError(t, a.sy.Step(ctx))
		b := newEntry(clk, ta)
		b.hold(clk, 1)
		require.NoError(t, b.sy.Step(ctx))
		assert.Zero(t, b.sy.Counts().Writes)
	})
	t.Run("malformed row", func(t *testing.T) {
		clk, ta, a := setup()
		require.NoError(t, ta.Write(ctx, "x", citronstream.Op{Key: Key, Value: []byte("no holds")}))
		a.hold(clk, 1)
		require.NoError(t, a.sy.Step(ctx))
		b := newEntry(clk, ta)
		require.NoError(t, b.sy.Step(ctx))
		assertHeld(t, b, 1)
	})
}

// TestLift guards against a lift that does not reach other entries, and against
// an expiry or lift that another entry reverts.
func TestLift(t *testing.T) {
	ctx := context.Background()
	t.Run("lift and expiry", func(t *testing.T) {
		clk, ta, a := setup()
		a.hold(clk, 1)
		a.hold(clk, 2)
		clk.Advance(time.Second)
		require.True(t, a.ho.Lift(1))
		require.NoError(t, a.sy.Step(ctx))
		b := newEntry(clk, ta)
		require.NoError(t, b.sy.Step(ctx))
		assert.Equal(t, []uint64{2}, b.learned)
		clk.Advance(citronstream.DefaultLimits().HoldFor.Std())
		c := newEntry(clk, ta)
		require.NoError(t, c.sy.Step(ctx))
		assert.Empty(t, c.learned)
	})
	t.Run("a lift reaches an entry that holds the content", func(t *testing.T) {
		clk, ta, a := setup()
		a.hold(clk, 1)
		require.NoError(t, a.sy.Step(ctx))
		b := newEntry(clk, ta)
		require.NoError(t, b.sy.Step(ctx))
		assertHeld(t, b, 1)
		clk.Advance(time.Second)
		require.True(t, a.ho.Lift(1))
		a.sy.Changed()
		require.NoError(t, a.sy.Step(ctx))
		require.NoError(t, b.sy.Step(ctx))
		_, held := b.ho.Held(1)
		assert.False(t, held)
		assert.Equal(t, []uint64{1}, b.lifted, "the other entry reports the lift to its agents")
		require.NoError(t, b.sy.Step(ctx))
		assert.Len(t, b.lifted, 1, "a second read reports nothing")
	})
}

// TestRun guards against a loop that reads more often than the version poll
// or does not write after a hold.
func TestRun(t *testing.T) {
	clk := clockwork.NewFakeClock()
	ta := memtable.New(clk)
	a := newEntry(clk, ta)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	ended := make(chan struct{})
	go func() { defer close(ended); a.sy.Run(ctx) }()
	for range 100 {
		require.NoError(t, clk.BlockUntilContext(ctx, 1))
		clk.Advance(200 * time.Millisecond)
	}
	require.NoError(t, clk.BlockUntilContext(ctx, 1))
	assert.LessOrEqual(t, a.sy.Counts().Reads, uint64(13))
	a.hold(clk, 1)
	for {
		if _, err := ta.Get(ctx, Key); !errors.Is(err, citronstream.ErrNotFound) {
			break
		}
		require.NoError(t, ctx.Err())
		require.NoError(t, clk.BlockUntilContext(ctx, 1))
		clk.Advance(time.Millisecond)
	}
	cancel()
	<-ended
}
