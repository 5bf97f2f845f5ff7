// Package conns keeps HTTP/1.1 connections to upstreams. It tells exactly
// whether a request was sent, and gives each answer to the request that its
// identifier names. net/http's client can do neither: it repeats requests by
// itself and takes the next answer on a connection for the one asked for.
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
)

const (
	// dialTimeout bounds a connect. Zones are at most a few ms apart, and an
	// opening packet that was dropped is sent again after seconds only.
	dialTimeout = 400 * time.Millisecond
	// idleMargin is taken off the time that an upstream says it keeps an idle
	// connection, so that a request does not cross its close.
	idleMargin = time.Second
	// idleUnknown is how long a connection is kept whose upstream names no
	// time; it then closes within a second, as it can only name whole ones.
	idleUnknown = 300 * time.Millisecond
	// maxIdle bounds the idle connections to one upstream, and maxAddresses the upstreams.
	maxIdle      = 16
	maxAddresses = 4096
	bufferBytes  = 4 << 10
)

// conn is a connection to an upstream.
type conn struct {
	net.Conn
	br     *bufio.Reader
	reused bool
	until  time.Time // end of the time in which it may be used again
}

// abandon resets a connection whose request has no complete answer. A close
// would leave the request in the socket, and deliver it when a link that was
// cut carries bytes again, seconds after it was given up.
func (co *conn) abandon() {
	if tc, ok := co.Conn.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // a connection that is closed already has nothing to send
	}
	_ = co.Close()
}

// Pool keeps connections by address.
type Pool struct {
	clk    citronstream.Clock
	dial   func(ctx context.Context, address string) (net.Conn, error)
	most   func(address string) int
	opened atomic.Uint64
	reused atomic.Uint64

	mu   sync.Mutex
	idle map[string][]*conn
}

// Option changes a Pool.
type Option func(*Pool)

// WithDial replaces how connections are opened.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(po *Pool) { po.dial = dial }
}

// WithMost sets how many idle connections to an address are kept. Upstreams
// reset connections beyond a number for all callers together.
func WithMost(most func(address string) int) Option { return func(po *Pool) { po.most = most } }

// New returns an empty pool.
func New(clk citronstream.Clock, opts ...Option) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	po := &Pool{clk: clk, idle: make(map[string][]*conn)}
	po.dial = func(ctx context.Context, address string) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}
	po.most = func(string) int { return maxIdle }
	for _, opt := range opts {
		opt(po)
	}
	return po
}

// Counts returns the connections opened and the requests sent over one that was open.
func (po *Pool) Counts() (opened, reused uint64) { return po.opened.Load(), po.reused.Load() }

// get returns an idle connection that still lives, or a new one.
func (po *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		co := po.pop(address)
		if co == nil {
			break
		}
		if po.clk.Now().Before(co.until) && alive(co.Conn) {
			co.reused = true
			po.reused.Add(1)
			return co, nil
		}
		_ = co.Close()
	}
	raw, err := po.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	po.opened.Add(1)
	return &conn{Conn: raw, br: bufio.NewReaderSize(raw, bufferBytes)}, nil
}

func (po *Pool) pop(address string) *conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	list := po.idle[address]
	if len(list) == 0 {
		return nil
	}
	co := list[len(list)-1]
	if list = list[:len(list)-1]; len(list) == 0 {
		delete(po.idle, address)
	} else {
		po.idle[address] = list
	}
	return co
}

// put keeps a connection for the time that its upstream allows.
func (po *Pool) put(address string, co *conn, idleTimeout time.Duration) {
	keep := idleUnknown
	if idleTimeout > 0 {
		keep = idleTimeout - idleMargin
	}
	if keep <= 0 {
		_ = co.Close()
		return
	}
	co.until = po.clk.Now().Add(keep)
	most := min(po.most(address), maxIdle)
	po.mu.Lock()
	list, known := po.idle[address]
	full := len(list) >= most || !known && len(po.idle) >= maxAddresses
	if !full {
		po.idle[address] = append(list, co)
	}
	po.mu.Unlock()
	if full {
		_ = co.Close()
	}
}

// Drop closes the idle connections to an address, as when its upstream has gone.
func (po *Pool) Drop(address string) {
	po.mu.Lock()
	list := po.idle[address]
	delete(po.idle, address)
	po.mu.Unlock()
	for _, co := range list {
		_ = co.Close()
	}
}

// Sweep closes the idle connections whose time has passed.
func (po *Pool) Sweep() {
	now := po.clk.Now()
	var old []*conn
	po.mu.Lock()
	for address, list := range po.idle {
		kept := list[:0]
		for _, co := range list {
			if now.Before(co.until) {
				kept = append(kept, co)
			} else {
				old = append(old, co)
			}
		}
		if po.idle[address] = kept; len(kept) == 0 {
			delete(po.idle, address)
		}
	}
	po.mu.Unlock()
	for _, co := range old {
		_ = co.Close()
	}
}

// Close closes all idle connections.
func (po *Pool) Close() {
	po.mu.Lock()
	idle := po.idle
	po.idle = make(map[string][]*conn)
	po.mu.Unlock()
	for _, list := range idle {
		for _, co := range list {
			_ = co.Close()
		}
	}
}

// alive reports whether an idle connection is open and silent. Data that
// nobody asked for makes it unusable.
func alive(nc net.Conn) bool {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, err := syscall.Read(int(fd), one[:])
		silent = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && silent
}
