// Package relay is a TCP forwarder with fault injection, which tests place
// between an entry and an agent.
package relay

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronstream/citronstream"
)

// Relay forwards the connections to its address to a target.
type Relay struct {
	clk       citronstream.Clock
	target    string
	delay     atomic.Int64 // nanoseconds, one way
	byteLimit atomic.Int64 // bytes that a connection forwards before it is cut; 0 is no limit

	mu      sync.Mutex
	ctx     context.Context // passed to Start
	address string
	ln      net.Listener // nil while new connections are refused
	conns   map[*proxiedConn]struct{}
	wg      sync.WaitGroup
	done    chan struct{}
}

// New returns a relay to target, a host:port.
func New(clk citronstream.Clock, target string) *Relay {
	return &Relay{clk: clk, target: target, conns: map[*proxiedConn]struct{}{}, done: make(chan struct{})}
}

// Start listens on address (host:port, port 0 picks one) until ctx ends.
func (re *Relay) Start(ctx context.Context, address string) error {
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.ctx != nil {
		return errors.New("relay is running")
	}
	re.address = address
	if err := re.listen(ctx); err != nil {
		return err
	}
	re.ctx = ctx
	go re.supervise(ctx)
	return nil
}

// Address returns the host:port that the relay listens on.
func (re *Relay) Address() string {
	re.mu.Lock()
	defer re.mu.Unlock()
	return re.address
}

// Done is closed when the context of Start has ended and so has every goroutine of the relay.
func (re *Relay) Done() <-chan struct{} { return re.done }

// Connections returns the number of open connections, including silent ones.
func (re *Relay) Connections() int { return len(re.openConns()) }

// SilenceExisting makes the established connections go silent permanently: they
// stay open, but nothing is forwarded in either direction, not even the close
// of one side. New connections work.
func (re *Relay) SilenceExisting() {
	for _, pc := range re.openConns() {
		pc.silence()
	}
}

// CutAll closes all established connections, including silent ones.
func (re *Relay) CutAll() {
	for _, pc := range re.openConns() {
		pc.cut()
	}
}

// SetDelay delays all data in each direction and keeps its order.
func (re *Relay) SetDelay(oneWay time.Duration) { re.delay.Store(int64(oneWay)) }

// CutAfter cuts each connection once it has forwarded n bytes in both
// directions together, counted from its start. Zero disables the fault.
func (re *Relay) CutAfter(n int64) { re.byteLimit.Store(n) }

// Refuse closes the listener, so that new connections are refused, or opens
// it again at the same address. Established connections continue.
func (re *Relay) Refuse(on bool) error {
	re.mu.Lock()
	defer re.mu.Unlock()
	switch {
	case re.ctx == nil || re.ctx.Err() != nil:
		return errors.New("relay is not running")
	case on && re.ln != nil:
		err := re.ln.Close()
		re.ln = nil
		return err
	case !on && re.ln == nil:
		return re.listen(re.ctx)
	}
	return nil
}

// listen opens the listener. The caller holds mu.
func (re *Relay) listen(ctx context.Context) error {
	ln, err := net.Listen("tcp", re.address)
	if err != nil {
		return err
	}
	re.ln, re.address = ln, ln.Addr().String()
	re.wg.Go(func() { re.accept(ctx, ln) })
	return nil
}

func (re *Relay) supervise(ctx context.Context) {
	<-ctx.Done()
	re.mu.Lock()
	if re.ln != nil {
		_ = re.ln.Close()
		re.ln = nil
	}
	re.mu.Unlock()
	re.CutAll()
	re.wg.Wait()
	close(re.done)
}

func (re *Relay) accept(ctx context.Context, ln net.Listener) {
	for {
		client, err := ln.Accept()
		if err != nil {
			return
		}
		re.wg.Go(func() { re.forward(ctx, client) })
	}
}

// forward connects to the target and forwards data until both sides have
// ended or the connection is cut.
func (re *Relay) forward(ctx context.Context, client net.Conn) {
	server, err := (&net.Dialer{}).DialContext(ctx, "tcp", re.target)
	if err != nil {
		_ = client.Close()
		return
	}
	pc := &proxiedConn{re: re, client: client, server: server, silent: make(chan struct{}), closed: make(chan struct{})}
	defer pc.cut()
	re.mu.Lock()
	re.conns[pc] = struct{}{}
	re.mu.Unlock()
	defer func() {
		re.mu.Lock()
		defer re.mu.Unlock()
		delete(re.conns, pc)
	}()
	if ctx.Err() != nil {
		return // CutAll may have run before the connection was registered
	}
	pc.run()
}

func (re *Relay) openConns() []*proxiedConn {
	re.mu.Lock()
	defer re.mu.Unlock()
	open := make([]*proxiedConn, 0, len(re.conns))
	for pc := range re.conns {
		open = append(open, pc)
	}
	return open
}
