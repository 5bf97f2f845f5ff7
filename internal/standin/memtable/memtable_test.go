package memtable

import (
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestTable(t *testing.T) {
	clk := clockwork.NewFakeClock()
	ta := New(clk)
	ctx := t.Context()
	op := citronstream.Op{Key: "A/1", Value: []byte("x")}

	// A transaction must write nothing when one condition fails.
	t.Run("all or nothing", func(t *testing.T) {
		require.NoError(t, ta.Write(ctx, "1", op))
		err := ta.Write(ctx, "2", citronstream.Op{Key: "A/2", Value: []byte("y")}, op)
		require.ErrorIs(t, err, citronstream.ErrConflict)
		_, err = ta.Get(ctx, "A/2")
		assert.ErrorIs(t, err, citronstream.ErrNotFound)
	})
	t.Run("repeat of an operation is harmless", func(t *testing.T) {
		require.NoError(t, ta.Write(ctx, "1", op))
		row, err := ta.Get(ctx, "A/1")
		require.NoError(t, err)
		assert.Equal(t, uint64(1), row.Version)
	})
	t.Run("write with a lost answer takes effect", func(t *testing.T) {
		ta.SetLoseAnswers(1)
		defer ta.SetLoseAnswers(0)
		require.ErrorIs(t, ta.Write(ctx, "3", citronstream.Op{Key: "A/3"}), citronstream.ErrUnknownOutcome)
		_, err := ta.Get(ctx, "A/3")
		assert.NoError(t, err)
	})
	t.Run("expired rows are not found", func(t *testing.T) {
		require.NoError(t, ta.Write(ctx, "4", citronstream.Op{Key: "A/4", Expires: clk.Now().Add(time.Second)}))
		clk.Advance(time.Second)
		_, err := ta.Get(ctx, "A/4")
		assert.ErrorIs(t, err, citronstream.ErrNotFound)
	})
}
