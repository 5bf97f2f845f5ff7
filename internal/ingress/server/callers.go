package server

import (
	"errors"
	"math"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/limit/callermemory"
)

const (
	// serverTimeout is the timeout of the HTTP server for heads and for idle connections.
	// Each connection replaces it by its own limits.
	serverTimeout = time.Minute
	// headSlack is the part of a head that may exceed its limit, in bytes: the HTTP server
	// reads bytes of the body with it.
	headSlack = 4 << 10
	// lingerTime and lingerBytes bound what is read and dropped of a request whose response
	// is complete.
	lingerTime   = 2 * time.Second
	lingerBytes  = 16 << 20
	lingerBuffer = 2 << 10
	// refusalTime bounds the write of a refused head's response: the caller may not have
	// read those before.
	refusalTime = time.Second
)

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// errHeadTooLong ends the read of a head that exceeds its limit. As an error of a read it
// makes the HTTP server close the connection without a response of its own.
var errHeadTooLong = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the head exceeds its limit")}

// callers are the open connections of callers.
type callers struct {
	clk     citronstream.Clock
	closing atomic.Bool // connections are closed without lingering
	memory  *callermemory.Account
	lines   int // of a head; 0 for as many as its bytes allow
	line    int // bytes of a line; 0 for no bound
	// connBytes is the cost of a connection.
	connBytes int
	running   atomic.Int64
	// hit is called when a limit takes effect.
	hit func(limit string)
	// gone is signaled when a connection has closed.
	gone chan struct{}

	mu     sync.Mutex
	open   map[*callerConn]struct{}
	limits citronstream.CallerLimits // of new connections
}

// phase is what the HTTP server waits for on a connection.
type phase uint8

const (
	head  phase = iota
	body        // or the response
	ended       // the response is written, the timeout for the next request not set yet
	idle
)

// stream is a TCP connection, or TLS over one.
type stream interface {
	net.Conn
	CloseWrite() error
}

// callerConn is a connection of a caller.
type callerConn struct {
	stream
	callers *callers
	// unread is true if a response was written before the request was read to its end.
	unread atomic.Bool

	mu sync.Mutex
	// state is active from the first byte of a request to the end of its response.
	state     http.ConnState
	phase     phase
	headBytes int // read of the head so far
	scan      headScan
	// memory is that of the connection, of which head is for the head in hand.
	memory *callermemory.Holder
	head   int
	// last is the cost of what was read last beyond a head: it may hold the next one, which
	// then is parsed without another read.
	last int
	// tail follows the lines of what was read last beyond the last end of a head.
	tail      headScan
	overdrawn bool // that head exceeds the memory
	idleSince time.Time
	lingered  time.Time // when lingering began
	// limits are the widest ones that were configured since the connection was accepted:
	// its caller may not know narrower ones yet.
	limits citronstream.CallerLimits
	// deadline is the read deadline that the HTTP server has set last.
	deadline time.Time
	// expired is true if closeIdle has replaced the deadline, lingers if CloseWrite has.
	expired, lingers bool
	// counted is true while Running counts its request.
	counted bool
}

// Read implements net.Conn.
func (cc *callerConn) Read(data []byte) (int, error) {
	if refusal := cc.chargeBuffered(); refusal != nil {
		return 0, refusal
	}
	room := cc.room()
	if room <= 0 {
		cc.refuseHead(tooLarge, LimitHeaderBytes)
		return 0, errHeadTooLong
	}
	data = data[:min(len(data), room)]
	count, err := cc.stream.Read(data)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		if count = cc.readArrived(data); count > 0 {
			err = nil
		}
	}
	if count > 0 {
		cc.begin(count)
		if refusal := cc.charge(data[:count]); refusal != nil {
			return 0, refusal
		}
	}
	return count, err
}

// readArrived reads bytes that had arrived when a read timed out because of expire, or because
// the process did not run before the deadline of an idle connection or of a head. A close with
// bytes unread would reset the connection.
func (cc *callerConn) readArrived(data []byte) (count int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if !cc.expired && cc.phase != idle && cc.phase != head {
		return 0
	}
	tcp, ok := cc.stream.(*net.TCPConn)
	if !ok {
		return 0 // what has arrived over TLS can't be read after the deadline
	}
	raw, err := tcp.SyscallConn()
	if err != nil || tcp.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	err = raw.Read(func(fd uintptr) bool {
		count, _ = syscall.Read(int(fd), data) // negative if nothing has arrived
		return true
	})
	if !cc.expired {
		_ = cc.applyDeadline() // fails only on a closed connection
	}
	if err != nil || count <= 0 {
		if cc.expired {
			_ = tcp.SetReadDeadline(past) // fails only on a closed connection
		}
		return 0
	}
	return count
}

// room returns how many bytes may be read.
func (cc *callerConn) room() int {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.phase == body {
		return math.MaxInt
	}
	return cc.limits.HeaderBytes + headSlack - cc.headBytes
}

// SetReadDeadline implements net.Conn.
func (cc *callerConn) SetReadDeadline(deadline time.Time) error {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if !deadline.IsZero() {
		switch cc.phase {
		case ended:
			cc.phase = idle
		case idle:
			cc.phase = head
		case head, body:
		}
	}
	cc.deadline, cc.expired = deadline, false
	return cc.applyDeadline()
}

// applyDeadline sets the deadline of the HTTP server, with the timeout of the connection
// in place of the server's. The caller holds the lock.
func (cc *callerConn) applyDeadline() error {
	deadline := cc.deadline
	if !deadline.IsZero() {
		switch cc.phase {
		case head:
			deadline = deadline.Add(cc.limits.HeaderTimeout - serverTimeout)
		case idle:
			deadline = deadline.Add(cc.limits.IdleTimeout + idleSlack - serverTimeout)
		case body, ended:
		}
	}
	return cc.stream.SetReadDeadline(deadline)
}

