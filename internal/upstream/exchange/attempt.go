package exchange

import (
	"context"
	"net/http/httptrace"
	"sync"
)

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
	ended     bool // the upstream's side ended the connection
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

// beginWrite reports whether the attempt may write on co.
func (at *attempt) beginWrite(co *conn) bool {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.abandoned || at.conn != co {
		return false
	}
	if at.reused && !at.wrote && peerClosed(co.Conn) {
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

// noteEnd notes that the upstream ended connection co.
func (at *attempt) noteEnd(co *conn) {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.ended = at.ended || at.conn == co
}

// marks are what is known of an attempt besides its verdict.
type marks struct{ reused, answered, ended bool }

func (at *attempt) marks() marks {
	at.mu.Lock()
	defer at.mu.Unlock()
	return marks{reused: at.reused, answered: at.answered, ended: at.ended || at.replayed}
}
