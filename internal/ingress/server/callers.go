package server

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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
	// busy is true from the first byte of a request to the end of its response.
	busy atomic.Bool
}

// Read implements net.Conn.
func (cc *callerConn) Read(data []byte) (int, error) {
	count, err := cc.TCPConn.Read(data)
	if count > 0 {
		cc.busy.Store(true)
	}
	return count, err
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
	case http.StateActive:
		cc.busy.Store(true)
	case http.StateIdle:
		cc.busy.Store(false)
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
		if !cc.busy.Load() {
			_ = cc.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
		}
	}
	return len(ca.open)
}
