package doubts

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/once/grant"
	"github.com/citronstream/citronstream/internal/operator/report"
	"github.com/citronstream/citronstream/internal/standin/memtable"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// racing calls before, once, between a read of the row and the write that
// follows.
type racing struct {
	*memtable.Table
	before func()
}

func (ra *racing) Write(ctx context.Context, opID string, ops ...citronstream.Op) error {
	if before := ra.before; before != nil {
		ra.before = nil
		before()
	}
	return ra.Table.Write(ctx, opID, ops...)
}

func store(t *testing.T, ta *memtable.Table, sl grant.Slots) {
	t.Helper()
	value, err := json.Marshal(sl)
	require.NoError(t, err)
	row, err := ta.Get(t.Context(), grant.SlotsKey("desk"))
	if err != nil {
		row.Version = 0
	}
	require.NoError(t, ta.Write(t.Context(), citronstream.NewID(), citronstream.Op{Key: grant.SlotsKey("desk"), Value: value, IfVersion: row.Version}))
}

var (
	clk = clockwork.NewFakeClock()
	fl  = &citronstream.Fleet{Limits: citronstream.DefaultLimits(), Services: []citronstream.Service{
		{Name: "catalog", Calls: []citronstream.ServiceCall{{Name: "search", Idempotent: true}}},
		{Name: "desk", Calls: []citronstream.ServiceCall{{Name: "look", Idempotent: true}, {Name: "place"}}},
	}}

	now       = clk.Now().UTC()
	retention = fl.Limits.KeyRetention.Std()

	first   = grant.Doubt{Upstream: "desk-1", Epoch: 1, From: now.Add(-time.Hour), To: now.Add(-30 * time.Minute)}
	second  = grant.Doubt{Upstream: "desk-2", Epoch: 4, From: now.Add(-time.Minute), To: now}
	expired = grant.Doubt{Upstream: "desk-3", Epoch: 2, From: now.Add(-2 * retention), To: now.Add(-retention)}
	lift    = report.LiftDoubt{Service: "desk", Upstream: "desk-1", Epoch: 1}
)

// setup stores a row of slots with three intervals, of which one has expired.
func setup(t *testing.T) (*memtable.Table, grant.Slots) {
	t.Helper()
	ta := memtable.New(clk)
	var sl grant.Slots
	sl.Slots[3] = grant.Slot{Owner: "desk-2", Epoch: 5, Doubts: []grant.Doubt{first, second}}
	sl.Slots[9] = grant.Slot{Owner: "desk-2", Epoch: 5, Doubts: []grant.Doubt{expired, first}}
	store(t, ta, sl)
	return ta, sl
}

func inForce(dt grant.Doubt, slots int) report.Doubt {
	return report.Doubt{Service: "desk", Upstream: dt.Upstream, Epoch: dt.Epoch, From: dt.From, To: dt.To, Until: dt.To.Add(retention), Slots: slots}
}

func requireList(t *testing.T, ta citronstream.Table, all ...report.Doubt) {
	t.Helper()
	found, err := New(clk, ta).List(t.Context(), fl)
	require.NoError(t, err)
	assert.Equal(t, all, found)
}

// Guards against an interval that an operator can't see or lift, and against
// a lift that removes another interval or overwrites an owner's change.
func TestDoubts(t *testing.T) {
	t.Run("list and lift", func(t *testing.T) {
		ta, _ := setup(t)
		requireList(t, ta, inForce(first, 2), inForce(second, 1))
		slots, err := New(clk, ta).Lift(t.Context(), lift)
		require.NoError(t, err)
		assert.Equal(t, 2, slots)
		requireList(t, ta, inForce(second, 1))
		_, err = New(clk, ta).Lift(t.Context(), lift)
		assert.ErrorIs(t, err, citronstream.ErrNotFound)
	})
	t.Run("lost answer", func(t *testing.T) {
		ta, _ := setup(t)
		ta.SetLoseAnswers(1)
		slots, err := New(clk, ta).Lift(t.Context(), lift)
		ta.SetLoseAnswers(0)
		require.NoError(t, err)
		assert.Equal(t, 2, slots)
		requireList(t, ta, inForce(second, 1))
	})
	t.Run("an owner writes at the same time", func(t *testing.T) {
		ta, sl := setup(t)
		ra := &racing{Table: ta, before: func() {
			sl.Slots[3].Owner, sl.Slots[3].Epoch = "desk-1", 2
			store(t, ta, sl)
		}}
		slots, err := New(clk, ra).Lift(t.Context(), lift)
		require.NoError(t, err)
		assert.Equal(t, 2, slots)
		row, err := ta.Get(t.Context(), grant.SlotsKey("desk"))
		require.NoError(t, err)
		var now grant.Slots
		require.NoError(t, json.Unmarshal(row.Value, &now))
		assert.Equal(t, "desk-1", now.Slots[3].Owner)
		requireList(t, ta, inForce(second, 1))
	})
	t.Run("table down", func(t *testing.T) {
		ta, _ := setup(t)
		ta.SetDown(true)
		_, err := New(clk, ta).Lift(t.Context(), lift)
		require.ErrorIs(t, err, citronstream.ErrUnavailable)
		_, err = New(clk, ta).List(t.Context(), fl)
		require.Error(t, err)
	})
}
