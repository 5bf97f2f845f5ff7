package server

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// callers are the open connections of callers.
type callers struct {
	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// callerConn is a connection of a caller.
type callerConn struct {
	*net.TCPConn

	mu sync.Mutex
	// busy is true from the first byte of a request to the end of its response.
	busy bool
	// deadline is the read deadline that the HTTP server has set last.
	deadline time.Time
	// expired is true if closeIdle has replaced the deadline.
	expired bool
}

// Read implements net.Conn.
func (cc *callerConn) Read(data []byte) (int, error) {
	count, err := cc.TCPConn.Read(data)
	if count > 0 {
		cc.begin()
	}
	return count, err
}

// SetReadDeadline implements net.Conn.
func (cc *callerConn) SetReadDeadline(deadline time.Time) error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.deadline, cc.expired = deadline, false
	return cc.TCPConn.SetReadDeadline(deadline)
}

// begin marks the beginning of a request. If closeIdle came first, the deadline of the
// HTTP server holds again.
func (cc *callerConn) begin() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.busy = true
	if cc.expired {
		cc.expired = false
		_ = cc.TCPConn.SetReadDeadline(cc.deadline) // fails only on a closed connection
	}
}

// end marks the end of a response.
func (cc *callerConn) end() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.busy = false
}

// expire makes reads time out unless a request has begun.
func (cc *callerConn) expire() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.busy {
		return
	}
	cc.expired = true
	_ = cc.TCPConn.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

func newCallers() *callers { return &callers{open: make(map[*callerConn]struct{})} }

// add starts to track a connection.
func (ca *callers) add(nc *net.TCPConn) *callerConn {
	cc := &callerConn{TCPConn: nc}
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.open[cc] = struct{}{}
	return cc
}

// observe follows the state of a connection; it is the ConnState of the HTTP server.
func (ca *callers) observe(nc net.Conn, state http.ConnState) {
	cc, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive: // a pipelined request may need no call of Read
		cc.begin()
	case http.StateIdle:
		cc.end()
	case http.StateClosed, http.StateHijacked:
		ca.mu.Lock()
		delete(ca.open, cc)
		ca.mu.Unlock()
	case http.StateNew:
	}
}

// closeIdle ends the connections on which no request has begun, and returns how many
// are open. Their reads time out instead of being closed under way: a read that has
// just returned the first bytes of a request goes on, and its caller gets a response.
func (ca *callers) closeIdle() int {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	for cc := range ca.open {
		cc.expire()
	}
	return len(ca.open)
}
