package link_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// pair returns both ends of a link and the versions in the notices to the far end.
func pair(t *testing.T) (near, far *link.Link, notices chan uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	eng, err := nbconn.New()
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	dialed, err := eng.Dial(ctx, ln.Addr().String())
	require.NoError(t, err)
	nc, err := ln.Accept()
	require.NoError(t, err)
	require.NoError(t, ln.Close())
	accepted, err := eng.Attach(nc)
	require.NoError(t, err)
	notices = make(chan uint64, 8)
	clk := clockwork.NewFakeClock() // no heartbeats
	slow := link.WithIdlePing(func() time.Duration { return time.Hour })
	near = link.New(ctx, clk, dialed, func(*link.Link, *link.Request) {}, slow)
	far = link.New(ctx, clk, accepted, func(_ *link.Link, re *link.Request) {
		var notice citronstream.VersionNotice
		if re.Method == citronstream.MethodVersion && re.Decode(&notice) == nil {
			notices <- notice.Version
		}
		re.Reply(struct{}{})
	}, slow)
	t.Cleanup(func() {
		cancel()
		<-near.Done()
		<-far.Done()
		eng.Stop()
	})
	return near, far, notices
}

// Guards against notices of a version to a peer that has sent this version itself:
// with many configuration changes they are half of an entry's bytes. Also guards
// against a missing notice to a peer that has only sent an older version.
func TestAnnounceVersion(t *testing.T) {
	near, far, notices := pair(t)
	assert.True(t, near.AnnounceVersion(3), "the peer has sent no version")
	assert.True(t, near.AnnounceVersion(3), "a notice that was sent may be lost with the peer's process")
	near.NotePeerVersion(4)
	assert.False(t, near.AnnounceVersion(3), "the peer has sent a higher version")
	assert.False(t, near.AnnounceVersion(4), "the peer has sent this version")
	near.NotePeerVersion(2)
	assert.Equal(t, uint64(4), near.PeerVersion(), "a lower version that arrives late is ignored")
	assert.True(t, near.AnnounceVersion(5))
	require.NoError(t, near.Call(t.Context(), "Test.Barrier", struct{}{}, nil))
	require.Len(t, notices, 3)
	assert.Equal(t, []uint64{3, 3, 5}, []uint64{<-notices, <-notices, <-notices})
	assert.Zero(t, far.PeerVersion(), "a Link does not look for versions in other messages than its own heartbeats")
}

// Guards against a link that does not record the version in a heartbeat.
func TestHeartbeatCarriesVersion(t *testing.T) {
	near, far, _ := pair(t)
	require.NoError(t, near.Call(t.Context(), link.MethodPing, citronstream.VersionNotice{Version: 7}, nil))
	assert.Equal(t, uint64(7), far.PeerVersion())
	assert.False(t, far.AnnounceVersion(7))
	assert.True(t, far.AnnounceVersion(8))
}
