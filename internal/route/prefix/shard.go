package prefix

import (
	"container/list"
	"sync"
	"sync/atomic"

	"github.com/citronstream/citronstream/internal/kernel/policy"
)

// source is an upstream that reports cache events.
type source struct {
	name  string
	gen   atomic.Uint64 // hints of an older generation are invalid
	epoch uint64
	seq   uint64
	known bool // seq is valid
}

// holder is a hint that an upstream has a block.
type holder struct {
	source *source
	gen    uint64
	until  int64 // nanoseconds since 1970
}

func (ho *holder) valid(now int64) bool {
	return ho.source != nil && now < ho.until && ho.gen == ho.source.gen.Load()
}

type entry struct {
	hash    uint64
	used    atomic.Bool // read since the last eviction scan
	holders [policy.MaxHolders]holder
}

// shard is a part of the table. It evicts with the second-chance algorithm, which
// approximates least-recently-used: readers set a flag and don't change the
// order, so that they need only the read lock.
type shard struct {
	mu    sync.RWMutex
	byID  map[uint64]*list.Element
	order *list.List // front is the newest
}

// read adds the valid holders of a block to out and returns the new count.
func (sh *shard) read(hash uint64, depth int, now int64, out *[policy.MaxHolders]policy.Holder, count int) int {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	el, ok := sh.byID[hash]
	if !ok {
		return count
	}
	en := el.Value.(*entry)
	if !en.used.Load() {
		en.used.Store(true)
	}
	for i := range en.holders {
		if count == len(out) {
			break
		}
		if ho := &en.holders[i]; ho.valid(now) && !containsUpstream(out[:count], ho.source.name) {
			out[count] = policy.Holder{Upstream: ho.source.name, Blocks: depth}
			count++
		}
	}
	return count
}

func containsUpstream(holders []policy.Holder, name string) bool {
	for i := range holders {
		if holders[i].Upstream == name {
			return true
		}
	}
	return false
}

// add stores a hint in place of the same upstream's or an invalid one, else of
// the oldest if more than half of its TTL has passed. Otherwise the holders of
// a popular prefix would change with each call, which defeats the affinity.
func (sh *shard) add(hash uint64, from *source, now, until int64, limit int) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	el, ok := sh.byID[hash]
	if ok {
		sh.order.MoveToFront(el)
	} else {
		for len(sh.byID) >= limit {
			sh.evict()
		}
		el = sh.order.PushFront(&entry{hash: hash})
		sh.byID[hash] = el
	}
	en := el.Value.(*entry)
	at := &en.holders[0]
	for i := range en.holders {
		ho := &en.holders[i]
		if ho.source == from {
			at = ho
			break
		}
		if at.valid(now) && (!ho.valid(now) || ho.until < at.until) {
			at = ho
		}
	}
	if at.source != from && at.valid(now) && at.until-now > (until-now)/2 {
		return
	}
	*at = holder{source: from, gen: from.gen.Load(), until: until}
}

func (sh *shard) evict() {
	for el := sh.order.Back(); el != nil; el = sh.order.Back() {
		if en := el.Value.(*entry); !en.used.CompareAndSwap(true, false) {
			sh.order.Remove(el)
			delete(sh.byID, en.hash)
			return
		}
		sh.order.MoveToFront(el)
	}
}

// drop removes an upstream's hint on a block.
func (sh *shard) drop(hash uint64, from *source, now int64) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	el, ok := sh.byID[hash]
	if !ok {
		return
	}
	en, left := el.Value.(*entry), false
	for i := range en.holders {
		if en.holders[i].source == from {
			en.holders[i] = holder{}
		}
		left = left || en.holders[i].valid(now)
	}
	if !left {
		sh.order.Remove(el)
		delete(sh.byID, hash)
	}
}

func (sh *shard) len() int {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	return len(sh.byID)
}
