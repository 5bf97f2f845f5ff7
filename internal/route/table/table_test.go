package table

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func fleet(version uint64, count int) *citronstream.Fleet {
	fl := &citronstream.Fleet{Version: version, Services: []citronstream.Service{{Name: "desk"}}}
	fl.Regions = []citronstream.Region{{Name: "r", Zones: []citronstream.Zone{{Name: "z0"}, {Name: "z1"}}}}
	for i := range count {
		name := fmt.Sprintf("u%d", i)
		fl.Instances = append(fl.Instances, citronstream.Instance{Name: "i" + name, Zone: fmt.Sprintf("z%d", i%2)})
		fl.Upstreams = append(fl.Upstreams, citronstream.Upstream{Name: name, Service: "desk", Instance: "i" + name, Capacity: 4})
	}
	return fl
}

func setup(t *testing.T) (*Table, *clockwork.FakeClock) {
	t.Helper()
	clk := clockwork.NewFakeClock()
	ta := New(clk)
	require.True(t, ta.Replace(fleet(1, 3)))
	return ta, clk
}

func assertLoad(t *testing.T, ta *Table, want float64) {
	t.Helper()
	assert.InDelta(t, want, ta.Snapshot().Node("u0").Load(), 0.001)
}

func assertState(t *testing.T, ta *Table, st State, src Source) {
	t.Helper()
	got := ta.Snapshot().Node("u0").Status()
	assert.Equal(t, st.String()+" "+src.String(), got.State.String()+" "+got.Source.String())
}

func TestLoad(t *testing.T) {
	// A report must not hide work that was sent after the report was taken.
	t.Run("work within the lag stays counted", func(t *testing.T) {
		ta, clk := setup(t)
		ta.Sent("u0", 0, 5)
		clk.Advance(time.Second)
		ta.Sent("u0", 0, 2)
		ta.Sent("u0", 0, 1)
		ta.Ended("u0", 0, 1)
		require.True(t, ta.Report(citronstream.Load{Upstream: "u0", Seq: 1, Cost: 10}))
		assertLoad(t, ta, 12)
		clk.Advance(time.Second)
		require.True(t, ta.Report(citronstream.Load{Upstream: "u0", Seq: 2, Cost: 10}))
		assertLoad(t, ta, 10)
	})
	// A delayed report must not overwrite a newer load.
	t.Run("older report is dropped", func(t *testing.T) {
		ta, _ := setup(t)
		require.True(t, ta.Report(citronstream.Load{Upstream: "u0", Seq: 2, Epoch: 3, Cost: 1}))
		assert.False(t, ta.Report(citronstream.Load{Upstream: "u0", Seq: 2, Epoch: 3, Cost: 9}))
		assert.False(t, ta.Report(citronstream.Load{Upstream: "u0", Seq: 7, Epoch: 2, Cost: 9}))
		assertLoad(t, ta, 1)
		assert.True(t, ta.Report(citronstream.Load{Upstream: "u0", Seq: 1, Epoch: 4, Cost: 9}))
	})
	// An agent that restarts without an epoch counts its reports from 1 again;
	// they must not be dropped as old.
	t.Run("new link restarts the sequence", func(t *testing.T) {
		ta, _ := setup(t)
		require.True(t, ta.Report(citronstream.Load{Upstream: "u0", Seq: 9}))
		ta.Connected("u0", 0)
		assert.True(t, ta.Report(citronstream.Load{Upstream: "u0", Seq: 1}))
	})
	// A configuration change must not make loaded upstreams look idle.
	t.Run("replaced fleet keeps live state", func(t *testing.T) {
		ta, _ := setup(t)
		ta.Sent("u0", 0, 3)
		ta.Mark("u0", FromLink, Suspect)
		require.True(t, ta.Replace(fleet(2, 2)))
		assertLoad(t, ta, 3)
		assertState(t, ta, Suspect, FromLink)
		assert.Equal(t, 2, ta.Len())
		assert.False(t, ta.Replace(fleet(1, 3)))
	})
	// If the pick count restarted, diversions would be refused until it caught up.
	t.Run("replaced fleet keeps the diversion budget valid", func(t *testing.T) {
		ta, _ := setup(t)
		turn := func() uint64 { return ta.Snapshot().Service("desk").PickCount.Add(100) }
		require.True(t, ta.Snapshot().Node("u0").TryDivert(turn(), 10))
		assert.False(t, ta.Snapshot().Node("u0").TryDivert(105, 10))
		require.True(t, ta.Replace(fleet(2, 3)))
		assert.True(t, ta.Snapshot().Node("u0").TryDivert(turn(), 10))
	})
}

func TestState(t *testing.T) {
	list := func(leaving bool) []citronstream.InstanceState {
		return []citronstream.InstanceState{{Instance: "iu0", Leaving: leaving}}
	}
	// The platform's list lags: it must not bring back an upstream that announced
	// that it leaves.
	t.Run("announcement outlasts the list", func(t *testing.T) {
		ta, _ := setup(t)
		ta.Report(citronstream.Load{Upstream: "u0", Seq: 1, Epoch: 1, Leaving: true})
		ta.ApplyList(list(true))
		ta.ApplyList(list(false))
		ta.Report(citronstream.Load{Upstream: "u0", Seq: 2, Epoch: 1})
		assertState(t, ta, Leaving, FromAnnouncement)
		ta.Report(citronstream.Load{Upstream: "u0", Seq: 1, Epoch: 2})
		assertState(t, ta, Live, FromNone)
	})
	t.Run("list first, then gone from it", func(t *testing.T) {
		ta, _ := setup(t)
		ta.ApplyList(nil)
		assertState(t, ta, Live, FromNone)
		ta.ApplyList(list(true))
		ta.Mark("u0", FromAnnouncement, Leaving)
		assertState(t, ta, Leaving, FromList)
		ta.ApplyList(nil)
		assertState(t, ta, Gone, FromList)
	})
	t.Run("missed heartbeat and return", func(t *testing.T) {
		ta, _ := setup(t)
		ta.Mark("u0", FromHeartbeat, Suspect)
		ta.Mark("u0", FromLink, Suspect)
		assertState(t, ta, Suspect, FromHeartbeat)
		ta.Connected("u0", 1)
		assertState(t, ta, Live, FromNone)
	})
}

func TestOwner(t *testing.T) {
	ta, _ := setup(t)
	ta.Report(citronstream.Load{Upstream: "u0", Seq: 1, Epoch: 1, Slots: []int{5, 6, 99}})
	ta.Report(citronstream.Load{Upstream: "u1", Seq: 1, Epoch: 2, Slots: []int{5}})
	assertOwner := func(t *testing.T, slot int, want string) {
		t.Helper()
		got, ok := ta.Owner("desk", slot)
		assert.Equal(t, want, got)
		assert.Equal(t, want != "", ok)
	}
	// After a takeover, calls with an idempotency key must not follow the last
	// report of the former owner.
	t.Run("highest epoch", func(t *testing.T) { assertOwner(t, 5, "u1") })
	t.Run("only one", func(t *testing.T) { assertOwner(t, 6, "u0") })
	t.Run("nobody", func(t *testing.T) { assertOwner(t, 7, "") })
	t.Run("leaving owner gets none, nor does a stale one", func(t *testing.T) {
		ta.Mark("u1", FromAnnouncement, Leaving)
		assertOwner(t, 5, "")
	})
}
