package view

import (
	"fmt"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// at returns a version of an era.
func at(era, count uint64) uint64 {
	version, err := citronstream.NewVersion(era, count)
	if err != nil {
		panic(err)
	}
	return version
}

// beat returns a row of the upstream i.
func beat(version uint64, born, sequence int, state string) citronstream.Change {
	return row("servers/i", version, fmt.Sprintf("%d %d %s", born, sequence, state))
}

func newViewOfCopies(opts ...Option) (*View, *clockwork.FakeClock) {
	clk := clockwork.NewFakeClock()
	decode := func(row citronstream.Row) (mb citronstream.Member, err error) {
		state := ""
		mb = citronstream.Member{ID: row.Key, Service: "s", Address: "a:1", Zone: "z", Revision: row.Version}
		_, err = fmt.Sscan(string(row.Value), &mb.StartedMs, &mb.Sequence, &state)
		mb.Draining = state == "draining"
		return mb, err
	}
	return New(clk, logr.Discard(), Decode{Routing: routing, Member: decode, ConfigKey: "op/config", MemberPrefix: "servers/", EvacuationPrefix: "op/evacuate/"}, opts...), clk
}

func replace(vi *View, version uint64, changes ...citronstream.Change) {
	rows := make([]citronstream.Row, len(changes))
	for i, ch := range changes {
		rows[i] = ch.Row
	}
	vi.StoreAnswered(version, vi.clk.Now())
	vi.Replace("servers", rows, version, SourceStore)
}

// Guards against a configuration that is ignored, as its version is lower in the new era, and
// against an older one of the copy that replaces that in force.
func TestConfigOfCopy(t *testing.T) {
	vi, _ := newViewOfCopies()
	apply(vi, row("op/config", at(1, 50), "7"))
	apply(vi, row("op/config", at(2, 10), "6"))
	assert.Equal(t, uint64(7), vi.Routes().Version)
	apply(vi, row("op/config", at(2, 11), "7"), row("op/config", at(2, 12), "9"))
	assert.Equal(t, uint64(9), vi.Routes().Version)
	apply(vi, row("op/config", at(1, 90), "8"))
	assert.Equal(t, at(2, 12), vi.Revision(), "a peer tells news of the era before")
}

// Guards against an upstream that left, whose older row in a copy of the store brings it back.
func TestOlderRowOfCopy(t *testing.T) {
	cases := []struct {
		name  string
		known []citronstream.Change
		copy  citronstream.Change
		inUse bool
	}{
		{"removed", []citronstream.Change{beat(at(1, 50), 1, 9, "ready"), removal("servers/i", at(1, 51))}, beat(at(2, 40), 1, 8, "ready"), false},
		{"removed after its last row", []citronstream.Change{beat(at(1, 50), 1, 9, "ready"), removal("servers/i", at(1, 51))}, beat(at(2, 40), 1, 9, "ready"), false},
		{"draining", []citronstream.Change{beat(at(1, 50), 1, 9, "draining")}, beat(at(2, 40), 1, 8, "ready"), false},
		{"started anew and draining", []citronstream.Change{beat(at(1, 50), 2, 1, "draining")}, beat(at(2, 40), 1, 8, "ready"), false},
		{"in use", []citronstream.Change{beat(at(1, 50), 1, 9, "ready")}, beat(at(2, 40), 1, 8, "draining"), true},
		{"written since", []citronstream.Change{beat(at(1, 50), 1, 9, "draining")}, beat(at(2, 40), 1, 10, "ready"), true},
		{"started since", []citronstream.Change{beat(at(1, 50), 1, 9, "ready"), removal("servers/i", at(1, 51))}, beat(at(2, 40), 2, 1, "ready"), true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			vi, _ := newViewOfCopies()
			apply(vi, tc.known...)
			replace(vi, at(2, 45), tc.copy)
			assert.Len(t, vi.Members().Service("s"), map[bool]int{true: 1}[tc.inUse])
			peer, _ := newViewOfCopies()
			apply(peer, beat(at(1, 30), 1, 1, "ready")) // it has missed the news since
			peer.Apply(vi.Trim([]citronstream.Change{tc.copy}), "peer")
			assert.Len(t, peer.Members().Service("s"), map[bool]int{true: 1}[tc.inUse], "what a peer is told of the row")
			apply(vi, beat(at(1, 60), 1, 11, "ready")) // of a peer in the era before
			assert.Len(t, vi.Members().Service("s"), map[bool]int{true: 1}[tc.inUse])
			apply(vi, beat(at(2, 46), 3, 1, "ready"))
			assert.Len(t, vi.Members().Service("s"), 1, "its next row is news")
		})
	}
}

