package exchange

import (
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// attemptOn returns an attempt that may write on the near end of raw.
func attemptOn(raw net.Conn, reused bool) (*attempt, *conn) {
	at, co := &attempt{cancel: func() {}}, &conn{Conn: raw}
	at.gotConn(httptrace.GotConnInfo{Conn: co, Reused: reused})
	return at, co
}

func TestAttempt(t *testing.T) {
	// A write after the verdict NotRun would make that verdict false.
	t.Run("no write after abandon", func(t *testing.T) {
		near, far := net.Pipe()
		at, co := attemptOn(near, false)
		assert.True(t, at.abandon())
		_ = near.SetDeadline(time.Unix(1, 0)) // an unguarded write fails at once instead of blocking
		_, err := co.Write([]byte("x"))
		assert.ErrorIs(t, err, errRefused)
		_ = far.Close()
	})
	// A blocked write may have passed on a part of its data.
	t.Run("write in progress counts as written", func(t *testing.T) {
		near, far := net.Pipe()
		at, co := attemptOn(near, false)
		ended := make(chan error)
		go func() { _, err := co.Write([]byte("xy")); ended <- err }()
		_, err := far.Read(make([]byte, 1))
		require.NoError(t, err)
		assert.False(t, at.abandon())
		_ = far.Close()
		assert.Error(t, <-ended)
	})
	// Without the check the write succeeds locally and the call ends in doubt.
	t.Run("no write on a reused connection that its server closed", func(t *testing.T) {
		rs := newRawServer(t, func(*rawConn) {})
		raw, err := net.Dial("tcp", rs.ln.Addr().String())
		require.NoError(t, err)
		at, co := attemptOn(raw, true)
		require.Eventually(t, func() bool { return peerClosed(raw) }, bound, time.Millisecond)
		_, err = co.Write([]byte("x"))
		assert.ErrorIs(t, err, errRefused)
		assert.True(t, at.abandon())
		_ = raw.Close()
		rs.stop()
	})
}
