package sitesoak

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// proxy passes TCP connections on to a target, with faults.
type proxy struct {
	ln     net.Listener
	target string
	delay  atomic.Int64 // before each chunk, in ns
	oneWay atomic.Bool  // what the target sends is dropped

	mu    sync.Mutex
	conns map[*pair]bool
}

// pair is one connection through the proxy.
type pair struct {
	near, far net.Conn
	silent    atomic.Bool // carries nothing for good, and stays open
	deaf      atomic.Bool // the same for what the target sends
}

func newProxy(t *testing.T, target string) *proxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	pr := &proxy{ln: ln, target: target, conns: make(map[*pair]bool)}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { pr.serve(near) })
		}
	})
	t.Cleanup(func() { _ = ln.Close(); pr.reset(); serving.Wait() })
	return pr
}

func (pr *proxy) address() string { return pr.ln.Addr().String() }

func (pr *proxy) serve(near net.Conn) {
	far, err := net.Dial("tcp", pr.target)
	if err != nil {
		_ = near.Close()
		return
	}
	pa := &pair{near: near, far: far}
	pr.mu.Lock()
	pr.conns[pa] = true
	pr.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { pr.copy(pa, far, near, false) })
	copies.Go(func() { pr.copy(pa, near, far, true) })
	copies.Wait()
	pr.mu.Lock()
	delete(pr.conns, pa)
	pr.mu.Unlock()
}

// copy passes one direction on and closes both ends when it ends.
func (pr *proxy) copy(pa *pair, to, from net.Conn, back bool) {
	buf := make([]byte, 16<<10)
	for {
		count, err := from.Read(buf)
		if wait := time.Duration(pr.delay.Load()); wait > 0 {
			<-clk.After(wait)
		}
		if back && count > 0 && pr.oneWay.Load() {
			pa.deaf.Store(true) // TCP delivers nothing behind bytes that were lost
		}
		if count > 0 && !pa.silent.Load() && (!back || !pa.deaf.Load()) {
			if _, failed := to.Write(buf[:count]); failed != nil {
				err = failed
			}
		}
		if err != nil {
			if err != io.EOF {
				linger(pa.near)
				linger(pa.far)
			}
			_, _ = pa.near.Close(), pa.far.Close()
			return
		}
	}
}

// linger makes the close of a connection reset it.
func linger(nc net.Conn) { _ = nc.(*net.TCPConn).SetLinger(0) }

func (pr *proxy) each(do func(pa *pair)) {
	pr.mu.Lock()
	defer pr.mu.Unlock()
	for pa := range pr.conns {
		do(pa)
	}
}

// reset resets all open connections.
func (pr *proxy) reset() {
	pr.each(func(pa *pair) {
		linger(pa.near)
		linger(pa.far)
		_, _ = pa.near.Close(), pa.far.Close()
	})
}

// silence makes the open connections carry nothing for good. New ones work.
func (pr *proxy) silence() { pr.each(func(pa *pair) { pa.silent.Store(true) }) }

// heal ends the faults of new connections.
func (pr *proxy) heal() {
	pr.delay.Store(0)
	pr.oneWay.Store(false)
}
