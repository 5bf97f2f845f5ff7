package exchange

import (
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/citronstream/citronstream/internal/kernel/eofconn"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// newAttempt returns an attempt that may write on raw. Nobody reads, so errors of writes are not
// held back until a read has failed.
func newAttempt(raw net.Conn, reused bool) (*attempt, *conn) {
	att, co := &attempt{cancel: func() {}}, &conn{Conn: raw, stream: eofconn.New(raw)}
	att.gotConn(httptrace.GotConnInfo{Conn: co, Reused: reused})
	return att, co
}

func TestAttempt(t *testing.T) {
	// Guards against a write after the verdict NotRun, which would make it wrong.
	t.Run("no write after stopWrites", func(t *testing.T) {
		near, far := net.Pipe()
		att, co := newAttempt(near, false)
		assert.True(t, att.stopWrites())
		_ = near.SetDeadline(time.Unix(1, 0)) // an unguarded write fails at once instead of blocking
		_, err := co.Write([]byte("x"))
		assert.ErrorIs(t, err, errWriteRefused)
		_ = far.Close()
	})
	// A blocked write may have sent a part of its data.
	t.Run("write in progress counts as written", func(t *testing.T) {
		near, far := net.Pipe()
		att, co := newAttempt(near, false)
		ended := make(chan error)
		go func() { _, err := co.Write([]byte("xy")); ended <- err }()
		_, err := far.Read(make([]byte, 1))
		require.NoError(t, err)
		assert.False(t, att.stopWrites())
		_ = far.Close()
		assert.Error(t, <-ended)
	})
	// Without the check, the write succeeds locally and the outcome of the call
	// is unknown.
	t.Run("no write on a reused connection that its server closed", func(t *testing.T) {
		rs := newRawServer(t, func(*rawConn) {})
		raw, err := net.Dial("tcp", rs.ln.Addr().String())
		require.NoError(t, err)
		att, co := newAttempt(raw, true)
		require.Eventually(t, func() bool { return peerClosed(raw) }, testTimeout, time.Millisecond)
		_, err = co.Write([]byte("x"))
		assert.ErrorIs(t, err, errWriteRefused)
		assert.True(t, att.stopWrites())
		_ = raw.Close()
		rs.stop()
	})
}
