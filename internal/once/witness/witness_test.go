package witness

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/claim"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func keyed(key string) Call {
	return Call{Service: "desk", Request: claim.Request{Workspace: "w", Key: key, KeyGiven: true, Digest: 7}}
}

func stateOf(t *testing.T, ta citronstream.Table, key string) string {
	raw, err := ta.Get(context.Background(), claim.RowKey("desk", "w", key))
	if err != nil {
		return ""
	}
	var row claim.Row
	require.NoError(t, json.Unmarshal(raw.Value, &row))
	return row.State
}

// TestSettle guards against a key that ran on a dead agent's grant and gets no
// row, or one that overwrites what the agent has recorded.
func TestSettle(t *testing.T) {
	clk := clockwork.NewFakeClock()
	ta := memtable.New(clk)
	ke := New(ta, nil, clk)
	ok := claim.Answer{Status: 200, Unflushed: true}
	for _, key := range []string{"ran", "flying", "lost", "flushed", "recorded", "refused", "released"} {
		require.NoError(t, ke.Begin("a", 1, keyed(key)))
	}
	ke.End("a", keyed("ran"), ok, nil)
	ke.Lost("a", keyed("lost"))
	ke.End("a", keyed("flushed"), ok, nil)
	ke.Flushed("a", "desk", []claim.Flushed{{Workspace: "w", Key: "flushed"}})
	ke.End("a", keyed("recorded"), claim.Answer{Status: 200}, nil)
	ke.End("a", keyed("refused"), claim.Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeLimit, ""))
	released, err := json.Marshal(claim.Row{State: claim.Released})
	require.NoError(t, err)
	require.NoError(t, ta.Write(t.Context(), "", citronstream.Op{Key: claim.RowKey("desk", "w", "released"), Value: released}))

	t.Run("no confirmation while the table is down", func(t *testing.T) {
		ta.SetDown(true)
		defer ta.SetDown(false)
		_, err := ke.Settle(t.Context(), "a", 1)
		assert.Error(t, err)
	})
	t.Run("rows by what is known", func(t *testing.T) {
		ta.SetLoseAnswers(2)
		_, err := ke.Settle(t.Context(), "a", 1)
		ta.SetLoseAnswers(0)
		require.NoError(t, err)
		for key, state := range map[string]string{
			"ran": claim.Done, "flying": claim.Claimed, "lost": claim.Claimed, "released": claim.Claimed,
			"flushed": "", "recorded": "", "refused": "",
		} {
			assert.Equal(t, state, stateOf(t, ta, key), key)
		}
	})
	t.Run("late calls under the settled epoch are refused", func(t *testing.T) {
		assert.ErrorContains(t, ke.Begin("a", 1, keyed("late")), "stale")
		assert.NoError(t, ke.Begin("a", 2, keyed("late")))
	})
}

// TestFlushedFirst guards against a key that is kept for good because the
// news of its row overtook its answer.
func TestFlushedFirst(t *testing.T) {
	clk := clockwork.NewFakeClock()
	ke := New(memtable.New(clk), nil, clk, WithCap(1))
	require.NoError(t, ke.Begin("a", 1, keyed("k")))
	assert.ErrorContains(t, ke.Begin("a", 1, keyed("over")), "limit")
	ke.Flushed("a", "desk", []claim.Flushed{{Workspace: "w", Key: "k"}})
	ke.End("a", keyed("k"), claim.Answer{Status: 200, Unflushed: true}, nil)
	assert.Zero(t, ke.Counts().Keys)
}
