package host

import (
	"net"
	"sync"
)

// connSet holds the open connections of a Host.
type connSet struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func (cs *connSet) add(co *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.open == nil {
		cs.open = map[*conn]struct{}{}
	}
	cs.open[co] = struct{}{}
}

func (cs *connSet) remove(co *conn) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.open, co)
}

func (cs *connSet) all() []*conn {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	open := make([]*conn, 0, len(cs.open))
	for co := range cs.open {
		open = append(open, co)
	}
	return open
}

// Silent makes the established connections go silent permanently: incoming
// data is not read and written data is dropped, but they stay open. New
// connections work. Requests that were already read continue.
func (ho *Host) Silent() {
	for _, co := range ho.conns.all() {
		co.silence()
	}
}

// Connections returns the number of open connections.
func (ho *Host) Connections() int { return len(ho.conns.all()) }

// listener adds each accepted connection to its set.
type listener struct {
	net.Listener
	set *connSet
}

// Accept implements net.Listener.
func (li *listener) Accept() (net.Conn, error) {
	raw, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	co := &conn{Conn: raw, set: li.set, silent: make(chan struct{}), closed: make(chan struct{})}
	li.set.add(co)
	return co, nil
}

// conn is a connection that can go silent.
type conn struct {
	net.Conn
	set         *connSet
	silent      chan struct{}
	closed      chan struct{}
	closeOnce   sync.Once
	silenceOnce sync.Once
}

func (co *conn) silence() { co.silenceOnce.Do(func() { close(co.silent) }) }

func (co *conn) isSilent() bool {
	select {
	case <-co.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn. On a silent connection it blocks until Close.
func (co *conn) Read(data []byte) (int, error) {
	n, err := co.Conn.Read(data)
	if co.isSilent() {
		<-co.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn. On a silent connection the data is dropped.
func (co *conn) Write(data []byte) (int, error) {
	if co.isSilent() {
		return len(data), nil
	}
	return co.Conn.Write(data)
}

// Close implements net.Conn.
func (co *conn) Close() error {
	var err error
	co.closeOnce.Do(func() {
		co.set.remove(co)
		close(co.closed)
		err = co.Conn.Close()
	})
	return err
}
