package broker

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/mesh"
	"github.com/citronstream/citronstream/internal/fleet/view"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// real is the clock of the links.
var real = clockwork.NewRealClock()

type ample struct{}

func (ample) First(string) {}

func (ample) Take(_ string, count int) int { return count }

// peer starts a mesh of an entry.
func peer(t *testing.T, ctx context.Context, eng *nbconn.Engine, handler mesh.Handler) (*mesh.Mesh, string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := ln.Addr().String()
	require.NoError(t, ln.Close())
	self := func() citronstream.PeerInfo { return citronstream.PeerInfo{Name: address, Address: address} }
	me := mesh.New(real, logr.Discard(), eng, self, handler, func(*mesh.Peer, *link.Link) {})
	require.NoError(t, me.Start(ctx, address))
	t.Cleanup(me.Close)
	return me, address
}

// A job whose owners are lost one after the other ends with a fault, never as
// a result without handles.
func TestEveryOwnerIsLost(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	eng, err := nbconn.New()
	require.NoError(t, err)
	t.Cleanup(eng.Stop)
	own, address := peer(t, ctx, eng, func(string, *link.Link, *link.Request) {})
	t.Cleanup(cancel)
	for range 3 * maxMoves {
		_, other := peer(t, ctx, eng, func(_ string, li *link.Link, re *link.Request) {
			if re.Method == citronstream.MethodRunJob {
				go li.Close()
			}
		})
		own.Learn(other, "")
	}
	vi := view.New(real, logr.Discard(), view.Decode{})
	br := New(ctx, real, logr.Discard(), address, vi, own, nil, ample{})
	require.Eventually(t, func() bool { return own.Live() == 3*maxMoves+1 }, 10*time.Second, 10*time.Millisecond)
	for service := range 20 {
		jo := citronstream.Job{ID: "r", Service: string(rune('a' + service)), Pieces: []int{0}, Left: time.Minute, Slack: time.Second}
		re := br.Run(ctx, jo, func() {})
		if assert.NotNil(t, re.Fault) {
			assert.Equal(t, citronstream.NotRun, re.Fault.Verdict)
		}
		require.Eventually(t, func() bool { return own.Live() == 3*maxMoves+1 }, 10*time.Second, 10*time.Millisecond)
	}
	cancel()
	br.Wait()
}
