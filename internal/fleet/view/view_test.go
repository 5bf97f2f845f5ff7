package view

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// member decodes rows of the form "service address born", where born is given as
// the length of the field and a fourth field means draining.
func member(row citronstream.Row) (citronstream.Member, error) {
	field := strings.Fields(string(row.Value))
	if len(field) < 3 {
		return citronstream.Member{}, errors.New("malformed")
	}
	return citronstream.Member{ID: row.Key, Service: field[0], Address: field[1], StartedMs: int64(len(field[2])), Draining: len(field) > 3}, nil
}

func routing(value []byte) (*citronstream.Routing, error) {
	if len(value) == 0 {
		return nil, errors.New("empty")
	}
	return &citronstream.Routing{Version: uint64(value[0] - '0'), Routes: []citronstream.Route{
		{Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "short", Host: "h", Prefix: "/a/"},
	}}, nil
}

func newView() (*View, *clockwork.FakeClock, *[]string) {
	clk := clockwork.NewFakeClock()
	vi := New(clk, logr.Discard(), Decode{Routing: routing, Member: member, ConfigKey: "op/config"})
	news := &[]string{}
	vi.OnChange(func(changes []citronstream.Change, _ string) {
		for _, ch := range changes {
			*news = append(*news, ch.Key)
		}
	})
	return vi, clk, news
}

func row(key string, version uint64, value string) citronstream.Change {
	return citronstream.Change{Row: citronstream.Row{Key: key, Version: version, Value: []byte(value)}}
}

func removal(key string, version uint64) citronstream.Change {
	return citronstream.Change{Row: citronstream.Row{Key: key, Version: version}, Deleted: true}
}

func apply(vi *View, changes ...citronstream.Change) { vi.Apply(changes, SourceStore) }

// Rows come from the store and from peers in any order; the newest version must win.
func TestNewestVersionWins(t *testing.T) {
	vi, _, _ := newView()
	apply(vi, row("i", 5, "s a:1 x"), removal("i", 7))
	assert.Empty(t, vi.Members().Service("s"))
	apply(vi, row("i", 6, "s a:1 x"))
	assert.Empty(t, vi.Members().Service("s"), "an old row must not bring back a removed upstream")
	apply(vi, row("i", 8, "s a:1 x"))
	assert.Len(t, vi.Members().Service("s"), 1)
}

func TestDrainingTakesNoWork(t *testing.T) {
	vi, _, _ := newView()
	apply(vi, row("i", 1, "s a:1 x"), row("j", 2, "s a:2 x"))
	apply(vi, row("i", 3, "s a:1 x draining"))
	assert.Len(t, vi.Members().Service("s"), 1)
	assert.NotNil(t, vi.Members().ServiceAt("s", "a:1"), "its results can still be fetched")
}

// Guards against a row of another service that takes an upstream's address, to which its
// results are then released.
func TestServiceAt(t *testing.T) {
	vi, _, _ := newView()
	apply(vi, row("i", 1, "s a:1 xx"), row("j", 2, "s a:1 x"), row("k", 3, "other a:1 xxxx"), row("l", 4, "third a:2 x"))
	ms := vi.Members()
	assert.Equal(t, "i", ms.ServiceAt("s", "a:1").ID, "it started after the other one of its service")
	assert.Equal(t, "k", ms.ServiceAt("other", "a:1").ID)
	assert.Nil(t, ms.ServiceAt("s", "a:2"))
	assert.Nil(t, ms.ServiceAt("s", "a:3"))
	assert.Len(t, ms.At("a:1"), 3)
	assert.Equal(t, "k", ms.At("a:1")[0].ID)
}

