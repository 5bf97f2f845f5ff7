package tracker

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

func callWith(key string) Call {
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

// TestResolve guards against a key that ran on a dead agent's grant but gets no
// row, and against a row that overwrites the agent's record.
func TestResolve(t *testing.T) {
	clk := clockwork.NewFakeClock()
	ta := memtable.New(clk)
	tr := New(ta, nil, clk)
	ok := claim.Answer{Status: 200, Unflushed: true}
	for _, key := range []string{"ran", "in-flight", "lost", "flushed", "recorded", "refused", "released"} {
		require.NoError(t, tr.Begin("a", 1, callWith(key)))
	}
	tr.End("a", callWith("ran"), ok, nil)
	tr.Lost("a", callWith("lost"))
	tr.End("a", callWith("flushed"), ok, nil)
	tr.Flushed("a", "desk", []claim.Flushed{{Workspace: "w", Key: "flushed"}})
	tr.End("a", callWith("recorded"), claim.Answer{Status: 200}, nil)
	tr.End("a", callWith("refused"), claim.Answer{}, citronstream.NewFault(citronstream.NotRun, citronstream.CodeLimit, ""))
	released, err := json.Marshal(claim.Row{State: claim.Released})
	require.NoError(t, err)
	require.NoError(t, ta.Write(t.Context(), "", citronstream.Op{Key: claim.RowKey("desk", "w", "released"), Value: released}))

	t.Run("no confirmation while the table is down", func(t *testing.T) {
		ta.SetDown(true)
		defer ta.SetDown(false)
		_, err := tr.Resolve(t.Context(), "a", 1)
		assert.Error(t, err)
	})
	t.Run("rows match the tracked state", func(t *testing.T) {
		ta.SetLoseAnswers(2)
		_, err := tr.Resolve(t.Context(), "a", 1)
		ta.SetLoseAnswers(0)
		require.NoError(t, err)
		for key, state := range map[string]string{
			"ran": claim.Done, "in-flight": claim.Claimed, "lost": claim.Claimed, "released": claim.Claimed,
			"flushed": "", "recorded": "", "refused": "",
		} {
			assert.Equal(t, state, stateOf(t, ta, key), key)
		}
	})
	t.Run("late calls under the resolved epoch are refused", func(t *testing.T) {
		assert.ErrorContains(t, tr.Begin("a", 1, callWith("late")), "stale")
		assert.NoError(t, tr.Begin("a", 2, callWith("late")))
	})
}

// TestFlushedFirst guards against a key that is never dropped because the notice
// of its row arrived before its answer.
func TestFlushedFirst(t *testing.T) {
	clk := clockwork.NewFakeClock()
	tr := New(memtable.New(clk), nil, clk, WithCap(1))
	require.NoError(t, tr.Begin("a", 1, callWith("k")))
	assert.ErrorContains(t, tr.Begin("a", 1, callWith("over")), "limit")
	tr.Flushed("a", "desk", []claim.Flushed{{Workspace: "w", Key: "k"}})
	tr.End("a", callWith("k"), claim.Answer{Status: 200, Unflushed: true}, nil)
	assert.Zero(t, tr.Counts().Keys)
}
