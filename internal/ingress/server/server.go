// Package server listens for callers of a site and for the platform's
// question whether the process is ready. It uses net/http: nbhttp accepts
// requests whose framing is ambiguous, and closes a connection before its last
// answer is written out.
package server

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
)

const (
	// Limits that hold until a configuration names others.
	firstHeaderBytes   = 16 << 10
	firstHeaderTimeout = 3 * time.Second
	firstIdleTimeout   = 15 * time.Second
	// idleSlack is added to the idle time of the configuration: a caller that
	// uses its connection within that time must not meet its close.
	idleSlack = time.Second
)

// Server listens at one address.
type Server struct {
	log     logr.Logger
	handler http.Handler
	ln      net.Listener
	done    chan struct{}

	mu      sync.Mutex
	limits  citronstream.CallerLimits
	current *handover
	servers []*http.Server
	serving sync.WaitGroup
}

// New returns a server that does not listen yet.
func New(log logr.Logger, handler http.Handler) *Server {
	return &Server{log: log, handler: handler, done: make(chan struct{}), limits: citronstream.CallerLimits{
		HeaderBytes: firstHeaderBytes, HeaderTimeout: firstHeaderTimeout, IdleTimeout: firstIdleTimeout,
	}}
}

// Start listens at the address.
func (se *Server) Start(address string) error {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return merry.Prependf(err, "callers at %s", address)
	}
	se.ln = ln
	se.mu.Lock()
	se.serve()
	se.mu.Unlock()
	go se.accept()
	return nil
}

// Configure puts limits in force for new connections.
func (se *Server) Configure(limits citronstream.CallerLimits) {
	se.mu.Lock()
	defer se.mu.Unlock()
	if limits == se.limits || se.ln == nil {
		return
	}
	se.limits = limits
	se.current.end()
	se.serve()
}

// serve starts an HTTP server with the limits in force. The caller holds the lock.
func (se *Server) serve() {
	hs := &http.Server{
		Handler: se.handler, MaxHeaderBytes: se.limits.HeaderBytes,
		ReadHeaderTimeout: se.limits.HeaderTimeout, IdleTimeout: se.limits.IdleTimeout + idleSlack,
	}
	ho := &handover{conns: make(chan net.Conn), ended: make(chan struct{}), address: se.ln.Addr()}
	se.current = ho
	se.servers = append(se.servers, hs)
	se.serving.Go(func() {
		if err := hs.Serve(ho); err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			se.log.Error(err, "server of the callers ended")
		}
	})
}

// accept hands connections to the server with the limits in force.
func (se *Server) accept() {
	defer close(se.done)
	for {
		nc, err := se.ln.Accept()
		if err != nil {
			var temporary net.Error
			if errors.As(err, &temporary) && temporary.Timeout() {
				continue
			}
			if !errors.Is(err, net.ErrClosed) {
				se.log.Error(err, "listener of the callers ended")
			}
			return
		}
		se.mu.Lock()
		ho := se.current
		se.mu.Unlock()
		select {
		case ho.conns <- nc:
		case <-ho.ended:
			_ = nc.Close()
		}
	}
}

// Close closes the listener and all connections.
func (se *Server) Close() {
	_ = se.ln.Close()
	<-se.done
	se.mu.Lock()
	se.current.end()
	servers := se.servers
	se.mu.Unlock()
	for _, hs := range servers {
		if err := hs.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
			se.log.Info("close of a server", "reason", err.Error())
		}
	}
	se.serving.Wait()
}

// Shutdown closes idle connections and waits for the others until ctx ends.
func (se *Server) Shutdown(ctx context.Context) error {
	se.mu.Lock()
	servers := se.servers
	se.mu.Unlock()
	var failed error
	for _, hs := range servers {
		failed = errors.Join(failed, hs.Shutdown(ctx))
	}
	return failed
}

// handover is a listener that gets its connections from another one.
type handover struct {
	conns   chan net.Conn
	ended   chan struct{}
	once    sync.Once
	address net.Addr
}

func (ho *handover) end() { ho.once.Do(func() { close(ho.ended) }) }

// Accept implements net.Listener.
func (ho *handover) Accept() (net.Conn, error) {
	select {
	case nc := <-ho.conns:
		return nc, nil
	case <-ho.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (ho *handover) Close() error {
	ho.end()
	return nil
}

// Addr implements net.Listener.
func (ho *handover) Addr() net.Addr { return ho.address }