// A heartbeat must keep the recorded outcomes of an upstream, and isn't sent to peers.
func TestHeartbeat(t *testing.T) {
	vi, _, news := newView()
	apply(vi, row("i", 1, "s a:1 x"))
	before := vi.Members().Node("i")
	apply(vi, row("i", 2, "s a:1 x"))
	assert.Same(t, before, vi.Members().Node("i"))
	assert.Len(t, *news, 1)
	apply(vi, row("i", 3, "s a:1 xx"))
	assert.NotSame(t, before, vi.Members().Node("i"), "a restart under the same name has no recorded outcomes")
}

// A malformed row must remove its own upstream and no other.
func TestMalformedRow(t *testing.T) {
	vi, _, _ := newView()
	apply(vi, row("i", 1, "s a:1 x"), row("j", 2, "s a:2 x"), row("i", 3, "?"))
	assert.Len(t, vi.Members().Service("s"), 1)
}

// Rows expire while the store is unreachable, because heartbeats can't reach it.
// The upstreams must stay in use until they have had time to write them again.
func TestExpiryGrace(t *testing.T) {
	vi, clk, _ := newView()
	apply(vi, row("i", 1, "s a:1 x"), row("j", 2, "s a:2 x"), row("k", 3, "s a:3 x draining"))
	vi.RecordStoreFailure()
	clk.Advance(time.Second)
	apply(vi, removal("i", 4), removal("j", 5), removal("k", 6))
	assert.Len(t, vi.Members().Service("s"), 2)
	assert.Nil(t, vi.Members().Node("k"), "a draining upstream gets no grace period")
	apply(vi, row("i", 7, "s a:1 x"))
	clk.Advance(expiryGrace)
	vi.Sweep()
	assert.Len(t, vi.Members().Service("s"), 1, "the row was not written again")
	apply(vi, removal("i", 8))
	assert.Empty(t, vi.Members().Service("s"), "with the store reachable, a removal applies at once")
}

// Guards against a log line at each read of a malformed row: each version costs one.
func TestMalformedRowsAreLoggedOnce(t *testing.T) {
	for name, ch := range map[string]citronstream.Change{
		"upstream":               row("servers/i", 5, "?"),
		"configuration":          row("op/config", 5, ""),
		"older configuration":    row("op/config", 5, "1"),
		"row of no known prefix": row("op/note", 5, "?"),
	} {
		t.Run(name, func(t *testing.T) {
			lines := 0
			log := funcr.New(func(string, string) { lines++ }, funcr.Options{})
			vi := New(clockwork.NewFakeClock(), log, Decode{Routing: routing, Member: member, ConfigKey: "op/config", MemberPrefix: "servers/"})
			apply(vi, row("op/config", 1, "2"))
			lines = 0
			for range 3 {
				vi.Apply([]citronstream.Change{ch}, SourceStore)
				vi.Apply([]citronstream.Change{ch}, "peer")
				vi.Replace("servers", []citronstream.Row{ch.Row}, 6, SourceStore)
				vi.Sweep()
			}
			assert.LessOrEqual(t, lines, 1)
			again := ch
			again.Version = 7
			apply(vi, again)
			assert.LessOrEqual(t, lines, 2)
			apply(vi, row("op/config", 8, "3"))
			assert.Equal(t, uint64(3), vi.Routes().Version)
		})
	}
}

// Guards against large rows of another writer that are kept and sent to all peers.
func TestMalformedValues(t *testing.T) {
	vi, _, _ := newView()
	large := strings.Repeat("x", 60000)
	assertValues := func(list []citronstream.Change, want ...string) {
		t.Helper()
		var have []string
		for _, ch := range list {
			have = append(have, string(ch.Value))
		}
		assert.ElementsMatch(t, want, have)
	}
	changes := []citronstream.Change{row("i", 1, large), row("j", 2, "s a:2 x"), row("k", 3, "s a:3 x"), row("k", 4, large)}
	assertValues(vi.Apply(changes, SourceStore), "s a:2 x", "s a:3 x", "")
	assertValues(vi.Trim(changes), "", "s a:2 x", "s a:3 x", "")
	assertValues(changes, large, "s a:2 x", "s a:3 x", large)
	assertValues(vi.State(citronstream.StateQuery{}), "", "s a:2 x", "")
	again := []citronstream.Change{row("i", 1, large), row("j", 2, "s a:2 x")}
	assert.Empty(t, vi.Apply(again, SourceStore))
	assertValues(vi.Trim(again), "", "s a:2 x")
	assert.Nil(t, vi.Members().Node("k"))
}

