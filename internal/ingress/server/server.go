// Package server accepts the HTTP connections of callers, of operators, and of the
// platform's readiness probe, and bounds what they hold. It uses net/http because nbhttp accepts requests
// whose framing is ambiguous and closes a connection before its last response is
// written.
package server

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/citronstream/citronstream/internal/kernel/acceptor"
	"github.com/go-logr/logr"
)

const (
	// Limits until the first configuration is loaded. The idle timeout also replaces one that
	// the configuration does not set.
	defaultHeaderBytes   = 16 << 10
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// idleSlack is added to the configured idle timeout, so that a caller that
	// reuses its connection within that timeout does not find it closed.
	idleSlack = time.Second
	// maxHeaderBytes and maxTimeout are the widest limits.
	maxHeaderBytes = 1 << 30
	maxTimeout     = 24 * time.Hour
)

// emptyQueueTime is the time in which the connections in the listener's queue are accepted.
const emptyQueueTime = 20 * time.Millisecond

// Server listens at one address.
type Server struct {
	log      logr.Logger
	clk      citronstream.Clock
	handler  http.Handler
	ln       *acceptor.Listener
	stopping atomic.Bool // StopAccepting was called
	done     chan struct{}
	callers  *callers
	listener *chanListener
	http     *http.Server
	serving  sync.WaitGroup
	tls      *tls.Config
	maxOpen  int // connections; 0 for no bound
	began    time.Time
	waiting  atomic.Int64 // since when a connection waits for room, in ns after began; 0 if none does
}

// New returns a server that does not listen yet.
func New(clk citronstream.Clock, log logr.Logger, handler http.Handler, opts ...Option) *Server {
	se := &Server{log: log, clk: clk, handler: handler, began: clk.Now(), done: make(chan struct{}), callers: newCallers(clk, citronstream.CallerLimits{
		HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
	})}
	se.http = &http.Server{
		Handler: http.HandlerFunc(se.serveHTTP), MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: serverTimeout, IdleTimeout: serverTimeout,
		ConnState: se.callers.observe, ConnContext: withCaller, ErrorLog: ErrorLog(log),
	}
	for _, opt := range opts {
		opt(se)
	}
	return se
}

// Start listens at the address.
func (se *Server) Start(address string) error {
	if err := se.listen(address); err != nil {
		return err
	}
	go se.accept()
	return nil
}

// listen starts the HTTP server, which gets its connections from accept.
func (se *Server) listen(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prependf(err, "listen for callers at %s", address)
	}
	se.ln = acceptor.New(se.clk, se.log, ln)
	se.listener = &chanListener{conns: make(chan net.Conn), closed: make(chan struct{}), address: ln.Addr()}
	se.serving.Go(func() {
		if err := se.http.Serve(se.listener); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			se.log.Error(err, "HTTP server for callers ended")
		}
	})
	return nil
}

// Configure applies limits to new connections, and wider ones to all.
func (se *Server) Configure(limits citronstream.CallerLimits) { se.callers.configure(bounded(limits)) }

// bounded replaces limits that are not set.
func bounded(limits citronstream.CallerLimits) citronstream.CallerLimits {
	if limits.HeaderBytes <= 0 {
		limits.HeaderBytes = http.DefaultMaxHeaderBytes
	}
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = maxTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultIdleTimeout
	}
	limits.HeaderBytes = min(limits.HeaderBytes, maxHeaderBytes)
	return limits
}

// callerKey is the key of the callerConn in the context of its requests.
type callerKey struct{}

func withCaller(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, nc)
}

// serveHTTP runs the handler, and notes a request of which the body was not read to its
// end: the HTTP server may close its connection at once. What it reads of the body before
// that is bounded in time.
func (se *Server) serveHTTP(wr http.ResponseWriter, rq *http.Request) {
	cc, ok := rq.Context().Value(callerKey{}).(*callerConn)
	handler := se.handler
	if ok && cc.isOverdrawn() {
		handler = http.HandlerFunc(se.refuseOverdrawn)
	}
	if !ok || rq.ContentLength == 0 {
		handler.ServeHTTP(wr, rq)
		return
	}
	read := &bodyReader{ReadCloser: rq.Body, cc: cc, rq: rq}
	rq = rq.WithContext(rq.Context())
	rq.Body = read
	handler.ServeHTTP(wr, rq)
	if !read.ended && !read.refused {
		// The HTTP server drains the body before it answers, without a deadline of its own.
		_ = cc.SetReadDeadline(se.clk.Now().Add(lingerTime)) // fails only on a closed connection
	}
	cc.unread.Store(!read.ended)
}

