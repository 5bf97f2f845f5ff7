// Package eofconn wraps a TCP connection on which one goroutine writes a request while another
// one reads the answer, and tells a regular end of the answer from a failed connection. The
// kernel reports a failure, such as a reset, to one system call only. If that is a write, later
// reads return io.EOF, as they do when the peer has ended its side.
package eofconn

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose Read returns io.EOF only if the peer has ended its side.
type Conn struct {
	net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // of the first write that failed, guarded by writing
}

// New wraps a connection.
func New(nc net.Conn) *Conn { return &Conn{Conn: nc} }

// Write implements net.Conn. It fails once Read has returned io.EOF.
func (co *Conn) Write(data []byte) (int, error) {
	co.writing.Lock()
	defer co.writing.Unlock()
	count, err := co.Conn.Write(data)
	if co.writeErr == nil {
		co.writeErr = err
	}
	return count, err
}

// Read implements net.Conn. At the end of the stream it ends a write in progress, as that may
// have got the failure.
func (co *Conn) Read(data []byte) (int, error) {
	count, err := co.Conn.Read(data)
	if errors.Is(err, io.EOF) {
		if failure := co.failure(); failure != nil {
			err = failure
		}
	}
	return count, err
}

// longAgo is a deadline that ends a write at once.
var longAgo = time.Unix(1, 0)

// failure returns the failure of the connection that a write has got, nil if there is none.
func (co *Conn) failure() error {
	_ = co.SetWriteDeadline(longAgo) // fails only on a closed connection, where no write goes on
	co.writing.Lock()
	defer co.writing.Unlock()
	var errno syscall.Errno
	// A write fails with EPIPE if the peer has ended its side before it closed the connection.
	if errors.As(co.writeErr, &errno) && errno != syscall.EPIPE {
		return co.writeErr
	}
	return nil
}