// Guards against an upstream made from a row of another table, and against its removal
// and return, with log lines, at each scan of the two tables.
func TestRowOfAnotherTable(t *testing.T) {
	clk := clockwork.NewFakeClock()
	vi := New(clk, logr.Discard(), Decode{Routing: routing, Member: member, ConfigKey: "op/config", MemberPrefix: "servers/"})
	assert.Empty(t, vi.Apply([]citronstream.Change{row("op/note", 1, "s a:1 x"), row("op/?", 2, "?")}, SourceStore))
	assert.Len(t, vi.Apply([]citronstream.Change{row("servers/i", 3, "s a:1 x"), row("op/config", 4, "1")}, SourceStore), 2)
	assert.Empty(t, vi.Apply([]citronstream.Change{removal("op/note", 5), removal("op/none", 6)}, SourceStore))
	assert.Equal(t, 1, vi.Members().Len())
	assert.Len(t, vi.State(citronstream.StateQuery{}), 2)
}

// A scan must find the removals that the change feed missed.
func TestScan(t *testing.T) {
	vi := New(clockwork.NewFakeClock(), logr.Discard(), Decode{Routing: routing, Member: member, ConfigKey: "op/config", MemberPrefix: "servers/"})
	apply(vi, row("servers/i", 1, "s a:1 x"), row("servers/j", 9, "s a:2 x"))
	vi.Replace("servers", []citronstream.Row{{Key: "servers/k", Version: 4, Value: []byte("s a:3 x")}}, 5, SourceStore)
	assert.Nil(t, vi.Members().Node("servers/i"))
	assert.NotNil(t, vi.Members().Node("servers/j"), "written after the scan")
	assert.NotNil(t, vi.Members().Node("servers/k"))
}

// Guards against an upstream that was removed just before a process started and that a peer,
// which has not heard of the removal, brings back for good.
func TestRemovedRowDoesNotComeBack(t *testing.T) {
	start := func() *View {
		return New(clockwork.NewFakeClock(), logr.Discard(), Decode{Routing: routing, Member: member, ConfigKey: "op/config", MemberPrefix: "servers/"})
	}
	kept := []citronstream.Row{{Key: "servers/j", Version: 60, Value: []byte("s a:2 x")}}
	state := []citronstream.Change{row("servers/i", 78, "s a:1 x"), row("servers/j", 60, "s a:2 x"), row("servers/k", 140, "s a:3 x")}
	check := func(t *testing.T, vi *View) {
		t.Helper()
		assert.Nil(t, vi.Members().Node("servers/i"), "removed at 137")
		assert.NotNil(t, vi.Members().Node("servers/j"))
		assert.NotNil(t, vi.Members().Node("servers/k"), "written after the scan")
	}
	t.Run("scan first", func(t *testing.T) {
		vi := start()
		vi.Replace("servers", kept, 137, SourceStore)
		vi.Apply(state, "peer")
		check(t, vi)
		vi.Apply([]citronstream.Change{row("servers/i", 150, "s a:1 x")}, "peer")
		assert.NotNil(t, vi.Members().Node("servers/i"), "written again")
	})
	t.Run("peer first", func(t *testing.T) {
		vi := start()
		vi.Apply(state, "peer")
		vi.Replace("servers", kept, 137, SourceStore)
		check(t, vi)
	})
	t.Run("scan of another table", func(t *testing.T) {
		vi := start()
		vi.Replace("op", nil, 137, SourceStore)
		vi.Apply(state, "peer")
		assert.NotNil(t, vi.Members().Node("servers/i"))
	})
	t.Run("older scan later", func(t *testing.T) {
		vi := start()
		vi.Replace("servers", kept, 137, SourceStore)
		vi.Replace("servers", []citronstream.Row{state[0].Row, kept[0]}, 100, SourceStore)
		assert.Nil(t, vi.Members().Node("servers/i"))
		assert.NotNil(t, vi.Members().Node("servers/j"))
	})
	t.Run("after the removal is forgotten", func(t *testing.T) {
		vi, clk, _ := newView()
		apply(vi, row("i", 78, "s a:1 x"), removal("i", 137))
		clk.Advance(tombstoneTTL + time.Second)
		vi.Sweep()
		vi.Apply([]citronstream.Change{row("i", 78, "s a:1 x")}, "peer")
		assert.Nil(t, vi.Members().Node("i"))
	})
}

