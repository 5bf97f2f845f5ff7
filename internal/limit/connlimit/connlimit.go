// Package connlimit bounds the connections to an address for peers. It handles clients that
// open many connections and never say who they are: these give way to newer ones, while
// peers that have introduced themselves keep theirs.
package connlimit

import (
	"container/list"
	"sync"
)

// Limit has the connections of one address.
type Limit struct {
	most, mostNew int
	hit           func()

	mu    sync.Mutex
	open  int
	fresh *list.List // of *Conn, the oldest first: those that are not known
}

// Conn is an open connection. A nil Conn is one that was refused.
type Conn struct {
	limit *Limit
	end   func()
	fresh *list.Element // nil once it is known or removed
	gone  bool
}

// New returns a Limit of a number of connections, and of those among them that are not
// known. Hit is called when one is closed because of it.
func New(most, mostNew int, hit func()) *Limit {
	return &Limit{most: most, mostNew: mostNew, hit: hit, fresh: list.New()}
}

// Add adds a connection that is not known yet. At the limits the oldest one that is not
// known is closed by its function; if there is none, Add returns nil, and the new one must
// be closed. The functions must not block, and are called without a lock.
func (li *Limit) Add(end func()) *Conn {
	li.mu.Lock()
	var oldest *Conn
	if li.open >= li.most || li.fresh.Len() >= li.mostNew {
		if front := li.fresh.Front(); front != nil {
			oldest = front.Value.(*Conn)
			oldest.remove()
		}
	}
	var co *Conn
	if li.open < li.most {
		co = &Conn{limit: li, end: end}
		co.fresh = li.fresh.PushBack(co)
		li.open++
	}
	li.mu.Unlock()
	if oldest != nil {
		oldest.end()
	}
	if oldest != nil || co == nil {
		li.hit()
	}
	return co
}

// Open returns the number of open connections.
func (li *Limit) Open() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return li.open
}

// Known marks that the peer has said who it is.
func (co *Conn) Known() {
	if co == nil {
		return
	}
	co.limit.mu.Lock()
	defer co.limit.mu.Unlock()
	co.forget()
}

// Remove removes a connection that has ended. It may be called more than once.
func (co *Conn) Remove() {
	if co == nil {
		return
	}
	co.limit.mu.Lock()
	defer co.limit.mu.Unlock()
	co.remove()
}

// remove removes the connection. The caller holds the lock.
func (co *Conn) remove() {
	if !co.gone {
		co.gone = true
		co.limit.open--
		co.forget()
	}
}

// forget takes the connection out of those that are not known. The caller holds the lock.
func (co *Conn) forget() {
	if co.fresh != nil {
		co.limit.fresh.Remove(co.fresh)
		co.fresh = nil
	}
}
