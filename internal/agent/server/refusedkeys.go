package server

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// Bounds of the table of refused keys.
const (
	refusedKeyTTL  = 60 * time.Second
	maxRefusedKeys = 65536
)

// refusedKeys remembers the keys of calls that were refused with NotRun. A
// request with the same key that reached its entry before the refused one, and
// arrives here late, must not run: the caller was told that the work was not
// done.
type refusedKeys struct {
	mu    sync.Mutex
	byKey map[string]*list.Element
	order *list.List // of refusedKey, oldest first
}

type refusedKey struct {
	key     string
	arrived time.Time // arrival of the refused request, by its entry's clock
	added   time.Time
}

func workspaceKey(ca *citronstream.Call) string { return ca.Workspace + "\x00" + ca.Key }

// add records a refusal and returns a function that removes the record.
func (rk *refusedKeys) add(ca *citronstream.Call, now time.Time) (undo func()) {
	rk.mu.Lock()
	defer rk.mu.Unlock()
	if rk.byKey == nil {
		rk.byKey, rk.order = make(map[string]*list.Element), list.New()
	}
	key := workspaceKey(ca)
	if old, ok := rk.byKey[key]; ok {
		if !old.Value.(refusedKey).arrived.Before(ca.RequestAt) {
			return func() {}
		}
		rk.remove(old)
	}
	el := rk.order.PushBack(refusedKey{key: key, arrived: ca.RequestAt, added: now})
	rk.byKey[key] = el
	for front := rk.order.Front(); rk.order.Len() > maxRefusedKeys || now.Sub(front.Value.(refusedKey).added) > refusedKeyTTL; front = rk.order.Front() {
		rk.remove(front)
	}
	return func() {
		rk.mu.Lock()
		defer rk.mu.Unlock()
		if rk.byKey[key] == el {
			rk.remove(el)
		}
	}
}

func (rk *refusedKeys) remove(el *list.Element) {
	rk.order.Remove(el)
	delete(rk.byKey, el.Value.(refusedKey).key)
}

// rejects reports whether a later call with the same key was refused.
func (rk *refusedKeys) rejects(ca *citronstream.Call) bool {
	rk.mu.Lock()
	defer rk.mu.Unlock()
	el, ok := rk.byKey[workspaceKey(ca)]
	return ok && ca.RequestAt.Before(el.Value.(refusedKey).arrived)
}

// size returns the number of refused keys.
func (rk *refusedKeys) size() int {
	rk.mu.Lock()
	defer rk.mu.Unlock()
	return len(rk.byKey)
}