// An invalid or older configuration must leave the current one in force.
func TestConfiguration(t *testing.T) {
	vi, _, _ := newView()
	assert.Nil(t, vi.Routes())
	apply(vi, row("op/config", 5, "3"))
	for _, ch := range []citronstream.Change{row("op/config", 4, "4"), row("op/config", 6, ""), row("op/config", 7, "2"), removal("op/config", 8)} {
		apply(vi, ch)
		assert.Equal(t, uint64(3), vi.Routes().Version)
	}
	apply(vi, row("op/config", 9, "4"))
	assert.Equal(t, uint64(4), vi.Routes().Version)
	assert.Equal(t, uint64(9), vi.Revision())
	apply(vi, row("op/config", 11, ""), row("op/config", 12, "2"))
	for revision, want := range map[uint64]bool{8: false, 9: false, 10: true, 11: false, 12: false, 13: true} {
		assert.Equal(t, want, vi.Wants(revision), "revision %d", revision)
	}
	for revision := range uint64(100) {
		apply(vi, row("op/config", 20+revision, ""))
	}
	assert.Len(t, vi.refused, maxRefused)
}

func TestFindRoute(t *testing.T) {
	vi, _, _ := newView()
	apply(vi, row("op/config", 1, "1"))
	for path, want := range map[string]string{"/a/b/c": "long", "/a/x": "short", "/a/b": "short", "/b/": ""} {
		got := ""
		if ro := vi.Routes().Find("H:80", path); ro != nil {
			got = ro.Name
		}
		assert.Equal(t, want, got, path)
	}
	assert.Nil(t, vi.Routes().Find("other", "/a/"))
}

// A peer without any state must get all rows, including removals.
func TestState(t *testing.T) {
	vi, _, _ := newView()
	apply(vi, row("op/config", 1, "1"), row("i", 2, "s a:1 x"), row("j", 3, "s a:2 x"), removal("j", 4))
	other, _, _ := newView()
	other.Apply(vi.State(citronstream.StateQuery{}), "peer")
	assert.Equal(t, uint64(1), other.Revision())
	assert.NotNil(t, other.Members().Node("i"))
	apply(other, row("j", 3, "s a:2 x"))
	assert.Nil(t, other.Members().Node("j"))
	assert.Len(t, vi.State(citronstream.StateQuery{Revision: 1}), 2, "a configuration that the peer has is not sent again")
}

// zoned decodes rows of the form "service address born zone".
func zoned(row citronstream.Row) (citronstream.Member, error) {
	mb, err := member(citronstream.Row{Key: row.Key, Value: row.Value[:strings.LastIndex(string(row.Value), " ")]})
	mb.Zone = string(row.Value[strings.LastIndex(string(row.Value), " ")+1:])
	return mb, err
}

func newViewOfZones() *View {
	vi := New(clockwork.NewFakeClock(), logr.Discard(), Decode{Routing: routing, Member: zoned, ConfigKey: "op/config", MemberPrefix: "servers/", EvacuationPrefix: "op/evacuate/"})
	apply(vi, row("servers/i", 1, "s a:1 x z1"), row("servers/j", 2, "s a:2 x z2"))
	return vi
}

