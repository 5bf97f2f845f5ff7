package exchange

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

var errRefused = errors.New("write refused: the attempt has ended or was sent before")

// attempt follows one request through net/http and decides whether any byte
// of it can have reached the upstream. net/http writes from a goroutine of
// its own, which may still be about to write when RoundTrip has returned, and
// it sends some requests a second time. An attempt therefore guards the
// writes: it lets them through on one connection only, and none after abandon.
type attempt struct {
	cancel context.CancelFunc

	mu        sync.Mutex
	conn      *conn // connection that may carry the request
	writing   bool
	wrote     bool
	abandoned bool
	replayed  bool // net/http tried to send the request again
	reused    bool
	answered  bool // the first byte of the answer came
}

// trace returns the hooks that tie the attempt to its connection.
func (at *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: at.gotConn,
		GotFirstResponseByte: func() {
			at.mu.Lock()
			defer at.mu.Unlock()
			at.answered = true
		},
	}
}

func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	co, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	at.mu.Lock()
	defer at.mu.Unlock()
	co.attempt.Store(at)
	at.reused = info.Reused
	if at.wrote || at.writing {
		at.replayed = true
		at.cancel()
		return
	}
	at.conn = co
}

func (at *attempt) beginWrite(co *conn) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.abandoned || at.conn != co {
		return false
	}
	at.writing = true
	return true
}

func (at *attempt) endWrite(n int) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.writing = false
	at.wrote = at.wrote || n > 0
}

// abandon stops all further writes and reports whether no byte was written.
// A write that is in progress counts as written.
func (at *attempt) abandon() bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.abandoned = true
	return !at.wrote && !at.writing
}

func (at *attempt) state() (replayed, reused, answered bool) {
	at.mu.Lock()
	defer at.mu.Unlock()
	return at.replayed, at.reused, at.answered
}

// conn reports its writes to the attempt that uses it.
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
