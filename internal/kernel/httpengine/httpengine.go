// Package httpengine starts the HTTP servers of entries and operators.
package httpengine

import (
	"net"
	"runtime"
	"sync/atomic"

	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/acceptor"
	"github.com/go-logr/logr"
	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"
)

// Option changes the engine before it starts.
type Option func(*settings)

type settings struct {
	accept func(net.Listener) net.Listener
	tls    *tls.Config
	opened func(*nbio.Conn)
	closed func(net.Conn)
}

// WithTLS serves HTTPS. Nil serves HTTP.
func WithTLS(config *tls.Config) Option { return func(se *settings) { se.tls = config } }

// WithRetry goes on after accepts that failed for a while. nbhttp itself tries again
// without a pause, which takes a whole core as long as the process has no descriptor left.
func WithRetry(clk citronstream.Clock, log logr.Logger) Option {
	return func(se *settings) {
		se.accept = func(ln net.Listener) net.Listener { return acceptor.New(clk, log, ln) }
	}
}

// WithConnHooks sets the callbacks for connections that open and for those that have closed.
func WithConnHooks(opened func(*nbio.Conn), closed func(net.Conn)) Option {
	return func(se *settings) { se.opened, se.closed = opened, closed }
}

// Start listens at an address and serves it. It sets the network, the addresses,
// the listener and TLS of the config itself.
func Start(address string, config nbhttp.Config, opts ...Option) (*nbhttp.Engine, error) {
	se := settings{accept: func(ln net.Listener) net.Listener { return ln }, opened: func(*nbio.Conn) {}, closed: func(net.Conn) {}}
	for _, opt := range opts {
		opt(&se)
	}
	// nbio's engine blocks in Start if its own listen fails.
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	config.Network = "tcp"
	config.Listen = func(string, string) (net.Listener, error) { return se.accept(ln), nil }
	if se.tls != nil {
		config.AddrsTLS, config.TLSConfig = []string{address}, se.tls
	} else {
		config.Addrs = []string{address}
	}
	eng := nbhttp.NewEngine(config)
	addOpenBarrier(eng, se.opened)
	eng.OnClose(func(nc net.Conn, _ error) { se.closed(nc) })
	return eng, eng.Start()
}

// addOpenBarrier orders the setup of a connection by nbhttp's listener before the
// first read by its poller. Otherwise only epoll orders them, which the race
// detector does not see: it then reports a race on nbhttp.Conn.RemoteAddr.
func addOpenBarrier(eng *nbhttp.Engine, opened func(*nbio.Conn)) {
	var count atomic.Uint64
	eng.Engine.OnOpen(func(co *nbio.Conn) {
		opened(co)
		count.Add(1)
	})
	eng.OnData(func(co *nbio.Conn, data []byte) {
		_ = count.Load()
		co.DataHandler()(co, data)
		runtime.Gosched() // lets the handler run on this thread, as in nbconn.New
	})
}
