package server

import (
	"crypto/tls"
	"net/http"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

// Limits on callers, as named in metrics and log lines.
const (
	LimitHeaderBytes = "header_bytes"
	LimitHeaderLines = "header_lines"
	LimitHeaderLine  = "header_line_bytes"
	LimitMemory      = "memory"
	LimitConnections = "connections"
)

const (
	// roomPoll is the interval at which an accepted connection that exceeds a limit looks
	// for others to close.
	roomPoll = 20 * time.Millisecond
	// lingerSpared is how long a connection may linger when others wait for its place:
	// its last answer needs to reach the caller.
	lingerSpared = 300 * time.Millisecond
)

// Option changes a Server.
type Option func(*Server)

// WithMemory accounts what callers hold.
func WithMemory(memory *callermemory.Account) Option {
	return func(se *Server) { se.callers.memory = memory }
}

// WithClientLimits bounds the open connections and the lines of heads.
func WithClientLimits(limits citronstream.ClientLimits) Option {
	return func(se *Server) {
		se.maxOpen, se.callers.lines, se.callers.line = limits.Connections, limits.HeaderLines, limits.HeaderLineBytes
		// Handlers set a deadline of their own before they write. This one is for what the
		// HTTP server itself answers.
		se.http.WriteTimeout = limits.ReadStall
	}
}

// WithOnLimit sets a function that is called when a limit takes effect.
func WithOnLimit(hit func(limit string)) Option {
	return func(se *Server) { se.callers.hit = hit }
}

// WithTLS serves HTTPS. Nil serves HTTP. Heads are charged as they are decrypted, and the
// handshake counts in the time for a head.
func WithTLS(config *tls.Config) Option {
	return func(se *Server) {
		if se.tls = config; config != nil {
			se.callers.connBytes = connBytes + tlsBytes
		}
	}
}

// Open returns the number of open connections.
func (se *Server) Open() int {
	se.callers.mu.Lock()
	defer se.callers.mu.Unlock()
	return len(se.callers.open)
}

// makeRoom waits until there is room for another connection, for which the longest idle
// one is closed, else the one that has lingered longest, else one with a stalled or slow body. It
// returns false when the server stops.
func (se *Server) makeRoom() bool {
	for first := true; !se.stopping.Load(); first = false {
		limit := ""
		switch {
		case se.maxOpen > 0 && se.Open() >= se.maxOpen:
			limit = LimitConnections
		case se.callers.memory != nil && !se.callers.memory.FitsConn(se.Open(), se.callers.connBytes):
			limit = LimitMemory
		default:
			se.waiting.Store(0)
			return true
		}
		if first {
			se.callers.hit(limit)
			se.waiting.Store(max(1, int64(se.clk.Since(se.began))))
		}
		select {
		case <-se.callers.gone: // of a connection that closed before: Open does not count it
		default:
		}
		if !se.callers.closeOne() {
			se.callers.memory.ShedSlow()
		}
		select {
		case <-se.callers.gone:
		case <-se.clk.After(roomPoll):
		case <-se.listener.closed:
			return false
		}
	}
	return true // those in the queue of the listener are served
}

// closeOne closes the connection that has been idle for longest, else the one that has
// lingered for longest, and reports whether there was one.
func (ca *callers) closeOne() bool {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	now := ca.clk.Now()
	var idle, lingering *callerConn
	var idleSince, lingered time.Time
	for cc := range ca.open {
		cc.mu.Lock()
		switch {
		case cc.lingers:
			if now.Sub(cc.lingered) >= lingerSpared && (lingering == nil || cc.lingered.Before(lingered)) {
				lingering, lingered = cc, cc.lingered
			}
		case cc.expired:
			// It is being closed.
		case cc.state != http.StateActive:
			if idle == nil || cc.idleSince.Before(idleSince) {
				idle, idleSince = cc, cc.idleSince
			}
		}
		cc.mu.Unlock()
	}
	switch {
	case idle != nil:
		idle.expire()
	case lingering != nil:
		_ = lingering.stream.SetReadDeadline(past) // fails only on a closed connection
	default:
		return false
	}
	return true
}
