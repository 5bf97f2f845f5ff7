// Package acceptor accepts connections and goes on after errors that pass, such as a
// process without free descriptors. It handles bursts of clients that take all of them.
package acceptor

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/citronstream/citronstream"
	"github.com/go-logr/logr"
)

const (
	// minWait and maxWait bound the pause after a failed accept, which doubles with each one.
	minWait = 5 * time.Millisecond
	maxWait = 500 * time.Millisecond
	// logInterval is the least time between two log lines about the begin of a shortage.
	logInterval = time.Minute
)

// Listener is a net.Listener whose Accept fails only when the listener is closed or has
// reached its deadline.
type Listener struct {
	net.Listener
	clk    citronstream.Clock
	log    logr.Logger
	closed chan struct{}
	once   sync.Once

	shortages atomic.Uint64

	mu     sync.Mutex
	wait   time.Duration // before the next accept; 0 unless the last one failed
	since  time.Time     // begin of the shortage
	logged time.Time     // last log line about a begin
	told   bool          // that of the shortage under way was logged
}

// New returns a Listener that accepts from another one.
func New(clk citronstream.Clock, log logr.Logger, ln net.Listener) *Listener {
	return &Listener{Listener: ln, clk: clk, log: log, closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (li *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := li.Listener.Accept()
		if err == nil {
			li.accepted()
			return nc, nil
		}
		if !passes(err) {
			return nil, err
		}
		select {
		case <-li.clk.After(li.failed(err)):
		case <-li.closed:
			return nil, net.ErrClosed
		}
	}
}

// Close implements net.Listener.
func (li *Listener) Close() error {
	li.once.Do(func() { close(li.closed) })
	return li.Listener.Close()
}

// Shortages returns how many times accept has failed.
func (li *Listener) Shortages() uint64 { return li.shortages.Load() }

// Short returns for how long no connection could be accepted, 0 if none failed since the
// last one.
func (li *Listener) Short() time.Duration {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.wait == 0 {
		return 0
	}
	return max(1, li.clk.Since(li.since))
}

// passes reports whether accept may succeed later.
func passes(err error) bool {
	for _, passing := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ECONNABORTED, syscall.ENOBUFS, syscall.ENOMEM, syscall.EINTR} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// failed records a failed accept and returns the pause before the next one.
func (li *Listener) failed(err error) time.Duration {
	li.shortages.Add(1)
	li.mu.Lock()
	defer li.mu.Unlock()
	now := li.clk.Now()
	if li.wait == 0 {
		li.since, li.wait, li.told = now, minWait/2, false
	}
	li.wait = min(2*li.wait, maxWait)
	if !li.told && (li.logged.IsZero() || now.Sub(li.logged) >= logInterval) {
		li.told, li.logged = true, now
		li.log.Info("accepting connections fails", "address", li.Addr().String(), "reason", err.Error())
	}
	return li.wait
}

// accepted records the end of a shortage.
func (li *Listener) accepted() {
	li.mu.Lock()
	defer li.mu.Unlock()
	if li.wait == 0 {
		return
	}
	if li.told {
		li.log.Info("accepting connections succeeds again", "address", li.Addr().String(), "after", li.clk.Since(li.since).String(), "failures", li.shortages.Load())
	}
	li.wait, li.told = 0, false
}
