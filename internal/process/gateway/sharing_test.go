package gateway

import (
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
)

// Load pattern: hundreds of entries that start at the same time. Each of them reads the
// thousands of rows of the upstreams by itself; if each also told all others, the
// messages would grow with the cube of the site.
func TestNewEntriesTellNoRows(t *testing.T) {
	clk := clockwork.NewFakeClock()
	ga := &Gateway{clk: clk, began: clk.Now(), pendingRows: make(chan citronstream.Rows, 1)}
	queued := func(version uint64) citronstream.Rows {
		change := citronstream.Change{Row: citronstream.Row{Key: "up-1", Version: version}}
		ga.queueRows(citronstream.Rows{Changes: []citronstream.Change{change}, Reading: &citronstream.Reading{}})
		return <-ga.pendingRows
	}
	for version := range uint64(3) {
		assert.Equal(t, citronstream.Rows{}, queued(version), "only wakes the announcement of a configuration")
	}
	clk.Advance(tellAfter)
	changes := ga.early.take(10)
	assert.Len(t, changes, 1, "the newest change of a row is told")
	assert.Equal(t, uint64(2), changes[0].Version)
	assert.Empty(t, ga.early.take(10))
	assert.Len(t, queued(3).Changes, 1)
}

// Guards against a configuration that this process has refused and that it fetches from a
// peer without end.
func TestRefusedConfigIsNotFetchedAgain(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	one := ts.entries[0]
	ts.configure(3, "")
	ts.waitFor(func() bool { return one.view.Routes() != nil && one.view.Routes().Version == 3 }, "no configuration")
	ts.configure(2, "")
	other := ts.startEntry()
	ts.waitFor(func() bool { return other.view.Routes() != nil && other.view.Routes().Version == 2 }, "no configuration at the other")
	ts.waitReady()
	ts.waitFor(func() bool {
		peers := one.mesh.Peers()
		return len(peers) == 1 && peers[0].Revision() == other.view.Revision()
	}, "the peer's configuration is not announced")
	ts.clk.Sleep(2 * stateFetchDelay)
	fetching := 0
	for range 50 {
		if one.fetching.Load() {
			fetching++
		}
		ts.clk.Sleep(stateFetchDelay / 15)
	}
	assert.Zero(t, fetching, "of 50 looks")
	assert.Equal(t, uint64(3), one.view.Routes().Version)
}