// widen lets the connection use limits that are wider than its own.
func (cc *callerConn) widen(limits citronstream.CallerLimits) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.limits.HeaderBytes = max(cc.limits.HeaderBytes, limits.HeaderBytes)
	cc.limits.HeaderTimeout = max(cc.limits.HeaderTimeout, limits.HeaderTimeout)
	cc.limits.IdleTimeout = max(cc.limits.IdleTimeout, limits.IdleTimeout)
	if !cc.expired && !cc.lingers {
		_ = cc.applyDeadline() // fails only on a closed connection
	}
}

// begin marks that bytes were read, of a request if none had begun. If closeIdle came
// first, the deadline of the HTTP server holds again.
func (cc *callerConn) begin(count int) {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.state = http.StateActive
	cc.headBytes += count
	if cc.expired {
		cc.expired = false
		_ = cc.applyDeadline() // fails only on a closed connection
	}
}

// headRead marks the end of a head.
func (cc *callerConn) headRead() {
	cc.begin(0) // a pipelined request may need no call of Read
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.phase = body
	if cc.head == 0 && cc.last > 0 {
		// No byte was read since the request before: the head came with it.
		cc.head = cc.last
		cc.overdrawn = !cc.memory.Force(cc.head)
	}
}

// end marks the end of a response.
func (cc *callerConn) end() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	cc.state, cc.phase, cc.headBytes = http.StateIdle, ended, 0
	cc.scan, cc.idleSince = headScan{}, cc.callers.clk.Now()
	cc.memory.Give(cc.head)
	cc.head = 0
	cc.unread.Store(false) // the HTTP server has drained it
	cc.uncount()
}

// uncount ends the count of the request. The caller holds the lock.
func (cc *callerConn) uncount() {
	if cc.counted {
		cc.counted = false
		cc.callers.running.Add(-1)
	}
}

// expire makes reads time out unless a request has begun.
func (cc *callerConn) expire() {
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if cc.state == http.StateActive {
		return
	}
	cc.expired = true
	_ = cc.stream.SetReadDeadline(past) // fails only on a closed connection
}

// CloseWrite ends the response and drops what the caller still sends, up to its end or the
// bounds of lingering. A close with bytes unread resets the connection, which may cost the
// caller the response.
func (cc *callerConn) CloseWrite() error {
	cc.mu.Lock()
	if cc.lingers {
		cc.mu.Unlock()
		return nil
	}
	cc.lingers, cc.lingered = true, cc.callers.clk.Now()
	err := cc.stream.SetReadDeadline(time.Time{})
	cc.mu.Unlock()
	// Over TLS this waits for a caller that does not read, so it holds no lock.
	if err = errors.Join(cc.stream.CloseWrite(), err); err != nil {
		return err
	}
	timer := cc.callers.clk.AfterFunc(lingerTime, func() { _ = cc.stream.SetReadDeadline(past) }) // fails only on a closed connection
	defer timer.Stop()
	// A buffer of its own: those of io.Discard have 8 KB and stay in a pool.
	buf := make([]byte, lingerBuffer)
	for left := lingerBytes; left > 0; {
		count, err := cc.stream.Read(buf)
		if left -= count; err != nil {
			break // the response is complete whatever the caller sends
		}
	}
	return nil
}

// SetLinger sets what Close does with data that was not sent, as net.TCPConn's does.
func (cc *callerConn) SetLinger(seconds int) error {
	switch nc := cc.stream.(type) {
	case *net.TCPConn:
		return nc.SetLinger(seconds)
	case *tlsStream:
		return nc.raw.SetLinger(seconds)
	}
	return nil
}

// Close implements net.Conn. When the process ends it waits for nothing: TLS would wait for up
// to 5 s until a caller that does not read takes the alert, one connection after the other.
func (cc *callerConn) Close() error {
	if cc.callers.closing.Load() {
		if ts, ok := cc.stream.(*tlsStream); ok {
			return ts.raw.Close()
		}
		return cc.stream.Close()
	}
	if cc.unread.Load() {
		_ = cc.CloseWrite() // fails only on a closed connection
	}
	return cc.stream.Close()
}

func newCallers(clk citronstream.Clock, limits citronstream.CallerLimits) *callers {
	return &callers{clk: clk, open: make(map[*callerConn]struct{}), limits: limits, hit: func(string) {}, connBytes: connBytes, gone: make(chan struct{}, 1)}
}

// add starts to track a connection.
func (ca *callers) add(nc stream) *callerConn {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	cc := &callerConn{stream: nc, callers: ca, limits: ca.limits, memory: ca.memory.Open(), idleSince: ca.clk.Now()}
	cc.memory.Force(ca.connBytes) // makeRoom has made room
	if ts, ok := nc.(*tlsStream); ok {
		ts.raw.callers, ts.raw.memory = ca, cc.memory
	}
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
		cc.headRead()
	case http.StateIdle:
		cc.end()
	case http.StateClosed, http.StateHijacked:
		ca.mu.Lock()
		delete(ca.open, cc)
		ca.mu.Unlock()
		cc.memory.Close()
		cc.mu.Lock()
		cc.uncount()
		cc.mu.Unlock()
		select {
		case ca.gone <- struct{}{}:
		default:
		}
	case http.StateNew:
	}
}

// configure sets the limits of new connections. The open ones get those that are wider
// than their own.
func (ca *callers) configure(limits citronstream.CallerLimits) {
	ca.mu.Lock()
	defer ca.mu.Unlock()
	ca.limits = limits
	for cc := range ca.open {
		cc.widen(limits)
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
