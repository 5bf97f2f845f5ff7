package mesh

import (
	"context"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Load pattern: hundreds of entries that each have two links to each other one. The
// pings of an entry stay below 40 a second up to 120 peers, and a silent peer is
// noticed within the time that its site allows.
func TestPingsOfALargeFleet(t *testing.T) {
	for peers, most := range map[int]time.Duration{4: time.Second, 40: time.Second, 120: 3 * time.Second, 400: 3 * time.Second} {
		after := idlePing(peers)
		assert.LessOrEqual(t, after, most)
		assert.GreaterOrEqual(t, after, minIdlePing)
		if peers <= 120 {
			assert.LessOrEqual(t, float64(peers)/after.Seconds(), 40.0)
		}
	}
}

// Guards against entries that could not reach each other for minutes and never try again, as
// the seeds of their settings were removed.
func TestSeedsAreKept(t *testing.T) {
	clk := clockwork.NewFakeClock()
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	ms := New(clk, logr.Discard(), eng, func() citronstream.PeerInfo { return citronstream.PeerInfo{Address: "127.0.0.1:1"} },
		func(string, *link.Link, *link.Request) {}, func(*Peer, *link.Link) {})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	require.NoError(t, ms.Start(ctx, "127.0.0.1:0"))
	t.Cleanup(ms.Close)
	ms.AddPeer("127.0.0.1:2", "z")
	ms.AddSeed("127.0.0.1:3")
	ms.AddPeer("127.0.0.1:4", "z")
	ms.AddSeed("127.0.0.1:4")
	clk.Advance(removeAfter + time.Second)
	ms.Prune()
	var left []string
	for _, pe := range ms.Peers() {
		left = append(left, pe.Address)
	}
	assert.Equal(t, []string{"127.0.0.1:3", "127.0.0.1:4"}, left)
}
