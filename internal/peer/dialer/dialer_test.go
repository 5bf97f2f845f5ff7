package dialer

import (
	"context"
	"net"
	"testing"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/peer/link"
	"github.com/citronstream/citronstream/internal/peer/nbconn"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

type echo struct{ Text string }

// serve answers echoes on a loopback listener and returns its address and
// a channel of the accepted links.
func serve(t *testing.T, ctx context.Context, eng *nbconn.Engine) (string, chan *link.Link) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	links := make(chan *link.Link, 8)
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			stream, err := eng.Attach(nc)
			if err != nil {
				continue
			}
			links <- link.New(ctx, clockwork.NewRealClock(), stream, answer)
		}
	}()
	return ln.Addr().String(), links
}

func answer(_ *link.Link, re *link.Request) {
	var ec echo
	if err := re.Decode(&ec); err != nil || ec.Text == "bad" {
		re.ReplyError(citronstream.NewFault(citronstream.NotRun, citronstream.CodeOverloaded, "full"))
		return
	}
	re.Reply(ec)
}

func TestDialer(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	eng, err := nbconn.New()
	require.NoError(t, err)
	defer eng.Stop()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	address, links := serve(t, ctx, eng)
	di := New(ctx, clockwork.NewRealClock(), eng, address, answer)

	t.Run("calls and faults cross the link", func(t *testing.T) {
		li, err := di.Wait(ctx)
		require.NoError(t, err)
		var got echo
		require.NoError(t, li.Call(ctx, "Echo", echo{Text: "hello"}, &got))
		assert.Equal(t, "hello", got.Text)
		err = li.Call(ctx, "Echo", echo{Text: "bad"}, &got)
		assert.Equal(t, citronstream.NotRun, citronstream.VerdictOf(err))
	})
	// After a restart of the peer, a new link must open without a restart of this process.
	t.Run("a lost link is replaced", func(t *testing.T) {
		first := <-links
		first.Close()
		second := <-links
		assert.NotSame(t, first, second)
		li, err := di.Wait(ctx)
		require.NoError(t, err)
		assert.NoError(t, li.Call(ctx, "Echo", echo{Text: "again"}, &echo{}))
	})
	cancel()
	<-di.Done()
}
