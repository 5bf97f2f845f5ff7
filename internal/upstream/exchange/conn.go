package exchange

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"
)

var errRefused = errors.New("write refused: the attempt has ended, was sent before or its connection is closed")

// conn reports its writes and its end to the attempt that uses it.
type conn struct {
	net.Conn
	attempt atomic.Pointer[attempt]
}

// Write implements net.Conn.
func (co *conn) Write(data []byte) (int, error) {
	at := co.attempt.Load()
	if at == nil || !at.beginWrite(co) {
		return 0, errRefused
	}
	n, err := co.Conn.Write(data)
	at.endWrite(n)
	return n, err
}

// Read implements net.Conn.
func (co *conn) Read(data []byte) (int, error) {
	n, err := co.Conn.Read(data)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		if at := co.attempt.Load(); at != nil {
			at.noteEnd(co)
		}
	}
	return n, err
}

// peerClosed reports whether the end of the connection waits to be read. A
// write to such a connection still succeeds locally, so that a call on a
// connection which its server closed while idle would end as MayHaveRun.
func peerClosed(raw net.Conn) bool {
	sc, ok := raw.(syscall.Conn)
	if !ok {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	// Control, not Read: net/http's reader holds the read lock of an idle connection.
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		n, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		closed = n <= 0 && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return closed || err != nil
}
