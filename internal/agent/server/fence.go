package server

import (
	"container/list"
	"sync"
	"time"

	"github.com/citronstream/citronstream"
)

// Bounds of the fences.
const (
	fenceFor  = 60 * time.Second
	maxFences = 65536
)

// fences remembers the keys that were refused as not run. A request with the
// same key that reached its entry before the refused one, and was delayed on
// its way, must not run after that: its caller was told that the work did not.
type fences struct {
	mu    sync.Mutex
	byKey map[string]*list.Element
	order *list.List // of fence, oldest first
}

type fence struct {
	key string
	at  time.Time // arrival of the refused request, by its entry's clock
	set time.Time
}

func fenceKey(ca *citronstream.Call) string { return ca.Workspace + "\x00" + ca.Key }

// put sets a fence and returns what takes it back.
func (fe *fences) put(ca *citronstream.Call, now time.Time) (undo func()) {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	if fe.byKey == nil {
		fe.byKey, fe.order = make(map[string]*list.Element), list.New()
	}
	key := fenceKey(ca)
	if old, ok := fe.byKey[key]; ok {
		if !old.Value.(fence).at.Before(ca.RequestAt) {
			return func() {}
		}
		fe.drop(old)
	}
	el := fe.order.PushBack(fence{key: key, at: ca.RequestAt, set: now})
	fe.byKey[key] = el
	for front := fe.order.Front(); fe.order.Len() > maxFences || now.Sub(front.Value.(fence).set) > fenceFor; front = fe.order.Front() {
		fe.drop(front)
	}
	return func() {
		fe.mu.Lock()
		defer fe.mu.Unlock()
		if fe.byKey[key] == el {
			fe.drop(el)
		}
	}
}

func (fe *fences) drop(el *list.Element) {
	fe.order.Remove(el)
	delete(fe.byKey, el.Value.(fence).key)
}

// bars says whether a call came before a refusal of its key.
func (fe *fences) bars(ca *citronstream.Call) bool {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	el, ok := fe.byKey[fenceKey(ca)]
	return ok && ca.RequestAt.Before(el.Value.(fence).at)
}

// size returns the number of fences.
func (fe *fences) size() int {
	fe.mu.Lock()
	defer fe.mu.Unlock()
	return len(fe.byKey)
}