// assertInUse checks how many upstreams take new work.
func assertInUse(t *testing.T, vi *View, count int, text string) {
	t.Helper()
	assert.Len(t, vi.Members().Service("s"), count, text)
}

// Guards against requests to the upstreams of an evacuated zone, and against results of
// work that runs there which can't be found any more.
func TestEvacuatedZone(t *testing.T) {
	vi := newViewOfZones()
	apply(vi, row("op/evacuate/z1", 5, "{}"), row("op/evacuate/nowhere", 6, "not JSON"))
	assertInUse(t, vi, 1, "one zone is evacuated")
	assert.NotNil(t, vi.Members().ServiceAt("s", "a:1"))
	apply(vi, row("servers/k", 7, "s a:3 x z1"))
	assertInUse(t, vi, 1, "an upstream that starts in an evacuated zone")
	apply(vi, removal("op/evacuate/z1", 8))
	assertInUse(t, vi, 3, "the zone was taken back")
}

// Guards against an evacuation and its end in quick succession that arrive in reverse
// order, and against two evacuations of which one ends.
func TestEvacuationsInAnyOrder(t *testing.T) {
	vi := newViewOfZones()
	apply(vi, removal("op/evacuate/z1", 6), row("op/evacuate/z1", 5, "{}"))
	assertInUse(t, vi, 2, "the end is newer")
	apply(vi, row("op/evacuate/z1", 7, "{}"), row("op/evacuate/z2", 8, "{}"))
	assertInUse(t, vi, 0, "all zones are evacuated")
	apply(vi, removal("op/evacuate/z2", 9))
	assertInUse(t, vi, 1, "one is taken back")
}

// Guards against an end of an evacuation that is missed while the store is away or has
// forgotten its history, and against a peer that tells of the evacuation again afterwards.
func TestScanEndsAnEvacuation(t *testing.T) {
	vi := newViewOfZones()
	apply(vi, row("op/evacuate/z1", 5, "{}"))
	vi.Replace("servers", []citronstream.Row{{Key: "servers/i", Version: 1, Value: []byte("s a:1 x z1")}, {Key: "servers/j", Version: 2, Value: []byte("s a:2 x z2")}}, 9, SourceStore)
	assertInUse(t, vi, 1, "the other table says nothing of zones")
	vi.Replace("op", nil, 9, SourceStore)
	assertInUse(t, vi, 2, "a scan without the row")
	vi.Apply([]citronstream.Change{row("op/evacuate/z2", 7, "{}")}, "peer")
	assertInUse(t, vi, 2, "a peer that has not heard of the end")
}

// Guards against a process that was cut off and hears from a peer only what changes from
// then on.
func TestPeerTellsAllEvacuations(t *testing.T) {
	vi, late := newViewOfZones(), newViewOfZones()
	apply(vi, row("op/evacuate/z1", 5, "{}"))
	late.Apply(vi.State(citronstream.StateQuery{ConfigOnly: true}), "peer")
	assertInUse(t, late, 1, "told on a new link")
	late.ReplaceEvacuated(map[string]uint64{"z2": 7}, 8, "peer")
	assertInUse(t, late, 1, "zone z2 is evacuated, zone z1 was taken back")
	assert.Equal(t, map[string]uint64{"z2": 7}, late.Evacuated())
	late.ReplaceEvacuated(map[string]uint64{"z1": 5}, 6, "slow peer")
	assert.Equal(t, map[string]uint64{"z2": 7}, late.Evacuated(), "an older reading")
}

