package server

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a reset of connections that wait in the queue of a listener when it closes.
func TestStopAcceptingEmptiesTheQueue(t *testing.T) {
	const callers = 20
	se := New(clk, logr.Discard(), http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(wr, "ok") }))
	require.NoError(t, se.listen("127.0.0.1:0"))
	t.Cleanup(se.Close)
	readers := make([]*bufio.Reader, callers)
	for i := range readers {
		var nc net.Conn
		nc, readers[i] = dial(t, se)
		write(t, nc, firstHalf+secondHalf)
	}
	go se.accept()
	se.StopAccepting()
	for _, br := range readers {
		assertAnswered(t, br)
	}
}

// acceptOne returns the two ends of a connection, the one of the server with these limits.
func acceptOne(t *testing.T, limits citronstream.CallerLimits) (net.Conn, *callerConn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	nc, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = nc.Close() })
	accepted, err := ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = accepted.Close() })
	return nc, newCallers(clk, limits).add(accepted.(*net.TCPConn))
}

// Guards against closing an idle connection with bytes of a request that have arrived.
func TestExpiredConnectionReadsWhatHasArrived(t *testing.T) {
	nc, cc := acceptOne(t, bounded(citronstream.CallerLimits{}))
	data := make([]byte, len(firstHalf))

	write(t, nc, firstHalf)
	cc.expire()
	count, err := cc.Read(data)
	require.NoError(t, err)
	assert.Equal(t, firstHalf, string(data[:count]))

	cc.end()
	cc.expire()
	_, err = cc.Read(data)
	assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "nothing has arrived")
}

// Guards against a request that is dropped because the process did not run between its
// arrival and the deadline for it.
func TestPassedDeadlineReadsWhatHasArrived(t *testing.T) {
	limits := citronstream.CallerLimits{HeaderBytes: defaultHeaderBytes, HeaderTimeout: -time.Hour, IdleTimeout: -time.Hour}
	for name, end := range map[string]bool{"idle": true, "within a head": false} {
		t.Run(name, func(t *testing.T) {
			nc, cc := acceptOne(t, limits)
			data := make([]byte, len(firstHalf))
			if end {
				cc.end()
			}
			require.NoError(t, cc.SetReadDeadline(clk.Now().Add(serverTimeout)))
			write(t, nc, firstHalf)
			count, err := cc.Read(data)
			require.NoError(t, err)
			assert.Equal(t, firstHalf, string(data[:count]))
			_, err = cc.Read(data)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "the deadline holds for what has not arrived")
		})
	}
	t.Run("within a body", func(t *testing.T) {
		nc, cc := acceptOne(t, limits)
		cc.headRead()
		write(t, nc, firstHalf)
		require.NoError(t, cc.SetReadDeadline(past))
		_, err := cc.Read(make([]byte, len(firstHalf)))
		assert.ErrorIs(t, err, os.ErrDeadlineExceeded, "a refused body is not read")
	})
}

// Guards against idle connections that are closed after a second under a configuration
// that sets no idle timeout.
func TestLimitsNotSet(t *testing.T) {
	limits := bounded(citronstream.CallerLimits{})
	assert.Equal(t, defaultIdleTimeout, limits.IdleTimeout)
	assert.Equal(t, maxTimeout, limits.HeaderTimeout)
	assert.Equal(t, time.Second, bounded(citronstream.CallerLimits{IdleTimeout: time.Second}).IdleTimeout)
}
