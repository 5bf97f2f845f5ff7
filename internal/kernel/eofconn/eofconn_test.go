package eofconn

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// endedConn is a connection whose reads return io.EOF. A write waits until it is begun by the
// test, or until its deadline, and then returns an error.
type endedConn struct {
	net.Conn
	began, expired chan struct{}
	err            error
	expiries       atomic.Int32
}

func (ec *endedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (ec *endedConn) Write([]byte) (int, error) {
	close(ec.began)
	<-ec.expired
	return 0, ec.err
}

func (ec *endedConn) SetWriteDeadline(time.Time) error {
	if ec.expiries.Add(1) == 1 {
		close(ec.expired)
	}
	return nil
}

// Guards against io.EOF in place of a failure that a write has got, and against a failure in
// place of a regular end. The write still goes on when the read returns.
func TestEnd(t *testing.T) {
	writeError := func(err error) error {
		return &net.OpError{Op: "write", Err: os.NewSyscallError("write", err)}
	}
	for name, tc := range map[string]struct {
		err     error
		failure bool
	}{
		"written":                   {nil, false},
		"reset":                     {writeError(syscall.ECONNRESET), true},
		"timed out":                 {writeError(syscall.ETIMEDOUT), true},
		"no route":                  {writeError(syscall.EHOSTUNREACH), true},
		"reset after a regular end": {writeError(syscall.EPIPE), false},
		"ended by the deadline":     {os.ErrDeadlineExceeded, false},
		"closed by the owner":       {net.ErrClosed, false},
	} {
		t.Run(name, func(t *testing.T) {
			ec := &endedConn{began: make(chan struct{}), expired: make(chan struct{}), err: tc.err}
			co := New(ec)
			written := make(chan error, 1)
			go func() {
				_, err := co.Write(nil)
				written <- err
			}()
			<-ec.began
			for range 2 {
				_, err := co.Read(make([]byte, 1))
				if tc.failure {
					assert.Equal(t, tc.err, err)
				} else {
					assert.Equal(t, io.EOF, err)
				}
			}
			assert.Equal(t, tc.err, <-written)
		})
	}
}
