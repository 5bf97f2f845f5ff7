package gateway

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
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

// Guards against a newer configuration that a peer announces while another fetch is under
// way, as the store was silent, and that is never asked for.
func TestConfigAnnouncedWhileTheStoreWasSilent(t *testing.T) {
	ts := newTestSite(t, 1)
	ts.upstream("d1", "desk")
	ts.waitReady()
	one := ts.entries[0]
	ctx, cancel := context.WithCancel(t.Context())
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	var revision, asked atomic.Int64
	address := freeAddress(t)
	self := func() citronstream.PeerInfo {
		return citronstream.PeerInfo{Name: "peer", Zone: "z", Address: address, Boot: "1", Revision: uint64(revision.Load())}
	}
	answer := make(chan struct{})
	peer := mesh.New(ts.clk, logr.Discard(), eng, self, func(_ string, _ *link.Link, re *link.Request) {
		if re.Method != citronstream.MethodState {
			return
		}
		asked.Add(1)
		go func() {
			select {
			case <-answer:
				re.Reply(citronstream.Rows{})
			case <-ctx.Done():
			}
		}()
	}, func(*mesh.Peer, *link.Link) {})
	require.NoError(t, peer.Start(ctx, address))
	t.Cleanup(peer.Close)
	t.Cleanup(cancel)
	peer.AddPeer(one.site.Peers, "z")
	one.mesh.AddPeer(address, "z")
	ts.waitFor(func() bool { return one.mesh.LiveCount() == 2 && peer.LiveCount() == 2 }, "the peer is not linked")
	one.storeSilent()
	ts.waitFor(func() bool { return asked.Load() == 1 }, "the peer is not asked")
	revision.Store(1 << 60) // of a later era than any of the store
	peer.Tell(citronstream.MethodPeerUpdate, self(), func(*mesh.Peer) bool { return true })
	ts.waitFor(func() bool { pe, _ := one.newestPeer(); return pe != nil }, "the configuration is not announced")
	close(answer)
	ts.waitFor(func() bool { return asked.Load() > 1 }, "the announced configuration is not asked for")
}
