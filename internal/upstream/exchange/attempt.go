package exchange

import (
	"context"
	"net/http/httptrace"
	"sync"
)

// attempt tracks one request through net/http and decides whether any byte of
// it can have reached the upstream. net/http writes from its own goroutine,
// which may write after RoundTrip has returned, and it sends some requests a
// second time. An attempt therefore allows writes on one connection only, and
// none after stopWrites.
type attempt struct {
	cancel context.CancelFunc

	mu            sync.Mutex
	conn          *conn // connection that may carry the request
	writing       bool
	wrote         bool
	writesStopped bool
	replayed      bool // net/http tried to send the request again
	reused        bool
	answered      bool // the first byte of the answer arrived
	ended         bool // the upstream closed or reset the connection
}

// trace returns the hooks that bind the attempt to its connection.
func (att *attempt) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: att.gotConn,
		GotFirstResponseByte: func() {
			att.mu.Lock()
			defer att.mu.Unlock()
			att.answered = true
		},
	}
}

func (att *attempt) gotConn(info httptrace.GotConnInfo) {
	co, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	att.mu.Lock()
	defer att.mu.Unlock()
	co.attempt.Store(att)
	att.reused = info.Reused
	if att.wrote || att.writing {
		att.replayed = true
		att.cancel()
		return
	}
	att.conn = co
}

// beginWrite reports whether the attempt may write on co.
func (att *attempt) beginWrite(co *conn) bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	if att.writesStopped || att.conn != co {
		return false
	}
	if att.reused && !att.wrote && peerClosed(co.Conn) {
		return false
	}
	att.writing = true
	return true
}

func (att *attempt) endWrite(n int) {
	att.mu.Lock()
	defer att.mu.Unlock()
	att.writing = false
	att.wrote = att.wrote || n > 0
}

// stopWrites prevents all further writes and reports whether no byte was
// written. A write in progress counts as written.
func (att *attempt) stopWrites() bool {
	att.mu.Lock()
	defer att.mu.Unlock()
	att.writesStopped = true
	return !att.wrote && !att.writing
}

// markEnded records that the upstream ended connection co.
func (att *attempt) markEnded(co *conn) {
	att.mu.Lock()
	defer att.mu.Unlock()
	att.ended = att.ended || att.conn == co
}

// attemptState is what is known of an attempt besides its verdict.
type attemptState struct{ reused, answered, ended bool }

func (att *attempt) state() attemptState {
	att.mu.Lock()
	defer att.mu.Unlock()
	return attemptState{reused: att.reused, answered: att.answered, ended: att.ended || att.replayed}
}
