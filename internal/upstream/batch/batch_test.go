package batch

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/fleet/node"
	"github.com/citronstream/citronstream/internal/upstream/conns"
	"github.com/go-logr/logr"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var clk = clockwork.NewRealClock()

// serve runs one script on each connection in turn.
func serve(t *testing.T, scripts ...func(nc net.Conn, br *bufio.Reader)) *node.Node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, script := range scripts {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			script(nc, bufio.NewReader(nc))
			_ = nc.Close()
		}
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return node.New(citronstream.Member{ID: "i", Address: ln.Addr().String()})
}

func read(br *bufio.Reader) {
	if rq, err := http.ReadRequest(br); err == nil {
		_, _ = rq.Body.Read(make([]byte, 4096))
	}
}

func answer(nc net.Conn, handle string) {
	body := fmt.Sprintf(`{"items":[{"handle":%q}]}`, handle)
	fmt.Fprintf(nc, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func run(ca *Caller, nd *node.Node, id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	results, refused, err := ca.Run(ctx, nd, []citronstream.BatchItem{{RequestID: id}})
	if err != nil || refused {
		return "", err
	}
	return results[0].Handle, nil
}

// A second copy of an answer that arrives when the next batch has been sent on
// its connection must not give that batch's request the results of another.
func TestLateCopyOfAnAnswer(t *testing.T) {
	nd := serve(t,
		func(nc net.Conn, br *bufio.Reader) {
			read(br)
			answer(nc, "a/1")
			read(br)
			answer(nc, "a/1")
			answer(nc, "a/2")
			read(br) // until the caller closes
		},
		func(nc net.Conn, br *bufio.Reader) { read(br); answer(nc, "a/3") })
	po := conns.New(clk)
	defer po.Close()
	ca := New(clk, logr.Discard(), po)
	first, err := run(ca, nd, "r1")
	require.NoError(t, err)
	assert.Equal(t, "a/1", first)
	_, err = run(ca, nd, "r2")
	require.ErrorContains(t, err, "copy of an earlier answer")
	assert.NotEqual(t, citronstream.NotRun, citronstream.VerdictOf(err))
	third, err := run(ca, nd, "r3")
	require.NoError(t, err)
	assert.Equal(t, "a/3", third, "the connection with the copy was used again")
}

// The memory of results is bounded, and holds the newest.
func TestKnownResultsAreBounded(t *testing.T) {
	ca := New(clk, logr.Discard(), nil)
	for i := range 5 * maxKnown {
		require.True(t, ca.learn([]citronstream.ItemResult{{Handle: fmt.Sprint(i)}, {Fault: citronstream.ItemLate}}))
	}
	assert.LessOrEqual(t, len(ca.known)+len(ca.older), 2*maxKnown)
	assert.False(t, ca.learn([]citronstream.ItemResult{{Handle: fmt.Sprint(4*maxKnown + 1)}}))
}

// A release that an upstream does not answer ends.
func TestSilentRelease(t *testing.T) {
	fake := clockwork.NewFakeClock()
	po := conns.New(clk)
	defer po.Close()
	nd := serve(t, func(_ net.Conn, br *bufio.Reader) { read(br); _, _ = br.ReadByte() })
	done := make(chan struct{})
	go func() {
		defer close(done)
		New(fake, logr.Discard(), po).Release(context.Background(), nd, []string{"a/1"})
	}()
	require.NoError(t, fake.BlockUntilContext(t.Context(), 1))
	fake.Advance(releaseTimeout)
	select {
	case <-done:
	case <-clk.After(5 * time.Second):
		t.Fatal("the release does not end")
	}
}

// Guards against a batch that counts as not sent until its answer has arrived: a cold
// upstream's permit would be held for the whole batch.
func TestBatchIsReportedWhenItIsWritten(t *testing.T) {
	written := make(chan struct{})
	nd := serve(t, func(nc net.Conn, br *bufio.Reader) {
		read(br)
		select {
		case <-written:
			answer(nc, "a/1")
		case <-clk.After(2 * time.Second):
			// closes the connection without an answer
		}
	})
	po := conns.New(clk)
	defer po.Close()
	ca := New(clk, logr.Discard(), po)
	results, refused, err := ca.RunReporting(t.Context(), nd, []citronstream.BatchItem{{RequestID: "r"}}, func() { close(written) })
	require.NoError(t, err)
	assert.False(t, refused)
	assert.Len(t, results, 1)
}
