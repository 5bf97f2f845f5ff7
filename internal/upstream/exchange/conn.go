package exchange

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/citronstream/citronstream/internal/kernel/answerfirst"
	"github.com/citronstream/citronstream/internal/kernel/eofconn"
)

var errWriteRefused = errors.New("write refused: the attempt has ended, was sent before or its connection is closed")

// conn reports its writes and its end to the attempt that uses it.
type conn struct {
	net.Conn
	stream  net.Conn // reads, writes and closes Conn
	attempt atomic.Pointer[attempt]
}

func newConn(raw net.Conn) *conn {
	return &conn{Conn: raw, stream: answerfirst.New(eofconn.New(raw))}
}

// Close implements net.Conn.
func (co *conn) Close() error { return co.stream.Close() }

// Write implements net.Conn.
func (co *conn) Write(data []byte) (int, error) {
	att := co.attempt.Load()
	if att == nil || !att.beginWrite(co) {
		return 0, errWriteRefused
	}
	n, err := co.stream.Write(data)
	att.endWrite(n)
	return n, err
}

// Read implements net.Conn.
func (co *conn) Read(data []byte) (int, error) {
	n, err := co.stream.Read(data)
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, os.ErrDeadlineExceeded) {
		if att := co.attempt.Load(); att != nil {
			att.markEnded(co)
		}
	}
	return n, err
}

// peerClosed reports whether the peer has closed or reset the connection. A
// write to such a connection can still succeed locally, so a call on a pooled
// connection that the server has closed would end as MayHaveRun.
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
