// Package conns is a pool of HTTP/1.1 connections to upstreams. It reports
// exactly whether any byte of a request was sent, and matches answers to
// requests by their identifier. net/http's client does neither: it retries
// requests by itself and assigns the next answer on a connection to the
// current request.
package conns

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/eofconn"
)

const (
	// dialTimeout bounds a connect. The latency between zones is a few ms, and
	// a lost SYN is sent again only after seconds.
	dialTimeout = 400 * time.Millisecond
	// idleMargin is subtracted from the idle timeout that an upstream
	// announces, so that no request is sent while the upstream closes the
	// connection.
	idleMargin = time.Second
	// defaultIdleTime is the idle time if the upstream announces no timeout.
	// Its timeout is then below a second, since it can announce only whole
	// seconds.
	defaultIdleTime = 300 * time.Millisecond
	// maxIdlePerAddress bounds the idle connections of one kind to one upstream, and
	// maxAddresses the kinds and upstreams.
	maxIdlePerAddress = 16
	maxAddresses      = 4096
	bufferBytes       = 4 << 10
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	stream *eofconn.Conn // reads and writes Conn
	br     *bufio.Reader
	reused bool
	// anonymous says that an answer without an identifier came on it. A late copy of
	// that answer could not be told from the answer to a later request.
	anonymous bool
	idleUntil time.Time // the connection may be reused before this time
	limited   bool      // at most headLeft more bytes may be read
	headLeft  int
}

// Read implements io.Reader for the buffered reader.
func (co *conn) Read(data []byte) (int, error) {
	if co.limited && co.headLeft <= 0 {
		return 0, errHeadTooLarge
	}
	count, err := co.stream.Read(data)
	co.headLeft -= count
	return count, err
}

// Write implements io.Writer.
func (co *conn) Write(data []byte) (int, error) { return co.stream.Write(data) }

// reset resets a connection whose request has no complete answer. After a
// plain close, the kernel would still send buffered bytes of the request when
// a broken link recovers, seconds after the request was cancelled.
func (co *conn) reset() {
	if tc, ok := co.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // fails only on a closed connection, which has nothing to send
	}
	_ = co.Close()
}

// key is what the connections of one list are used for. Requests whose answers have an
// identifier use no connection of those whose answers have none.
type key struct {
	address    string
	identified bool
}

// Pool keeps idle connections by address.
type Pool struct {
	clk     citronstream.Clock
	dial    func(ctx context.Context, address string) (net.Conn, error)
	maxIdle func(address string) int
	opened  atomic.Uint64
	reused  atomic.Uint64

	mu   sync.Mutex
	idle map[key][]*conn
}

// Option changes a Pool.
type Option func(*Pool)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(po *Pool) { po.dial = dial }
}

// WithMaxIdle sets the maximum number of idle connections to an address. An
// upstream limits the connections of all callers together and resets any more.
func WithMaxIdle(limit func(address string) int) Option {
	return func(po *Pool) { po.maxIdle = limit }
}

// New returns an empty pool.
func New(clk citronstream.Clock, opts ...Option) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	po := &Pool{clk: clk, idle: make(map[key][]*conn)}
	po.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	po.maxIdle = func(string) int { return maxIdlePerAddress }
	for _, opt := range opts {
		opt(po)
	}
	return po
}

// Counts returns the number of connections opened and of requests sent on a reused one.
func (po *Pool) Counts() (opened, reused uint64) { return po.opened.Load(), po.reused.Load() }

// get returns an idle connection that is still open, or a new one. Fresh asks for a new
// one, which replaces an idle one.
func (po *Pool) get(ctx context.Context, ke key, fresh bool) (*conn, error) {
	for {
		co := po.pop(ke)
		if co == nil {
			break
		}
		if fresh {
			_ = co.Close()
			break
		}
		if po.clk.Now().Before(co.idleUntil) && reusable(co.Conn) {
			co.reused = true
			po.reused.Add(1)
			return co, nil
		}
		_ = co.Close()
	}
	raw, err := po.dial(ctx, ke.address)
	if err != nil {
		return nil, err
	}
	po.opened.Add(1)
	co := &conn{Conn: raw, stream: eofconn.New(raw)}
	co.br = bufio.NewReaderSize(co, bufferBytes)
	return co, nil
}

func (po *Pool) pop(ke key) *conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	conns := po.idle[ke]
	if len(conns) == 0 {
		return nil
	}
	co := conns[len(conns)-1]
	if conns = conns[:len(conns)-1]; len(conns) == 0 {
		delete(po.idle, ke)
	} else {
		po.idle[ke] = conns
	}
	return co
}

// put adds a connection to the pool until its upstream's idle timeout.
func (po *Pool) put(ke key, co *conn, idleTimeout time.Duration) {
	keep := defaultIdleTime
	if idleTimeout > 0 {
		keep = idleTimeout - idleMargin
	}
	if keep <= 0 {
		_ = co.Close()
		return
	}
	co.idleUntil = po.clk.Now().Add(keep)
	limit := min(po.maxIdle(ke.address), maxIdlePerAddress)
	po.mu.Lock()
	conns, known := po.idle[ke]
	full := len(conns) >= limit || !known && len(po.idle) >= maxAddresses
	if !full {
		po.idle[ke] = append(conns, co)
	}
	po.mu.Unlock()
	if full {
		_ = co.Close()
	}
}

// Drop closes the idle connections to an address, such as one whose upstream has ended.
func (po *Pool) Drop(address string) {
	var conns []*conn
	po.mu.Lock()
	for _, ke := range []key{{address, false}, {address, true}} {
		conns = append(conns, po.idle[ke]...)
		delete(po.idle, ke)
	}
	po.mu.Unlock()
	for _, co := range conns {
		_ = co.Close()
	}
}

// Sweep closes the idle connections whose idle time is over.
func (po *Pool) Sweep() {
	now := po.clk.Now()
	var expired []*conn
	po.mu.Lock()
	for ke, conns := range po.idle {
		kept := conns[:0]
		for _, co := range conns {
			if now.Before(co.idleUntil) {
				kept = append(kept, co)
			} else {
				expired = append(expired, co)
			}
		}
		if po.idle[ke] = kept; len(kept) == 0 {
			delete(po.idle, ke)
		}
	}
	po.mu.Unlock()
	for _, co := range expired {
		_ = co.Close()
	}
}

// Close closes all idle connections.
func (po *Pool) Close() {
	po.mu.Lock()
	idle := po.idle
	po.idle = make(map[key][]*conn)
	po.mu.Unlock()
	for _, conns := range idle {
		for _, co := range conns {
			_ = co.Close()
		}
	}
}

// reusable reports whether an idle connection is open and has no unread data,
// which would belong to no request.
func reusable(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		noData = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && noData
}