// Guards against a 421 that is taken for a word of the upstream that was meant, and not of the
// one that has its address now.
func TestLeavingAtTheAddressOfAnother(t *testing.T) {
	vi, _, _ := newView()
	apply(vi, row("i", 1, "s a:1 x"))
	meant := vi.Members().Node("i")
	apply(vi, row("j", 2, "s a:1 xx"))
	vi.Leaves(meant, true)
	leaving, _ := vi.SelfReports()
	assert.Equal(t, 1, leaving)
	inUse := vi.Members().Service("s")
	assert.Len(t, inUse, 1)
	assert.Equal(t, "i", inUse[0].ID)
	vi.Leaves(meant, false)
	assert.Empty(t, vi.Members().Service("s"))
	assert.Len(t, vi.Members().At("a:1"), 2, "results are still fetched")
	vi.RecordStoreFailure()
	apply(vi, removal("i", 3))
	assert.Nil(t, vi.Members().Node("i"), "no grace period for one that leaves")
}

// Guards against requests that are refused for two seconds after all processes were killed
// while the store was away, as the rows of all upstreams have expired.
func TestRestore(t *testing.T) {
	clk := clockwork.NewFakeClock()
	vi := New(clk, logr.Discard(), Decode{Routing: routing, Member: member, ConfigKey: "op/config", MemberPrefix: "servers/"})
	old := []citronstream.Member{{ID: "i", Service: "s", Address: "a:1"}, {ID: "j", Service: "s", Address: "a:2"}, {ID: "k", Service: "s", Address: "a:3", Draining: true}}
	assert.Zero(t, vi.Restore(old), "the store was not away")
	vi.StoreFailed(clk.Now())
	vi.StoreAnswered(7, clk.Now())
	vi.Replace("servers", nil, 7, SourceStore)
	assert.Equal(t, 2, vi.Restore(old))
	assertInUse(t, vi, 2, "one was leaving")
	apply(vi, row("servers/i", 9, "s a:1 x"))
	assert.Len(t, vi.State(citronstream.StateQuery{}), 1, "peers are not told what was restored")
	clk.Advance(2300 * time.Millisecond)
	vi.Sweep()
	assertInUse(t, vi, 1, "the row of the other one is not back")
	assert.Zero(t, vi.Restore(old), "the grace period has ended")
}

// Guards against a starting gateway that accepts requests before the evacuations of the same
// read are in force.
func TestEvacuationsBeforeConfiguration(t *testing.T) {
	vi := newViewOfZones()
	seen := 0
	vi.OnMembers(func(ms *Members) {
		if seen++; seen == 1 {
			assert.True(t, ms.Evacuated("z1"))
			assert.Nil(t, vi.Routes(), "no request is accepted yet")
		}
	})
	vi.Replace("op", []citronstream.Row{{Key: "op/config", Version: 1, Value: []byte("1")}, {Key: "op/evacuate/z1", Version: 2}}, 3, SourceStore)
	assert.Equal(t, 1, seen)
	assert.NotNil(t, vi.Routes())
	t.Run("and peers are told them in this order", func(t *testing.T) {
		state := vi.State(citronstream.StateQuery{})
		if assert.Len(t, state, 4) {
			assert.Equal(t, "op/evacuate/z1", state[0].Key)
		}
	})
}

// Guards against upstreams of before the start that are restored though only some of them
// have left, and against ones that stay without a row.
func TestRestoreExpired(t *testing.T) {
	list := []citronstream.Member{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}, {ID: "c", Service: "s"}}
	t.Run("few missing", func(t *testing.T) {
		vi, _, _ := newView()
		apply(vi, row("a", 5, "s a:1 x"), row("b", 6, "s b:1 x"))
		assert.Zero(t, vi.RestoreExpired(list))
		assert.Equal(t, 2, vi.Members().Len())
	})
	t.Run("most missing", func(t *testing.T) {
		vi, clk, _ := newView()
		apply(vi, row("a", 5, "s a:1 x"))
		assert.Equal(t, 2, vi.RestoreExpired(list))
		assert.Equal(t, 3, vi.Members().Len())
		clk.Advance(expiryGrace)
		vi.Sweep()
		assert.Equal(t, 1, vi.Members().Len())
	})
}