// refuseOverdrawn answers a request whose head exceeds the memory.
func (se *Server) refuseOverdrawn(wr http.ResponseWriter, _ *http.Request) {
	se.callers.hit(LimitMemory)
	wr.Header().Set("Connection", "close")
	wr.Header().Set("Retry-After", "1")
	wr.WriteHeader(http.StatusServiceUnavailable)
}

// bodyReader notes the end of a body.
type bodyReader struct {
	io.ReadCloser
	cc             *callerConn
	rq             *http.Request // of the HTTP server, which keeps it until the response ends
	ended, refused bool
}

// Refuse makes the HTTP server answer without reading the rest of the body. What the
// caller still sends is dropped after the answer.
func (br *bodyReader) Refuse() {
	if !br.ended {
		br.refused = true
		_ = br.cc.SetReadDeadline(past) // fails only on a closed connection
	}
}

// Read implements io.Reader.
func (br *bodyReader) Read(data []byte) (int, error) {
	count, err := br.ReadCloser.Read(data)
	if errors.Is(err, io.EOF) {
		br.ended = true
		br.rq.Trailer = nil // nobody uses it, and 4 KB of short lines take 100 KB and more
	}
	return count, err
}

// accept passes connections to the HTTP server.
func (se *Server) accept() {
	defer close(se.done)
	for {
		nc, err := se.ln.Accept()
		if err != nil {
			var temporary net.Error
			timeout := errors.As(err, &temporary) && temporary.Timeout()
			if timeout && !se.stopping.Load() {
				continue
			}
			if !timeout && !errors.Is(err, net.ErrClosed) {
				se.log.Error(err, "listener for callers ended")
			}
			return
		}
		if !se.makeRoom() {
			_ = nc.Close()
			continue
		}
		se.handOver(se.callers.add(se.wrap(nc.(*net.TCPConn))))
	}
}

// wrap begins TLS if it is configured. The first read performs the handshake.
func (se *Server) wrap(nc *net.TCPConn) stream {
	if se.tls == nil {
		return nc
	}
	return newTLSStream(nc, se.tls)
}

// handOver passes a connection to the HTTP server.
func (se *Server) handOver(cc *callerConn) {
	select {
	case se.listener.conns <- cc:
	case <-se.listener.closed:
		_ = cc.Close() // the process ends
	}
}

// Listener returns the listener for callers, nil before Start.
func (se *Server) Listener() *acceptor.Listener { return se.ln }

// Short returns for how long no connection could be accepted.
func (se *Server) Short() time.Duration {
	if se.ln == nil {
		return 0
	}
	short := se.ln.Short()
	if waiting := se.waiting.Load(); waiting > 0 {
		short = max(short, se.clk.Since(se.began)-time.Duration(waiting))
	}
	return short
}

// Count makes Running count a request, until its response is written or its connection is
// closed.
func Count(rq *http.Request) {
	cc, ok := rq.Context().Value(callerKey{}).(*callerConn)
	if !ok {
		return
	}
	cc.mu.Lock()
	defer cc.mu.Unlock()
	if !cc.counted {
		cc.counted = true
		cc.callers.running.Add(1)
	}
}

// Running returns the number of requests that Count has marked and whose responses are not
// written yet.
func (se *Server) Running() int { return int(se.callers.running.Load()) }

// CloseIdle closes the connections without a request, and returns how many are still
// open. A request of which a byte has been read is served.
func (se *Server) CloseIdle() int { return se.callers.closeIdle() }

// StopAccepting closes the listener once its queue is empty: a close resets the
// connections that wait in it. Those that were accepted are served, and CloseIdle counts
// them.
func (se *Server) StopAccepting() {
	if !se.stopping.Swap(true) {
		_ = se.ln.Listener.(*net.TCPListener).SetDeadline(se.clk.Now().Add(emptyQueueTime)) // fails only if it is closed
	}
	<-se.done
	_ = se.ln.Close() // fails only if it is closed
}

// Close closes the listener and all connections.
func (se *Server) Close() {
	se.StopAccepting()
	se.callers.closing.Store(true)
	if err := se.http.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		se.log.Info("closing an HTTP server failed", "reason", err.Error())
	}
	se.serving.Wait()
}

// chanListener is a net.Listener that receives its connections over a channel.
type chanListener struct {
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	address net.Addr
}

func (cl *chanListener) close() { cl.once.Do(func() { close(cl.closed) }) }

// Accept implements net.Listener.
func (cl *chanListener) Accept() (net.Conn, error) {
	select {
	case nc := <-cl.conns:
		return nc, nil
	case <-cl.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (cl *chanListener) Close() error {
	cl.close()
	return nil
}

// Addr implements net.Listener.
func (cl *chanListener) Addr() net.Addr { return cl.address }
