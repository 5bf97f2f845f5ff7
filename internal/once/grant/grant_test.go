package grant

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

type fixture struct {
	clk  *clockwork.FakeClock
	ta   *memtable.Table
	list []citronstream.InstanceState
}

func newFixture() *fixture {
	clk := clockwork.NewFakeClock()
	return &fixture{clk: clk, ta: memtable.New(clk)}
}

func (fi *fixture) List(context.Context) ([]citronstream.InstanceState, error) { return fi.list, nil }

func (fi *fixture) agent(upstream, address string) *Grant {
	fi.list = append(fi.list, citronstream.InstanceState{Instance: "i-" + address})
	return New(Settings{upstream, "desk", "i-" + address, address}, fi.ta, fi, fi.clk)
}

func steps(n int, grants ...*Grant) {
	for range n {
		for _, gr := range grants {
			gr.Step(context.Background())
		}
	}
}

// TestShare guards against slots with two owners and an uneven distribution.
func TestShare(t *testing.T) {
	fi := newFixture()
	a, b, c := fi.agent("a", "1"), fi.agent("b", "2"), fi.agent("c", "3")
	steps(1, a)
	assert.Len(t, a.Owned(), SlotCount)
	fi.ta.SetLoseAnswers(3)
	steps(8, a, b, c)
	owners := make(map[int]int)
	for _, gr := range []*Grant{a, b, c} {
		assert.LessOrEqual(t, len(gr.Owned()), 22)
		for _, slot := range gr.Owned() {
			owners[slot]++
		}
	}
	assert.Len(t, owners, SlotCount)
	for slot, n := range owners {
		assert.Equal(t, 1, n, "slot %d", slot)
	}
}

// TestConditions guards against a takeover from an owner that may still be running.
func TestConditions(t *testing.T) {
	for name, tc := range map[string]struct {
		setUp func(fi *fixture, b *Grant)
		taken bool
	}{
		"nothing known": {func(*fixture, *Grant) {}, false},
		"delisted":      {func(fi *fixture, _ *Grant) { fi.list = fi.list[1:] }, true},
		"empty list":    {func(fi *fixture, _ *Grant) { fi.list = nil }, false},
		"never listed":  {func(fi *fixture, b *Grant) { fi.list = fi.list[1:]; clear(b.seen) }, false},
		"not expired":   {func(fi *fixture, _ *Grant) { fi.clk.Advance(90*time.Minute + 59*time.Second) }, false},
		"expired":       {func(fi *fixture, _ *Grant) { fi.clk.Advance(91*time.Minute + time.Second) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			fi := newFixture()
			a, b := fi.agent("a", "1"), fi.agent("b", "2")
			steps(1, a)
			steps(2, b)
			tc.setUp(fi, b)
			steps(2, b)
			assert.Equal(t, tc.taken, b.Counts().Takeovers == 1)
			a.Step(context.Background())
			assert.Equal(t, tc.taken, a.Counts().Lost == 1, "the old owner must notice the new epoch")
			for _, slot := range b.Owned() {
				assert.False(t, b.OwnedSlot(slot).DoubtTo.IsZero(), "a takeover adds an interval of uncertainty")
			}
		})
	}
	t.Run("same address", func(t *testing.T) {
		fi := newFixture()
		steps(1, fi.agent("a", "1"))
		other, same := fi.agent("a", "2"), fi.agent("a", "1")
		steps(1, other)
		assert.Nil(t, other.Lease(), "a process at another address must not start")
		steps(1, same)
		require.NotNil(t, same.Lease())
		assert.Equal(t, uint64(2), same.Lease().Epoch)
	})
}

// TestDrain guards against a drain that leaves slots owned or with a doubt.
func TestDrain(t *testing.T) {
	fi := newFixture()
	a, b := fi.agent("a", "1"), fi.agent("b", "2")
	steps(1, a)
	a.draining.Store(true)
	steps(1, a)
	require.NoError(t, a.Drain(t.Context()))
	steps(2, b)
	assert.Len(t, b.Owned(), SlotCount)
	assert.True(t, b.OwnedSlot(0).DoubtTo.IsZero())
	token, ok := b.Token()
	assert.True(t, ok)
	assert.Zero(t, token)
	require.NoError(t, b.RaiseToken(t.Context(), 9))
	token, _ = b.Token()
	assert.Equal(t, uint64(9), token)
}

// TestLiftedDoubt guards against an owner that keeps refusing keys after an
// operator has removed the doubt from the row, because the request for a step
// came within minRequestInterval of an earlier one and was dropped.
func TestLiftedDoubt(t *testing.T) {
	fi := newFixture()
	a := fi.agent("a", "1")
	steps(2, a)
	fi.clk.Advance(time.Second)
	successor := New(a.Settings(), fi.ta, fi, fi.clk) // same address: the predecessor has ended
	steps(1, successor)
	require.False(t, successor.OwnedSlot(0).DoubtTo.IsZero())

	ctx, cancel := context.WithCancel(t.Context())
	ended := successor.Run(ctx)
	require.NoError(t, fi.clk.BlockUntilContext(ctx, 1)) // the timer between steps
	successor.RequestStep()
	require.Eventually(t, func() bool { return successor.Counts().Renewals >= 2 }, 10*time.Second, time.Millisecond)
	row, err := fi.ta.Get(ctx, SlotsKey("desk"))
	require.NoError(t, err)
	var sl Slots
	require.NoError(t, json.Unmarshal(row.Value, &sl))
	for i := range sl.Slots {
		sl.Slots[i].Doubts = nil
	}
	value, err := json.Marshal(sl)
	require.NoError(t, err)
	require.NoError(t, fi.ta.Write(ctx, "lift", citronstream.Op{Key: SlotsKey("desk"), Value: value, IfVersion: row.Version}))
	successor.RequestStep()
	fi.clk.Advance(minRequestInterval)
	require.Eventually(t, func() bool { return successor.OwnedSlot(0).DoubtTo.IsZero() }, 10*time.Second, time.Millisecond)
	cancel()
	<-ended
}