// Guards against upstreams that are gone at once as a copy of the store lacks their rows,
// though they write them again, and against removals after the return that are delayed.
func TestRowMissingInCopy(t *testing.T) {
	known := func() (*View, *clockwork.FakeClock) {
		vi, clk := newViewOfCopies(WithHeartbeat(time.Second))
		replace(vi, at(1, 40))
		clk.Advance(time.Second)
		apply(vi, beat(at(1, 50), 1, 1, "ready"))
		return vi, clk
	}
	t.Run("used until its grace period ends", func(t *testing.T) {
		vi, clk := known()
		replace(vi, at(2, 45))
		assertInUse(t, vi, 1, "its writer has had no time to write it again")
		clk.Advance(expiryGrace)
		vi.Sweep()
		assertInUse(t, vi, 0, "it stays in use")
	})
	t.Run("written again", func(t *testing.T) {
		vi, clk := known()
		replace(vi, at(2, 45))
		apply(vi, beat(at(2, 46), 1, 2, "ready"))
		clk.Advance(expiryGrace)
		vi.Sweep()
		assertInUse(t, vi, 1, "it is gone though it was written again")
		apply(vi, removal("servers/i", at(2, 47)))
		assertInUse(t, vi, 0, "it was removed")
	})
	t.Run("removed after the return", func(t *testing.T) {
		vi, _ := known()
		replace(vi, at(2, 45), beat(at(2, 44), 1, 2, "ready"))
		apply(vi, beat(at(2, 46), 1, 3, "ready"), removal("servers/i", at(2, 47)))
		assertInUse(t, vi, 0, "its row was written after the return")
	})
}

// Guards against requests to an evacuated zone whose row the copy lacks until operators write
// it again, and against a zone that stays evacuated if they don't.
func TestEvacuationMissingInCopy(t *testing.T) {
	known := func() (*View, *clockwork.FakeClock) {
		vi, clk := newViewOfCopies()
		apply(vi, beat(at(1, 10), 1, 1, "ready"), row("op/evacuate/z", at(1, 50), "{}"))
		vi.StoreAnswered(at(2, 45), clk.Now())
		vi.Replace("op", nil, at(2, 45), SourceStore)
		assertInUse(t, vi, 0, "the evacuation is forgotten")
		return vi, clk
	}
	t.Run("written again", func(t *testing.T) {
		vi, clk := known()
		apply(vi, row("op/evacuate/z", at(2, 46), "{}"))
		clk.Advance(expiryGrace)
		vi.Sweep()
		assertInUse(t, vi, 0, "the evacuation has ended though it was written again")
		vi.Replace("op", nil, at(2, 47), SourceStore)
		assertInUse(t, vi, 1, "it was taken back")
	})
	t.Run("not written again", func(t *testing.T) {
		vi, clk := known()
		clk.Advance(expiryGrace)
		vi.Sweep()
		assertInUse(t, vi, 1, "the zone stays evacuated")
	})
}

// Guards against entries that forget upstreams only because of the first news that they hear.
func TestRestoresAreTold(t *testing.T) {
	vi, _ := newViewOfCopies()
	var told []uint64
	vi.OnRestored(func(version uint64) { told = append(told, version) })
	apply(vi, beat(at(4, 1), 1, 1, "ready"), beat(at(4, 2), 1, 2, "ready"))
	assert.Empty(t, told, "the first era that is seen")
	apply(vi, beat(at(6, 1), 1, 3, "ready"), beat(at(5, 9), 1, 3, "ready"))
	assert.Equal(t, []uint64{at(6, 1)}, told)
}
